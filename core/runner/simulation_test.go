package runner_test

import (
	"context"
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"

	"jacinthpost/core/lease"
	"jacinthpost/core/ledger"
	"jacinthpost/core/outcome"
	"jacinthpost/core/resource"
	"jacinthpost/core/runner"
	"jacinthpost/core/runner/workerfake"
	"jacinthpost/core/token"
	"jacinthpost/core/worker"
)

const leaseTime = 15 * time.Second

// assignment is the owner's record of one token.
type assignment struct {
	ref          worker.Ref
	granted      bool
	renewedAlone bool // renewed individually in the current epoch, so part of the renewable set
	ended        bool
	leaseEnd     time.Time // by the owner's clock
	end          runner.EndKind
	agent        int
}

// simulation is one instance with its agent, its worker and the owner of a single
// partition. Frames between them can be delivered late, be lost, or take effect
// while their answer is lost, in any order.
type simulation struct {
	now               time.Time
	workerTime        worker.Instant
	clockPercent      int // speed of the worker's clock relative to now
	wkr               *workerfake.Worker
	led               *ledger.Ledger[worker.Ref, string]
	run               *runner.Runner
	agent             int // incarnation
	startsAllowed     bool
	forbiddenSince    time.Time // valid unless startsAllowed
	epoch             uint64
	sequence          uint64
	assignments       map[worker.Ref]*assignment
	current           map[string]*assignment                 // latest assignment of each job
	frames            []runner.Effect                        // frames to the worker and the owner
	lateFrames        []runner.Effect                        // undelivered frames whose sender has timed out
	answers           []func()                               // undelivered answers to the agent
	finished          map[worker.Ref]bool                    // tasks that finished at the worker
	renewOverride     func(now time.Time) runner.RenewAnswer // if set, answers renewals instead of the owner
	setRenewals       int                                    // number of renewals of a whole set
	pendingAdoption   func()                                 // undelivered answer of Adopt to the owner
	pendingReport     func()                                 // undelivered worker report to the agent
	notCheckpointable bool                                   // tasks restart from the beginning after each stop
}

func newSimulation(clockPercent int) *simulation {
	sim := &simulation{
		now: time.Unix(1e9, 0), clockPercent: clockPercent, startsAllowed: true, epoch: 1,
		assignments: make(map[worker.Ref]*assignment), current: make(map[string]*assignment), finished: make(map[worker.Ref]bool),
	}
	sim.wkr = workerfake.New(resource.New(10000, 10000, 0), func() worker.Instant { return sim.workerTime })
	sim.startAgent()
	return sim
}

func (sim *simulation) startAgent() {
	sim.agent++
	sim.led = &ledger.Ledger[worker.Ref, string]{}
	sim.led.SetCapacity(ledger.NewCapacity(25))
	sim.run = runner.New(sim.led, sim)
	// Frames of the previous process can still arrive; answers to it are lost.
	sim.lateFrames = append(sim.lateFrames, sim.frames...)
	sim.frames, sim.answers, sim.pendingReport = nil, nil, nil
}

// StartsAllowed, Partition and Owner implement runner.Environment.
func (sim *simulation) StartsAllowed(time.Time) (outcome.Outcome, bool) {
	return outcome.NotRun(outcome.ReasonDataCentreOut, ""), sim.startsAllowed
}
func (sim *simulation) Partition(string) int     { return 3 }
func (sim *simulation) Owner(int) (string, bool) { return fmt.Sprint(sim.epoch), true }

func (sim *simulation) advance(dur time.Duration) {
	sim.now = sim.now.Add(dur)
	sim.workerTime = sim.workerTime.Add(dur * time.Duration(sim.clockPercent) / 100)
	for _, job := range sortedKeys(sim.current) {
		if asg := sim.current[job]; !sim.now.Before(asg.leaseEnd) {
			asg.ended = true
		}
	}
}

func (sim *simulation) enqueue(efs []runner.Effect) { sim.frames = append(sim.frames, efs...) }

// requestReport requests a report from the worker unless one is undelivered.
func (sim *simulation) requestReport() {
	rep, err := sim.wkr.State(context.Background())
	if sent := sim.now; err == nil && sim.pendingReport == nil {
		sim.pendingReport = func() { sim.enqueue(sim.run.ApplyReport(rep, sent, sim.now)) }
	}
}

func (sim *simulation) poll() {
	sim.requestReport()
	if sim.pendingReport != nil {
		sim.pendingReport()
		sim.pendingReport = nil
	}
}

// runWithoutFaults advances time in steps of 100 ms in which every frame and answer is delivered.
func (sim *simulation) runWithoutFaults(rt fataler, steps int) {
	for range steps {
		sim.advance(100 * time.Millisecond)
		sim.poll()
		sim.enqueue(sim.run.Tick(sim.now))
		for range 3 {
			sim.exchange(rt)
		}
	}
}

