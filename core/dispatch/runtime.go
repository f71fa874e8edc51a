package dispatch

import (
	"time"

	"jacinthpost/core/fleet"
)

// runTimeDivisor sets the weight of a new run in the mean run time of a class: one
// eighth.
const runTimeDivisor = 8

// runTime returns the mean run time of a class, zero if no run of it is known.
func (dsp *Dispatcher[P]) runTime(cls fleet.JobClass) time.Duration {
	return dsp.runTimes[dsp.classes.canonical(cls, classLimit)]
}

// recordRunTime records the length of a run from the start of a task to its end
// without interruption.
func (dsp *Dispatcher[P]) recordRunTime(cls fleet.JobClass, length time.Duration) {
	mean, seen := dsp.runTimes[cls]
	if !seen {
		mean = length
	}
	dsp.runTimes[cls] = mean + (length-mean)/runTimeDivisor
}
