package member

import "time"

// QuietPeriod is the longest time between calls of Tick. With what a busy machine
// adds it stays below PauseLimit.
const IdleTickPeriod = 200 * time.Millisecond

// Next returns when Tick has to be called at the latest: after a TickPeriod while
// anything waits for an answer or a timeout, otherwise for the next probe.
func (mac *Machine) NextTick(now time.Time) time.Time {
	if mac.probe.target != "" || len(mac.relays)+len(mac.suspects)+len(mac.joiners) > 0 || mac.lacking || mac.nextProbe.IsZero() {
		return now.Add(TickPeriod)
	}
	if quiet := now.Add(IdleTickPeriod); quiet.Before(mac.nextProbe) {
		return quiet
	}
	return mac.nextProbe
}
