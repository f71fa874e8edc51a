package ticket

import "time"

// FreshnessLimit is the age of the last confirmation from which the configuration counts as stale.
// Nodes pull every 500 ms: the limit tolerates three lost pulls and still stops stale nodes within
// the 3 s in which a change has to take effect.
const FreshnessLimit = 2500 * time.Millisecond

// Confirmation is the information about freshness in one answer of a configuration reader, a
// process that reads the configuration from the store and answers the pulls of other nodes.
type Confirmation struct {
	sentAt    time.Time
	age       time.Duration
	confirmed bool
	down      bool
	downFor   time.Duration
}

// NewConfirmation returns the confirmation by a reader that had read the head of the sequence age
// before it answered the pull that was sent at sentAt.
func NewConfirmation(sentAt time.Time, age time.Duration) Confirmation {
	return Confirmation{sentAt: sentAt, age: age, confirmed: true}
}

// NewUnconfirmed returns the information in an answer of a reader that has never read the head.
func NewUnconfirmed(sentAt time.Time) Confirmation { return Confirmation{sentAt: sentAt} }

// WithStoreDown adds that the reader's reads of the store have failed for the given time.
func (con Confirmation) WithStoreDown(downFor time.Duration) Confirmation {
	con.down, con.downFor = true, downFor
	return con
}

// Freshness records when the configuration of a node was last confirmed. The zero value was never
// confirmed. All times are readings of the node's own clock.
type Freshness struct {
	confirmedAt time.Time
	downAt      time.Time
	downSince   time.Time
}

// Observe returns the freshness after an answer. Ages count from the time at which the pull was
// sent, so that a delayed answer doesn't make the configuration appear fresher than it is.
func (fre Freshness) Observe(con Confirmation) Freshness {
	if con.confirmed {
		at := con.sentAt.Add(-max(con.age, 0))
		if at.After(fre.confirmedAt) {
			fre.confirmedAt = at
		}
	}
	if con.down && con.sentAt.After(fre.downAt) {
		fre.downAt = con.sentAt
		fre.downSince = con.sentAt.Add(-max(con.downFor, 0))
	}
	return fre
}

// Age returns the time since the last confirmation, and false if there was none.
func (fre Freshness) Age(now time.Time) (time.Duration, bool) {
	if fre.confirmedAt.IsZero() {
		return 0, false
	}
	return max(now.Sub(fre.confirmedAt), 0), true
}

// Fresh reports whether the last confirmation is younger than FreshnessLimit.
func (fre Freshness) Fresh(now time.Time) bool {
	age, confirmed := fre.Age(now)
	return confirmed && age < FreshnessLimit
}

// StoreDown reports whether a reader reported within FreshnessLimit that the store is down. Such a
// report lets a node with a stale configuration go on with service requests, but not with task
// starts, and it has no effect on a node whose configuration was never confirmed.
func (fre Freshness) StoreDown(now time.Time) bool {
	return !fre.downAt.IsZero() && now.Sub(fre.downAt) < FreshnessLimit
}

// DownSince returns the start of the outage according to the latest report, zero if StoreDown is
// false.
func (fre Freshness) DownSince(now time.Time) time.Time {
	if !fre.StoreDown(now) {
		return time.Time{}
	}
	return fre.downSince
}

// freshnessState is a row of the decision table in section 6.6 of docs/design.md.
type freshnessState int

const (
	stateConfirmed  freshnessState = iota // confirmed within the limit
	stateStoreDown                        // stale, but a reader reports that the store is down
	stateUnverified                       // never confirmed, or stale without such a report
)

var permissions = [...]struct{ startTasks, admitRequests bool }{
	stateConfirmed:  {startTasks: true, admitRequests: true},
	stateStoreDown:  {startTasks: false, admitRequests: true},
	stateUnverified: {startTasks: false, admitRequests: false},
}

func (fre Freshness) state(now time.Time) freshnessState {
	_, confirmed := fre.Age(now)
	switch {
	case fre.Fresh(now):
		return stateConfirmed
	case confirmed && fre.StoreDown(now):
		return stateStoreDown
	default:
		return stateUnverified
	}
}

// MayStartTasks reports whether the node may start tasks. A node with a stale configuration may
// not, because a ticket that it doesn't have may forbid the start.
func (fre Freshness) MayStartTasks(now time.Time) bool {
	return permissions[fre.state(now)].startTasks
}

// MayAdmitRequests reports whether the node may admit service requests at endpoints. A stale
// configuration may lack a ticket that drains an endpoint; the node then admits requests only while
// the store is reported down.
func (fre Freshness) MayAdmitRequests(now time.Time) bool {
	return permissions[fre.state(now)].admitRequests
}
