package batch_test

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"jacinthpost/core/batch"
	"jacinthpost/core/decision"
	"jacinthpost/core/fleet"
	"jacinthpost/core/resource"
	"jacinthpost/core/workload"
	"jacinthpost/internal/proptest"
)

// agentModel is an agent and its worker. It executes orders, and reports the ends of runs until the
// owner has stored them.
type agentModel struct {
	id          fleet.InstanceID
	session     uint64
	incarnation int
	seen        uint64 // sequence number of the last received order
	runs        map[batch.RunID]batch.Order
	events      []batch.Event
	unlisted    []batch.Event // ends that the worker does not list yet, because it lists only some at once
	seq         uint64
	grantedAt   time.Time

	followsFormer bool // has not reported to the present owner
}

func (agt *agentModel) incarnationID() batch.Incarnation {
	return batch.Incarnation(string(agt.id) + "@" + strconv.Itoa(agt.incarnation))
}

func (agt *agentModel) report() batch.Report {
	rep := batch.Report{
		Instance: agt.id, Session: agt.session, Incarnation: agt.incarnationID(), Service: "svc",
		Location: fleet.NewLocation("r", "dc", fleet.Rack(agt.id)), Labels: []string{"rack-" + string(agt.id)},
		Capacity: resource.New(4000, 4000, 0), AckedOrders: agt.seen, Events: slices.Clone(agt.events), Partial: len(agt.unlisted) > 0,
	}
	for rid := range agt.runs {
		rep.Runs = append(rep.Runs, batch.RunState{ID: rid, Working: true, Percent: 100, Share: -1})
	}
	return rep
}

// open starts a session, in which the numbers of orders and events start again.
func (agt *agentModel) open() {
	agt.session++
	agt.seen, agt.seq = 0, 0
	for num := range agt.events {
		agt.seq++
		agt.events[num].Seq = agt.seq
	}
}

// restart starts a process of the agent. Its worker lists only the first ends of those that are not stored, at most
// as many as given.
func (agt *agentModel) restart(listed int) {
	all := append(agt.events, agt.unlisted...)
	num := min(listed, len(all))
	agt.events, agt.unlisted = all[:num:num], all[num:]
	agt.open()
}

// list lets the worker list the ends that it has not listed so far.
func (agt *agentModel) list() {
	for _, evt := range agt.unlisted {
		agt.emit(evt.ID, evt.Cause)
	}
	agt.unlisted = nil
}

func (agt *agentModel) end(rid batch.RunID, cause batch.EndCause) {
	delete(agt.runs, rid)
	agt.emit(rid, cause)
}

func (agt *agentModel) emit(rid batch.RunID, cause batch.EndCause) {
	agt.seq++
	agt.events = append(agt.events, batch.Event{Seq: agt.seq, ID: rid, Cause: cause})
}

// room returns the resources that the runs leave free.
func (agt *agentModel) room() resource.Vector {
	free := resource.New(4000, 4000, 0)
	for _, ord := range agt.runs {
		free = free.Minus(ord.Need)
	}
	return free
}

// fleetModel is an owner, its agents, and the history that the guarantees to callers are checked
// against.
type fleetModel struct {
	*rapid.T
	now             time.Time
	owner           *scheduler
	jobs            map[string]workload.Job
	cancelled       map[string]bool // jobs whose cancellation is stored
	stored          map[string]batch.JobRecord
	storedPresence  batch.Presence // last stored
	formerPresence  batch.Presence // of the owner before
	formerUntil     time.Time      // until when that one may grant time
	presenceStored  bool           // storedPresence is from the present owner
	agents          []*agentModel
	countedDone     map[batch.TaskID]bool // by ends that count, see discardUnstoredEnds
	countedFailures map[batch.TaskID]int  // runs that failed and count
	everDone        map[batch.TaskID]bool // by any end
	allFailures     map[batch.TaskID]int  // all runs that failed
	lastRun         map[batch.TaskID]int  // highest run number that started
	gangFailures    map[gangRunID]int     // members that failed and count
	allGangFailures map[gangRunID]bool    // runs in which any member failed
}

// gangRunID identifies a run of a gang.
type gangRunID struct {
	job       string
	step, run int
}

func gangRunOf(rid batch.RunID) gangRunID {
	return gangRunID{job: rid.Task.Job, step: rid.Task.Step, run: rid.Run}
}

// sameGang reports whether two runs are of one gang.
func (gid gangRunID) sameGang(oth gangRunID) bool { return gid.job == oth.job && gid.step == oth.step }

