package member

import (
	"hash/fnv"
	"strconv"

	"jacinthpost/core/fleet"
)

// Update is a statement about a member. A brief update has no profile; its profileAt shows whether
// the receiver has the latest one.
type Update struct {
	instance  fleet.InstanceID
	version   Version
	state     State
	profileAt uint32   // counter at which the profile was last changed
	profile   *Profile // immutable; nil in a brief update
}

// NewUpdate returns a brief update about a member. The profile was last changed at the counter
// profileAt.
func NewUpdate(id fleet.InstanceID, ver Version, sta State, profileAt uint32) Update {
	return Update{instance: id, version: ver, state: sta, profileAt: profileAt}
}

// WithProfile returns the update with the profile.
func (upd Update) WithProfile(pro Profile) Update {
	upd.profile = &pro
	return upd
}

func (upd Update) brief() Update {
	upd.profile = nil
	return upd
}

// Instance returns the member that the update is about.
func (upd Update) Instance() fleet.InstanceID { return upd.instance }

// Version returns the version of the update.
func (upd Update) Version() Version { return upd.version }

// State returns the state of the member.
func (upd Update) State() State { return upd.state }

// ProfileAt returns the counter at which the profile was last changed.
func (upd Update) ProfileAt() uint32 { return upd.profileAt }

// Full reports whether the update carries the profile.
func (upd Update) Full() bool { return upd.profile != nil }

// Profile returns the profile of a full update, the zero value for a brief one.
func (upd Update) Profile() Profile { return upd.profile.value() }

func (pro *Profile) value() Profile {
	if pro == nil {
		return Profile{}
	}
	return *pro
}

// supersedes reports whether the update replaces one with the given version and state.
func (upd Update) supersedes(ver Version, sta State) bool {
	if order := upd.version.Compare(ver); order != 0 {
		return order > 0
	}
	return upd.state > sta
}

// Fixed parts of the encoded forms, in bytes, rounded up.
const (
	briefOverhead   = 36
	profileOverhead = 130
	headerOverhead  = 160
)

// Size returns an upper bound of the encoded size in bytes, given that names need no escaping.
func (upd Update) Size() int {
	size := briefOverhead + len(upd.instance) + decimals(uint64(upd.version.incarnation)) +
		decimals(uint64(upd.version.counter)) + decimals(uint64(upd.profileAt))
	if upd.Full() {
		size += upd.profile.Size()
	}
	return size
}

// Size returns an upper bound of the encoded size in bytes.
func (pro Profile) Size() int {
	size := profileOverhead + len(pro.role) + len(pro.peerAddress) + len(pro.gossipAddress) + len(pro.service)
	size += len(pro.location.Region()) + len(pro.location.DataCentre()) + len(pro.location.Rack())
	for _, num := range [...]int64{pro.capacity.MilliCPU(), pro.capacity.MemoryMB(), pro.capacity.Accelerators(),
		int64(pro.slots), int64(pro.connections)} {
		size += decimals(uint64(max(num, 0)))
	}
	for key, val := range pro.labels {
		size += len(key) + len(val) + len(`"":"",`)
	}
	return size
}

func decimals(num uint64) int {
	digits := 1
	for ; num > 9; num /= 10 {
		digits++
	}
	return digits
}

// hash identifies the update in the digests that members compare. Suspects count as alive, because
// suspicions start and end while digests are compared.
func (upd Update) hash() uint32 {
	if upd.state == StateDead {
		return 0 // members remove dead members at different times
	}
	sta := upd.state
	if sta == StateSuspect {
		sta = StateAlive
	}
	sum := fnv.New32a()
	text := append([]byte(upd.instance), ' ')
	text = strconv.AppendUint(text, uint64(upd.version.incarnation), 10)
	text = strconv.AppendUint(append(text, ' '), uint64(upd.version.counter), 10)
	text = strconv.AppendInt(append(text, ' '), int64(sta), 10)
	_, _ = sum.Write(text)
	return sum.Sum32()
}

func bucketOf(id fleet.InstanceID) int {
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(id))
	return int(sum.Sum32() % SyncBuckets)
}
