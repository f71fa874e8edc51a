package batch

import (
	"slices"
	"time"

	"jacinthpost/core/decision"
	"jacinthpost/core/fleet"
	"jacinthpost/core/resource"
)

// lateFactor is the part of the objective after which a late job is worth nothing more.
const lateFactor = 3

// waiting is a candidate with what it stands for.
type waiting struct {
	Candidate
	job  *jobState
	occ  *occurrence
	step int
}

// Plan places waiting tasks and returns the number of runs assigned.
func (sch *Scheduler[O, P]) Plan(now time.Time) int {
	if sch.planned || sch.held {
		return 0
	}
	sch.planned = true
	cans := sch.candidates(now)
	slices.SortFunc(cans, func(fst, snd waiting) int {
		switch {
		case sch.order.Before(fst.Candidate, snd.Candidate):
			return -1
		case sch.order.Before(snd.Candidate, fst.Candidate):
			return 1
		default:
			return fst.step - snd.step
		}
	})
	pln := planner{now: now}
	num := 0
	for _, can := range cans {
		num += sch.placeStep(&pln, can)
	}
	return num
}

// candidates returns the steps that have tasks to place.
func (sch *Scheduler[O, P]) candidates(now time.Time) []waiting {
	var cans []waiting
	sch.eachOccurrence(func(job *jobState, occ *occurrence) {
		for num, stp := range occ.steps {
			if !occ.turn(num) || !stp.wants(now) {
				stp.blocked = time.Time{}
				continue
			}
			cans = append(cans, waiting{Candidate: sch.candidate(job, occ, now), job: job, occ: occ, step: num})
		}
	})
	return cans
}

// wants reports whether a task of the step may be started.
func (stp *stepState) wants(now time.Time) bool {
	for _, tsk := range stp.tasks {
		if tsk.ready(now) || stp.wantsCopy(tsk) {
			return true
		}
	}
	return false
}

// wantsCopy reports whether a second copy of a task should run beside one that is overdue.
func (stp *stepState) wantsCopy(tsk *task) bool {
	return stp.spec.Speculative() && tsk.phase == Active && len(tsk.attempts) == 1 && tsk.attempts[0].overdue
}

func (sch *Scheduler[O, P]) candidate(job *jobState, occ *occurrence, now time.Time) Candidate {
	chain := job.spec.CriticalPath(func(num int) time.Duration {
		return sch.learned.predict(job.spec.Queue(), occ.steps[num])
	})
	left := job.spec.CriticalPath(func(num int) time.Duration {
		if occ.steps[num].done == len(occ.steps[num].tasks) {
			return 0
		}
		return sch.learned.predict(job.spec.Queue(), occ.steps[num])
	})
	begin := job.acceptedAt
	objective := time.Duration(job.spec.Stretch()*float64(chain)) + job.spec.TargetLatency()
	return Candidate{
		ID: job.spec.ID(), Priority: job.spec.Priority(), Accepted: begin, Started: job.state == JobRunning,
		Deadline: begin.Add(objective), WorthlessAfter: begin.Add(lateFactor * objective), Remaining: left, Now: now,
		Backlog: sch.fillWait[fleet.Service(job.spec.Service())],
	}
}

// planner remembers during one plan what did not fit anywhere.
type planner struct {
	now    time.Time
	failed map[fleet.Service][]failedNeed
}

type failedNeed struct {
	room  resource.Vector
	fills bool
	cpu   int64
}

// hopeless reports whether a smaller need of the same kind found no place in this plan.
func (pln *planner) hopeless(svc fleet.Service, ned Assignment) bool {
	for _, old := range pln.failed[svc] {
		if old.fills == ned.BestEffort && old.room.FitsIn(ned.Resources) && old.cpu <= ned.MilliCPU {
			return true
		}
	}
	return false
}

func (pln *planner) fail(svc fleet.Service, ned Assignment) {
	if pln.failed == nil {
		pln.failed = make(map[fleet.Service][]failedNeed)
	}
	pln.failed[svc] = append(pln.failed[svc], failedNeed{room: ned.Resources, fills: ned.BestEffort, cpu: ned.MilliCPU})
}

