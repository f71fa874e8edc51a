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

// assignment is what the model of the owner knows of one token.
type assignment struct {
	ref     worker.Ref
	granted bool
	listed  bool // renewed one by one in the present epoch
	ended   bool
	until   time.Time // by the owner's clock
	end     runner.EndKind
	agent   int
}

// world is one instance with its agent, its worker and the owner of a single
// partition. Frames between them are delivered late, lost or answered without
// the answer arriving, in any order.
type world struct {
	now      time.Time
	reading  worker.Instant
	rate     int // of the worker's clock, in percent
	wkr      *workerfake.Worker
	led      *ledger.Ledger[worker.Ref, string]
	run      *runner.Runner
	agent    int // incarnation
	allowed  bool
	refused  time.Time // since when starts are not allowed
	epoch    uint64
	sequence uint64
	known    map[worker.Ref]*assignment
	current  map[string]*assignment
	effects  []runner.Effect                        // frames to the worker and the owner
	ghosts   []runner.Effect                        // frames whose sender has given up
	answers  []func()                               // answers on their way to the agent
	finished map[worker.Ref]bool                    // at the worker
	muted    func(now time.Time) runner.RenewAnswer // answers renewals in place of the owner
	agreed   int                                    // renewals of a whole set
	adoption func()                                 // an answer to Adopt on its way to the owner
	report   func()                                 // a report of the worker on its way to the agent
	restarts bool                                   // the tasks start from the beginning after each stop
}

func newWorld(rate int) *world {
	wld := &world{
		now: time.Unix(1e9, 0), rate: rate, allowed: true, epoch: 1,
		known: make(map[worker.Ref]*assignment), current: make(map[string]*assignment), finished: make(map[worker.Ref]bool),
	}
	wld.wkr = workerfake.New(resource.New(10000, 10000, 0), func() worker.Instant { return wld.reading })
	wld.startAgent()
	return wld
}

func (wld *world) startAgent() {
	wld.agent++
	wld.led = &ledger.Ledger[worker.Ref, string]{}
	wld.led.SetCapacity(ledger.NewCapacity(25))
	wld.run = runner.New(wld.led, wld)
	// The frames of the process before are still under way; its answers are lost.
	wld.ghosts = append(wld.ghosts, wld.effects...)
	wld.effects, wld.answers, wld.report = nil, nil, nil
}

// StartsAllowed, Partition and Owner implement runner.Site.
func (wld *world) StartsAllowed(time.Time) (outcome.Outcome, bool) {
	return outcome.NotRun(outcome.ReasonDataCentreOut, ""), wld.allowed
}
func (wld *world) Partition(string) int     { return 3 }
func (wld *world) Owner(int) (string, bool) { return fmt.Sprint(wld.epoch), true }

func (wld *world) pass(dur time.Duration) {
	wld.now = wld.now.Add(dur)
	wld.reading = wld.reading.Add(dur * time.Duration(wld.rate) / 100)
	for _, job := range sortedKeys(wld.current) {
		if asg := wld.current[job]; !wld.now.Before(asg.until) {
			asg.ended = true
		}
	}
}

func (wld *world) do(efs []runner.Effect) { wld.effects = append(wld.effects, efs...) }

// ask asks for a report of the worker unless one is on its way.
func (wld *world) ask() {
	rep, err := wld.wkr.State(context.Background())
	if sent := wld.now; err == nil && wld.report == nil {
		wld.report = func() { wld.do(wld.run.ApplyReport(rep, sent, wld.now)) }
	}
}

func (wld *world) poll() {
	wld.ask()
	if wld.report != nil {
		wld.report()
		wld.report = nil
	}
}

// smooth lets everything go well for a while.
func (wld *world) smooth(rt fataler, steps int) {
	for range steps {
		wld.pass(100 * time.Millisecond)
		wld.poll()
		wld.do(wld.run.Tick(wld.now))
		for range 3 {
			wld.exchange(rt)
		}
	}
}

// exchange delivers the frames and the answers that are under way.
func (wld *world) exchange(rt fataler) {
	frames := wld.effects
	wld.effects = nil
	for _, eff := range frames {
		wld.answers = append(wld.answers, wld.execute(rt, eff))
	}
	answers := wld.answers
	wld.answers = nil
	for _, ans := range answers {
		ans()
	}
}

