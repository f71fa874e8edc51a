package gossip

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/go-faster/errors"

	"jacinthpost/core/fleet"
	"jacinthpost/core/member"
	"jacinthpost/core/resource"
	"jacinthpost/io/message"
)

// Limits on decoded fields. maxCounter leaves room below the largest uint32, because a refutation
// takes a counter above that of the update it refutes.
const (
	maxNameLength = 128 // bytes
	maxLabels     = 16
	maxUpdates    = 64
	maxWanted     = 64
	maxCounter    = 1 << 30
	maxProfile    = 900 // bytes encoded, so that one always fits a datagram
)

// JSON form of a datagram. Keys have one letter, because the size of a datagram limits how many
// updates it carries and so how fast they spread.
type (
	wireMessage struct {
		Kind     int          `json:"k"`
		Sequence uint32       `json:"q,omitempty"`
		To       string       `json:"t,omitempty"`
		Sender   wireUpdate   `json:"u"`
		Head     uint64       `json:"h,omitempty"`
		Target   string       `json:"x,omitempty"`
		Address  string       `json:"a,omitempty"`
		Updates  []wireUpdate `json:"e,omitempty"`
		Digests  []uint32     `json:"d,omitempty"`
		Wanted   []string     `json:"w,omitempty"`
	}
	wireUpdate struct {
		Instance    string       `json:"i"`
		Incarnation uint64       `json:"n"`
		Counter     uint32       `json:"c,omitempty"`
		State       int          `json:"s,omitempty"`
		ProfileAt   uint32       `json:"p,omitempty"`
		Profile     *wireProfile `json:"f,omitempty"`
	}
	wireProfile struct {
		Role          string            `json:"r"`
		PeerAddress   string            `json:"a"`
		GossipAddress string            `json:"g"`
		Location      [3]string         `json:"l"` // region, data centre, rack
		Service       string            `json:"v,omitempty"`
		Capacity      message.Resources `json:"m"`
		Slots         int               `json:"s,omitempty"`
		Connections   int               `json:"c,omitempty"`
		Labels        map[string]string `json:"t,omitempty"`
	}
)

// Encode returns the datagram of a message, or an error if it is longer than member.MaxDatagram. It
// is not longer than msg.Size, the estimate that the core uses.
func Encode(msg member.Message) ([]byte, error) {
	wir := wireMessage{Kind: int(msg.Kind()), Sequence: msg.Sequence(), To: string(msg.To()), Sender: encodeUpdate(msg.Sender()),
		Head: msg.Head(), Target: string(msg.Target()), Address: string(msg.Address()), Digests: msg.Digests()}
	for _, upd := range msg.Updates() {
		wir.Updates = append(wir.Updates, encodeUpdate(upd))
	}
	for _, id := range msg.Wanted() {
		wir.Wanted = append(wir.Wanted, string(id))
	}
	raw, err := json.Marshal(wir)
	if err != nil {
		return nil, errors.Wrap(err, "encode datagram")
	}
	if len(raw) > member.MaxDatagram {
		return nil, errors.Errorf("datagram of kind %v has %d bytes, above the limit", msg.Kind(), len(raw))
	}
	return raw, nil
}

func encodeUpdate(upd member.Update) wireUpdate {
	wir := wireUpdate{Instance: string(upd.Instance()), Incarnation: uint64(upd.Version().Incarnation()),
		Counter: upd.Version().Counter(), State: int(upd.State()), ProfileAt: upd.ProfileAt()}
	if upd.Full() {
		wir.Profile = encodeProfile(upd.Profile())
	}
	return wir
}

func encodeProfile(pro member.Profile) *wireProfile {
	loc, vec := pro.Location(), pro.Capacity()
	return &wireProfile{Role: string(pro.Role()), PeerAddress: string(pro.PeerAddress()), GossipAddress: string(pro.GossipAddress()),
		Location: [3]string{string(loc.Region()), string(loc.DataCentre()), string(loc.Rack())}, Service: string(pro.Service()),
		Capacity: message.Resources{MilliCPU: vec.MilliCPU(), MemoryMB: vec.MemoryMB(), Accelerators: vec.Accelerators()},
		Slots:    pro.Slots(), Connections: pro.Connections(), Labels: pro.Labels()}
}

// Decode returns the message of a datagram. It rejects unknown fields, trailing data and values
// outside the limits above.
func Decode(raw []byte) (member.Message, error) {
	if len(raw) > member.MaxDatagram {
		return member.Message{}, errors.Errorf("datagram has %d bytes, above the limit", len(raw))
	}
	var wir wireMessage
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&wir); err != nil {
		return member.Message{}, errors.Wrap(err, "decode datagram")
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return member.Message{}, errors.New("datagram holds more than one value")
	}
	if err := wir.check(); err != nil {
		return member.Message{}, errors.Wrap(err, "check datagram")
	}
	return wir.message()
}

