package admit

import "time"

// smoothing is the weight denominator of a new service time in the mean: the
// estimate follows a change of load within about 16 requests.
const smoothing = 16

// Estimate predicts how long a request waits for a slot.
type WaitEstimator struct {
	mean time.Duration
}

// Observe adds a service time to the moving mean.
func (est *WaitEstimator) Observe(took time.Duration) {
	if est.mean == 0 {
		est.mean = took
		return
	}
	est.mean += (took - est.mean) / smoothing
}

// Mean returns the moving mean of the service times.
func (est *WaitEstimator) Mean() time.Duration { return est.mean }

// Wait returns the expected wait of a request with a number of others before it.
func (est *WaitEstimator) Wait(ahead int, loa Load) time.Duration {
	waiting := loa.running + ahead + 1 - loa.slots
	if waiting <= 0 || loa.slots <= 0 {
		return 0
	}
	return est.mean * time.Duration(waiting) / time.Duration(loa.slots)
}
