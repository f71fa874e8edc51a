package simulation

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Pattern is a course of the load and of faults.
type Pattern struct {
	Name     string
	Duration time.Duration
	Bursts   []Burst
	Outages  []Outage
	Crashes  []Crash
}

// Burst multiplies the rate of a class for a time.
type Burst struct {
	Class    string
	Factor   float64
	At       time.Duration
	Duration time.Duration
}

// Out takes the first data centre out for a time: it gets no new work.
type Outage struct{ At, Duration time.Duration }

// Crash ends everything on some workers, which are back after a time.
type Crash struct {
	Workers      int
	At, Downtime time.Duration
}

// Patterns returns the load patterns that decisions are judged by, for the batch class of a deployment.
func Patterns(batch string) []Pattern {
	const day = 34 * time.Second
	return []Pattern{
		{Name: "calm", Duration: day},
		{Name: "burst", Duration: day, Bursts: []Burst{{Class: batch, Factor: 2.6, At: 8 * time.Second, Duration: 6 * time.Second}}},
		{Name: "flood", Duration: 20 * time.Second, Bursts: []Burst{{Class: batch, Factor: 12, At: 2 * time.Second, Duration: 8 * time.Second}}},
		{Name: "crash", Duration: day, Crashes: []Crash{{Workers: 3, At: 10 * time.Second, Downtime: 6 * time.Second}}},
		{Name: "out", Duration: day, Outages: []Outage{{At: 8 * time.Second, Duration: 12 * time.Second}},
			Bursts: []Burst{{Class: batch, Factor: 1.4, At: 10 * time.Second, Duration: 6 * time.Second}}},
	}
}

// rate returns the factor on the rate of a class at a moment.
func (pat Pattern) rate(class string, at time.Duration) float64 {
	for _, bst := range pat.Bursts {
		if bst.Class == class && at >= bst.At && at < bst.At+bst.Duration {
			return bst.Factor
		}
	}
	return 1
}

// arrivals draws the load of a pattern in the order of time.
func (pat Pattern) arrivals(dep Deployment, rng *rand.Rand) []arrival {
	var out []arrival
	for class, cls := range dep.Classes {
		for range cls.InitialJobs {
			out = append(out, dep.draw(rng, len(out), class, 0))
		}
		for at := time.Duration(0); at < pat.Duration; at += Step {
			if rng.Float64() < cls.PerSecond*pat.rate(cls.Name, at)*Step.Seconds() {
				out = append(out, dep.draw(rng, len(out), class, at))
			}
		}
	}
	slices.SortStableFunc(out, func(one, two arrival) int { return int(one.at - two.at) })
	return out
}
