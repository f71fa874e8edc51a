package ticket

import (
	"fmt"
	"maps"
)

// OutcomeKind is what became of a filed ticket.
type OutcomeKind int

// Kinds of outcomes. Unknown is the zero value, so that a path that forgets to
// set an outcome claims nothing.
const (
	OutcomeUnknown     OutcomeKind = iota // it may or may not have been accepted: file the same number again to learn which
	OutcomeAccepted                       // it is now the head
	OutcomeSame                           // the same content was accepted earlier under this number
	OutcomeConflict                       // other content was accepted under this number
	OutcomeGap                            // its number is not the next one
	OutcomeWrongBase                      // an object has another version than the author saw
	OutcomeInvalid                        // it has faults
	OutcomeUnavailable                    // the store is down; it was certainly not accepted
)

var outcomeNames = [...]string{
	OutcomeUnknown: "unknown", OutcomeAccepted: "accepted", OutcomeSame: "same", OutcomeConflict: "conflict",
	OutcomeGap: "gap", OutcomeWrongBase: "wrongBase", OutcomeInvalid: "invalid", OutcomeUnavailable: "unavailable",
}

// String returns the name of the kind as used in formats.
func (knd OutcomeKind) String() string { return outcomeNames[knd] }

// Outcome is the result of filing a ticket.
type Outcome struct {
	kind           OutcomeKind
	nextNumber     Number
	ticket         Ticket
	key            Key
	currentVersion Number
	faults         []Fault
	detail         string
}

// Accepted returns the outcome of a ticket that became the head.
func Accepted(tic Ticket) Outcome {
	return Outcome{kind: OutcomeAccepted, ticket: tic, nextNumber: tic.number + 1}
}

// Invalid returns the outcome of a ticket with faults.
func Invalid(faults ...Fault) Outcome { return Outcome{kind: OutcomeInvalid, faults: faults} }

// Unavailable returns the outcome of a ticket that the store certainly did not take.
func Unavailable(detail string) Outcome { return Outcome{kind: OutcomeUnavailable, detail: detail} }

// Unknown returns the outcome of a ticket that may have been accepted.
func Unknown(detail string) Outcome { return Outcome{kind: OutcomeUnknown, detail: detail} }

// Kind returns what became of the ticket.
func (out Outcome) Kind() OutcomeKind { return out.kind }

// InForce reports whether the ticket is part of the sequence.
func (out Outcome) InSequence() bool { return out.kind == OutcomeAccepted || out.kind == OutcomeSame }

// Ticket returns the ticket that was accepted under the number, for accepted, same and conflict.
func (out Outcome) Ticket() Ticket { return out.ticket }

// Next returns the number to file next, for accepted and gap.
func (out Outcome) NextNumber() Number { return out.nextNumber }

// Key returns the object whose base was wrong.
func (out Outcome) Key() Key { return out.key }

// Current returns the present version of the object whose base was wrong.
func (out Outcome) CurrentVersion() Number { return out.currentVersion }

// Faults returns the faults of an invalid ticket.
func (out Outcome) Faults() []Fault { return out.faults }

// Detail explains an unknown or unavailable outcome.
func (out Outcome) Detail() string { return out.detail }

// View is the configuration against which a ticket is judged.
type View interface {
	// Head returns the number of the last accepted ticket.
	Head() Number
	// Accepted returns an accepted ticket, false if the view no longer has it.
	AcceptedTicket(num Number) (Ticket, bool)
	// Object returns an object and its version, zero when it doesn't exist.
	Object(key Key) (Object, Number)
}

// Decide judges a ticket. An accepted outcome means that the view allows it;
// the caller makes it so.
func Decide(vie View, tic Ticket) Outcome {
	if faults := Validate(tic); len(faults) > 0 {
		return Invalid(faults...)
	}
	switch head := vie.Head(); {
	case tic.number <= head:
		return decideRepeated(vie, tic)
	case tic.number > head+1:
		return Outcome{kind: OutcomeGap, nextNumber: head + 1}
	}
	for idx, chg := range tic.changes {
		if out, wrong := decideChange(vie, idx, chg); wrong {
			return out
		}
	}
	return Accepted(tic)
}

func decideRepeated(vie View, tic Ticket) Outcome {
	accepted, found := vie.AcceptedTicket(tic.number)
	switch {
	case !found:
		return Unknown(fmt.Sprintf("ticket %d is older than the tickets kept here", tic.number))
	case accepted.Same(tic):
		return Outcome{kind: OutcomeSame, ticket: accepted}
	default:
		return Outcome{kind: OutcomeConflict, ticket: accepted, nextNumber: vie.Head() + 1}
	}
}

func decideChange(vie View, idx int, chg Change) (Outcome, bool) {
	obj, ver := vie.Object(chg.Key())
	if ver != chg.base {
		return Outcome{kind: OutcomeWrongBase, key: chg.Key(), currentVersion: ver}, true
	}
	// A cancelled workspace may return after a year and must find its settings.
	before, existed := obj.(Workspace)
	after, isWorkspace := chg.object.(Workspace)
	if existed && isWorkspace && !after.active && !maps.Equal(before.settings, after.settings) {
		path := fmt.Sprintf("changes[%d].state.settings", idx)
		return Invalid(NewFault(path, fmt.Sprintf("%d settings", len(after.settings)),
			fmt.Sprintf("the settings of version %d, which a cancelled workspace keeps", ver))), true
	}
	return Outcome{}, false
}
