package dispatch

import (
	"time"

	"jacinthpost/core/fleet"
)

// runTimeWeight is the part of the newest run in the mean run time of a class.
const runTimeDivisor = 8

// runTime returns the mean run time of a class, zero if none has been seen.
func (dsp *Dispatcher[P]) runTime(cls fleet.JobClass) time.Duration {
	return dsp.runTimes[dsp.classes.canonical(cls, classLimit)]
}

// ran learns from a task that ran from its beginning to its end without interruption.
func (dsp *Dispatcher[P]) recordRunTime(cls fleet.JobClass, length time.Duration) {
	mean, seen := dsp.runTimes[cls]
	if !seen {
		mean = length
	}
	dsp.runTimes[cls] = mean + (length-mean)/runTimeDivisor
}
