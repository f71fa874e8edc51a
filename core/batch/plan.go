package batch

import (
	"cmp"
	"slices"
	"time"

	"jacinthpost/core/fleet"
	"jacinthpost/core/resource"
)

// worthlessFactor is the multiple of the objective after which the result of a job has no value.
const worthlessFactor = 3

// waitingStep is a candidate with its step.
type waitingStep struct {
	Candidate
	job  *jobState
	step *stepState
}

// Plan places waiting tasks on instances and returns the number of runs that it assigned. It looks at a
// limited number of instances in one call, so that reports are not kept waiting. Planned tells whether
// it must be called again.
func (sch *Scheduler[O, P]) Plan(now time.Time) int {
	if sch.planned || sch.onHold {
		return 0
	}
	sch.planned = true
	cans := sch.candidates(now)
	slices.SortFunc(cans, func(fst, snd waitingStep) int {
		switch {
		case sch.order.Before(fst.Candidate, snd.Candidate):
			return -1
		case sch.order.Before(snd.Candidate, fst.Candidate):
			return 1
		default:
			return cmp.Or(fst.step.occurrence.number-snd.step.occurrence.number, fst.step.number-snd.step.number)
		}
	})
	pln := planner{now: now}
	defer func() {
		sch.work.Evaluated += pln.evaluated
		sch.work.Waiting += len(cans)
	}()
	num := 0
	for _, can := range cans {
		num += sch.placeStep(&pln, can)
		if pln.evaluated >= maxEvaluations {
			sch.planned = false
			break
		}
	}
	return num
}

// candidates returns the steps with tasks to place.
func (sch *Scheduler[O, P]) candidates(now time.Time) []waitingStep {
	cans := sch.waiting[:0]
	for stp := range sch.openSteps {
		job := stp.occurrence.job
		if job.state.Final() || !stp.occurrence.dependenciesDone(stp.number) || !stp.mayStart() {
			stp.blockedSince = time.Time{}
			delete(sch.openSteps, stp)
			continue
		}
		if !stp.startable(now) {
			stp.blockedSince = time.Time{}
			continue
		}
		can := sch.candidate(stp.occurrence, now)
		can.LongRunning = stp.spec.LongRunning()
		cans = append(cans, waitingStep{Candidate: can, job: job, step: stp})
	}
	sch.waiting = cans
	return cans
}

// open adds a step to those that Plan looks at. It must be called after each change by which a task of
// the step may start now or later.
func (sch *Scheduler[O, P]) open(stp *stepState) {
	if sch.openSteps == nil {
		sch.openSteps = make(map[*stepState]struct{})
	}
	sch.openSteps[stp] = struct{}{}
	sch.planned = false
}

// openAll opens all steps of an occurrence.
func (sch *Scheduler[O, P]) openAll(occ *occurrence) {
	for _, stp := range occ.steps {
		sch.open(stp)
	}
}

// openDependents opens the steps that depend on a step if that is done.
func (sch *Scheduler[O, P]) openDependents(stp *stepState) {
	if stp.done < len(stp.tasks) {
		return
	}
	for _, oth := range stp.occurrence.steps {
		if slices.Contains(oth.spec.Dependencies(), stp.number) {
			sch.open(oth)
		}
	}
}

// mayStart reports whether a task of the step may start now or later, without a further change.
func (stp *stepState) mayStart() bool {
	return slices.ContainsFunc(stp.tasks, func(tsk *task) bool { return tsk.phase == Waiting && len(tsk.attempts) == 0 || stp.needsCopy(tsk) })
}

// startable reports whether a task of the step may start now.
func (stp *stepState) startable(now time.Time) bool {
	for _, tsk := range stp.tasks {
		if tsk.ready(now) || stp.needsCopy(tsk) {
			return true
		}
	}
	return false
}

// needsCopy reports whether a second copy of a speculative task should start, because its only run
// is overdue.
func (stp *stepState) needsCopy(tsk *task) bool {
	return stp.spec.Speculative() && tsk.phase == Active && len(tsk.attempts) == 1 && tsk.attempts[0].overdue
}

// taskID returns the ID of the task of the step with an index.
func (stp *stepState) taskID(idx int) TaskID {
	return TaskID{Job: stp.occurrence.job.spec.ID(), Occurrence: stp.occurrence.number, Step: stp.number, Index: idx}
}

