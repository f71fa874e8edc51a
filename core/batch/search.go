package batch

import (
	"time"

	"jacinthpost/core/fleet"
)

// maxEvaluations bounds the instances that one call of Plan looks at. At this number a plan takes some
// milliseconds of a processor.
const maxEvaluations = 20_000

// choice is the instance chosen for a task, with the data that decided. The instance is nil if there
// is none.
type choice struct {
	instance   *instance
	assignment Assignment
	urgency    Urgency
	cost       float64
}

// conditions are what decides on the places of a step apart from the data of the instances.
type conditions struct {
	starved  bool   // see Assignment
	headroom bool   // the step may use the headroom for short tasks
	rack     string // of the tasks with which a task is tightly coupled
}

// rejections records that no instance was acceptable for a step. Only instances that have changed since
// have to be looked at again under the same conditions. The zero value records nothing.
type rejections struct {
	version    uint64 // of the scheduler at that time
	conditions conditions
	limited    bool // see search
}

// search holds the instances that are acceptable for the tasks of a step. The tasks of a step are alike,
// so the options are collected once for all of them. After an assignment only the option of the instance
// that got the task has to be evaluated again.
type search struct {
	waitingStep
	collected  bool
	conditions conditions
	options    []choice
	// limited is set if an instance was excluded that may suit other steps. The planner must not learn
	// from this step then.
	limited bool
}

// newSearch returns a search for a step. It reuses the memory of the last one.
func (sch *Scheduler[O, P]) newSearch(can waitingStep) *search {
	sch.search = search{waitingStep: can, options: sch.search.options[:0]}
	return &sch.search
}

// chooseInstance returns the instance with the lowest cost for a task.
func (sch *Scheduler[O, P]) chooseInstance(pln *planner, sea *search, tsk *task) choice {
	stp := sea.step
	svc := fleet.Service(sea.job.spec.Service())
	asg := Assignment{Resources: stp.spec.Need(), MilliCPU: stp.spec.MilliCPU(), BestEffort: stp.spec.BestEffort()}
	cnd := sch.conditionsOf(sea.waitingStep, pln.now)
	if !cnd.starved && pln.knownUnplaceable(svc, asg) {
		return choice{}
	}
	if !sea.collected || sea.conditions != cnd {
		sch.collectOptions(pln, sea, cnd)
	}
	if len(sea.options) == 0 {
		stp.rejections = rejections{version: sch.version, conditions: cnd, limited: sea.limited}
		if !sea.limited {
			pln.markUnplaceable(svc, asg)
		}
		return choice{}
	}
	return sch.cheapest(sea, tsk)
}

func (sch *Scheduler[O, P]) conditionsOf(can waitingStep, now time.Time) conditions {
	stp := can.step
	cnd := conditions{starved: sch.starved(stp, can.hasSlack(), now), rack: sch.coupledRack(stp)}
	cnd.headroom = !stp.spec.LongRunning() || stp.blockedFor(headroomWait, now) || sch.keepsHeadroom(fleet.Service(can.job.spec.Service()), stp)
	return cnd
}

// collectOptions evaluates the instances for the step. If none was acceptable before under the same
// conditions, it evaluates only those that have changed since.
func (sch *Scheduler[O, P]) collectOptions(pln *planner, sea *search, cnd conditions) {
	stp := sea.step
	sea.collected, sea.conditions, sea.options, sea.limited = true, cnd, sea.options[:0], false
	since := uint64(0)
	if stp.rejections.conditions == cnd {
		since, sea.limited = stp.rejections.version, stp.rejections.limited
	}
	for _, ins := range sch.instanceList {
		if ins.version <= since || string(ins.service) != sea.job.spec.Service() {
			continue
		}
		pln.evaluated++
		if opt, found := sch.evaluate(sea, ins, pln.now); found {
			sea.options = append(sea.options, opt)
		}
	}
	stp.rejections = rejections{}
}

// evaluate returns an instance as an option for the step, and whether it is acceptable.
func (sch *Scheduler[O, P]) evaluate(sea *search, ins *instance, now time.Time) (choice, bool) {
	stp := sea.step
	if !sch.serves(ins, sea.job) {
		return choice{}, false
	}
	if !sch.admits(ins, sea.job, stp, now) || !sea.conditions.headroom && !ins.hasAmpleRoom(stp) {
		sea.limited = true
		return choice{}, false
	}
	inf := ins.info()
	asg := sch.assignment(stp, ins)
	asg.Starved = sea.conditions.starved
	if !sch.placement.Fits(asg, inf) {
		return choice{}, false
	}
	asg.Interference = sch.interference(ins, stp)
	if !sch.placement.Acceptable(asg) {
		sea.limited = true
		return choice{}, false
	}
	return choice{instance: ins, assignment: asg, urgency: sea.urgency(), cost: sch.placement.Cost(asg, inf)}, true
}

// updateOption evaluates an instance again after it got a task of the step.
func (sch *Scheduler[O, P]) updateOption(pln *planner, sea *search, ins *instance) {
	for num := range sea.options {
		if sea.options[num].instance != ins {
			continue
		}
		pln.evaluated++
		opt, found := sch.evaluate(sea, ins, pln.now)
		if !found {
			last := len(sea.options) - 1
			sea.options[num] = sea.options[last]
			sea.options = sea.options[:last]
			return
		}
		sea.options[num] = opt
		return
	}
}

// cheapest returns the option with the lowest cost for a task. The ID of the instance breaks ties.
func (sch *Scheduler[O, P]) cheapest(sea *search, tsk *task) choice {
	var best choice
	for _, opt := range sea.options {
		if tsk.failedOnInstance(opt.instance.id) {
			opt.assignment.FailedBefore = true
			opt.cost = sch.placement.Cost(opt.assignment, opt.instance.info())
		}
		if best.instance == nil || opt.cost < best.cost || opt.cost == best.cost && opt.instance.id < best.instance.id {
			best = opt
		}
	}
	return best
}