func (sch *Scheduler[O, P]) placeStep(pln *planner, can waiting) int {
	stp := can.occ.steps[can.step]
	if stp.spec.Gang() {
		return sch.placeGang(pln, can, stp)
	}
	num := 0
	for idx, tsk := range stp.tasks {
		if !tsk.ready(pln.now) && !stp.wantsCopy(tsk) {
			continue
		}
		ins := sch.choose(pln, can, stp, tsk)
		if ins == nil {
			sch.block(can, stp, pln.now)
			if len(tsk.failedOn) == 0 {
				break // the tasks of a step are equal, so the others find no place either
			}
			continue
		}
		tid := TaskID{Job: can.job.spec.ID(), Occurrence: can.occ.number, Step: can.step, Index: idx}
		sch.assign(can.job, stp, tsk, tid, ins, tsk.run+1, pln.now)
		num++
	}
	return num
}

// placeGang places all members or none.
func (sch *Scheduler[O, P]) placeGang(pln *planner, can waiting, stp *stepState) int {
	run := 0
	for _, tsk := range stp.tasks {
		if !tsk.ready(pln.now) {
			return 0
		}
		run = max(run, tsk.run)
	}
	checkpoint := stp.checkpoint()
	var placed []TaskID
	for idx, tsk := range stp.tasks {
		ins := sch.choose(pln, can, stp, tsk)
		if ins == nil {
			sch.unplace(can.job, placed)
			return 0
		}
		tid := TaskID{Job: can.job.spec.ID(), Occurrence: can.occ.number, Step: can.step, Index: idx}
		tsk.checkpoint = checkpoint
		sch.assign(can.job, stp, tsk, tid, ins, run+1, pln.now)
		placed = append(placed, tid)
	}
	return len(placed)
}

// unplace takes back starts of this plan.
func (sch *Scheduler[O, P]) unplace(job *jobState, tids []TaskID) {
	for _, tid := range tids {
		_, tsk := job.task(tid)
		sch.drop(job, tid, tsk, tsk.attempts[len(tsk.attempts)-1])
	}
	job.dropOrders(tids)
	sch.planned = true
}

// checkpoint returns the checkpoint of any member of a gang, which is valid for all.
func (stp *stepState) checkpoint() string {
	for _, tsk := range stp.tasks {
		if tsk.checkpoint != "" {
			return tsk.checkpoint
		}
	}
	return ""
}

// choose returns the best instance for a task, nil when there is none.
func (sch *Scheduler[O, P]) choose(pln *planner, can waiting, stp *stepState, tsk *task) *instance {
	ned := Assignment{Resources: stp.spec.Need(), MilliCPU: stp.spec.MilliCPU(), BestEffort: stp.spec.BestEffort()}
	patient := can.patient()
	starved := sch.starved(can.occ, stp, patient, pln.now)
	svc := fleet.Service(can.job.spec.Service())
	if !starved && pln.hopeless(svc, ned) {
		return nil
	}
	var best *instance
	bestRating := 0.0
	limited := stp.spec.PerInstance() > 0 || stp.spec.Label() != "" // what excludes a place for this step need not exclude it for others
	spare := !stp.spec.LongRunning() || stp.waitedFor(headroomWait, pln.now) || sch.spare(svc, stp)
	for _, ins := range sch.instances {
		if !sch.serves(ins, can.job) {
			continue
		}
		if !sch.admits(ins, can.job, stp, pln.now) || !spare && !ins.roomy(stp) {
			limited = true
			continue
		}
		ned := sch.need(stp, ins)
		ned.FailedBefore, ned.Starved, ned.HasSlack = tsk.failedAt(ins.id), starved, patient
		if !sch.placement.Fits(ned, ins.site()) {
			continue
		}
		ned.Interference = sch.disturbance(ins, stp)
		if !sch.placement.Acceptable(ned) {
			limited = true
			continue
		}
		rating := sch.placement.Cost(ned, ins.site())
		if best == nil || rating < bestRating || rating == bestRating && ins.id < best.id {
			best, bestRating = ins, rating
		}
	}
	if best == nil && !limited {
		pln.fail(svc, ned)
	}
	return best
}

