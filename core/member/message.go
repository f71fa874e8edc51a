package member

import "jacinthpost/core/fleet"

// MessageKind is the type of a datagram.
type MessageKind int

// Kinds of datagrams.
const (
	KindPing         MessageKind = iota + 1 // asks for an ack
	KindAck                                 // answers a ping, possibly through a helper
	KindPingRequest                         // asks a helper to ping the target
	KindNack                                // reports that a helper got no ack from the target
	KindSync                                // carries digests; asks for the entries that differ and for the digests of the receiver
	KindSyncReply                           // carries digests; asks for the entries that differ
	KindEntries                             // carries the entries of the buckets that differ
	KindFetch                               // asks for the profiles of members
	KindProfiles                            // answers a fetch
	messageKindLimit                        // one above the last kind
)

var messageKindNames = [...]string{
	KindPing: "ping", KindAck: "ack", KindPingRequest: "pingRequest", KindNack: "nack", KindSync: "sync",
	KindSyncReply: "syncReply", KindEntries: "entries", KindFetch: "fetch", KindProfiles: "profiles",
}

// Valid reports whether the kind is known.
func (knd MessageKind) Valid() bool { return knd > 0 && knd < messageKindLimit }

// String returns the name of the kind as used in labels of metrics.
func (knd MessageKind) String() string { return messageKindNames[knd] }

// Message is the content of one datagram. It always carries an update of the sender about itself,
// which refutes an outdated update about the sender.
type Message struct {
	kind     MessageKind
	sequence uint32
	to       fleet.InstanceID
	sender   Update
	head     uint64
	target   fleet.InstanceID
	address  Address
	updates  []Update
	digests  []uint32
	wanted   []fleet.InstanceID
}

// NewMessage returns a message of the sender. An answer repeats the sequence number. If to is
// empty, the message is for any member that receives it.
func NewMessage(knd MessageKind, sequence uint32, sender Update, to fleet.InstanceID) Message {
	return Message{kind: knd, sequence: sequence, sender: sender, to: to}
}

// WithHead returns the message with the configuration head of the sender.
func (msg Message) WithHead(head uint64) Message {
	msg.head = head
	return msg
}

// WithTarget returns the message with the member that a helper is to ping and its address.
func (msg Message) WithTarget(id fleet.InstanceID, adr Address) Message {
	msg.target, msg.address = id, adr
	return msg
}

// WithUpdates returns the message with updates about members. It keeps the slice.
func (msg Message) WithUpdates(updates []Update) Message {
	msg.updates = updates
	return msg
}

// WithDigests returns the message with the digests of all buckets. It keeps the slice.
func (msg Message) WithDigests(digests []uint32) Message {
	msg.digests = digests
	return msg
}

// WithWanted returns the message with the members whose profiles are asked for. It keeps the slice.
func (msg Message) WithWanted(wanted []fleet.InstanceID) Message {
	msg.wanted = wanted
	return msg
}

// Kind returns the type of the datagram.
func (msg Message) Kind() MessageKind { return msg.kind }

// Sequence returns the number that an answer repeats.
func (msg Message) Sequence() uint32 { return msg.sequence }

// To returns the member that the message is for, empty for any.
func (msg Message) To() fleet.InstanceID { return msg.to }

// Sender returns the update of the sender about itself.
func (msg Message) Sender() Update { return msg.sender }

// Head returns the configuration head of the sender.
func (msg Message) Head() uint64 { return msg.head }

// Target returns the member that a helper is to ping.
func (msg Message) Target() fleet.InstanceID { return msg.target }

// Address returns where the target receives datagrams.
func (msg Message) Address() Address { return msg.address }

// Updates returns the updates about members, which the caller must not change.
func (msg Message) Updates() []Update { return msg.updates }

// Digests returns the digests of all buckets, which the caller must not change.
func (msg Message) Digests() []uint32 { return msg.digests }

// Wanted returns the members whose profiles are asked for, which the caller must not change.
func (msg Message) Wanted() []fleet.InstanceID { return msg.wanted }

// Size returns an upper bound of the encoded size in bytes.
func (msg Message) Size() int {
	size := headerOverhead + msg.sender.Size() + len(msg.to) + len(msg.target) + len(msg.address)
	size += len(msg.digests) * len("4294967295,")
	for _, upd := range msg.updates {
		size += upd.Size()
	}
	for _, id := range msg.wanted {
		size += len(id) + len(`"",`)
	}
	return size
}

// Envelope is a message with its destination.
type Envelope struct {
	to      Address
	region  fleet.Region
	message Message
}

// To returns where to send the message.
func (env Envelope) To() Address { return env.to }

// Region returns the region of the destination, empty when it is not known.
func (env Envelope) Region() fleet.Region { return env.region }

// Message returns the message to send.
func (env Envelope) Message() Message { return env.message }

// Change is a change of a member's state as seen by this process, or a new profile if the state is
// the same before and after.
type Change struct {
	instance fleet.InstanceID
	from     State
	to       State
	added    bool
}

// Instance returns the member that changed.
func (chg Change) Instance() fleet.InstanceID { return chg.instance }

// From returns the state before the change. It has no meaning for an added member.
func (chg Change) From() State { return chg.from }

// To returns the state after the change.
func (chg Change) To() State { return chg.to }

// Added reports whether the member was not known before.
func (chg Change) Added() bool { return chg.added }