func (sch *Scheduler[O, P]) candidate(occ *occurrence, now time.Time) Candidate {
	job := occ.job
	chain := job.spec.CriticalPath(func(num int) time.Duration {
		return sch.runTimes.predict(job.spec.Queue(), occ.steps[num])
	})
	left := job.spec.CriticalPath(func(num int) time.Duration {
		if occ.steps[num].done == len(occ.steps[num].tasks) {
			return 0
		}
		return sch.runTimes.predict(job.spec.Queue(), occ.steps[num])
	})
	begin := job.acceptedAt
	objective := time.Duration(job.spec.Stretch()*float64(chain)) + job.spec.TargetLatency()
	return Candidate{
		ID: job.spec.ID(), Priority: job.spec.Priority(), Accepted: begin, Started: job.state == JobRunning,
		Deadline: begin.Add(objective), WorthlessAfter: begin.Add(worthlessFactor * objective), Remaining: left, Now: now,
		Backlog: sch.bestEffortWait[fleet.Service(job.spec.Service())],
	}
}

// planner holds the state of one call of Plan.
type planner struct {
	now         time.Time
	unplaceable map[fleet.Service][]unplaceableTask // for which this call found no instance, to skip similar ones
	evaluated   int                                 // instances that were looked at
}

type unplaceableTask struct {
	resources  resource.Vector
	bestEffort bool
	milliCPU   int64
}

// knownUnplaceable reports whether this plan found no instance for a task of the same kind that is
// not larger.
func (pln *planner) knownUnplaceable(svc fleet.Service, asg Assignment) bool {
	for _, old := range pln.unplaceable[svc] {
		if old.bestEffort == asg.BestEffort && old.resources.FitsIn(asg.Resources) && old.milliCPU <= asg.MilliCPU {
			return true
		}
	}
	return false
}

func (pln *planner) markUnplaceable(svc fleet.Service, asg Assignment) {
	if pln.unplaceable == nil {
		pln.unplaceable = make(map[fleet.Service][]unplaceableTask)
	}
	pln.unplaceable[svc] = append(pln.unplaceable[svc], unplaceableTask{resources: asg.Resources, bestEffort: asg.BestEffort, milliCPU: asg.MilliCPU})
}

func (sch *Scheduler[O, P]) placeStep(pln *planner, can waitingStep) int {
	stp := can.step
	if stp.spec.Gang() {
		return sch.placeGang(pln, can)
	}
	num := 0
	sea := sch.newSearch(can)
	for idx, tsk := range stp.tasks {
		if !tsk.ready(pln.now) && !stp.needsCopy(tsk) {
			continue
		}
		cho := sch.chooseInstance(pln, sea, tsk)
		if cho.instance == nil {
			sch.recordBlocked(can, stp, pln.now)
			if len(tsk.failedOn) == 0 {
				break // the tasks of a step are identical, so the others would find no instance either
			}
			continue
		}
		sch.assign(stp, tsk, idx, cho, tsk.run+1, pln.now)
		sch.updateOption(pln, sea, cho.instance)
		num++
	}
	return num
}

// placeGang places all members of a gang or none.
func (sch *Scheduler[O, P]) placeGang(pln *planner, can waitingStep) int {
	stp := can.step
	run := 0
	for _, tsk := range stp.tasks {
		if !tsk.ready(pln.now) {
			return 0
		}
		run = max(run, tsk.run)
	}
	checkpoint := stp.checkpoint()
	var placed []TaskID
	sea := sch.newSearch(can)
	for idx, tsk := range stp.tasks {
		cho := sch.chooseInstance(pln, sea, tsk)
		if cho.instance == nil {
			sch.unplace(can.job, placed)
			return 0
		}
		tsk.checkpoint = checkpoint
		sch.assign(stp, tsk, idx, cho, run+1, pln.now)
		sch.updateOption(pln, sea, cho.instance)
		placed = append(placed, stp.taskID(idx))
	}
	return len(placed)
}

// unplace reverts assignments of this plan. The plan remains current, because the instances are then
// as they were before.
func (sch *Scheduler[O, P]) unplace(job *jobState, tids []TaskID) {
	for _, tid := range tids {
		_, tsk := job.task(tid)
		sch.drop(tsk.attempts[len(tsk.attempts)-1])
	}
	job.dropOrders(tids)
	sch.planned = true
}

// checkpoint returns the checkpoint of any member of a gang. It is valid for all members.
func (stp *stepState) checkpoint() string {
	for _, tsk := range stp.tasks {
		if tsk.checkpoint != "" {
			return tsk.checkpoint
		}
	}
	return ""
}

// serves reports whether an instance accepts new tasks of the job's service.
func (sch *Scheduler[O, P]) serves(ins *instance, job *jobState) bool {
	return string(ins.service) == job.spec.Service() && ins.usable(sch.excluded)
}

// admits reports whether an instance may run a task of the step, apart from its free resources.
func (sch *Scheduler[O, P]) admits(ins *instance, job *jobState, stp *stepState, now time.Time) bool {
	if !ins.hasLabel(stp.spec.Label()) || !ins.health.admits(now) || stp.atLimit(ins.id) {
		return false
	}
	_, permitted := stp.permitted(ins, now)
	return permitted || !job.spec.NeedsPermission()
}