const (
	modelLostAfter   = 7 * time.Second
	modelValidity    = 1500 * time.Millisecond // for which an owner grants time after its last transaction
	modelMaxValidity = 3 * time.Second         // the same while its successor is not bound, see batch.Succession
)

func newFleetModel(t *rapid.T) *fleetModel {
	fle := &fleetModel{
		T: t, now: start, jobs: make(map[string]workload.Job), cancelled: make(map[string]bool), stored: make(map[string]batch.JobRecord),
		countedDone: make(map[batch.TaskID]bool), countedFailures: make(map[batch.TaskID]int),
		everDone: make(map[batch.TaskID]bool), allFailures: make(map[batch.TaskID]int), lastRun: make(map[batch.TaskID]int),
		gangFailures: make(map[gangRunID]int), allGangFailures: make(map[gangRunID]bool),
	}
	for _, id := range []fleet.InstanceID{"a", "b", "c"} {
		fle.agents = append(fle.agents, &agentModel{id: id, session: 1, runs: make(map[batch.RunID]batch.Order), grantedAt: start})
	}
	fle.newOwner()
	return fle
}

func (fle *fleetModel) newOwner() {
	opt := batch.Options{LostAfter: modelLostAfter, Validity: modelValidity, MaxValidity: modelMaxValidity}
	fle.owner = batch.New(batch.DeadlineOrder{}, batch.SpreadPlacement{}, opt, fle.now)
}

// grantAsFormer lets the owner before, which does not know that it was replaced, grant time for as long as it may to the
// agents that have not heard of the present one.
func (fle *fleetModel) grantAsFormer() {
	for fle.now.Before(fle.formerUntil) {
		for _, agt := range fle.agents {
			if agt.followsFormer && slices.Contains(fle.formerPresence.Reported, agt.id) {
				agt.grantedAt = fle.now
			}
		}
		fle.advance(250 * time.Millisecond)
	}
}

func (fle *fleetModel) agent() *agentModel { return rapid.SampledFrom(fle.agents).Draw(fle.T, "agent") }

func (fle *fleetModel) submit() {
	if len(fle.jobs) >= 6 {
		return
	}
	id := "j" + strconv.Itoa(len(fle.jobs))
	steps := make([]workload.StepParams, rapid.IntRange(1, 3).Draw(fle.T, "steps"))
	for num := range steps {
		steps[num] = fle.drawStep(num)
	}
	job, err := workload.New(workload.JobParams{
		ID: id, Queue: "q", Service: "svc", Steps: steps, MaxAttempts: rapid.IntRange(1, 3).Draw(fle.T, "attempts"),
		Stretch: 2, AcceptedMillis: fle.now.UnixMilli(), Priority: rapid.IntRange(0, 2).Draw(fle.T, "priority"),
	})
	if err != nil {
		fle.Fatal(err)
	}
	fle.jobs[id] = job
	fle.owner.Submit(job, fle.now)
}

// cancel stores the cancellation of a job, which the present owner and all later ones apply.
func (fle *fleetModel) cancel(id string) {
	fle.cancelled[id] = true
	fle.owner.Cancel(id, fle.now)
}

// cancelOne cancels a job, at most one in each history, so that most jobs run to their ends.
func (fle *fleetModel) cancelOne() {
	if len(fle.jobs) > 0 && len(fle.cancelled) == 0 {
		fle.cancel(rapid.SampledFrom(slices.Sorted(maps.Keys(fle.jobs))).Draw(fle.T, "job"))
	}
}

func (fle *fleetModel) drawStep(num int) workload.StepParams {
	stp := workload.StepParams{
		Count: rapid.IntRange(1, 4).Draw(fle.T, "count"), MilliCPU: int64(rapid.IntRange(1, 15).Draw(fle.T, "cpu")) * 100,
		MemoryMB: 200, EstimateMillis: 500, PerInstance: rapid.IntRange(0, 2).Draw(fle.T, "perInstance"),
	}
	if num > 0 && rapid.Bool().Draw(fle.T, "after") {
		stp.Dependencies = []int{num - 1}
	}
	switch rapid.IntRange(0, 5).Draw(fle.T, "kind") {
	case 0:
		stp.Gang = true
		stp.PerInstance = 0
	case 1:
		stp.BestEffort, stp.Image, stp.Checkpointing = true, "noisy", true
	case 2:
		stp.TightlyCoupled = true
	case 3:
		stp.LongRunning = true
	}
	return stp
}

