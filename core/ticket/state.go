package ticket

import (
	"jacinthpost/core/fleet"
)

// HistoryLimit is the number of tickets that a State retains, so that nodes that are behind can
// replay them. At 1,100 tickets a day it covers more than four hours.
const HistoryLimit = 256

// State is the configuration after the tickets up to a head were applied. The zero value is the
// configuration before the first ticket.
type State struct {
	head    Number
	objects Versioned[string, Object]
	history []Ticket
}

// Record is an object with its key and version, as stored in the table.
type Record struct {
	key     Key
	version Number
	object  Object
}

// NewRecord returns an object with its key and version.
func NewRecord(key Key, ver Number, obj Object) Record {
	return Record{key: key, version: ver, object: obj}
}

// Key returns the key of the object.
func (rec Record) Key() Key { return rec.key }

// Version returns the number of the ticket that set the object.
func (rec Record) Version() Number { return rec.version }

// Object returns the state of the object.
func (rec Record) Object() Object { return rec.object }

// Restore returns the configuration at head from a listing of its objects. It reports false if an
// object is newer than the head: the listing was then read while a ticket was accepted, and may
// contain only some of the changes of that ticket.
func Restore(head Number, records []Record) (State, bool) {
	consistent := true
	objects := Versioned[string, Object]{}.edit(func(set func(string, Object, Number)) {
		for _, rec := range records {
			consistent = consistent && rec.version <= head
			set(rec.key.String(), rec.object, rec.version)
		}
	})
	if !consistent {
		return State{}, false
	}
	return State{head: head, objects: objects}, true
}

// RestoreAndReplay returns the configuration after the last of the tickets, from a listing of
// objects during which tickets may have been accepted. The head must have been base before the
// listing, and the tickets must be all those accepted from then until after the listing. It
// reports false if the tickets don't follow base without a gap, or if an object is newer than the
// last ticket.
func RestoreAndReplay(base Number, records []Record, tickets []Ticket) (State, bool) {
	head := base
	for _, tic := range tickets {
		if tic.number != head+1 {
			return State{}, false
		}
		head = tic.number
	}
	sta, consistent := Restore(head, records)
	if !consistent {
		return State{}, false
	}
	for _, tic := range tickets {
		sta.objects = withChanges(sta.objects, tic)
		sta.history = appendHistory(sta.history, tic)
	}
	return sta, true
}

// Apply returns the state after the ticket, and the outcome. If the outcome is not accepted, the
// state is unchanged.
func (sta State) Apply(tic Ticket) (State, Outcome) {
	out := Decide(sta, tic)
	if out.Kind() != OutcomeAccepted {
		return sta, out
	}
	return State{
		head:    tic.number,
		objects: withChanges(sta.objects, tic),
		history: appendHistory(sta.history, tic),
	}, out
}

func withChanges(objects Versioned[string, Object], tic Ticket) Versioned[string, Object] {
	return objects.edit(func(set func(string, Object, Number)) {
		for _, chg := range tic.changes {
			set(chg.Key().String(), chg.object, tic.number)
		}
	})
}

// appendHistory returns a copy with the ticket added, because earlier states share the old slice.
func appendHistory(history []Ticket, tic Ticket) []Ticket {
	first := max(0, len(history)+1-HistoryLimit)
	next := make([]Ticket, 0, len(history)-first+1)
	next = append(next, history[first:]...)
	return append(next, tic)
}

// Head returns the number of the last ticket applied.
func (sta State) Head() Number { return sta.head }

// Len returns the number of objects.
func (sta State) Len() int { return sta.objects.Len() }

// AcceptedTicket returns the applied ticket with the number, and false if it is not among the
// retained ones.
func (sta State) AcceptedTicket(num Number) (Ticket, bool) {
	first := sta.head - Number(len(sta.history)) + 1
	if num < first || num > sta.head {
		return Ticket{}, false
	}
	return sta.history[num-first], true
}

// TicketsAfter returns up to limit tickets that follow the one with the number. It reports false if
// the state no longer retains all tickets from there to the head.
func (sta State) TicketsAfter(num Number, limit int) ([]Ticket, bool) {
	if num >= sta.head {
		return nil, true
	}
	if _, found := sta.AcceptedTicket(num + 1); !found {
		return nil, false
	}
	first := len(sta.history) - int(sta.head-num)
	tickets := sta.history[first:]
	return tickets[:min(limit, len(tickets))], true
}

// Records returns up to limit objects in key order whose key text is greater than after.
func (sta State) Records(after string, limit int) []Record {
	var records []Record
	for text, obj := range sta.objects.All() {
		if text <= after {
			continue
		}
		if len(records) == limit {
			break
		}
		name := text[len(obj.Kind())+1:]
		records = append(records, NewRecord(NewKey(obj.Kind(), name), sta.objects.Version(text), obj))
	}
	return records
}

// Object returns the state and version of an object, nil and zero if it doesn't exist.
func (sta State) Object(key Key) (Object, Number) {
	obj, _ := sta.objects.Get(key.String())
	return obj, sta.objects.Version(key.String())
}

func lookup[O Object](sta State, knd Kind, name string) (O, bool) {
	obj, _ := sta.objects.Get(NewKey(knd, name).String())
	typed, found := obj.(O)
	return typed, found
}

// Service returns the configuration of a service, and false if no ticket defines it.
func (sta State) Service(name fleet.Service) (Service, bool) {
	return lookup[Service](sta, KindService, string(name))
}

// Admission returns the admission limits of a service, and false if no ticket defines them.
func (sta State) Admission(name fleet.Service) (Admission, bool) {
	return lookup[Admission](sta, KindAdmission, string(name))
}

// JobClass returns the configuration of a job class, and false if no ticket defines it.
func (sta State) JobClass(name fleet.JobClass) (JobClass, bool) {
	return lookup[JobClass](sta, KindJobClass, string(name))
}

// Workspace returns the configuration of a workspace, and false if no ticket defines it.
func (sta State) Workspace(name fleet.Workspace) (Workspace, bool) {
	return lookup[Workspace](sta, KindWorkspace, string(name))
}

// Team returns the quota of a team, and false if no ticket defines it.
func (sta State) Team(name fleet.Team) (Team, bool) {
	return lookup[Team](sta, KindTeam, string(name))
}

// DataCentreOut reports whether the data centre is out of service. It is in service if no ticket
// defines its state.
func (sta State) DataCentreOut(dc fleet.DataCentre) bool {
	obj, _ := lookup[DataCentre](sta, KindDataCentre, string(dc))
	return obj.Out()
}

// EndpointDraining reports whether the endpoint of the instance is drained, which takes a ticket.
func (sta State) EndpointDraining(id fleet.InstanceID) bool {
	obj, _ := lookup[Endpoint](sta, KindEndpoint, string(id))
	return obj.Draining()
}
