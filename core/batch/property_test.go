package batch_test

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"jacinthpost/core/batch"
	"jacinthpost/core/fleet"
	"jacinthpost/core/resource"
	"jacinthpost/core/workload"
	"jacinthpost/internal/proptest"
)

// agentModel is an agent with its worker: it carries out orders and reports ends until
// the owner has stored them.
type agentModel struct {
	id        fleet.InstanceID
	session   uint64
	life      int
	seen      uint64
	runs      map[batch.RunID]batch.Order
	events    []batch.Event
	seq       uint64
	grantedAt time.Time
}

func (agt *agentModel) lifeName() batch.Incarnation {
	return batch.Incarnation(string(agt.id) + "@" + strconv.Itoa(agt.life))
}

func (agt *agentModel) report() batch.Report {
	rep := batch.Report{
		Instance: agt.id, Session: agt.session, Incarnation: agt.lifeName(), Service: "svc",
		Location: fleet.NewLocation("r", "dc", fleet.Rack(agt.id)), Labels: []string{"rack-" + string(agt.id)},
		Capacity: resource.New(4000, 4000, 0), AckedOrders: agt.seen, Events: slices.Clone(agt.events),
	}
	for rid := range agt.runs {
		rep.Runs = append(rep.Runs, batch.RunState{ID: rid, Working: true, Percent: 100, Share: -1})
	}
	return rep
}

// open starts a session: orders and events are numbered anew.
func (agt *agentModel) open() {
	agt.session++
	agt.seen, agt.seq = 0, 0
	for num := range agt.events {
		agt.seq++
		agt.events[num].Seq = agt.seq
	}
}

func (agt *agentModel) end(rid batch.RunID, cause batch.EndCause) {
	delete(agt.runs, rid)
	agt.emit(rid, cause)
}

func (agt *agentModel) emit(rid batch.RunID, cause batch.EndCause) {
	agt.seq++
	agt.events = append(agt.events, batch.Event{Seq: agt.seq, ID: rid, Cause: cause})
}

// room is what the runs leave.
func (agt *agentModel) room() resource.Vector {
	free := resource.New(4000, 4000, 0)
	for _, ord := range agt.runs {
		free = free.Minus(ord.Need)
	}
	return free
}

// fleetModel is the owner, the agents and what was promised to callers.
type fleetModel struct {
	*rapid.T
	now    time.Time
	owner  *scheduler
	jobs   map[string]workload.Job
	stored map[string]batch.JobRecord
	left   batch.Presence // as stored last
	ruled  bool           // it is of the present owner
	agents []*agentModel
	done   map[batch.TaskID]bool // by ends that count, see forget
	failed map[batch.TaskID]int  // the same
	worked map[batch.TaskID]bool // a run was done, whether that counts or not
	broke  map[batch.TaskID]int  // runs that failed, whether that counts or not
	runs   map[batch.TaskID]int  // highest run that began
}

const modelLost = 7 * time.Second

func newFleetModel(t *rapid.T) *fleetModel {
	fle := &fleetModel{
		T: t, now: start, jobs: make(map[string]workload.Job), stored: make(map[string]batch.JobRecord),
		done: make(map[batch.TaskID]bool), failed: make(map[batch.TaskID]int),
		worked: make(map[batch.TaskID]bool), broke: make(map[batch.TaskID]int), runs: make(map[batch.TaskID]int),
	}
	for _, id := range []fleet.InstanceID{"a", "b", "c"} {
		fle.agents = append(fle.agents, &agentModel{id: id, session: 1, runs: make(map[batch.RunID]batch.Order), grantedAt: start})
	}
	fle.newOwner()
	return fle
}

