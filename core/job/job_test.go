package job_test

import (
	"cmp"
	"fmt"
	"os"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"
	"pgregory.net/rapid"

	"jacinthpost/core/job"
	"jacinthpost/internal/proptest"
	"jacinthpost/internal/specs"
)

func TestJob(t *testing.T) {
	if err := proptest.Setup(40, 30); err != nil {
		t.Fatal(err)
	}
	specs.Run(t, "job")
}

// settle lets every fault stop and drives the world until the job has ended.
// It reports whether all tasks have ended once.
func (wld *world) settle() bool {
	clear(wld.budget)
	for range 60 {
		idx := wld.current()
		for progress := true; progress; {
			progress = false
			if own := &wld.owners[idx]; len(own.pending) > 0 {
				wld.flush(idx)
				progress = true
			}
			for len(wld.net) > 0 {
				wld.deliver(0, false)
				progress = true
			}
			progress = wld.work() || progress
		}
		if wld.ended() {
			return wld.broken == ""
		}
		if own := &wld.owners[idx]; !own.dead && own.parked() {
			wld.retry(idx)
		}
		wld.nextStep()
	}
	return false
}

func (wld *world) nextStep() {
	if own := &wld.owners[wld.current()]; !own.dead && wld.now.Before(own.leaseEnd) {
		wld.advance(wld.current())
		return
	}
	wld.advance(-1)
	if !wld.now.Before(wld.renewed.Add(3 * step)) {
		wld.takeOver(1 - wld.current())
	}
}

// work finishes running tasks and repeats reports that are not acknowledged.
func (wld *world) work() bool {
	progress := false
	for idx := range wld.agents {
		for pos, rnn := range wld.agents[idx].runs {
			if !rnn.ended {
				wld.end(idx, pos, job.NewEnd(job.EndFinished, ""))
				progress = true
			} else if rnn.unacked {
				wld.report(idx, pos)
				progress = true
			}
		}
	}
	wld.check()
	return progress
}

// ended reports whether the job has ended for the present owner.
func (wld *world) ended() bool {
	sta, known := wld.owners[wld.current()].part.Status(job.NewID("c", "k"))
	return known && (sta.State() == job.Finished || sta.State() == job.Cancelled)
}

// exploration counts the states visited from one starting point.
type exploration struct {
	states  int
	settled int
	fault   string
	trace   []string
}

// node is one state on the frontier of an exploration.
type node struct {
	wld   *world
	sum   uint64
	trace []string
}

// explore visits every interleaving up to a depth, breadth first.
func explore(first *world, depth int) *exploration {
	exp, seen := &exploration{}, map[uint64]struct{}{}
	level := []node{{wld: first}}
	for dep := 0; dep <= depth && exp.fault == ""; dep++ {
		children := make([][]node, len(level))
		var grp errgroup.Group
		grp.SetLimit(4)
		for pos, nod := range level {
			grp.Go(func() error {
				children[pos] = nod.expand(dep < depth)
				return nil
			})
		}
		_ = grp.Wait()
		for _, nod := range level {
			exp.settled += int(job.Bit(nod.sampled()))
			if exp.fault == "" {
				exp.fault, exp.trace = nod.wld.broken, nod.trace
			}
		}
		level = level[:0:0]
		for _, nod := range slices.Concat(children...) {
			if _, known := seen[nod.sum]; !known {
				seen[nod.sum] = struct{}{}
				level = append(level, nod)
			}
		}
	}
	exp.states = len(seen)
	return exp
}

// sampled reports whether the job is driven to its end from this state.
func (nod node) sampled() bool { return nod.sum%32 == 0 }

// expand returns the states one step further.
func (nod node) expand(further bool) []node {
	if nod.wld.broken == "" && nod.sampled() {
		if cln := nod.wld.clone(); !cln.settle() {
			nod.wld.fail("%s", cmp.Or(cln.broken, "the job does not end"))
		}
	}
	if !further || nod.wld.broken != "" {
		return nil
	}
	var list []node
	for _, act := range nod.wld.actions() {
		wld := nod.wld.clone()
		act.do(wld)
		wld.check()
		trace := append(nod.trace[:len(nod.trace):len(nod.trace)], act.name)
		list = append(list, node{wld: wld, sum: xxhash.Sum64(wld.fingerprint()), trace: trace})
	}
	return list
}

// prepare plays actions by name from a new world. An action with a question
// mark is left out where it is not possible.
func prepare(rul rules, names ...string) *world {
	wld := newWorld(rul, 1)
	for _, name := range names {
		name, optional := strings.CutPrefix(name, "?")
		found := optional
		for _, act := range wld.actions() {
			if act.name == name || len(act.name) > len(name) && act.name[:len(name)+1] == name+" " {
				act.do(wld)
				found = true
				break
			}
		}
		Expect(found).To(BeTrue(), "no action %q", name)
	}
	return wld
}