// exchange delivers all pending frames, then all pending answers.
func (sim *simulation) exchange(rt fataler) {
	frames := sim.frames
	sim.frames = nil
	for _, eff := range frames {
		sim.answers = append(sim.answers, sim.execute(rt, eff))
	}
	answers := sim.answers
	sim.answers = nil
	for _, ans := range answers {
		ans()
	}
}

func (sim *simulation) offer(job string, size int64) {
	if asg := sim.current[job]; asg != nil && (!asg.ended || asg.end == runner.EndFinished) {
		return
	}
	sim.sequence++
	ref := worker.NewRef(job, 0, token.New(sim.epoch, sim.sequence))
	asg := &assignment{ref: ref, leaseEnd: sim.now.Add(20 * time.Second), agent: sim.agent}
	sim.assignments[ref], sim.current[job] = asg, asg
	spc := runner.NewSpec(ref, 3, fmt.Sprint(sim.epoch)).WithResources(resource.New(size, size, 0)).WithCheckpoints(!sim.notCheckpointable)
	_, accepted, efs := sim.run.Offer(spc, sim.now)
	sim.enqueue(efs)
	asg.ended = !accepted
}

// takeOver replaces the owner, which adopts the tasks. As in core/job, the new
// owner treats granted tasks that the agent does not list as ended.
func (sim *simulation) takeOver() {
	sim.epoch++
	for _, asg := range sim.current {
		asg.renewedAlone = false
		if asg.granted && !asg.ended {
			asg.leaseEnd = sim.now.Add(leaseTime * 101 / 100)
		} else if !asg.ended {
			asg.ended = true // the new owner has no record of an offer that was not claimed
		}
	}
	held, accepted := sim.run.Adopt(3, sim.epoch, fmt.Sprint(sim.epoch), sim.now)
	ready, agent := accepted && sim.run.Ready(), sim.agent
	sim.pendingAdoption = func() {
		for _, asg := range sim.current {
			listed := slices.ContainsFunc(held, func(sta runner.Status) bool { return sta.Ref() == asg.ref })
			if ready && asg.granted && !asg.ended && asg.agent == agent && asg.ref.Token().Epoch() < sim.epoch && !listed {
				asg.ended = true
			}
		}
	}
}

// execute applies a frame at its receiver and returns a function that delivers the answer to the agent.
func (sim *simulation) execute(rt fataler, eff runner.Effect) func() {
	ctx, sent := context.Background(), sim.now
	switch eff := eff.(type) {
	case runner.Claim:
		ans := sim.claim(eff, sent)
		return func() { sim.enqueue(sim.run.Claimed(eff.Ref(), ans, sim.now)) }
	case runner.Start:
		before := len(sim.wkr.Starts())
		res, err := sim.wkr.Start(ctx, eff.Order())
		if len(sim.wkr.Starts()) > before && !sim.startsAllowed && sim.now.Sub(sim.forbiddenSince) > runner.StartWindow*102/100 {
			rt.Fatalf("%v started %v after starts were forbidden", eff.Order().Ref(), sim.now.Sub(sim.forbiddenSince))
		}
		ans := runner.StartAnswered(res)
		if err != nil {
			ans = runner.StartFailed()
		}
		return func() { sim.enqueue(sim.run.Started(eff.Order().Ref(), ans, sim.now)) }
	case runner.Extend:
		held, _ := sim.wkr.Renew(ctx, eff.Leases())
		return func() { sim.run.Extended(eff.Leases(), held) }
	case runner.Stop:
		rep, err := sim.wkr.Stop(ctx, eff.Ref(), eff.Checkpoint())
		return func() { sim.run.Stopped(eff.Ref(), rep, err != nil, sim.now) }
	case runner.Renew:
		ans := sim.renew(eff, sent)
		return func() { sim.enqueue(sim.run.Renewed(eff.Call(), ans, sim.now)) }
	case runner.Report:
		refs, answered := sim.recordEnds(eff)
		return func() { sim.enqueue(sim.run.Reported(eff.Call(), refs, answered, sim.now)) }
	case runner.Forget:
		_ = sim.wkr.Forget(ctx, eff.Ref())
	}
	return func() {}
}

// failCall returns a function that tells the agent that a call failed.
func (sim *simulation) failCall(eff runner.Effect) func() {
	switch eff := eff.(type) {
	case runner.Claim:
		return func() { sim.enqueue(sim.run.Claimed(eff.Ref(), runner.ClaimFailed(), sim.now)) }
	case runner.Start:
		return func() { sim.enqueue(sim.run.Started(eff.Order().Ref(), runner.StartFailed(), sim.now)) }
	case runner.Stop:
		return func() { sim.run.Stopped(eff.Ref(), worker.TaskReport{}, true, sim.now) }
	case runner.Renew:
		return func() { sim.enqueue(sim.run.Renewed(eff.Call(), runner.RenewAnswer{}, sim.now)) }
	case runner.Report:
		return func() { sim.enqueue(sim.run.Reported(eff.Call(), nil, false, sim.now)) }
	}
	return func() {}
}