func (fle *fleetModel) newOwner() {
	// A former owner grants nothing any more from the moment of the takeover on.
	opt := batch.Options{LostAfter: modelLost, InheritedAfter: modelLost}
	fle.owner = batch.New(batch.DeadlineOrder{}, batch.SpreadPlacement{}, opt, fle.now)
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

func (fle *fleetModel) drawStep(num int) workload.StepParams {
	stp := workload.StepParams{
		Count: rapid.IntRange(1, 4).Draw(fle.T, "count"), MilliCPU: int64(rapid.IntRange(1, 15).Draw(fle.T, "cpu")) * 100,
		MemoryMB: 200, EstimateMillis: 500, PerInstance: rapid.IntRange(0, 2).Draw(fle.T, "perInstance"),
	}
	if num > 0 && rapid.Bool().Draw(fle.T, "after") {
		stp.Dependencies = []int{num - 1}
	}
	switch rapid.IntRange(0, 4).Draw(fle.T, "kind") {
	case 0:
		stp.Gang = true
		stp.PerInstance = 0
	case 1:
		stp.BestEffort, stp.Image, stp.Checkpointing = true, "noisy", true
	case 2:
		stp.TightlyCoupled = true
	}
	return stp
}

func (fle *fleetModel) store(commit bool) {
	fle.owner.Plan(fle.now)
	bat := fle.owner.NextBatch(10)
	if !commit {
		fle.owner.Abandoned(bat)
		return
	}
	for _, rec := range bat.Records() {
		fle.stored[rec.ID] = rec
	}
	fle.owner.Committed(bat, fle.now)
	fle.left = fle.owner.Presence(fle.now)
	fle.ruled = true
}

func (fle *fleetModel) report(agt *agentModel) {
	fle.owner.ApplyReport(agt.report(), fle.now)
	if fle.ruled && slices.Contains(fle.left.Reported, agt.id) {
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

// start checks the promises to callers when a run begins.
func (fle *fleetModel) start(agt *agentModel, ord batch.Order) {
	tid := ord.ID.Task
	stp := fle.jobs[tid.Job].Steps()[tid.Step]
	for _, oth := range fle.agents {
		for rid := range oth.runs {
			if rid.Task == tid {
				fle.Fatalf("run %d of %v begins on %s while run %d is at work on %s", ord.ID.Run, tid, agt.id, rid.Run, oth.id)
			}
		}
	}
	if fle.done[tid] {
		fle.Fatalf("%v begins again after it was done", tid)
	}
	if ord.ID.Run <= fle.runs[tid] {
		fle.Fatalf("run %d of %v begins after run %d", ord.ID.Run, tid, fle.runs[tid])
	}
	if most := fle.jobs[tid.Job].MaxAttempts(); fle.failed[tid] >= most {
		fle.Fatalf("%v begins after %d failed runs of %d", tid, fle.failed[tid], most)
	}
	for _, prv := range stp.Dependencies() {
		for idx := range fle.jobs[tid.Job].Steps()[prv].Count() {
			if !fle.taskDone(batch.TaskID{Job: tid.Job, Step: prv, Index: idx}, fle.worked) {
				fle.Fatalf("%v begins before step %d is done", tid, prv)
			}
		}
	}
	fle.runs[tid] = ord.ID.Run
	agt.runs[ord.ID] = ord
	fle.checkTogether(agt, ord.ID, stp)
}

// taskDone reports whether a task was done; one end of a gang stands for all members.
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

func (fle *fleetModel) checkTogether(agt *agentModel, rid batch.RunID, stp workload.Step) {
	num := 0
	for oth := range agt.runs {
		if oth.Task.Job == rid.Task.Job && oth.Task.Step == rid.Task.Step {
			num++
		}
	}
	if most := stp.PerInstance(); most > 0 && num > most {
		fle.Fatalf("%d tasks of a step on %s, at most %d may share it", num, agt.id, most)
	}
}

func (fle *fleetModel) finish(agt *agentModel, cause batch.EndCause) {
	rids := slices.Collect(maps.Keys(agt.runs))
	if len(rids) == 0 {
		return
	}
	slices.SortFunc(rids, func(fst, snd batch.RunID) int {
		return slices.Compare([]byte(fmt.Sprint(fst)), []byte(fmt.Sprint(snd)))
	})
	fle.endRun(agt, rapid.SampledFrom(rids).Draw(fle.T, "run"), cause)
}

func (fle *fleetModel) endRun(agt *agentModel, rid batch.RunID, cause batch.EndCause) {
	switch cause {
	case batch.EndDone:
		fle.done[rid.Task], fle.worked[rid.Task] = true, true
	case batch.EndFailed:
		fle.failed[rid.Task]++
		fle.broke[rid.Task]++
	}
	agt.end(rid, cause)
}

// pass lets time go by. The runs of an agent that is not heard of end with the lease,
// before the owner gives them up.
func (fle *fleetModel) pass(dur time.Duration) {
	fle.now = fle.now.Add(dur)
	for _, agt := range fle.agents {
		if fle.now.Sub(agt.grantedAt) < modelLost-time.Second {
			continue
		}
		fle.forget(agt)
		for rid := range agt.runs {
			agt.end(rid, batch.EndLeaseExpired)
		}
	}
	fle.owner.Tick(fle.now, fle.now)
}

func (fle *fleetModel) takeOver() {
	fle.newOwner()
	fle.owner.RestorePresence(fle.left)
	fle.ruled = false
	for _, id := range slices.Sorted(maps.Keys(fle.jobs)) {
		if rec, found := fle.stored[id]; found {
			fle.owner.Restore(fle.jobs[id], rec, fle.now)
		} else {
			fle.owner.Submit(fle.jobs[id], fle.now)
		}
	}
	for _, agt := range fle.agents {
		agt.open()
	}
}

// forget makes ends void that nobody took note of before the worker's lease or life
// ended: the owner has given the runs up by then, so the tasks may run again.
func (fle *fleetModel) forget(agt *agentModel) {
	for num, evt := range agt.events {
		switch evt.Cause {
		case batch.EndDone:
			delete(fle.done, evt.ID.Task)
		case batch.EndFailed:
			fle.failed[evt.ID.Task]--
		}
		agt.events[num].Cause = batch.EndLeaseExpired
	}
}

// rebirth ends a life of the worker: its runs and its ends are gone.
func (fle *fleetModel) rebirth(agt *agentModel) {
	fle.forget(agt)
	agt.life++
	agt.runs, agt.events = make(map[batch.RunID]batch.Order), nil
	agt.open()
}

// settle lets everything go well until all jobs are final.
func (fle *fleetModel) settle() {
	for range 400 {
		for _, agt := range fle.agents {
			fle.report(agt)
			fle.store(true)
			fle.orders(agt)
			for rid := range maps.Clone(agt.runs) {
				fle.endRun(agt, rid, batch.EndDone)
			}
			fle.report(agt)
			fle.store(true)
			fle.orders(agt)
		}
		fle.pass(200 * time.Millisecond)
		if fle.settled() {
			return
		}
	}
	for id := range fle.jobs {
		if !fle.stored[id].State.Final() {
			fle.Fatalf("job %s is still %q: %+v", id, fle.stored[id].State, fle.stored[id])
		}
	}
}

func (fle *fleetModel) settled() bool {
	for id := range fle.jobs {
		if !fle.stored[id].State.Final() {
			return false
		}
	}
	return true
}

// checkStates compares what callers are shown with what the workers did.
func (fle *fleetModel) checkStates() {
	for id, job := range fle.jobs {
		rec := fle.stored[id]
		for num, stp := range job.Steps() {
			for idx := range stp.Count() {
				tid := batch.TaskID{Job: id, Step: num, Index: idx}
				if rec.State == batch.JobCompleted && !fle.taskDone(tid, fle.worked) {
					fle.Fatalf("job %s is completed and %v was not done", id, tid)
				}
			}
		}
		if rec.State == batch.JobFailed && !fle.failedEnough(id) {
			fle.Fatalf("job %s is failed without enough failed runs: %v", id, fle.broke)
		}
	}
}

func (fle *fleetModel) failedEnough(id string) bool {
	perStep := make(map[int]int)
	for tid, num := range fle.broke {
		if tid.Job != id {
			continue
		}
		perStep[tid.Step] += num
		if num >= fle.jobs[id].MaxAttempts() {
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

// TestRandomJobs guards against two runs of a task, runs before their turn, too many
// attempts, shared instances beyond the limit, wrong states and jobs that never end, over
// random jobs, ends, losses and takeovers.
func TestRandomJobs(t *testing.T) {
	if err := proptest.Setup(150, 60); err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(t *rapid.T) {
		fle := newFleetModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"submit":     func(*rapid.T) { fle.submit() },
			"store":      func(*rapid.T) { fle.store(true) },
			"storeFails": func(*rapid.T) { fle.store(false) },
			"report":     func(*rapid.T) { fle.report(fle.agent()) },
			"orders":     func(*rapid.T) { fle.orders(fle.agent()) },
			"done":       func(*rapid.T) { fle.finish(fle.agent(), batch.EndDone) },
			"failed":     func(*rapid.T) { fle.finish(fle.agent(), batch.EndFailed) },
			"moment":     func(*rapid.T) { fle.pass(300 * time.Millisecond) },
			"silence":    func(*rapid.T) { fle.pass(modelLost) },
			"takeOver":   func(*rapid.T) { fle.takeOver() },
			"reborn":     func(*rapid.T) { fle.rebirth(fle.agent()) },
			"restart":    func(*rapid.T) { fle.agent().open() },
			"": func(*rapid.T) {
				fle.T = t
			},
		})
		fle.settle()
		fle.checkStates()
	})
}

var _ = Describe("The model of a fleet", func() {
	It("serves a job to its end", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			fle := newFleetModel(t)
			fle.submit()
			fle.settle()
			Expect(fle.stored["j0"].State).To(Equal(batch.JobCompleted))
		})
	})
})