// Starting points. The first instance lets its offer time out, so that the task
// runs on the second one and a further assignment prefers the first.
var (
	fresh    []string
	claimed  = []string{"advance renewed", "deliver offer y", "deliver claim y", "flush"}
	running  = slices.Concat(claimed, []string{"deliver claimReply y", "deliver start y"})
	takeover = []string{"advance", "advance", "advance", "takeover"}
	renewal  = []string{"?renew 0", "?deliver renew y", "?deliver renewReply y"}
	// The owner is silent and a renewal is on its way to it.
	deserted = slices.Concat(running, []string{"renew 0"}, takeover)
	// The grant of a recorded claim is still in flight.
	orphaned = slices.Concat(claimed, takeover)
	disowned = slices.Concat(orphaned, []string{"deliver adopt y", "deliver adopted y"})
	// The worker has yet to receive the start of a crashed agent, whose successor knows nothing of it.
	crashed = slices.Concat(claimed, []string{"deliver claimReply y"}, takeover,
		[]string{"agent crash", "deliver adopt y", "deliver adopted y", "?flush", "?deliver offer x 2", "?deliver claim x", "?flush"})
	resumed = slices.Concat(running, []string{"evict", "deliver report y", "flush"}, running[1:])
	// The agent keeps asking the former owner, whose partition lease has ended.
	misled  = slices.Concat(running, takeover, renewal)
	relying = slices.Concat(misled, later, renewal, later[:1], offered)
	// The owner has renewed everything that the instance holds in one step; the answer is on its way.
	grouped = slices.Concat(running, renewal, later[:1], []string{"renew all 0", "deliver renewAll y"})
	// The lease that the task had before that renewal has ended, the renewed one has
	// not. The first offer arrives late, and a further one if the owner gave the task up.
	outlived = slices.Concat(grouped, []string{"deliver renewReply y"}, later,
		[]string{"?flush", "deliver offer x 1", "?deliver offer x 1", "?deliver claim x", "?deliver claim x", "?deliver claim x", "?flush"})
	// The task leaves the group after its renewal and its lease counts on.
	withdrawn = slices.Concat(grouped, []string{"cancel", "flush"}, later)
	// The end of the task is on its way to the owner, which gives the task up for lost and offers it again.
	late = slices.Concat(running, []string{"finish"}, later, later[:1], []string{"flush"})
	// The new offer is accepted and its claim is on its way too.
	overdue = slices.Concat(late, []string{"deliver offer x 1", "?deliver offer x 1"})
	// The new owner gives the task up after a takeover.
	inherit = slices.Concat(running, []string{"finish"}, takeover, later, later[:1], []string{"flush"})
	// The whole set is renewed by a former owner only, and the new owner offers the task again.
	entrusted = slices.Concat(grouped, []string{"deliver renewReply y"}, takeover,
		[]string{"renew all 0", "deliver renewAll y", "?deliver renewReply y"}, later, later[:1], offered)
	// The agent repeats its claim at the former owner.
	reclaimed = slices.Concat(claimed, takeover, reclaim, later, reclaim, later[:1], offered, []string{"flush"})
	reclaim   = []string{"claim again", "deliver claim y"}
	offered   = []string{"flush", "deliver offer x 2", "deliver claim x"}
	later     = []string{"advance renewed", "advance renewed", "advance renewed"}
)

// depth is how many further steps are explored. JACINTHPOST_DEPTH sets another one.
func depth() int {
	if num, err := strconv.Atoi(os.Getenv("JACINTHPOST_DEPTH")); err == nil {
		return num
	}
	return 4
}

// expectSafe explores what can happen after some steps.
func expectSafe(rul rules, prefix []string) {
	GinkgoHelper()
	began := time.Now()
	exp := explore(prepare(rul, prefix...), depth())
	fmt.Printf("depth %d after %d steps: %d states, %d run to the end, %v\n",
		depth(), len(prefix), exp.states, exp.settled, time.Since(began).Round(time.Millisecond))
	Expect(exp.fault).To(BeEmpty(), "after %v", exp.trace)
}