func (fle *fleetModel) store(commit bool) {
	fle.owner.Plan(fle.now)
	wrb := fle.owner.NextBatch(10)
	if !commit {
		fle.owner.Abandoned(wrb)
		return
	}
	for _, rec := range wrb.Records() {
		fle.stored[rec.ID] = rec
	}
	fle.owner.Committed(wrb, fle.now)
	fle.storedPresence = fle.owner.Presence(fle.now)
	fle.presenceStored = true
}

func (fle *fleetModel) report(agt *agentModel) {
	agt.followsFormer = false
	fle.owner.ApplyReport(agt.report(), fle.now)
	if fle.presenceStored && slices.Contains(fle.storedPresence.Reported, agt.id) {
		agt.grantedAt = fle.now
	}
}

func (fle *fleetModel) orders(agt *agentModel) {
	out, known := fle.owner.Outbox(agt.id, agt.session, agt.seen)
	if !known {
		return
	}
	for len(agt.events) > 0 && agt.events[0].Seq <= out.Acked {
		agt.events = agt.events[1:]
	}
	for _, ord := range out.Orders {
		if ord.Seq <= agt.seen {
			continue
		}
		agt.seen = ord.Seq
		switch _, there := agt.runs[ord.ID]; {
		case ord.Kind == batch.StartRun && !ord.Need.FitsIn(agt.room()):
			agt.emit(ord.ID, batch.EndRefused)
		case ord.Kind == batch.StartRun:
			fle.start(agt, ord)
		case ord.Kind == batch.StopRun && there:
			agt.end(ord.ID, batch.EndStopped)
		}
	}
}

// start starts a run and checks that it breaks no guarantee to callers.
func (fle *fleetModel) start(agt *agentModel, ord batch.Order) {
	tid := ord.ID.Task
	stp := fle.jobs[tid.Job].Steps()[tid.Step]
	for _, oth := range fle.agents {
		for rid := range oth.runs {
			if rid.Task == tid {
				fle.Fatalf("run %d of %v starts on %s while run %d is running on %s", ord.ID.Run, tid, agt.id, rid.Run, oth.id)
			}
		}
	}
	if fle.countedDone[tid] {
		fle.Fatalf("%v starts again after it was done", tid)
	}
	if ord.ID.Run <= fle.lastRun[tid] {
		fle.Fatalf("run %d of %v starts after run %d", ord.ID.Run, tid, fle.lastRun[tid])
	}
	if most := fle.jobs[tid.Job].MaxAttempts(); fle.countedFailures[tid] >= most {
		fle.Fatalf("%v starts after %d failed runs, expected fewer than %d", tid, fle.countedFailures[tid], most)
	}
	if num, most := fle.countedGangFailures(gangRunOf(ord.ID)), fle.jobs[tid.Job].MaxAttempts(); stp.Gang() && num >= most {
		fle.Fatalf("%v starts after %d failed runs of its gang, expected fewer than %d", tid, num, most)
	}
	for _, prv := range stp.Dependencies() {
		for idx := range fle.jobs[tid.Job].Steps()[prv].Count() {
			if !fle.taskDone(batch.TaskID{Job: tid.Job, Step: prv, Index: idx}, fle.everDone) {
				fle.Fatalf("%v starts before step %d is done", tid, prv)
			}
		}
	}
	fle.lastRun[tid] = ord.ID.Run
	agt.runs[ord.ID] = ord
	fle.checkPerInstance(agt, ord.ID, stp)
}

// countedGangFailures returns how many runs of a gang before the given one failed and count.
func (fle *fleetModel) countedGangFailures(gid gangRunID) int {
	num := 0
	for oth, members := range fle.gangFailures {
		if oth.sameGang(gid) && oth.run < gid.run && members > 0 {
			num++
		}
	}
	return num
}

// taskDone reports whether a task was done. A gang is done when one of its members is.
func (fle *fleetModel) taskDone(tid batch.TaskID, done map[batch.TaskID]bool) bool {
	stp := fle.jobs[tid.Job].Steps()[tid.Step]
	if !stp.Gang() {
		return done[tid]
	}
	for idx := range stp.Count() {
		tid.Index = idx
		if done[tid] {
			return true
		}
	}
	return false
}

func (fle *fleetModel) checkPerInstance(agt *agentModel, rid batch.RunID, stp workload.Step) {
	num := 0
	for oth := range agt.runs {
		if oth.Task.Job == rid.Task.Job && oth.Task.Step == rid.Task.Step {
			num++
		}
	}
	if most := stp.PerInstance(); most > 0 && num > most {
		fle.Fatalf("%d tasks of a step on %s, expected at most %d", num, agt.id, most)
	}
}

