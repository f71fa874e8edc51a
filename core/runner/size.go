package runner

import (
	"time"

	"jacinthpost/core/resource"
	"jacinthpost/core/worker"
)

const (
	// usageLag is the age of a usage report up to which a change of the speed
	// makes its processors useless.
	usageLag  = 15 * time.Second
	fullSpeed = 100
)

// committed returns what the ledger holds for a task that was offered an amount.
func (tsk *task) committed(offered resource.Vector) resource.Vector {
	if tsk.grown == (resource.Vector{}) {
		return offered
	}
	return tsk.grown
}

// slow notes the speed ordered for a task.
func (tsk *task) slow(percent int, now time.Time) {
	if tsk.speed != percent && (tsk.speed != 0 || percent != fullSpeed) {
		tsk.slowed = now
	}
	tsk.speed = percent
}

// notePeak takes in the use of the last report. Processors are scaled to full
// speed, so that a class does not seem small because it is throttled.
func (tsk *task) notePeak(now time.Time) {
	use := tsk.last.Usage()
	processors := use.MilliCPU()
	switch {
	case !tsk.slowed.IsZero() && now.Sub(tsk.slowed) <= usageLag:
		processors = 0
	case tsk.speed > 0:
		processors = processors * fullSpeed / int64(tsk.speed)
	}
	tsk.peak = tsk.peak.Max(resource.New(processors, use.MemoryMB(), use.Accelerators()))
}

// correct commits to each running task what it uses, as far as there is room.
// Memory comes first for all tasks, because a shortage of it kills tasks. It
// runs in the event that rebuilds the ledger, so no offer is accepted before.
func (run *Runner) correct(now time.Time) {
	for _, tsk := range run.tasks {
		if tsk.phase == Running {
			tsk.notePeak(now)
			run.commit(tsk, func(present, use resource.Vector) resource.Vector {
				return resource.New(present.MilliCPU(), max(present.MemoryMB(), use.MemoryMB()), present.Accelerators())
			})
		}
	}
	for _, tsk := range run.tasks {
		if tsk.phase == Running {
			run.commit(tsk, func(present, use resource.Vector) resource.Vector {
				return resource.New(max(tsk.spec.resources.MilliCPU(), use.MilliCPU()), present.MemoryMB(), present.Accelerators())
			})
		}
	}
}

// commit changes the commitment of a task to what is wanted, or to as much of it as fits.
func (run *Runner) commit(tsk *task, want func(present, use resource.Vector) resource.Vector) {
	present := run.account.Amount(tsk.ref)
	next := want(present, tsk.last.Usage())
	if room := present.Plus(run.account.Free()); !next.FitsIn(room) {
		next = resource.New(min(next.MilliCPU(), room.MilliCPU()), min(next.MemoryMB(), room.MemoryMB()), next.Accelerators())
	}
	if next != present && run.account.Adjust(tsk.ref, next) {
		tsk.grown = next
	}
}

// OwnerOf returns where the owner of a task is believed to be, empty when it is not known.
func (run *Runner) OwnerAddress(ref worker.Ref) string {
	if tsk := run.find(ref); tsk != nil {
		return run.partition(tsk.partition).address
	}
	return ""
}
