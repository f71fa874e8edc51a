package batch

import (
	"math"
	"time"

	"jacinthpost/core/pacing"
)

// Knowledge is what a scheduler has learned about images and queues. An owner passes it on to its
// successor, which would otherwise place best-effort tasks beside serving tasks that they disturb until
// it has learned that again.
type Knowledge struct {
	Interference pacing.Knowledge
	RunSeconds   map[string]float64 // typical run time of tasks, by queue and kind of task
}

// Knowledge returns what the scheduler has learned, with at most limit effects of images on each other.
func (sch *Scheduler[O, P]) Knowledge(limit int) Knowledge {
	kno := Knowledge{Interference: sch.interferenceModel.Knowledge(limit), RunSeconds: make(map[string]float64, len(sch.runTimes.means))}
	for key, mean := range sch.runTimes.means {
		kno.RunSeconds[key] = math.Exp(mean)
	}
	return kno
}

// RestoreKnowledge sets what the former owner had learned. It must be called at most once, before the
// first report.
func (sch *Scheduler[O, P]) RestoreKnowledge(kno Knowledge, now time.Time) {
	sch.interferenceModel.Restore(kno.Interference, now)
	for key, secs := range kno.RunSeconds {
		if !(secs > 0 && secs <= maxKnownRunSeconds) {
			continue
		}
		if sch.runTimes.means == nil {
			sch.runTimes.means = make(map[string]float64)
		}
		sch.runTimes.means[key] = math.Log(secs)
	}
}
