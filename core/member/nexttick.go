package member

import "time"

// IdleTickPeriod is the longest time between calls of Tick. It is so far below PauseThreshold that
// delays on a busy machine do not count as a pause.
const IdleTickPeriod = 200 * time.Millisecond

// NextTick returns the latest time for the next call of Tick: after TickPeriod while an answer or a
// timeout is pending, otherwise at the next probe or after IdleTickPeriod.
func (mac *Machine) NextTick(now time.Time) time.Time {
	if mac.probe.target != "" || len(mac.relays)+len(mac.suspects)+len(mac.joiners) > 0 || mac.mayLackProfiles || mac.nextProbe.IsZero() {
		return now.Add(TickPeriod)
	}
	if idle := now.Add(IdleTickPeriod); idle.Before(mac.nextProbe) {
		return idle
	}
	return mac.nextProbe
}