func (fle *fleetModel) finish(agt *agentModel, cause batch.EndCause) {
	if rids := agt.sortedRuns(); len(rids) > 0 {
		fle.endRun(agt, rapid.SampledFrom(rids).Draw(fle.T, "run"), cause)
	}
}

// sortedRuns returns the runs in an order that a seed repeats.
func (agt *agentModel) sortedRuns() []batch.RunID {
	return slices.SortedFunc(maps.Keys(agt.runs), func(fst, snd batch.RunID) int {
		return strings.Compare(fmt.Sprint(fst), fmt.Sprint(snd))
	})
}

// endRun ends a run. A long-running task never completes, and its failures are not counted.
func (fle *fleetModel) endRun(agt *agentModel, rid batch.RunID, cause batch.EndCause) {
	if fle.longRunning(rid) {
		agt.end(rid, batch.EndFailed)
		return
	}
	switch cause {
	case batch.EndDone:
		fle.countedDone[rid.Task], fle.everDone[rid.Task] = true, true
	case batch.EndFailed:
		fle.countedFailures[rid.Task]++
		fle.allFailures[rid.Task]++
		fle.gangFailures[gangRunOf(rid)]++
		fle.allGangFailures[gangRunOf(rid)] = true
	}
	agt.end(rid, cause)
}

// advance advances the clock. The runs of an agent without a new grant end when its lease expires,
// which is before the owner treats them as lost.
func (fle *fleetModel) advance(dur time.Duration) {
	fle.now = fle.now.Add(dur)
	for _, agt := range fle.agents {
		if fle.now.Sub(agt.grantedAt) < modelLostAfter-time.Second {
			continue
		}
		fle.discardUnstoredEnds(agt)
		agt.list()
		for rid := range agt.runs {
			agt.end(rid, batch.EndLeaseExpired)
		}
	}
	fle.owner.Tick(fle.now, fle.now)
	fle.checkGivenUp()
}

// checkGivenUp checks that the owner gives no instance up whose worker goes on running.
func (fle *fleetModel) checkGivenUp() {
	for _, note := range fle.owner.Notes() {
		num := slices.IndexFunc(fle.agents, func(agt *agentModel) bool { return agt.id == note.Instance })
		if note.Kind == decision.InstanceLost && num >= 0 && len(fle.agents[num].runs) > 0 {
			fle.Fatalf("instance %s is given up with a grant of %s ago", note.Instance, fle.now.Sub(fle.agents[num].grantedAt))
		}
	}
}

// silence lets all be silent for as long as an instance may be.
func (fle *fleetModel) silence() {
	for end := fle.now.Add(modelLostAfter); fle.now.Before(end); {
		fle.advance(250 * time.Millisecond)
	}
}

// takeOver replaces the owner by one that is bound or not, see batch.Succession. The former one lives on, and its last
// transaction may be from this moment. If it had granted no time, the one before it may still do so.
func (fle *fleetModel) takeOver() {
	suc := batch.Succession{QuietSince: fle.now, Bound: rapid.Bool().Draw(fle.T, "bound")}
	until := fle.now.Add(modelMaxValidity)
	if suc.Bound {
		until = fle.now.Add(modelValidity)
	}
	if fle.presenceStored {
		fle.formerPresence, fle.formerUntil = fle.storedPresence, until
		for _, agt := range fle.agents {
			agt.followsFormer = true
		}
	} else if fle.formerUntil.After(until) {
		fle.formerUntil = until
	}
	fle.newOwner()
	fle.owner.RestorePresence(fle.storedPresence, suc)
	fle.presenceStored = false
	for _, id := range slices.Sorted(maps.Keys(fle.jobs)) {
		if rec, found := fle.stored[id]; found {
			fle.owner.Restore(fle.jobs[id], rec, fle.now)
		} else {
			fle.owner.Submit(fle.jobs[id], fle.now)
		}
		if fle.cancelled[id] {
			fle.owner.Cancel(id, fle.now)
		}
	}
	for _, agt := range fle.agents {
		agt.open()
	}
}

