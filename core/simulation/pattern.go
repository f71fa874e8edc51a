package simulation

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Pattern is a course of the load and of faults.
type Pattern struct {
	Name    string
	For     time.Duration
	Bursts  []Burst
	Outs    []Out
	Crashes []Crash
}

// Burst multiplies the rate of a class for a time.
type Burst struct {
	Class  string
	Factor float64
	At     time.Duration
	For    time.Duration
}

// Out takes the first data centre out for a time: it gets no new work.
type Out struct{ At, For time.Duration }

// Crash ends everything on some workers, which are back after a time.
type Crash struct {
	Workers int
	At, For time.Duration
}

// Patterns returns the load patterns that decisions are judged by, for the batch class of a deployment.
func Patterns(batch string) []Pattern {
	const day = 34 * time.Second
	return []Pattern{
		{Name: "calm", For: day},
		{Name: "burst", For: day, Bursts: []Burst{{Class: batch, Factor: 2.6, At: 8 * time.Second, For: 6 * time.Second}}},
		{Name: "flood", For: 20 * time.Second, Bursts: []Burst{{Class: batch, Factor: 12, At: 2 * time.Second, For: 8 * time.Second}}},
		{Name: "crash", For: day, Crashes: []Crash{{Workers: 3, At: 10 * time.Second, For: 6 * time.Second}}},
		{Name: "out", For: day, Outs: []Out{{At: 8 * time.Second, For: 12 * time.Second}},
			Bursts: []Burst{{Class: batch, Factor: 1.4, At: 10 * time.Second, For: 6 * time.Second}}},
	}
}

// rate returns the factor on the rate of a class at a moment.
func (pat Pattern) rate(class string, at time.Duration) float64 {
	for _, bst := range pat.Bursts {
		if bst.Class == class && at >= bst.At && at < bst.At+bst.For {
			return bst.Factor
		}
	}
	return 1
}

// arrivals draws the load of a pattern in the order of time.
func (pat Pattern) arrivals(dep Deployment, rng *rand.Rand) []arrival {
	var out []arrival
	for class, cls := range dep.Classes {
		for range cls.Initial {
			out = append(out, dep.draw(rng, len(out), class, 0))
		}
		for at := time.Duration(0); at < pat.For; at += Step {
			if rng.Float64() < cls.PerSecond*pat.rate(cls.Name, at)*Step.Seconds() {
				out = append(out, dep.draw(rng, len(out), class, at))
			}
		}
	}
	slices.SortStableFunc(out, func(one, two arrival) int { return int(one.at - two.at) })
	return out
}
