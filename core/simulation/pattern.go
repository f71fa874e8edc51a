package simulation

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Pattern describes how the load varies over time and which faults occur.
type Pattern struct {
	Name     string
	Duration time.Duration
	// LongRunningJobs is the number of long-running jobs that are submitted at the start, in place of
	// Class.InitialJobs. Zero leaves that.
	LongRunningJobs int
	Bursts          []Burst
	Outages         []Outage
	Crashes         []Crash
	Cancellations   []Cancellation
	Takeovers       []Takeover
}

// Burst multiplies the arrival rate of a class for a period.
type Burst struct {
	Class    string
	Factor   float64
	At       time.Duration
	Duration time.Duration
}

// Outage takes the first data centre out of use for a period.
type Outage struct{ At, Duration time.Duration }

// Crash ends all runs on the first workers, which return after the downtime.
type Crash struct {
	Workers      int
	At, Downtime time.Duration
}

// Cancellation cancels a share of the accepted jobs of a class, at a random time from After to After and
// Spread after their acceptance.
type Cancellation struct {
	Class         string
	Share         float64
	After, Spread time.Duration
}

// Takeover replaces the owner. For the time Cut before it the former owner goes on storing its decisions,
// but reaches no agent, as when the link between them is cut. The cut must be shorter than stopLimit.
type Takeover struct{ At, Cut time.Duration }

// Patterns returns the load patterns on which policies are compared. Bursts are of the given class.
func Patterns(batch string) []Pattern {
	const day = 34 * time.Second
	return []Pattern{
		{Name: "calm", Duration: day},
		{Name: "burst", Duration: day, Bursts: []Burst{{Class: batch, Factor: 2.6, At: 8 * time.Second, Duration: 6 * time.Second}}},
		{Name: "flood", Duration: 20 * time.Second, Bursts: []Burst{{Class: batch, Factor: 12, At: 2 * time.Second, Duration: 8 * time.Second}}},
		{Name: "crash", Duration: day, Crashes: []Crash{{Workers: 3, At: 10 * time.Second, Downtime: 6 * time.Second}}},
		{Name: "out", Duration: day, Outages: []Outage{{At: 8 * time.Second, Duration: 12 * time.Second}},
			Bursts: []Burst{{Class: batch, Factor: 1.4, At: 10 * time.Second, Duration: 6 * time.Second}}},
		{Name: "crowded", Duration: day, LongRunningJobs: 11, Bursts: []Burst{{Class: batch, Factor: 2.2, At: 10 * time.Second, Duration: 10 * time.Second}}},
		// The cancellations are spread over the cuts and the time around them, so that the stops of many runs
		// are stored by one owner and can be delivered only by the next one.
		{Name: "cancelled", Duration: day, LongRunningJobs: 11,
			Cancellations: []Cancellation{
				{Class: "watch", Share: 0.8, After: 4 * time.Second, Spread: 20 * time.Second},
				{Class: "check", Share: 0.2, After: 200 * time.Millisecond, Spread: time.Second},
				{Class: batch, Share: 0.2, After: 500 * time.Millisecond, Spread: 3 * time.Second},
			},
			Takeovers: []Takeover{{At: 9 * time.Second, Cut: 3 * time.Second}, {At: 20 * time.Second, Cut: 3 * time.Second}, {At: 23 * time.Second}}},
	}
}

// rateFactor returns the factor of the arrival rate of a class at a time.
func (pat Pattern) rateFactor(class string, at time.Duration) float64 {
	for _, bst := range pat.Bursts {
		if bst.Class == class && at >= bst.At && at < bst.At+bst.Duration {
			return bst.Factor
		}
	}
	return 1
}

func (pat Pattern) initialJobs(cls Class) int {
	if cls.LongRunning && pat.LongRunningJobs > 0 {
		return pat.LongRunningJobs
	}
	return cls.InitialJobs
}

// arrivals draws the jobs of a pattern, ordered by time.
func (pat Pattern) arrivals(dep Deployment, rng *rand.Rand) []arrival {
	var out []arrival
	for class, cls := range dep.Classes {
		for range pat.initialJobs(cls) {
			out = append(out, dep.drawJob(rng, len(out), class, 0))
		}
		for at := time.Duration(0); at < pat.Duration; at += Step {
			if rng.Float64() < cls.PerSecond*pat.rateFactor(cls.Name, at)*Step.Seconds() {
				out = append(out, dep.drawJob(rng, len(out), class, at))
			}
		}
	}
	slices.SortStableFunc(out, func(one, two arrival) int { return int(one.at - two.at) })
	return out
}