var _ = Describe("every interleaving", func() {
	// Guards against two live runs, a second completion, a lost or repeated
	// resumption and a job that never ends, under message faults, crashes and takeover.
	DescribeTable("keeps the invariants",
		func(prefix []string) { expectSafe(rules{}, prefix) },
		Entry("from a submitted job", fresh),
		Entry("from a recorded claim", claimed),
		Entry("from a running task", running),
		Entry("after a takeover from a silent owner", deserted),
		Entry("after a takeover with the grant in flight", orphaned),
		Entry("while the agent asks the former owner", misled),
		Entry("after the agent has asked the former owner only", relying),
		Entry("after the agent has repeated its claim at the former owner", reclaimed),
		Entry("after an eviction", resumed),
		Entry("after a renewal of the whole set", grouped),
		Entry("when only the renewal of the set keeps the lease", outlived),
		Entry("after a cancellation between the renewal of the set and its answer", withdrawn),
		Entry("when the end arrives after the lease", late),
		Entry("when the end arrives during a new claim", overdue),
		Entry("when the end arrives after a takeover and the lease", inherit),
		Entry("after a takeover, with renewals of the set by the former owner only", entrusted),
		Entry("after the agent crashed with a start in flight", crashed),
	)

	// Guards against a second run to the end of a task that must not run again, and
	// against one that stays parked although its end was reported.
	DescribeTable("runs nothing again that may have run",
		func(prefix []string) { expectSafe(rules{rerun: job.RerunNever}, prefix) },
		Entry("from a running task", running),
		Entry("after a takeover with the grant in flight", orphaned),
		Entry("while the agent asks the former owner", misled),
		Entry("after an eviction", resumed),
		Entry("when the end arrives after the lease", late),
		Entry("when the end arrives after the retry", slices.Concat(late, []string{"retry", "flush"})),
		Entry("when the end arrives during the claim after the retry", slices.Concat(late, []string{"retry", "flush", "deliver offer x 1", "?deliver offer x 1"})),
		Entry("when the end arrives after a takeover and the lease", inherit),
		Entry("after the agent crashed with a start in flight", crashed),
	)

	// Guards against a checker that finds nothing: each variant breaks one rule
	// around the core, and the exploration has to find the fault.
	DescribeTable("finds the fault when a rule is broken",
		func(rul rules, depth int, prefix []string, fault string) {
			exp := explore(prepare(rul, prefix...), depth)
			fmt.Printf("%d states until %q after %v\n", exp.states, exp.fault, exp.trace)
			Expect(exp.fault).To(ContainSubstring(fault))
		},
		Entry("grants after the partition lease", rules{ignorePartitionLease: true},
			3, relying, "runs 2 times"),
		Entry("effects before records", rules{earlyRelease: true}, 4, claimed[:2], "recorded false"),
		Entry("a takeover that does not wait for leases", rules{shortTakeover: true},
			3, slices.Concat(deserted, offered), "runs 2 times"),
		Entry("an adoption answer without claims", rules{forgetClaims: true},
			3, slices.Concat(disowned, offered, []string{"flush", "deliver claimReply y"}), "runs 2 times"),
		Entry("an epoch used twice", rules{sharedTokens: true}, 3, deserted, "token does not grow"),
		Entry("a log that is not fenced", rules{unfencedLog: true}, 3, slices.Concat(claimed[:3], takeover), "assigned while"),
	)
})

// Guards against faults that need long histories: several tasks, repeated
// expiry and resumption, cancellation late in a run and a replay at any point.
var _ = It("keeps the invariants in long random histories", func() {
	rapid.Check(GinkgoT(), func(rt *rapid.T) {
		rer := rapid.SampledFrom([]job.Rerun{job.RerunFromCheckpoint, job.RerunNever}).Draw(rt, "rerun")
		wld := newWorld(rules{rerun: rer}, rapid.IntRange(1, 3).Draw(rt, "tasks"))
		wld.budget["duplicate"], wld.budget["evict"], wld.budget["agentCrash"], wld.budget["instanceCrash"] = 10, 10, 3, 3
		var trace []string
		for range rapid.IntRange(1, 150).Draw(rt, "steps") {
			acts := wld.actions()
			act := acts[rapid.IntRange(0, len(acts)-1).Draw(rt, "action")]
			trace = append(trace, act.name)
			act.do(wld)
			wld.check()
			if wld.broken != "" {
				rt.Fatalf("%s after %v", wld.broken, trace)
			}
			wld.checkReplay(rt)
		}
		if !wld.settle() {
			rt.Fatalf("%s after %v", cmp.Or(wld.broken, "the job does not end"), trace)
		}
	})
})

// checkReplay compares the snapshot of the owner with that of a replayed log and of a replayed snapshot.
func (wld *world) checkReplay(rt *rapid.T) {
	own := &wld.owners[wld.current()]
	if len(own.pending) > 0 {
		return
	}
	live := own.part.Snapshot()
	for name, recs := range map[string][]job.Record{"log": wld.log, "snapshot": live} {
		par := job.New(&job.SimplePlacement{}, job.DefaultLimits())
		par.Replay(recs)
		if !reflect.DeepEqual(par.Snapshot(), live) {
			rt.Fatalf("replayed %s: %v, live: %v", name, par.Snapshot(), live)
		}
	}
}
