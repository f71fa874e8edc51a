package batch

import (
	"maps"
	"slices"
	"time"

	"jacinthpost/core/pacing"
)

// SharingSample gathers the measures of the runs on a worker.
func InterferenceSample(milliCPU int64, each func(visit func(ord Order, figure float64))) pacing.Sample {
	var smp pacing.Sample
	whole := float64(max(1, milliCPU))
	each(func(ord Order, figure float64) {
		switch {
		case ord.Target > 0:
			smp.Serving = append(smp.Serving, pacing.ServingTask{
				ID: ord.ID.Task.String(), Group: ord.ID.Task.Job, Image: ord.Image, TailMillis: figure, TargetMillis: float64(ord.Target) / float64(time.Millisecond),
			})
		case ord.BestEffort:
			smp.Filling = append(smp.Filling, pacing.FillingTask{Image: ord.Image, Used: figure / whole, Demand: float64(ord.MilliCPU) / whole})
		}
	})
	return smp
}

// learnSharing updates the effects of filling tasks from the measures in a report. The tail of a
// serving task that is still starting tells nothing about what fills beside it.
func (sch *Scheduler[O, P]) learnSharing(ins *instance, rep Report, now time.Time) {
	smp := InterferenceSample(ins.capacity.MilliCPU(), func(visit func(Order, float64)) {
		for _, run := range rep.Runs {
			if stp, _, att := sch.find(ins, run.ID); att != nil && run.Working && (stp.spec.BestEffort() || run.Percent >= fullyStarted) {
				visit(Order{ID: run.ID, Image: stp.spec.Image(), BestEffort: stp.spec.BestEffort(), MilliCPU: stp.spec.MilliCPU(), Target: stp.spec.Target()}, run.Figure)
			}
		}
	})
	sch.effects.Learn(smp, now)
	ins.serving = smp.Serving
}

// disturbance returns how much worse the sharing on an instance becomes by one more
// task of the step: for a filling task the number of serving tasks that get over their
// targets, for a serving task the load by what fills.
func (sch *Scheduler[O, P]) disturbance(ins *instance, stp *stepState) float64 {
	use := ins.fillingUse()
	switch {
	case stp.spec.Target() > 0:
		return sch.effects.Load(stp.spec.Image(), use)
	case stp.spec.BestEffort():
		return sch.effects.ExpectedViolations(ins.serving, use.With(stp.spec.Image(), ins.part(stp))) - sch.effects.ExpectedViolations(ins.serving, use)
	default:
		return 0
	}
}

// disturbedBy returns the number of serving tasks that are over their targets because
// of one filling task of the step that is there.
func (sch *Scheduler[O, P]) disturbedBy(ins *instance, stp *stepState) float64 {
	use := ins.fillingUse()
	return sch.effects.ExpectedViolations(ins.serving, use) - sch.effects.ExpectedViolations(ins.serving, use.With(stp.spec.Image(), -ins.part(stp)))
}

// fillingUse returns the part of the processors that filling tasks use at full speed, by image.
func (ins *instance) fillingUse() pacing.Uses {
	uss := make(pacing.Uses, 0, len(ins.filling))
	for _, img := range slices.Sorted(maps.Keys(ins.filling)) {
		uss = append(uss, pacing.NewUse(img, float64(ins.filling[img])/ins.whole()))
	}
	return uss
}

// part returns the part of the processors that a task of the step uses.
func (ins *instance) part(stp *stepState) float64 { return float64(stp.spec.MilliCPU()) / ins.whole() }

// whole returns the processors of the worker in mCPU.
func (ins *instance) whole() float64 { return float64(max(1, ins.capacity.MilliCPU())) }
