// Package ticket models the configuration of a deployment: numbered change
// tickets that carry the complete new state of every object they change.
//
// There is one sequence of tickets. A ticket is accepted only when its number
// follows the head and each change names the present version of its object, so
// two operators can't overwrite each other unseen. Objects are replaced and
// never deleted, and the version of an object is the number of the ticket that
// set it. Decide holds these rules once: the process that files a ticket and
// the nodes that replay tickets both use it.
//
// A State is an immutable value that may be read from any goroutine. It keeps
// the last HistoryLimit tickets; older ones are only in the table. Freshness
// tells what a node may still do when its State was not confirmed recently.
package ticket

import "slices"

// Number is the position of a ticket in the sequence, starting at 1. It is also
// the version of the objects that the ticket set; zero means "does not exist".
type Number uint64

// Kind names a type of object.
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

// String returns the key as used in row names and messages.
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

// Key returns the key of the object; its kind is empty when the change has no state.
func (chg Change) Key() Key {
	if chg.object == nil {
		return Key{name: chg.name}
	}
	return Key{kind: chg.object.Kind(), name: chg.name}
}

// Base returns the version that the author saw, zero for a new object.
func (chg Change) Base() Number { return chg.base }

// Object returns the complete new state.
func (chg Change) Object() Object { return chg.object }

// Ticket is one numbered change of the configuration.
type Ticket struct {
	number  Number
	author  string
	reason  string
	changes []Change
}

// New returns a ticket. It is not valid until Validate finds no fault.
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

// Digest identifies the content of the ticket, its number included.
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
