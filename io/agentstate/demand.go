package agentstate

import "time"

const (
	// demandWindow is the time over which requests are counted.
	demandWindow = 10 * time.Second
	// idleRequests is the number of requests in a window below which a service
	// counts as idle. At less than one a second the interference control needs
	// more than three minutes for a baseline, so waiting for its measurements would
	// delay tasks without protecting requests.
	idleRequests = 10
)

// demand counts the requests answered beside the tasks in two windows.
type demand struct {
	begun    time.Time // of the present window
	present  int
	previous int
}

// Served counts the requests answered since the last call, which must come at
// least once in each window.
func (sta *State) Served(count int, now time.Time) {
	dem := &sta.demand
	if now.Sub(dem.begun) >= demandWindow {
		dem.begun, dem.previous, dem.present = now, dem.present, 0
	}
	dem.present += count
}

// Idle reports whether the service of the instance got fewer than idleRequests requests in each
// window. It is false if Served has not been called within two windows.
func (sta *State) Idle(now time.Time) bool {
	dem := &sta.demand
	return now.Sub(dem.begun) < 2*demandWindow && dem.previous < idleRequests && dem.present < idleRequests
}