func (wir wireMessage) check() error {
	switch {
	case !member.MessageKind(wir.Kind).Valid():
		return errors.Errorf("unknown message kind %d", wir.Kind)
	case len(wir.Updates) > maxUpdates || len(wir.Wanted) > maxWanted:
		return errors.New("too many updates or wanted instances")
	case len(wir.Digests) != 0 && len(wir.Digests) != member.SyncBuckets:
		return errors.Errorf("unexpected number of digests: %d", len(wir.Digests))
	case !validText(wir.To) || !validText(wir.Target) || !validText(wir.Address):
		return errors.New("recipient, target or address is too long or needs an escape")
	}
	for _, id := range wir.Wanted {
		if id == "" || !validText(id) {
			return errors.New("wanted instance is empty, too long or needs an escape")
		}
	}
	return nil
}

// validText reports whether a text is at most maxNameLength long and needs no JSON escape, which
// the estimate of the encoded size does not count.
func validText(txt string) bool {
	if len(txt) > maxNameLength {
		return false
	}
	for idx := range len(txt) {
		switch chr := txt[idx]; {
		case chr <= ' ' || chr > '~', chr == '"', chr == '\\', chr == '<', chr == '>', chr == '&':
			return false
		}
	}
	return true
}

func (wir wireMessage) message() (member.Message, error) {
	sender, err := wir.Sender.update()
	if err != nil {
		return member.Message{}, errors.Wrap(err, "sender")
	}
	updates := make([]member.Update, 0, len(wir.Updates))
	for _, itm := range wir.Updates {
		upd, err := itm.update()
		if err != nil {
			return member.Message{}, err
		}
		updates = append(updates, upd)
	}
	wanted := make([]fleet.InstanceID, 0, len(wir.Wanted))
	for _, id := range wir.Wanted {
		wanted = append(wanted, fleet.InstanceID(id))
	}
	return member.NewMessage(member.MessageKind(wir.Kind), wir.Sequence, sender, fleet.InstanceID(wir.To)).WithHead(wir.Head).
		WithTarget(fleet.InstanceID(wir.Target), member.Address(wir.Address)).
		WithUpdates(updates).WithDigests(wir.Digests).WithWanted(wanted), nil
}

func (wir wireUpdate) update() (member.Update, error) {
	if wir.Instance == "" || !validText(wir.Instance) || wir.State < int(member.StateAlive) || wir.State > int(member.StateDead) ||
		wir.Counter > maxCounter || wir.ProfileAt > wir.Counter {
		return member.Update{}, errors.Errorf("invalid instance, state or counter in update about %.32q", wir.Instance)
	}
	ver := member.NewVersion(fleet.Incarnation(wir.Incarnation), wir.Counter)
	upd := member.NewUpdate(fleet.InstanceID(wir.Instance), ver, member.State(wir.State), wir.ProfileAt)
	if wir.Profile == nil {
		return upd, nil
	}
	pro, err := wir.Profile.profile()
	if err != nil {
		return member.Update{}, err
	}
	return upd.WithProfile(pro), nil
}

func (wir wireProfile) profile() (member.Profile, error) {
	loc := fleet.NewLocation(fleet.Region(wir.Location[0]), fleet.DataCentre(wir.Location[1]), fleet.Rack(wir.Location[2]))
	vec := resource.New(wir.Capacity.MilliCPU, wir.Capacity.MemoryMB, wir.Capacity.Accelerators)
	pro := member.NewProfile(member.Role(wir.Role), member.Address(wir.PeerAddress), member.Address(wir.GossipAddress), loc).
		WithCapacity(vec).WithService(fleet.Service(wir.Service), wir.Slots, wir.Connections).WithLabels(wir.Labels)
	return pro, checkProfile(pro)
}

// checkProfile refuses a profile that could not be sent in a datagram.
func checkProfile(pro member.Profile) error {
	loc := pro.Location()
	texts := []string{string(pro.PeerAddress()), string(pro.GossipAddress()), string(loc.Region()), string(loc.DataCentre()),
		string(loc.Rack()), string(pro.Service())}
	for key, val := range pro.Labels() {
		texts = append(texts, key, val)
	}
	for _, txt := range texts {
		if !validText(txt) {
			return errors.Errorf("profile text %.32q is too long or needs an escape", txt)
		}
	}
	switch {
	case pro.Role() != member.RoleAgent && pro.Role() != member.RoleEntry:
		return errors.Errorf("unknown role %.32q", string(pro.Role()))
	case pro.GossipAddress() == "" || pro.PeerAddress() == "":
		return errors.New("profile has no gossip or peer address")
	case !pro.Capacity().Valid() || pro.Slots() < 0 || pro.Connections() < 0:
		return errors.New("profile has a negative capacity, slot or connection count")
	case len(pro.Labels()) > maxLabels || pro.Size() > maxProfile:
		return errors.New("profile is too large for a datagram")
	}
	return nil
}