// discardUnstoredEnds discards the ends that were not acknowledged before the worker's lease or
// incarnation ended. The owner has treated the runs as lost, so their tasks may run again.
func (fle *fleetModel) discardUnstoredEnds(agt *agentModel) {
	for num, evt := range append(agt.events, agt.unlisted...) {
		switch evt.Cause {
		case batch.EndDone:
			delete(fle.countedDone, evt.ID.Task)
		case batch.EndFailed:
			if !fle.longRunning(evt.ID) {
				fle.countedFailures[evt.ID.Task]--
				fle.gangFailures[gangRunOf(evt.ID)]--
			}
		}
		if num < len(agt.events) {
			agt.events[num].Cause = batch.EndLeaseExpired
		} else {
			agt.unlisted[num-len(agt.events)].Cause = batch.EndLeaseExpired
		}
	}
}

// replaceWorker starts a new incarnation of the worker, without the runs and ends of the old one. The new one
// executes any of the starts that were meant for the old one, before its agent learns of it.
func (fle *fleetModel) replaceWorker(agt *agentModel) {
	fle.discardUnstoredEnds(agt)
	agt.incarnation++
	agt.events, agt.unlisted = nil, nil
	for _, rid := range agt.sortedRuns() {
		if rapid.Bool().Draw(fle.T, "lost") {
			delete(agt.runs, rid)
		}
	}
	agt.open()
}

// exchange lets an agent report and carry out its orders.
func (fle *fleetModel) exchange(agt *agentModel) {
	fle.report(agt)
	fle.store(true)
	fle.orders(agt)
}

// runToEnd runs the fleet without faults until all jobs are final. Jobs with long-running tasks are
// cancelled when their other tasks are done, or after half of the rounds, because a gang may not fit beside
// them. Runs that nobody wants end only by orders of the owner.
func (fle *fleetModel) runToEnd() {
	const rounds = 400
	for round := range rounds {
		for id, job := range fle.jobs {
			if slices.ContainsFunc(job.Steps(), workload.Step.LongRunning) && (round >= rounds/2 || fle.onlyLongRunningLeft(id)) {
				fle.cancel(id)
			}
		}
		for _, agt := range fle.agents {
			agt.list()
			fle.exchange(agt)
			for rid := range maps.Clone(agt.runs) {
				if fle.wanted(rid) && fle.canFinish(rid) {
					fle.endRun(agt, rid, batch.EndDone)
				}
			}
			fle.exchange(agt)
		}
		fle.advance(200 * time.Millisecond)
		if fle.allFinal() {
			fle.awaitNoRuns()
			return
		}
	}
	for id := range fle.jobs {
		if !fle.stored[id].State.Final() {
			fle.Fatalf("job %s is %q, expected a final state: %+v", id, fle.stored[id].State, fle.stored[id])
		}
	}
}

// onlyLongRunningLeft reports whether the tasks of a job that are not done are long-running or wait for
// long-running ones.
func (fle *fleetModel) onlyLongRunningLeft(id string) bool {
	steps := fle.jobs[id].Steps()
	endless := make([]bool, len(steps))
	for num, stp := range steps {
		endless[num] = stp.LongRunning() || slices.ContainsFunc(stp.Dependencies(), func(prv int) bool { return endless[prv] })
		for idx := range stp.Count() {
			if !endless[num] && fle.wanted(batch.RunID{Task: batch.TaskID{Job: id, Step: num, Index: idx}}) {
				return false
			}
		}
	}
	return true
}

// wanted reports whether a run is of a task that is not done, in a job that is not final.
func (fle *fleetModel) wanted(rid batch.RunID) bool {
	rec := fle.stored[rid.Task.Job]
	if rec.State.Final() {
		return false
	}
	for _, occ := range rec.Occurrences {
		if occ.Number == rid.Task.Occurrence {
			return occ.Steps[rid.Task.Step][rid.Task.Index].Phase != batch.Done
		}
	}
	return true
}

func (fle *fleetModel) longRunning(rid batch.RunID) bool {
	return fle.jobs[rid.Task.Job].Steps()[rid.Task.Step].LongRunning()
}

// canFinish reports whether a run can complete. The members of a gang can while all of them are running.
func (fle *fleetModel) canFinish(rid batch.RunID) bool {
	stp := fle.jobs[rid.Task.Job].Steps()[rid.Task.Step]
	if !stp.Gang() {
		return !stp.LongRunning()
	}
	num := 0
	for _, agt := range fle.agents {
		for oth := range agt.runs {
			if oth.Task.Job == rid.Task.Job && oth.Task.Step == rid.Task.Step && oth.Run == rid.Run {
				num++
			}
		}
	}
	return num == stp.Count()
}

