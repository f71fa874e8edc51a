package batch

import (
	"time"

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
				ID: ord.ID.Task.String(), Image: ord.Image, Tail: figure, Target: float64(ord.Target) / float64(time.Millisecond),
			})
		case ord.Fills:
			smp.Filling = append(smp.Filling, pacing.Filling{Image: ord.Image, Used: figure / whole, Wants: float64(ord.MilliCPU) / whole})
		}
	})
	return smp
}

// learnSharing updates the effects of filling tasks from the measures in a report.
func (sch *Scheduler[O, P]) learnSharing(ins *instance, rep Report) {
	smp := SharingSample(ins.capacity.MilliCPU(), func(visit func(Order, float64)) {
		for _, run := range rep.Runs {
			if stp, _, att := sch.find(ins, run.ID); att != nil && run.Working {
				visit(Order{ID: run.ID, Image: stp.spec.Image(), Fills: stp.spec.Fills(), MilliCPU: stp.spec.MilliCPU(), Target: stp.spec.Target()}, run.Figure)
			}
		}
	})
	sch.effects.Learn(smp)
}

// Effects returns what is known of filling images beside serving ones.
func (sch *Scheduler[O, P]) Effects() map[pacing.Pair]pacing.Estimate { return sch.effects.Estimates() }

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
			here := sch.disturbance(sch.instance(att.instance), stp)
			if !sch.betterElsewhere(job, stp, att, here, now) {
				return
			}
			att.slowSince = time.Time{}
			sch.note(now, NoteStopped, job.spec.ID(), RunID{Task: tid, Run: att.run}, att.instance, "slowed down")
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
		if ins.id == att.instance || string(ins.service) != job.spec.Service() || !ins.usable(sch.out) || !ins.health.admits(now, ins.runs) {
			continue
		}
		ned := sch.need(stp, ins)
		if _, ok := sch.placement.Rate(ned, ins.site()); ok && ned.Disturbance <= betterPart*here {
			return true
		}
	}
	return false
}

// disturbance returns the largest load on a serving task of an instance by what
// fills beside it when a task of the step is added.
func (sch *Scheduler[O, P]) disturbance(ins *instance, stp *stepState) float64 {
	whole := float64(max(1, ins.capacity.MilliCPU()))
	use := make(map[string]float64, len(ins.filling)+1)
	for img, cpu := range ins.filling {
		use[img] = float64(cpu) / whole
	}
	switch {
	case stp.spec.Target() > 0:
		return sch.effects.Load(stp.spec.Image(), use)
	case stp.spec.Fills():
		use[stp.spec.Image()] += float64(stp.spec.MilliCPU()) / whole
		worst := 0.0
		for img := range ins.servingImages {
			worst = max(worst, sch.effects.Load(img, use))
		}
		return worst
	default:
		return 0
	}
}
