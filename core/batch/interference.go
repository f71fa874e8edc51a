package batch

import (
	"maps"
	"slices"
	"time"

	"jacinthpost/core/pacing"
)

// InterferenceSample collects the measurements of the runs on a worker. The argument each must call
// visit with the order and the measurement (RunState.Figure) of each run.
func InterferenceSample(milliCPU int64, each func(visit func(ord Order, measurement float64))) pacing.Sample {
	var smp pacing.Sample
	total := float64(max(1, milliCPU))
	each(func(ord Order, measurement float64) {
		switch {
		case ord.Target > 0:
			smp.Serving = append(smp.Serving, pacing.ServingTask{
				ID: ord.ID.Task.String(), Group: ord.ID.Task.Job, Image: ord.Image, TailMillis: measurement, TargetMillis: float64(ord.Target) / float64(time.Millisecond),
			})
		case ord.BestEffort:
			smp.BestEffort = append(smp.BestEffort, pacing.BestEffortTask{Image: ord.Image, Used: measurement / total, Demand: float64(ord.MilliCPU) / total})
		}
	})
	return smp
}

// learnInterference updates the interference model from the measurements in a report. Serving tasks
// that are still starting are left out, because their tail latency says nothing about best-effort
// tasks.
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

// interference returns the interference that one more task of the step causes on an instance. For a
// best-effort task it is the number of serving tasks that exceed their targets because of it, for a
// serving task the load that the best-effort tasks put on it.
func (sch *Scheduler[O, P]) interference(ins *instance, stp *stepState) float64 {
	use := ins.bestEffortUses()
	switch {
	case stp.spec.Target() > 0:
		return sch.interferenceModel.Load(stp.spec.Image(), use)
	case stp.spec.BestEffort():
		return sch.interferenceModel.ExpectedViolations(ins.serving, use.With(stp.spec.Image(), ins.cpuFraction(stp))) - sch.interferenceModel.ExpectedViolations(ins.serving, use)
	default:
		return 0
	}
}

// interferenceBy returns the number of serving tasks on an instance that exceed their targets
// because of one of the best-effort tasks of the step that it runs.
func (sch *Scheduler[O, P]) interferenceBy(ins *instance, stp *stepState) float64 {
	use := ins.bestEffortUses()
	return sch.interferenceModel.ExpectedViolations(ins.serving, use) - sch.interferenceModel.ExpectedViolations(ins.serving, use.With(stp.spec.Image(), -ins.cpuFraction(stp)))
}

// unmeasured returns the number of serving images on an instance for which the effect of the step's
// image was never measured.
func (sch *Scheduler[O, P]) unmeasured(ins *instance, stp *stepState) int {
	num := 0
	for img := range ins.servingImages {
		if !sch.interferenceModel.Measured(pacing.Pair{Serving: img, BestEffort: stp.spec.Image()}) {
			num++
		}
	}
	return num
}

// bestEffortUses returns the fraction of the CPU that best-effort tasks use at full speed, by
// image.
func (ins *instance) bestEffortUses() pacing.Uses {
	uss := make(pacing.Uses, 0, len(ins.bestEffortByImage))
	for _, img := range slices.Sorted(maps.Keys(ins.bestEffortByImage)) {
		uss = append(uss, pacing.NewUse(img, float64(ins.bestEffortByImage[img])/ins.totalCPU()))
	}
	return uss
}

// cpuFraction returns the fraction of the instance's CPU that a task of the step uses at full
// speed.
func (ins *instance) cpuFraction(stp *stepState) float64 {
	return float64(stp.spec.MilliCPU()) / ins.totalCPU()
}

// totalCPU returns the CPU of the worker in mCPU.
func (ins *instance) totalCPU() float64 { return float64(max(1, ins.capacity.MilliCPU())) }