func (wld *world) offer(job string, size int64) {
	if asg := wld.current[job]; asg != nil && (!asg.ended || asg.end == runner.EndFinished) {
		return
	}
	wld.sequence++
	ref := worker.NewRef(job, 0, token.New(wld.epoch, wld.sequence))
	asg := &assignment{ref: ref, until: wld.now.Add(20 * time.Second), agent: wld.agent}
	wld.known[ref], wld.current[job] = asg, asg
	spc := runner.NewSpec(ref, 3, fmt.Sprint(wld.epoch)).WithResources(resource.New(size, size, 0)).WithCheckpoints(!wld.restarts)
	_, accepted, efs := wld.run.Offer(spc, wld.now)
	wld.do(efs)
	asg.ended = !accepted
}

// takeOver lets a new owner adopt the tasks. What the agent does not list is
// lost, like in core/job.
func (wld *world) takeOver() {
	wld.epoch++
	for _, asg := range wld.current {
		asg.listed = false
		if asg.granted && !asg.ended {
			asg.until = wld.now.Add(leaseTime * 101 / 100)
		} else if !asg.ended {
			asg.ended = true // an offer that is not recorded is unknown to the new owner
		}
	}
	held, accepted := wld.run.Adopt(3, wld.epoch, fmt.Sprint(wld.epoch), wld.now)
	ready, agent := accepted && wld.run.Ready(), wld.agent
	wld.adoption = func() {
		for _, asg := range wld.current {
			listed := slices.ContainsFunc(held, func(sta runner.Status) bool { return sta.Ref() == asg.ref })
			if ready && asg.granted && !asg.ended && asg.agent == agent && asg.ref.Token().Epoch() < wld.epoch && !listed {
				asg.ended = true
			}
		}
	}
}

// execute lets a frame take effect and returns the answer to the agent.
func (wld *world) execute(rt fataler, eff runner.Effect) func() {
	ctx, sent := context.Background(), wld.now
	switch eff := eff.(type) {
	case runner.Claim:
		ans := wld.claim(eff, sent)
		return func() { wld.do(wld.run.Claimed(eff.Ref(), ans, wld.now)) }
	case runner.Start:
		before := len(wld.wkr.Starts())
		res, err := wld.wkr.Start(ctx, eff.Order())
		if len(wld.wkr.Starts()) > before && !wld.allowed && wld.now.Sub(wld.refused) > runner.StartWindow*102/100 {
			rt.Fatalf("%v started %v after starts were forbidden", eff.Order().Ref(), wld.now.Sub(wld.refused))
		}
		ans := runner.StartAnswered(res)
		if err != nil {
			ans = runner.StartFailed()
		}
		return func() { wld.do(wld.run.Started(eff.Order().Ref(), ans, wld.now)) }
	case runner.Extend:
		held, _ := wld.wkr.Renew(ctx, eff.Leases())
		return func() { wld.run.Extended(eff.Leases(), held) }
	case runner.Stop:
		rep, err := wld.wkr.Stop(ctx, eff.Ref(), eff.Checkpoint())
		return func() { wld.run.Stopped(eff.Ref(), rep, err != nil, wld.now) }
	case runner.Renew:
		ans := wld.renew(eff, sent)
		return func() { wld.do(wld.run.Renewed(eff.Call(), ans, wld.now)) }
	case runner.Report:
		refs, answered := wld.record(eff)
		return func() { wld.do(wld.run.Reported(eff.Call(), refs, answered, wld.now)) }
	case runner.Forget:
		_ = wld.wkr.Forget(ctx, eff.Ref())
	}
	return func() {}
}