// A best-effort step is starved when its occurrence has had no run for this time. It then starts on
// any instance with free memory, because slow progress is better than none. A job with slack waits
// longer, but less than the 3 s that users tolerate without progress.
const (
	starvedAfter          = time.Second
	starvedWithSlackAfter = 2 * time.Second
)

func (sch *Scheduler[O, P]) starved(stp *stepState, slack bool, now time.Time) bool {
	after := starvedAfter
	if slack {
		after = starvedWithSlackAfter
	}
	return stp.spec.BestEffort() && stp.blockedFor(after, now) && !stp.occurrence.hasAttempts()
}

// assignment returns the assignment of a task of the step to an instance without its interference,
// which is expensive to compute and not needed for the many instances without room.
func (sch *Scheduler[O, P]) assignment(stp *stepState, ins *instance) Assignment {
	return Assignment{
		Resources: stp.spec.Need(), MilliCPU: stp.spec.MilliCPU(), BestEffort: stp.spec.BestEffort(), RemoteFactor: sch.option().RemoteFactor,
		Local: sch.local(stp, ins), Serving: stp.spec.Target() > 0, OtherServingImages: ins.otherServingImages(stp.spec.Image()),
	}
}

// local reports whether a task of the step runs at full speed on an instance. The instance must be
// in the rack of the task's data, and for a tightly coupled task in the rack of the other tasks.
func (sch *Scheduler[O, P]) local(stp *stepState, ins *instance) bool {
	if stp.spec.Rack() != "" && !ins.hasLabel(stp.spec.Rack()) {
		return false
	}
	coupled := sch.coupledRack(stp)
	return coupled == "" || coupled == ins.rack()
}

// coupledRack returns the rack of the first task of a tightly coupled step that has a run, or an empty
// string if there is none.
func (sch *Scheduler[O, P]) coupledRack(stp *stepState) string {
	if !stp.spec.TightlyCoupled() {
		return ""
	}
	for _, tsk := range stp.tasks {
		for _, att := range tsk.attempts {
			return sch.instance(att.instance).rack()
		}
	}
	return ""
}

// rack returns the rack of an instance, which is its last label.
func (ins *instance) rack() string {
	if len(ins.labels) == 0 {
		return ""
	}
	return ins.labels[len(ins.labels)-1]
}

// otherServingImages returns the number of serving images on the instance other than the given one.
func (ins *instance) otherServingImages(image string) int {
	num := len(ins.servingImages)
	if _, found := ins.servingImages[image]; found {
		num--
	}
	return num
}

func (ins *instance) info() InstanceInfo {
	return InstanceInfo{Capacity: ins.capacity, Free: ins.free(), BestEffortCPU: ins.bestEffortCPU, ServingCPU: ins.servingCPU, BestEffortPaused: ins.bestEffortPaused}
}

// atLimit reports whether an instance runs as many tasks of the step as PerInstance allows.
func (stp *stepState) atLimit(id fleet.InstanceID) bool {
	if stp.spec.PerInstance() == 0 {
		return false
	}
	num := 0
	for _, tsk := range stp.tasks {
		for _, att := range tsk.attempts {
			if att.instance == id {
				num++
			}
		}
	}
	return num >= stp.spec.PerInstance()
}

// assign creates a run of a task on an instance. The start order is sent after the job is stored.
func (sch *Scheduler[O, P]) assign(stp *stepState, tsk *task, idx int, cho choice, run int, now time.Time) {
	job, ins, tid := stp.occurrence.job, cho.instance, stp.taskID(idx)
	tsk.run = run
	tsk.phase = Active
	att := &attempt{job: job, step: stp, task: tsk, taskID: tid, run: run, instance: ins.id, incarnation: ins.incarnation, orderedAt: now}
	tsk.attempts = append(tsk.attempts, att)
	ins.attach(att)
	ins.health.recordStart(now)
	sch.touch(ins)
	if job.state == JobQueued {
		job.state = JobRunning
	}
	rid := RunID{Task: tid, Run: run}
	ord := job.order(StartRun, stp, tsk, rid)
	if job.spec.NeedsPermission() {
		ord.Authorization, _ = stp.permitted(ins, now)
	}
	job.orders = append(job.orders, pendingOrder{instance: ins.id, session: ins.session, order: ord})
	sch.noteAssignment(stp, rid, cho, now)
	sch.markDirty(job)
}

func (job *jobState) order(knd OrderKind, stp *stepState, tsk *task, rid RunID) Order {
	ord := Order{
		Kind: knd, ID: rid, Need: stp.spec.Need(), MilliCPU: stp.spec.MilliCPU(), BestEffort: stp.spec.BestEffort(),
		LongRunning: stp.spec.LongRunning(), Image: stp.spec.Image(), Target: stp.spec.Target(),
	}
	if knd == StartRun {
		ord.Payload, ord.Checkpoint = job.spec.Payload(), tsk.checkpoint
	}
	return ord
}
