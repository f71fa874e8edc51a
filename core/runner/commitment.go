package runner

import (
	"time"

	"jacinthpost/core/resource"
	"jacinthpost/core/worker"
)

const (
	// usageLag is how long after a change of speed reported processor usage may still
	// include time at the previous speed, and is ignored.
	usageLag         = 15 * time.Second
	fullSpeedPercent = 100
)

// committed returns the resources committed to a task that was offered an amount.
func (tsk *task) committed(offered resource.Vector) resource.Vector {
	if tsk.corrected == (resource.Vector{}) {
		return offered
	}
	return tsk.corrected
}

// setSpeed records the speed ordered for a task.
func (tsk *task) setSpeed(percent int, now time.Time) {
	if tsk.speedPercent != percent && (tsk.speedPercent != 0 || percent != fullSpeedPercent) {
		tsk.speedChangedAt = now
	}
	tsk.speedConfirmed = tsk.speedConfirmed && tsk.speedPercent == percent
	tsk.speedPercent = percent
}

// updatePeak raises the peak to the usage in the last report. Processors are scaled to
// full speed, so that throttling does not lower the peak of a class.
func (tsk *task) updatePeak(now time.Time) {
	use := tsk.lastReport.Usage()
	processors := use.MilliCPU()
	switch {
	case !tsk.speedChangedAt.IsZero() && now.Sub(tsk.speedChangedAt) <= usageLag:
		processors = 0
	case tsk.speedPercent > 0:
		processors = processors * fullSpeedPercent / int64(tsk.speedPercent)
	}
	tsk.peak = tsk.peak.Max(resource.New(processors, use.MemoryMB(), use.Accelerators()))
}

// commitUsage adjusts the commitment of each running task to its usage, as far as
// resources are free. Memory of all tasks comes first, because a shortage of memory
// kills tasks. It runs in the same event that makes the ledger ready, before any
// offer can be accepted.
func (run *Runner) commitUsage(now time.Time) {
	for _, tsk := range run.tasks {
		if tsk.phase == Running {
			tsk.updatePeak(now)
			run.adjustCommitment(tsk, func(present, use resource.Vector) resource.Vector {
				return resource.New(present.MilliCPU(), max(present.MemoryMB(), use.MemoryMB()), present.Accelerators())
			})
		}
	}
	for _, tsk := range run.tasks {
		if tsk.phase == Running {
			run.adjustCommitment(tsk, func(present, use resource.Vector) resource.Vector {
				return resource.New(max(tsk.spec.resources.MilliCPU(), use.MilliCPU()), present.MemoryMB(), present.Accelerators())
			})
		}
	}
}

// adjustCommitment changes the commitment of a task to the wanted amount, or to as much of it as fits.
func (run *Runner) adjustCommitment(tsk *task, want func(present, use resource.Vector) resource.Vector) {
	present := run.ledger.Amount(tsk.ref)
	next := want(present, tsk.lastReport.Usage())
	if room := present.Plus(run.ledger.Free()); !next.FitsIn(room) {
		next = resource.New(min(next.MilliCPU(), room.MilliCPU()), min(next.MemoryMB(), room.MemoryMB()), next.Accelerators())
	}
	if next != present && run.ledger.Adjust(tsk.ref, next) {
		tsk.corrected = next
	}
}

// OwnerAddress returns the last known address of the owner of a task, empty if unknown.
func (run *Runner) OwnerAddress(ref worker.Ref) string {
	if tsk := run.find(ref); tsk != nil {
		return run.partition(tsk.partition).address
	}
	return ""
}