// lose returns the answer of a call that failed for the agent.
func (wld *world) lose(eff runner.Effect) func() {
	switch eff := eff.(type) {
	case runner.Claim:
		return func() { wld.do(wld.run.Claimed(eff.Ref(), runner.ClaimFailed(), wld.now)) }
	case runner.Start:
		return func() { wld.do(wld.run.Started(eff.Order().Ref(), runner.StartFailed(), wld.now)) }
	case runner.Stop:
		return func() { wld.run.Stopped(eff.Ref(), worker.TaskReport{}, true, wld.now) }
	case runner.Renew:
		return func() { wld.do(wld.run.Renewed(eff.Call(), runner.RenewAnswer{}, wld.now)) }
	case runner.Report:
		return func() { wld.do(wld.run.Reported(eff.Call(), nil, false, wld.now)) }
	}
	return func() {}
}

func (wld *world) owns(addr string) bool { return addr == fmt.Sprint(wld.epoch) }

func (wld *world) claim(clm runner.Claim, sent time.Time) runner.ClaimAnswer {
	asg := wld.known[clm.Ref()]
	if !wld.owns(clm.Address()) {
		return runner.ClaimFailed()
	}
	if asg.ended || wld.current[asg.ref.Job()] != asg || asg.agent != wld.agent {
		return runner.ClaimRefused()
	}
	asg.granted, asg.until = true, sent.Add(leaseTime*101/100)
	return runner.ClaimGranted(sent, leaseTime)
}

func (wld *world) renew(ren runner.Renew, sent time.Time) runner.RenewAnswer {
	if wld.muted != nil {
		return wld.muted(sent)
	}
	if !wld.owns(ren.Call().Address()) {
		return runner.RenewAnswer{}
	}
	agreed := ren.LeaseSet().Count() > 0 && wld.renewHeld(ren.LeaseSet(), sent)
	var grants []runner.Grant
	var stops []runner.StopOrder
	for _, sta := range ren.Tasks() {
		asg := wld.known[sta.Ref()]
		if !asg.ended && wld.current[asg.ref.Job()] == asg {
			asg.granted, asg.listed, asg.until = true, true, sent.Add(leaseTime*101/100)
			grants = append(grants, runner.NewGrant(asg.ref, leaseTime))
		} else {
			stops = append(stops, runner.NewStopOrder(asg.ref, true, "outdated"))
		}
	}
	return runner.RenewAnswered(sent, grants, stops).WithLeaseSetResult(agreed, ren.LeaseSet().Count() > 0 && !agreed)
}

// renewHeld renews everything that the owner has renewed one by one if that is the set described.
func (wld *world) renewHeld(held lease.Set, sent time.Time) bool {
	var set lease.Set
	var list []*assignment
	for _, asg := range wld.current {
		if asg.listed && !asg.ended {
			set, list = set.With(asg.ref.Job(), asg.ref.Index(), asg.ref.Token()), append(list, asg)
		}
	}
	if set != held {
		return false
	}
	for _, asg := range list {
		asg.until = sent.Add(leaseTime * 101 / 100)
	}
	wld.agreed++
	return true
}

func (wld *world) record(rpt runner.Report) ([]worker.Ref, bool) {
	if !wld.owns(rpt.Call().Address()) {
		return nil, false
	}
	var refs []worker.Ref
	for _, end := range rpt.Ends() {
		refs = append(refs, end.Ref())
		if asg := wld.known[end.Ref()]; !asg.ended && wld.current[asg.ref.Job()] == asg {
			asg.ended, asg.end = true, end.Kind()
		}
	}
	return refs, true
}

// check states the invariants that hold at every moment.
func (wld *world) check(rt fataler) {
	refs, sum := wld.wkr.Running()
	if limit := resource.New(7500, 7500, 0); !wld.wkr.PeakOrdered().FitsIn(limit) {
		rt.Fatalf("the worker ran %v at a time, tasks may use %v", wld.wkr.PeakOrdered(), limit)
	}
	if wld.led.Deficit() != (resource.Vector{}) {
		rt.Fatalf("the ledger exceeds its capacity by %v", wld.led.Deficit())
	}
	for _, ref := range refs {
		if asg := wld.known[ref]; asg.ended {
			rt.Fatalf("%v runs after its owner learned that it ended (%s): a copy may run elsewhere", ref, asg.end)
		}
	}
	if wld.agent == 1 && !sum.FitsIn(wld.led.TaskSum()) {
		rt.Fatalf("the worker runs %v, the ledger counts %v", sum, wld.led.TaskSum())
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
