package ticket

import "time"

// FreshnessLimit is the age of the last confirmation above which the
// configuration is stale. With a pull each 500 ms it allows three lost pulls
// and still stops stale nodes within the 3 s promised for a change.
const FreshnessLimit = 2500 * time.Millisecond

// Confirmation is what one answer from a configuration reader proves.
type Confirmation struct {
	sentAt    time.Time
	age       time.Duration
	confirmed bool
	down      bool
	downFor   time.Duration
}

// NewConfirmation returns the proof of an answer to a pull sent at a time: the
// reader had read the head age before it answered.
func NewConfirmation(sentAt time.Time, age time.Duration) Confirmation {
	return Confirmation{sentAt: sentAt, age: age, confirmed: true}
}

// NewUnconfirmed returns the proof of an answer from a reader that never read a head.
func NewUnconfirmed(sentAt time.Time) Confirmation { return Confirmation{sentAt: sentAt} }

// WithStoreDown adds that the reader's latest read of the store failed, and for how long it has done so.
func (con Confirmation) WithStoreDown(downFor time.Duration) Confirmation {
	con.down, con.downFor = true, downFor
	return con
}

// Freshness tells how recently the configuration of a node was confirmed. The
// zero value was never confirmed. Times come from the node's own clock.
type Freshness struct {
	confirmedAt time.Time
	downAt      time.Time
	downSince   time.Time
}

// Observe returns the freshness after an answer. Ages count from the send time
// of the pull, so a late answer never makes the configuration look younger.
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

// Age returns the time since the configuration was confirmed, and false if it never was.
func (fre Freshness) Age(now time.Time) (time.Duration, bool) {
	if fre.confirmedAt.IsZero() {
		return 0, false
	}
	return max(now.Sub(fre.confirmedAt), 0), true
}

// Fresh reports whether the confirmation is younger than the limit.
func (fre Freshness) Fresh(now time.Time) bool {
	age, confirmed := fre.Age(now)
	return confirmed && age < FreshnessLimit
}

// StoreDown reports whether a reader said so within the limit. The report
// extends the confirmation for service requests only, and never a node that
// has no configuration at all.
func (fre Freshness) StoreDown(now time.Time) bool {
	return !fre.downAt.IsZero() && now.Sub(fre.downAt) < FreshnessLimit
}

// DownSince returns since when the latest report says that the store is down, zero when there is none.
func (fre Freshness) DownSince(now time.Time) time.Time {
	if !fre.StoreDown(now) {
		return time.Time{}
	}
	return fre.downSince
}

// situation is a row of the decision table in section 6.6 of the design page.
type freshnessState int

const (
	stateConfirmed  freshnessState = iota // confirmed within the limit
	stateStoreDown                        // stale, readers reachable and reporting that the store is down
	stateUnverified                       // stale, no reader reachable or none that vouches for anything
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

// MayStartTasks reports whether a task may start: no newer ticket can have forbidden it.
func (fre Freshness) MayStartTasks(now time.Time) bool {
	return permissions[fre.state(now)].startTasks
}

// MayAdmitRequests reports whether a service request may be admitted at an
// endpoint that a ticket could remove.
func (fre Freshness) MayAdmitRequests(now time.Time) bool {
	return permissions[fre.state(now)].admitRequests
}
