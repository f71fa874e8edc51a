// Package ticket models the configuration of a deployment as a sequence of tickets: numbered
// changes that contain the complete new state of every object that they change.
//
// A ticket is accepted only if its number follows that of the last accepted ticket, the head, and
// each change names the current version of its object, so that two operators can't overwrite each
// other's changes unnoticed. Objects are replaced and never deleted. The version of an object is
// the number of the ticket that set it. Decide implements these rules both for the process that
// files a ticket and for the nodes that replay accepted tickets.
//
// A State is an immutable value that may be read from any goroutine. It retains the last
// HistoryLimit tickets; older ones are only in the table. Freshness determines what a node may
// still do if its State was not confirmed recently.
package ticket

import "slices"

// Number is the position of a ticket in the sequence, starting at 1. It is also the version of the
// objects that the ticket sets; version zero stands for an object that doesn't exist.
type Number uint64

// Kind is the type of a configured object.
type Kind string

// Kinds of objects.
const (
	KindService    Kind = "service"
	KindJobClass   Kind = "jobClass"
	KindDataCentre Kind = "dataCentre"
	KindAdmission  Kind = "admission"
	KindWorkspace  Kind = "workspace"
	KindEndpoint   Kind = "endpoint"
	KindTeam       Kind = "team"
)

// Kinds returns every kind in a fixed order.
func Kinds() []Kind {
	return []Kind{KindAdmission, KindDataCentre, KindEndpoint, KindJobClass, KindService, KindTeam, KindWorkspace}
}

// Key identifies an object.
type Key struct {
	kind Kind
	name string
}

// NewKey returns the key of an object.
func NewKey(knd Kind, name string) Key { return Key{kind: knd, name: name} }

// Kind returns the kind of the object.
func (key Key) Kind() Kind { return key.kind }

// Name returns the name of the object, unique within its kind.
func (key Key) Name() string { return key.name }

// String returns the key in the form kind/name, as used in row keys and messages.
func (key Key) String() string { return string(key.kind) + "/" + key.name }

// Change replaces one object.
type Change struct {
	name   string
	base   Number
	object Object
}

// NewChange returns the replacement of the named object, whose present version is base.
func NewChange(name string, base Number, obj Object) Change {
	return Change{name: name, base: base, object: obj}
}

// Key returns the key of the object. Its kind is empty if the change has no object, which Validate
// reports as a fault.
func (chg Change) Key() Key {
	if chg.object == nil {
		return Key{name: chg.name}
	}
	return Key{kind: chg.object.Kind(), name: chg.name}
}

// Base returns the version of the object that the change replaces, zero for a new object.
func (chg Change) Base() Number { return chg.base }

// Object returns the complete new state.
func (chg Change) Object() Object { return chg.object }

// Ticket is one numbered set of changes, accepted or refused as a whole.
type Ticket struct {
	number  Number
	author  string
	reason  string
	changes []Change
}

// New returns a ticket without checking it; see Validate.
func New(num Number, author, reason string, changes ...Change) Ticket {
	return Ticket{number: num, author: author, reason: reason, changes: slices.Clone(changes)}
}

// Number returns the position in the sequence.
func (tic Ticket) Number() Number { return tic.number }

// Author returns the operator who filed the ticket.
func (tic Ticket) Author() string { return tic.author }

// Reason returns why the ticket was filed.
func (tic Ticket) Reason() string { return tic.reason }

// Changes returns a copy of the changes.
func (tic Ticket) Changes() []Change { return slices.Clone(tic.changes) }

// Digest returns a hash of the content of the ticket, including its number.
func (tic Ticket) Digest() Digest {
	dgr := newDigester()
	dgr.number(uint64(tic.number))
	dgr.text(tic.author)
	dgr.text(tic.reason)
	dgr.number(uint64(len(tic.changes)))
	for _, chg := range tic.changes {
		dgr.text(chg.Key().String())
		dgr.number(uint64(chg.base))
		if chg.object != nil {
			chg.object.digest(dgr)
		}
	}
	return dgr.sum()
}

// Same reports whether two tickets have the same number and content.
func (tic Ticket) Same(oth Ticket) bool { return tic.Digest() == oth.Digest() }
