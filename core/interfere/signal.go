package interfere

import (
	"math"
	"math/bits"
	"time"
)

// Constants of the latency signal.
const (
	// levelCount is the number of request rates, by powers of two, with a baseline of their own.
	levelCount = 16
	// learnedSamples is the number of undisturbed requests after which a baseline is used.
	learnedSamples = 200
	// baselineSamples is the memory of a baseline in requests.
	baselineSamples = 20_000
	// shiftSamples is its memory while a shift of the load is being followed.
	shiftSamples = 500
	// signalSamples is the number of requests over which the slowdown is
	// averaged: with a spread of 0.4 its standard error is then 2%.
	signalSamples = 400
	// recentGain and peakKeep smooth the slowdown over windows for its peak.
	recentGain = 0.3
	peakDecay  = 0.95
	// tailQuantile is the score of a standard normal variable at the 95th percentile.
	p95Score = 1.645
	// tailDensity is the density of a standard normal variable there.
	p95Density = 0.103
	// extremeQuantile is the score at the 99th percentile.
	p99Score = 2.326
	// idleRate is the number of requests a second below which a service counts as
	// idle. A baseline would then take more than three minutes, so throttling for
	// an assumed cost would hold work up for longer than it protects anybody.
	idleRate = 1
	// tailSpread is the standard error of the slowdown signal for one request,
	// in units of the spread of the latency, found from its two halves.
	signalErrorFactor = 1.2
)

// baseline is the logarithm of the undisturbed latency at one request rate.
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

// spread returns the standard deviation, at least 1% so that constant latencies work.
func (bas *baseline) spread() float64 { return max(0.01, math.Sqrt(bas.variance)) }

// signal turns the latencies of one service into its slowdown relative to the
// baseline at the same request rate. It averages the shift of the mean, which
// is precise, and the shift of the 95th percentile, which sees bursts.
type signal struct {
	levels  [levelCount]baseline
	level   int
	rate    float64
	window  []float64 // logarithms of the latencies since the last tick
	shift   float64   // weighted sum of the slowdowns of single requests
	weight  float64
	current float64 // slowdown in the last window
	recent  float64 // average over about three windows
	peak    float64 // highest recent slowdown, forgotten within some seconds
	count   int     // requests in the last window
}

func (sig *signal) add(latency time.Duration) {
	sig.window = append(sig.window, math.Log(max(1e-6, latency.Seconds())))
}

// tick ends a window of the given length. It reports false when the window had no requests.
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

// shiftOf returns the estimate of the shift from one request: the mean of its
// own deviation and of what its being above the 95th percentile implies.
func shiftOf(deviation, spread float64) float64 {
	tail := -0.05
	if deviation > p95Score*spread {
		tail++
	}
	return (deviation + tail*spread/p95Density) / 2
}

// base returns the baseline at the present request rate, or the nearest learned one.
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

// idle reports whether the service gets next to no requests.
func (sig *signal) idle() bool { return sig.rate < idleRate }

// learned reports whether there is a baseline for any request rate.
func (sig *signal) learned() bool { return sig.nearestBaseline().samples >= learnedSamples }

// learn counts the last window as undisturbed, with a memory in requests.
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

// extreme returns the undisturbed 99th percentile at the present request rate.
func (sig *signal) undisturbedP99() time.Duration {
	bas := sig.nearestBaseline()
	return time.Duration(math.Exp(bas.mean+p99Score*bas.spread()) * float64(time.Second))
}
