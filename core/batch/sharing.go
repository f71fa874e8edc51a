package batch

import (
	"time"

	"jacinthpost/core/decision"
	"jacinthpost/core/pacing"
)

// SharingSample gathers the measures of the runs on a worker.
func SharingSample(milliCPU int64, each func(visit func(ord Order, figure float64))) pacing.Sample {
	var smp pacing.Sample
	whole := float64(max(1, milliCPU))
	each(func(ord Order, figure float64) {
		switch {
		case ord.Target > 0:
			smp.Serving = append(smp.Serving, pacing.Serving{
				ID: ord.ID.Task.String(), Group: ord.ID.Task.Job, Image: ord.Image, Tail: figure, Target: float64(ord.Target) / float64(time.Millisecond),
			})
		case ord.Fills:
			smp.Filling = append(smp.Filling, pacing.Filling{Image: ord.Image, Used: figure / whole, Wants: float64(ord.MilliCPU) / whole})
		}
	})
	return smp
}

// learnSharing updates the effects of filling tasks from the measures in a report. The tail of a
// serving task that is still starting tells nothing about what fills beside it.
func (sch *Scheduler[O, P]) learnSharing(ins *instance, rep Report, now time.Time) {
	smp := SharingSample(ins.capacity.MilliCPU(), func(visit func(Order, float64)) {
		for _, run := range rep.Runs {
			if stp, _, att := sch.find(ins, run.ID); att != nil && run.Working && (stp.spec.Fills() || run.Percent >= fullyStarted) {
				visit(Order{ID: run.ID, Image: stp.spec.Image(), Fills: stp.spec.Fills(), MilliCPU: stp.spec.MilliCPU(), Target: stp.spec.Target()}, run.Figure)
			}
		}
	})
	sch.effects.Learn(smp, now)
	ins.serving = smp.Serving
}

// Limits of moving filling tasks that may hardly work where they are.
const (
	slowShare  = 45                      // percent, below which a task is better off elsewhere
	slowFor    = 700 * time.Millisecond  // until it is moved
	moveAgain  = 2500 * time.Millisecond // at work before a task is moved (again)
	betterPart = 0.5                     // of the disturbance here is the most elsewhere
)

// moveSlowed stops filling tasks that were slowed down for the sake of serving
// ones, when they would disturb less on another instance.
func (sch *Scheduler[O, P]) moveSlowed(now time.Time) {
	for _, job := range sch.jobs {
		if job.state.Final() {
			continue
		}
		job.eachAttempt(func(tid TaskID, tsk *task, att *attempt) {
			stp, _ := job.task(tid)
			if !att.slow(stp, now) {
				return
			}
			here := sch.disturbedBy(sch.instance(att.instance), stp)
			if !sch.betterElsewhere(job, stp, att, here, now) {
				return
			}
			att.slowSince = time.Time{}
			sch.note(now, decision.RunStopped, job.spec.ID(), RunID{Task: tid, Run: att.run}, att.instance, "slowed down")
			sch.stop(job, tid, tsk, att)
		})
	}
}

// slow reports whether an attempt was slowed down for a while, and may be moved.
func (att *attempt) slow(stp *stepState, now time.Time) bool {
	return stp.spec.Fills() && stp.spec.Checkpointing() && !att.stopping && !att.slowSince.IsZero() &&
		now.Sub(att.slowSince) >= slowFor && now.Sub(att.working) >= moveAgain
}

func (sch *Scheduler[O, P]) betterElsewhere(job *jobState, stp *stepState, att *attempt, here float64, now time.Time) bool {
	for _, ins := range sch.instances {
		if ins.id == att.instance || string(ins.service) != job.spec.Service() || !ins.usable(sch.out) || !ins.health.admits(now) {
			continue
		}
		if sch.placement.Fits(sch.need(stp, ins), ins.site()) && sch.disturbance(ins, stp) <= betterPart*here {
			return true
		}
	}
	return false
}

// disturbance returns how much worse the sharing on an instance becomes by one more
// task of the step: for a filling task the number of serving tasks that get over their
// targets, for a serving task the load by what fills.
func (sch *Scheduler[O, P]) disturbance(ins *instance, stp *stepState) float64 {
	use := ins.fillingUse()
	switch {
	case stp.spec.Target() > 0:
		return sch.effects.Load(stp.spec.Image(), use)
	case stp.spec.Fills():
		before := sch.effects.Harm(ins.serving, use)
		use[stp.spec.Image()] += ins.part(stp)
		return sch.effects.Harm(ins.serving, use) - before
	default:
		return 0
	}
}

// disturbedBy returns the number of serving tasks that are over their targets because
// of one filling task of the step that is there.
func (sch *Scheduler[O, P]) disturbedBy(ins *instance, stp *stepState) float64 {
	use := ins.fillingUse()
	with := sch.effects.Harm(ins.serving, use)
	use[stp.spec.Image()] -= ins.part(stp)
	return with - sch.effects.Harm(ins.serving, use)
}

// fillingUse returns the part of the processors that filling tasks use at full speed, by image.
func (ins *instance) fillingUse() map[string]float64 {
	use := make(map[string]float64, len(ins.filling)+1)
	for img, cpu := range ins.filling {
		use[img] = float64(cpu) / ins.whole()
	}
	return use
}

// part returns the part of the processors that a task of the step uses.
func (ins *instance) part(stp *stepState) float64 { return float64(stp.spec.MilliCPU()) / ins.whole() }

// whole returns the processors of the worker in mCPU.
func (ins *instance) whole() float64 { return float64(max(1, ins.capacity.MilliCPU())) }