func (sim *simulation) isOwner(addr string) bool { return addr == fmt.Sprint(sim.epoch) }

func (sim *simulation) claim(clm runner.Claim, sent time.Time) runner.ClaimAnswer {
	asg := sim.assignments[clm.Ref()]
	if !sim.isOwner(clm.Address()) {
		return runner.ClaimFailed()
	}
	if asg.ended || sim.current[asg.ref.Job()] != asg || asg.agent != sim.agent {
		return runner.ClaimRefused()
	}
	asg.granted, asg.leaseEnd = true, sent.Add(leaseTime*101/100)
	return runner.ClaimGranted(sent, leaseTime)
}

func (sim *simulation) renew(ren runner.Renew, sent time.Time) runner.RenewAnswer {
	if sim.renewOverride != nil {
		return sim.renewOverride(sent)
	}
	if !sim.isOwner(ren.Call().Address()) {
		return runner.RenewAnswer{}
	}
	agreed := ren.LeaseSet().Count() > 0 && sim.renewHeld(ren.LeaseSet(), sent)
	var grants []runner.Grant
	var stops []runner.StopOrder
	for _, sta := range ren.Tasks() {
		asg := sim.assignments[sta.Ref()]
		if !asg.ended && sim.current[asg.ref.Job()] == asg {
			asg.granted, asg.renewedAlone, asg.leaseEnd = true, true, sent.Add(leaseTime*101/100)
			grants = append(grants, runner.NewGrant(asg.ref, leaseTime))
		} else {
			stops = append(stops, runner.NewStopOrder(asg.ref, true, "outdated"))
		}
	}
	return runner.RenewAnswered(sent, grants, stops).WithLeaseSetResult(agreed, ren.LeaseSet().Count() > 0 && !agreed)
}

// renewHeld renews all assignments that the owner has renewed individually, if
// they are exactly the described set.
func (sim *simulation) renewHeld(held lease.Set, sent time.Time) bool {
	var set lease.Set
	var list []*assignment
	for _, asg := range sim.current {
		if asg.renewedAlone && !asg.ended {
			set, list = set.With(asg.ref.Job(), asg.ref.Index(), asg.ref.Token()), append(list, asg)
		}
	}
	if set != held {
		return false
	}
	for _, asg := range list {
		asg.leaseEnd = sent.Add(leaseTime * 101 / 100)
	}
	sim.setRenewals++
	return true
}

func (sim *simulation) recordEnds(rpt runner.Report) ([]worker.Ref, bool) {
	if !sim.isOwner(rpt.Call().Address()) {
		return nil, false
	}
	var refs []worker.Ref
	for _, end := range rpt.Ends() {
		refs = append(refs, end.Ref())
		if asg := sim.assignments[end.Ref()]; !asg.ended && sim.current[asg.ref.Job()] == asg {
			asg.ended, asg.end = true, end.Kind()
		}
	}
	return refs, true
}

// check verifies the invariants that hold after every step.
func (sim *simulation) check(rt fataler) {
	refs, sum := sim.wkr.Running()
	if limit := resource.New(7500, 7500, 0); !sim.wkr.PeakOrdered().FitsIn(limit) {
		rt.Fatalf("the worker ran tasks of %v at the same time, want at most %v", sim.wkr.PeakOrdered(), limit)
	}
	if sim.led.Deficit() != (resource.Vector{}) {
		rt.Fatalf("the ledger has a deficit of %v, want none", sim.led.Deficit())
	}
	for _, ref := range refs {
		if asg := sim.assignments[ref]; asg.ended {
			rt.Fatalf("%v runs although its owner recorded its end (%s), so a second copy may run elsewhere", ref, asg.end)
		}
	}
	if sim.agent == 1 && !sum.FitsIn(sim.led.TaskSum()) {
		rt.Fatalf("the worker runs tasks of %v, but the ledger has committed only %v", sum, sim.led.TaskSum())
	}
}

type fataler interface {
	Fatalf(format string, args ...any)
}

func pick[T any](rt *rapid.T, items *[]T) (item T, found bool) {
	if len(*items) == 0 {
		return item, false
	}
	ind := rapid.IntRange(0, len(*items)-1).Draw(rt, "pick")
	item = (*items)[ind]
	*items = slices.Delete(*items, ind, ind+1)
	return item, true
}

func sortedKeys[V any](set map[string]V) []string {
	keys := make([]string, 0, len(set))
	for key := range set {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
