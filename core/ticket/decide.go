package ticket

import (
	"fmt"
	"maps"
)

// OutcomeKind is the kind of result of filing a ticket.
type OutcomeKind int

// Kinds of outcomes. Unknown is the zero value, so that a code path that forgets to set an outcome
// doesn't report an accepted or refused ticket.
const (
	OutcomeUnknown     OutcomeKind = iota // may have been accepted; file the same ticket again to find out
	OutcomeAccepted                       // the ticket is the new head
	OutcomeSame                           // the same content was accepted earlier under this number
	OutcomeConflict                       // other content was accepted under this number
	OutcomeGap                            // the number is higher than the next one
	OutcomeWrongBase                      // an object has another version than the ticket names
	OutcomeInvalid                        // the ticket has faults
	OutcomeUnavailable                    // the store is down; the ticket was not accepted
)

var outcomeNames = [...]string{
	OutcomeUnknown: "unknown", OutcomeAccepted: "accepted", OutcomeSame: "same", OutcomeConflict: "conflict",
	OutcomeGap: "gap", OutcomeWrongBase: "wrongBase", OutcomeInvalid: "invalid", OutcomeUnavailable: "unavailable",
}

// String returns the name of the kind, as sent to clients and written to decision logs and metrics.
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

// Accepted returns the outcome of a ticket that is the new head.
func Accepted(tic Ticket) Outcome {
	return Outcome{kind: OutcomeAccepted, ticket: tic, nextNumber: tic.number + 1}
}

// Invalid returns the outcome of a ticket with faults.
func Invalid(faults ...Fault) Outcome { return Outcome{kind: OutcomeInvalid, faults: faults} }

// Unavailable returns the outcome of a ticket that was not stored, because the store is down.
func Unavailable(detail string) Outcome { return Outcome{kind: OutcomeUnavailable, detail: detail} }

// Unknown returns the outcome of a ticket that may have been accepted.
func Unknown(detail string) Outcome { return Outcome{kind: OutcomeUnknown, detail: detail} }

// Kind returns the kind of the outcome; the other methods say for which kinds they apply.
func (out Outcome) Kind() OutcomeKind { return out.kind }

// InSequence reports whether the ticket is part of the sequence, accepted now or earlier.
func (out Outcome) InSequence() bool { return out.kind == OutcomeAccepted || out.kind == OutcomeSame }

// Ticket returns the ticket that was accepted under the number, for accepted, same and conflict.
func (out Outcome) Ticket() Ticket { return out.ticket }

// NextNumber returns the number to file next, for accepted, conflict and gap.
func (out Outcome) NextNumber() Number { return out.nextNumber }

// Key returns the key of the object whose base was wrong.
func (out Outcome) Key() Key { return out.key }

// CurrentVersion returns the current version of the object whose base was wrong.
func (out Outcome) CurrentVersion() Number { return out.currentVersion }

// Faults returns the faults of an invalid ticket.
func (out Outcome) Faults() []Fault { return out.faults }

// Detail explains an unknown or unavailable outcome.
func (out Outcome) Detail() string { return out.detail }

// View is the configuration against which a ticket is checked.
type View interface {
	// Head returns the number of the last accepted ticket.
	Head() Number
	// AcceptedTicket returns the accepted ticket with the number, and false if the view no longer
	// has it.
	AcceptedTicket(num Number) (Ticket, bool)
	// Object returns an object and its version, nil and zero if it doesn't exist.
	Object(key Key) (Object, Number)
}

// Decide checks whether a ticket can be the next one after the view. It changes nothing: if the
// outcome is accepted, the caller stores or applies the ticket.
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
		return Unknown(fmt.Sprintf("ticket %d is older than the retained tickets", tic.number))
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
	// A cancelled workspace may be activated again after a year and then needs its old settings.
	before, existed := obj.(Workspace)
	after, isWorkspace := chg.object.(Workspace)
	if existed && isWorkspace && !after.active && !maps.Equal(before.settings, after.settings) {
		path := fmt.Sprintf("changes[%d].state.settings", idx)
		return Invalid(NewFault(path, fmt.Sprintf("%d settings", len(after.settings)),
			fmt.Sprintf("the settings of version %d, which a cancelled workspace keeps", ver))), true
	}
	return Outcome{}, false
}