// awaitNoRuns expects that all runs end within a bound after the last job has become final.
func (fle *fleetModel) awaitNoRuns() {
	left := 0
	for range 10 {
		left = 0
		for _, agt := range fle.agents {
			fle.exchange(agt)
			left += len(agt.runs)
		}
		fle.advance(200 * time.Millisecond)
		if left == 0 {
			break
		}
	}
	for _, agt := range fle.agents {
		for rid := range agt.runs {
			fle.Fatalf("run %d of %v runs on at %s after its job has become %s", rid.Run, rid.Task, agt.id, fle.stored[rid.Task.Job].State)
		}
		fle.exchange(agt)
	}
	if tot := fle.owner.Totals(); tot.Runs > 0 {
		fle.Fatalf("the owner has %d runs after all have ended", tot.Runs)
	}
}

func (fle *fleetModel) allFinal() bool {
	for id := range fle.jobs {
		if !fle.stored[id].State.Final() {
			return false
		}
	}
	return true
}

// checkStates compares the states that callers see with the runs of the workers.
func (fle *fleetModel) checkStates() {
	for id, job := range fle.jobs {
		rec := fle.stored[id]
		for num, stp := range job.Steps() {
			for idx := range stp.Count() {
				tid := batch.TaskID{Job: id, Step: num, Index: idx}
				if rec.State == batch.JobCompleted && !fle.taskDone(tid, fle.everDone) {
					fle.Fatalf("job %s is completed, but %v was not done", id, tid)
				}
			}
		}
		if rec.State == batch.JobFailed && !fle.failedEnough(id) {
			fle.Fatalf("job %s has failed without enough failed runs: %v", id, fle.allFailures)
		}
	}
}

func (fle *fleetModel) failedEnough(id string) bool {
	perStep := make(map[int]int)
	for gid := range fle.allGangFailures {
		if gid.job == id {
			perStep[gid.step]++
		}
	}
	for tid, num := range fle.allFailures {
		if tid.Job == id && num >= fle.jobs[id].MaxAttempts() {
			return true
		}
	}
	for num, stp := range fle.jobs[id].Steps() {
		if stp.Gang() && perStep[num] >= fle.jobs[id].MaxAttempts() {
			return true
		}
	}
	return false
}

// TestRandomJobs guards against two runs of a task at a time, runs before their dependencies are
// done, too many runs of a task, too many tasks of a step on an instance, wrong states, jobs that
// never end, and runs of ended jobs that never end. It generates random jobs, ends of runs, faults and takeovers.
func TestRandomJobs(t *testing.T) {
	if err := proptest.Setup(4000, 60); err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(t *rapid.T) {
		fle := newFleetModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"submit":     func(*rapid.T) { fle.submit() },
			"store":      func(*rapid.T) { fle.store(true) },
			"cancel":     func(*rapid.T) { fle.cancelOne() },
			"storeFails": func(*rapid.T) { fle.store(false) },
			"report":     func(*rapid.T) { fle.report(fle.agent()) },
			"orders":     func(*rapid.T) { fle.orders(fle.agent()) },
			"done":       func(*rapid.T) { fle.finish(fle.agent(), batch.EndDone) },
			"failed":     func(*rapid.T) { fle.finish(fle.agent(), batch.EndFailed) },
			"moment":     func(*rapid.T) { fle.advance(250 * time.Millisecond) },
			"silence":    func(*rapid.T) { fle.silence() },
			"takeOver":   func(*rapid.T) { fle.takeOver() },
			"former":     func(*rapid.T) { fle.grantAsFormer() },
			"reborn":     func(*rapid.T) { fle.replaceWorker(fle.agent()) },
			"restart":    func(t *rapid.T) { fle.agent().restart(rapid.IntRange(0, 2).Draw(t, "listed")) },
			"exchange":   func(*rapid.T) { fle.exchange(fle.agent()) }, // most histories would get nowhere without it
			"list":       func(*rapid.T) { fle.agent().list() },
			"": func(*rapid.T) {
				fle.T = t
			},
		})
		fle.runToEnd()
		fle.checkStates()
	})
}

var _ = Describe("Model of a fleet", func() {
	It("runs a job to completion", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			fle := newFleetModel(t)
			fle.submit()
			fle.runToEnd()
			// A job with long-running tasks ends only when it is cancelled.
			Expect(fle.stored["j0"].State).To(Equal(map[bool]batch.JobState{false: batch.JobCompleted, true: batch.JobCancelled}[fle.cancelled["j0"]]))
		})
	})
})