// serves reports whether an instance takes new tasks of the service of a job.
func (sch *Scheduler[O, P]) serves(ins *instance, job *jobState) bool {
	return string(ins.service) == job.spec.Service() && ins.usable(sch.out)
}

// admits reports whether nothing but a lack of room keeps a task of the step from an instance.
func (sch *Scheduler[O, P]) admits(ins *instance, job *jobState, stp *stepState, now time.Time) bool {
	if !ins.hasLabel(stp.spec.Label()) || !ins.health.admits(now) || stp.full(ins.id) {
		return false
	}
	_, permitted := stp.permitted(ins, now)
	return permitted || !job.spec.NeedsPermission()
}

// An occurrence that has nothing at work for a while starts a filling task wherever there is
// room: a job that makes slow progress is better than one that stands still. A patient one
// waits longer, but within the 3 s for which users bear a job that stands still.
const (
	starvedAfter        = time.Second
	patientStarvedAfter = 2 * time.Second
)

func (sch *Scheduler[O, P]) starved(occ *occurrence, stp *stepState, patient bool, now time.Time) bool {
	after := starvedAfter
	if patient {
		after = patientStarvedAfter
	}
	return stp.spec.BestEffort() && stp.waitedFor(after, now) && !occ.hasAttempts()
}

// need returns what a placement knows of a task of the step on an instance, without the
// disturbance: that takes long to work out, and most instances have no room in a backlog.
func (sch *Scheduler[O, P]) need(stp *stepState, ins *instance) Assignment {
	return Assignment{
		Resources: stp.spec.Need(), MilliCPU: stp.spec.MilliCPU(), BestEffort: stp.spec.BestEffort(), RemoteFactor: sch.option().RemoteFactor,
		Local: sch.local(stp, ins), Serving: stp.spec.Target() > 0, OtherServingImages: ins.strangers(stp.spec.Image()),
	}
}

// local reports whether a task of the step runs at full speed on an instance: in the
// rack of its data, and for tightly coupled tasks in the rack of the others.
func (sch *Scheduler[O, P]) local(stp *stepState, ins *instance) bool {
	if stp.spec.Rack() != "" && !ins.hasLabel(stp.spec.Rack()) {
		return false
	}
	if !stp.spec.TightlyCoupled() {
		return true
	}
	for _, tsk := range stp.tasks {
		for _, att := range tsk.attempts {
			return sch.instance(att.instance).rack() == ins.rack()
		}
	}
	return true
}

// rack returns the rack of an instance, which its last label names.
func (ins *instance) rack() string {
	if len(ins.labels) == 0 {
		return ""
	}
	return ins.labels[len(ins.labels)-1]
}

// strangers returns the number of serving images on the instance other than the given one.
func (ins *instance) strangers(image string) int {
	num := len(ins.servingImages)
	if _, found := ins.servingImages[image]; found {
		num--
	}
	return num
}

func (ins *instance) site() InstanceInfo {
	return InstanceInfo{Capacity: ins.capacity, Free: ins.free(), BestEffortCPU: ins.fillCPU, ServingCPU: ins.servingCPU, BestEffortPaused: ins.pausing}
}

// full reports whether an instance runs as many tasks of the step as may share one.
func (stp *stepState) full(id fleet.InstanceID) bool {
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

// assign gives a task a run on an instance. The order leaves when the job is stored.
func (sch *Scheduler[O, P]) assign(job *jobState, stp *stepState, tsk *task, tid TaskID, ins *instance, run int, now time.Time) {
	tsk.run = run
	tsk.phase = Active
	tsk.attempts = append(tsk.attempts, &attempt{run: run, instance: ins.id, life: ins.life, orderedAt: now})
	ins.reserve(stp)
	ins.health.assigned(now)
	if job.state == JobQueued {
		job.state = JobRunning
	}
	rid := RunID{Task: tid, Run: run}
	ord := job.order(StartRun, stp, tsk, rid)
	if job.spec.NeedsPermission() {
		ord.Ticket, _ = stp.permitted(ins, now)
	}
	job.orders = append(job.orders, pendingOrder{instance: ins.id, session: ins.session, order: ord})
	sch.note(now, decision.RunAssigned, job.spec.ID(), rid, ins.id, "")
	sch.mark(job)
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
