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
	smp := pacing.Sample{Serving: ins.serving[:0]}
	total := ins.totalCPU()
	for _, run := range rep.Runs {
		if !run.Working {
			continue
		}
		stp, _, att := sch.find(ins, run.ID)
		switch {
		case att == nil:
		case stp.spec.Target() > 0 && (run.Percent >= fullyStarted || stp.spec.BestEffort()):
			smp.Serving = append(smp.Serving, pacing.ServingTask{
				Group: run.ID.Task.Job, Image: stp.spec.Image(), TailMillis: run.Figure, TargetMillis: float64(stp.spec.Target()) / float64(time.Millisecond),
			})
		case stp.spec.BestEffort():
			smp.BestEffort = append(smp.BestEffort, pacing.BestEffortTask{Image: stp.spec.Image(), Used: run.Figure / total, Demand: float64(stp.spec.MilliCPU()) / total})
		}
	}
	sch.interferenceModel.Learn(smp, now)
	ins.serving, ins.prospectKnown = smp.Serving, false
}

// interference returns the interference that one more task of the step causes on an instance. For a
// best-effort task it is the number of serving tasks that exceed their targets because of it, for a
// serving task the load that the best-effort tasks put on it.
func (sch *Scheduler[O, P]) interference(ins *instance, stp *stepState) float64 {
	switch {
	case stp.spec.Target() > 0:
		return sch.interferenceModel.Load(stp.spec.Image(), ins.bestEffortUses())
	case stp.spec.BestEffort():
		return sch.prospect(ins).AddedViolations(stp.spec.Image(), ins.cpuFraction(stp))
	default:
		return 0
	}
}

// interferenceBy returns the number of serving tasks on an instance that exceed their targets
// because of one of the best-effort tasks of the step that it runs.
func (sch *Scheduler[O, P]) interferenceBy(ins *instance, stp *stepState) float64 {
	return -sch.prospect(ins).AddedViolations(stp.spec.Image(), -ins.cpuFraction(stp))
}

// prospect returns what is expected of the serving tasks on an instance, as of its last report.
func (sch *Scheduler[O, P]) prospect(ins *instance) pacing.Prospect {
	if !ins.prospectKnown {
		ins.prospect, ins.prospectKnown = sch.interferenceModel.Prospect(ins.serving, ins.bestEffortUses()), true
	}
	return ins.prospect
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
	if ins.usesKnown {
		return ins.uses
	}
	ins.uses, ins.usesKnown = ins.uses[:0], true
	for _, img := range slices.Sorted(maps.Keys(ins.bestEffortByImage)) {
		ins.uses = append(ins.uses, pacing.NewUse(img, float64(ins.bestEffortByImage[img])/ins.totalCPU()))
	}
	return ins.uses
}

// cpuFraction returns the fraction of the instance's CPU that a task of the step uses at full
// speed.
func (ins *instance) cpuFraction(stp *stepState) float64 {
	return float64(stp.spec.MilliCPU()) / ins.totalCPU()
}

// totalCPU returns the CPU of the worker in mCPU.
func (ins *instance) totalCPU() float64 { return float64(max(1, ins.capacity.MilliCPU())) }
