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
	total := float64(max(1, milliCPU))
	each(func(ord Order, figure float64) {
		switch {
		case ord.Target > 0:
			smp.Serving = append(smp.Serving, pacing.Serving{
				ID: ord.ID.Task.String(), Group: ord.ID.Task.Job, Image: ord.Image, Tail: figure, Target: float64(ord.Target) / float64(time.Millisecond),
			})
		case ord.BestEffort:
			smp.Filling = append(smp.Filling, pacing.Filling{Image: ord.Image, Used: figure / total, Wants: float64(ord.MilliCPU) / total})
		}
	})
	return smp
}

// learnSharing updates the effects of filling tasks from the measures in a report. The tail of a
// serving task that is still starting tells nothing about what fills beside it.
func (sch *Scheduler[O, P]) learnInterference(ins *instance, rep Report, now time.Time) {
	smp := InterferenceSample(ins.capacity.MilliCPU(), func(visit func(Order, float64)) {
		for _, run := range rep.Runs {
			if stp, _, att := sch.find(ins, run.ID); att != nil && run.Working && (stp.spec.BestEffort() || run.Percent >= fullyStarted) {
				visit(Order{ID: run.ID, Image: stp.spec.Image(), BestEffort: stp.spec.BestEffort(), MilliCPU: stp.spec.MilliCPU(), Target: stp.spec.Target()}, run.Figure)
			}
		}
	})
	sch.interferenceModel.Learn(smp, now)
	ins.serving = smp.Serving
}

// disturbance returns how much worse the sharing on an instance becomes by one more
// task of the step: for a filling task the number of serving tasks that get over their
// targets, for a serving task the load by what fills.
func (sch *Scheduler[O, P]) interference(ins *instance, stp *stepState) float64 {
	use := ins.bestEffortUses()
	switch {
	case stp.spec.Target() > 0:
		return sch.interferenceModel.Load(stp.spec.Image(), use)
	case stp.spec.BestEffort():
		return sch.interferenceModel.Harm(ins.serving, use.With(stp.spec.Image(), ins.cpuFraction(stp))) - sch.interferenceModel.Harm(ins.serving, use)
	default:
		return 0
	}
}

// disturbedBy returns the number of serving tasks that are over their targets because
// of one filling task of the step that is there.
func (sch *Scheduler[O, P]) interferenceBy(ins *instance, stp *stepState) float64 {
	use := ins.bestEffortUses()
	return sch.interferenceModel.Harm(ins.serving, use) - sch.interferenceModel.Harm(ins.serving, use.With(stp.spec.Image(), -ins.cpuFraction(stp)))
}

// fillingUse returns the part of the processors that filling tasks use at full speed, by image.
func (ins *instance) bestEffortUses() pacing.Uses {
	uss := make(pacing.Uses, 0, len(ins.bestEffortByImage))
	for _, img := range slices.Sorted(maps.Keys(ins.bestEffortByImage)) {
		uss = append(uss, pacing.NewUse(img, float64(ins.bestEffortByImage[img])/ins.totalCPU()))
	}
	return uss
}

// part returns the part of the processors that a task of the step uses.
func (ins *instance) cpuFraction(stp *stepState) float64 {
	return float64(stp.spec.MilliCPU()) / ins.totalCPU()
}

// whole returns the processors of the worker in mCPU.
func (ins *instance) totalCPU() float64 { return float64(max(1, ins.capacity.MilliCPU())) }
