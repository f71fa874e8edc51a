package interfere

import (
	"math"
	"math/bits"
	"time"
)

// Constants of the latency signal.
const (
	// levelCount is the number of baselines, one for each power of two of the request rate.
	levelCount = 16
	// learnedSamples is the number of undisturbed requests from which a baseline is used.
	learnedSamples = 200
	// baselineSamples is the number of requests over which a baseline is averaged.
	baselineSamples = 20_000
	// shiftSamples replaces baselineSamples while the baseline follows a change of the load.
	shiftSamples = 500
	// signalSamples is the number of requests over which the slowdown is
	// averaged: with a spread of 0.4 its standard error is then 2%.
	signalSamples = 400
	// recentGain is the weight of the last window in the average whose peak is kept, and peakDecay
	// the factor by which that peak falls in each window.
	recentGain = 0.3
	peakDecay  = 0.95
	// p95Score is the 95th percentile of the standard normal distribution.
	p95Score = 1.645
	// p95Density is the density of the standard normal distribution at p95Score.
	p95Density = 0.103
	// p99Score is the 99th percentile of the standard normal distribution.
	p99Score = 2.326
	// idleRate is the number of requests a second below which a service counts as idle. A baseline
	// would then take more than three minutes, in which tasks would be throttled for an assumed
	// cost next to a service with hardly any requests to protect.
	idleRate = 1
	// signalErrorFactor is the standard error of the slowdown signal for one request, in standard
	// deviations of the latency. It results from the two terms of shiftOf.
	signalErrorFactor = 1.2
)

// baseline is the distribution of the logarithm of the undisturbed latency at one request rate.
type baseline struct {
	mean     float64
	variance float64
	samples  float64
}

func (bas *baseline) add(val float64, memory float64) {
	bas.samples = min(memory, bas.samples+1)
	gain := 1 / bas.samples
	diff := val - bas.mean
	bas.mean += gain * diff
	bas.variance = (1 - gain) * (bas.variance + gain*diff*diff)
}

// spread returns the standard deviation, at least 1% because a constant latency would give zero.
func (bas *baseline) spread() float64 { return max(0.01, math.Sqrt(bas.variance)) }

// signal derives the slowdown of one service from its latencies and the baseline at the same
// request rate. It averages the shift of the mean, which is precise, and the shift of the 95th
// percentile, which reflects bursts.
type signal struct {
	levels  [levelCount]baseline
	level   int
	rate    float64
	window  []float64 // logarithms of the latencies in the present window
	shift   float64   // weighted sum of the slowdowns of single requests
	weight  float64
	current float64 // slowdown in the last window
	recent  float64 // average over about three windows
	peak    float64 // peak of recent, decaying within some seconds
	count   int     // requests in the last window
}

func (sig *signal) add(latency time.Duration) {
	sig.window = append(sig.window, math.Log(max(1e-6, latency.Seconds())))
}

// endWindow computes the slowdown in a window of the given length. It returns false when the window
// had no requests.
func (sig *signal) endWindow(length time.Duration) bool {
	sig.count = len(sig.window)
	rate := float64(sig.count) / max(1e-3, length.Seconds())
	sig.rate += (rate - sig.rate) * 0.2
	sig.level = min(levelCount-1, bits.Len(uint(sig.rate)))
	if sig.count == 0 {
		return false
	}
	bas := sig.nearestBaseline()
	spread := bas.spread()
	sum := 0.0
	for _, val := range sig.window {
		sum += shiftOf(val-bas.mean, spread)
	}
	sig.current = sum / float64(sig.count)
	sig.recent += recentGain * (sig.current - sig.recent)
	sig.peak = max(sig.recent, sig.peak*peakDecay)
	keep := max(0, 1-float64(sig.count)/signalSamples)
	sig.shift = sig.shift*keep + sum
	sig.weight = sig.weight*keep + float64(sig.count)
	return true
}

// shiftOf estimates the shift of the latency from one request. It is the mean of the deviation of
// the request and of the shift implied by the request being above the 95th percentile or not.
func shiftOf(deviation, spread float64) float64 {
	tail := -0.05
	if deviation > p95Score*spread {
		tail++
	}
	return (deviation + tail*spread/p95Density) / 2
}

// nearestBaseline returns the learned baseline nearest to the present request rate, or the one at
// that rate when none is learned.
func (sig *signal) nearestBaseline() *baseline {
	for distance := range levelCount {
		for _, pos := range [2]int{sig.level - distance, sig.level + distance} {
			if pos >= 0 && pos < levelCount && sig.levels[pos].samples >= learnedSamples {
				return &sig.levels[pos]
			}
		}
	}
	return &sig.levels[sig.level]
}

// idle reports whether the service gets fewer requests than idleRate.
func (sig *signal) idle() bool { return sig.rate < idleRate }

// learned reports whether there is a baseline for any request rate.
func (sig *signal) learned() bool { return sig.nearestBaseline().samples >= learnedSamples }

// learn adds the last window to the baseline, which is averaged over the given number of requests.
func (sig *signal) learn(memory float64) {
	for _, val := range sig.window {
		sig.levels[sig.level].add(val, memory)
	}
}

func (sig *signal) clearWindow() { sig.window = sig.window[:0] }

// slowdown returns the averaged relative slowdown and its standard error.
func (sig *signal) slowdown() (mean, deviation float64) {
	if sig.weight < 1 || !sig.learned() {
		return 0, math.Inf(1)
	}
	return sig.shift / sig.weight, signalErrorFactor * sig.nearestBaseline().spread() / math.Sqrt(sig.weight)
}

// windowVariance returns the variance of the slowdown in the last window.
func (sig *signal) windowVariance() float64 {
	deviation := signalErrorFactor * sig.nearestBaseline().spread()
	return deviation * deviation / float64(max(1, sig.count))
}

// undisturbedP99 returns the 99th percentile of the baseline at the present request rate.
func (sig *signal) undisturbedP99() time.Duration {
	bas := sig.nearestBaseline()
	return time.Duration(math.Exp(bas.mean+p99Score*bas.spread()) * float64(time.Second))
}
