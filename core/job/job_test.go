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

// runToEnd disables all faults and runs the model until the job has ended. It reports whether the job
// ended without a violation.
func (mdl *model) runToEnd() bool {
	clear(mdl.budget)
	for range 60 {
		idx := mdl.current()
		for progress := true; progress; {
			progress = false
			if own := &mdl.owners[idx]; len(own.pending) > 0 {
				mdl.flush(idx)
				progress = true
			}
			for len(mdl.net) > 0 {
				mdl.deliver(0, false)
				progress = true
			}
			progress = mdl.finishTasks() || progress
		}
		if mdl.ended() {
			return mdl.violation == ""
		}
		if own := &mdl.owners[idx]; !own.dead && own.parked() {
			mdl.retry(idx)
		}
		mdl.advanceTime()
	}
	return false
}

func (mdl *model) advanceTime() {
	if own := &mdl.owners[mdl.current()]; !own.dead && mdl.now.Before(own.leaseEnd) {
		mdl.advance(mdl.current())
		return
	}
	mdl.advance(-1)
	if !mdl.now.Before(mdl.renewed.Add(3 * step)) {
		mdl.takeOver(1 - mdl.current())
	}
}

// finishTasks finishes the running tasks and repeats the reports that are not acknowledged. It reports
// whether there were any.
func (mdl *model) finishTasks() bool {
	progress := false
	for idx := range mdl.agents {
		for pos, rnn := range mdl.agents[idx].runs {
			if !rnn.ended {
				mdl.end(idx, pos, job.NewEnd(job.EndFinished, ""))
				progress = true
			} else if rnn.unacknowledged {
				mdl.report(idx, pos)
				progress = true
			}
		}
	}
	mdl.check()
	return progress
}

// ended reports whether the job has ended according to the current owner.
func (mdl *model) ended() bool {
	sta, known := mdl.owners[mdl.current()].part.Status(job.NewID("c", "k"))
	return known && (sta.State() == job.Finished || sta.State() == job.Cancelled)
}

// exploration is the result of exploring the states from one starting point.
type exploration struct {
	states    int
	completed int
	violation string
	trace     []string
}

// node is one state on the frontier of an exploration, with its hash and the actions that led to it.
type node struct {
	mdl   *model
	sum   uint64
	trace []string
}

// explore visits the states of every interleaving up to a depth, breadth first. It stops at the first
// level with a violation.
func explore(first *model, depth int) *exploration {
	exp, seen := &exploration{}, map[uint64]struct{}{}
	level := []node{{mdl: first}}
	for dep := 0; dep <= depth && exp.violation == ""; dep++ {
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
			exp.completed += int(job.Bit(nod.sampled()))
			if exp.violation == "" {
				exp.violation, exp.trace = nod.mdl.violation, nod.trace
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

// sampled reports whether the job is also run to its end from this state, as it is from one in 32.
func (nod node) sampled() bool { return nod.sum%32 == 0 }

// expand returns the successors of a state, or none if further is false.
func (nod node) expand(further bool) []node {
	if nod.mdl.violation == "" && nod.sampled() {
		if cln := nod.mdl.clone(); !cln.runToEnd() {
			nod.mdl.fail("%s", cmp.Or(cln.violation, "the job does not end"))
		}
	}
	if !further || nod.mdl.violation != "" {
		return nil
	}
	var list []node
	for _, act := range nod.mdl.actions() {
		mdl := nod.mdl.clone()
		act.do(mdl)
		mdl.check()
		trace := append(nod.trace[:len(nod.trace):len(nod.trace)], act.name)
		list = append(list, node{mdl: mdl, sum: xxhash.Sum64(mdl.fingerprint()), trace: trace})
	}
	return list
}

// prepare applies actions by name to a new model. A name is an action's full name or its first words.
// An action with a leading question mark is skipped if it is not possible.
func prepare(vrt variant, names ...string) *model {
	mdl := newModel(vrt, 1)
	for _, name := range names {
		name, optional := strings.CutPrefix(name, "?")
		found := optional
		for _, act := range mdl.actions() {
			if act.name == name || len(act.name) > len(name) && act.name[:len(name)+1] == name+" " {
				act.do(mdl)
				found = true
				break
			}
		}
		Expect(found).To(BeTrue(), "no action %q", name)
	}
	return mdl
}

// Starting points of explorations and the sequences of actions that they share. The first instance (x)
// lets its offer time out, so that the task runs on the second one (y) and the next assignment prefers
// the first.
var (
	fresh     []string
	claimed   = []string{"advance renewed", "deliver offer y", "deliver claim y", "flush"}
	running   = slices.Concat(claimed, []string{"deliver claimReply y", "deliver start y"})
	takeOver  = []string{"advance", "advance", "advance", "takeover"}
	renewTask = []string{"?renew 0", "?deliver renew y", "?deliver renewReply y"}
	// A renewal is in flight to an owner that has been replaced.
	renewalToFormerOwner = slices.Concat(running, []string{"renew 0"}, takeOver)
	// The grant of a recorded claim is still in flight.
	grantInFlight    = slices.Concat(claimed, takeOver)
	adoptionAnswered = slices.Concat(grantInFlight, []string{"deliver adopt y", "deliver adopted y"})
	// The agent crashed while its start was in flight to the worker. The new agent does not know of it.
	startInFlight = slices.Concat(claimed, []string{"deliver claimReply y"}, takeOver,
		[]string{"agent crash", "deliver adopt y", "deliver adopted y", "?flush", "?deliver offer x 2", "?deliver claim x", "?flush"})
	resumedAfterEviction = slices.Concat(running, []string{"evict", "deliver report y", "flush"}, running[1:])
	// The agent sends its renewals to the former owner, whose partition lease has ended.
	renewedByFormerOwner  = slices.Concat(running, takeOver, renewTask)
	onlyFormerOwnerRenews = slices.Concat(renewedByFormerOwner, leaseTerm, renewTask, leaseTerm[:1], acceptOffer)
	// The owner has renewed the whole set of the instance and the reply is in flight.
	setRenewed = slices.Concat(running, renewTask, leaseTerm[:1], []string{"renew all 0", "deliver renewAll y"})
	// The lease from before the renewal of the set has ended and the renewed one has not. The first offer
	// to x arrives late, as does another one if the owner has wrongly declared the task lost.
	leaseKeptBySet = slices.Concat(setRenewed, []string{"deliver renewReply y"}, leaseTerm,
		[]string{"?flush", "deliver offer x 1", "?deliver offer x 1", "?deliver claim x", "?deliver claim x", "?deliver claim x", "?flush"})
	// The task left the group after its renewal and keeps the renewed lease.
	cancelledAfterSetRenewal = slices.Concat(setRenewed, []string{"cancel", "flush"}, leaseTerm)
	// The report of the end is in flight while the owner declares the task lost and offers it again.
	endAfterLease = slices.Concat(running, []string{"finish"}, leaseTerm, leaseTerm[:1], []string{"flush"})
	// The new offer is accepted and its claim is in flight, too.
	endDuringClaim = slices.Concat(endAfterLease, []string{"deliver offer x 1", "?deliver offer x 1"})
	// The report of the end is in flight while a new owner declares the task lost.
	endAfterTakeover = slices.Concat(running, []string{"finish"}, takeOver, leaseTerm, leaseTerm[:1], []string{"flush"})
	// The agent sends the renewal of the set to the former owner only, and the new owner offers the task
	// again.
	setRenewedByFormerOwner = slices.Concat(setRenewed, []string{"deliver renewReply y"}, takeOver,
		[]string{"renew all 0", "deliver renewAll y", "?deliver renewReply y"}, leaseTerm, leaseTerm[:1], acceptOffer)
	// The agent repeats its claim to the former owner.
	claimRepeated = slices.Concat(claimed, takeOver, repeatClaim, leaseTerm, repeatClaim, leaseTerm[:1], acceptOffer, []string{"flush"})
	repeatClaim   = []string{"claim again", "deliver claim y"}
	acceptOffer   = []string{"flush", "deliver offer x 2", "deliver claim x"}
	leaseTerm     = []string{"advance renewed", "advance renewed", "advance renewed"}
)

// depth returns the number of steps to explore. JACINTHPOST_DEPTH overrides the default.
func depth() int {
	if num, err := strconv.Atoi(os.Getenv("JACINTHPOST_DEPTH")); err == nil {
		return num
	}
	return 4
}

// expectSafe explores the model from the state after the actions of prefix and expects no violation.
func expectSafe(vrt variant, prefix []string) {
	GinkgoHelper()
	began := time.Now()
	exp := explore(prepare(vrt, prefix...), depth())
	fmt.Printf("depth %d after %d steps: %d states, %d run to the end, %v\n",
		depth(), len(prefix), exp.states, exp.completed, time.Since(began).Round(time.Millisecond))
	Expect(exp.violation).To(BeEmpty(), "after %v", exp.trace)
}

var _ = Describe("every interleaving", func() {
	// Guards against two live runs of a task, a second completion, a run from an outdated checkpoint and
	// a job that never ends, under message faults, crashes and takeover.
	DescribeTable("keeps the invariants",
		func(prefix []string) { expectSafe(variant{}, prefix) },
		Entry("from a submitted job", fresh),
		Entry("from a recorded claim", claimed),
		Entry("from a running task", running),
		Entry("after a takeover from a silent owner", renewalToFormerOwner),
		Entry("after a takeover with the grant in flight", grantInFlight),
		Entry("while the agent asks the former owner", renewedByFormerOwner),
		Entry("after the agent has sent renewals to the former owner only", onlyFormerOwnerRenews),
		Entry("after the agent has repeated its claim to the former owner", claimRepeated),
		Entry("after an eviction", resumedAfterEviction),
		Entry("after a renewal of the whole set", setRenewed),
		Entry("when the lease is valid only because of the renewal of the set", leaseKeptBySet),
		Entry("after a cancellation between the renewal of the set and its reply", cancelledAfterSetRenewal),
		Entry("when the end arrives after the lease", endAfterLease),
		Entry("when the end arrives during a new claim", endDuringClaim),
		Entry("when the end arrives after a takeover and the lease", endAfterTakeover),
		Entry("after a takeover, with renewals of the set by the former owner only", setRenewedByFormerOwner),
		Entry("after the agent crashed with a start in flight", startInFlight),
	)

	// Guards against a second completed run of a task that must not run again, and against such a task
	// that stays parked although its end was reported.
	DescribeTable("does not rerun a task that may have run",
		func(prefix []string) { expectSafe(variant{rerun: job.RerunNever}, prefix) },
		Entry("from a running task", running),
		Entry("after a takeover with the grant in flight", grantInFlight),
		Entry("while the agent asks the former owner", renewedByFormerOwner),
		Entry("after an eviction", resumedAfterEviction),
		Entry("when the end arrives after the lease", endAfterLease),
		Entry("when the end arrives after the retry", slices.Concat(endAfterLease, []string{"retry", "flush"})),
		Entry("when the end arrives during the claim after the retry", slices.Concat(endAfterLease, []string{"retry", "flush", "deliver offer x 1", "?deliver offer x 1"})),
		Entry("when the end arrives after a takeover and the lease", endAfterTakeover),
		Entry("after the agent crashed with a start in flight", startInFlight),
	)

	// Guards against a checker that misses violations: each variant breaks one rule of the processes
	// around the core, and the exploration has to find the violation.
	DescribeTable("finds the violation when a rule is broken",
		func(vrt variant, depth int, prefix []string, fault string) {
			exp := explore(prepare(vrt, prefix...), depth)
			fmt.Printf("%d states until %q after %v\n", exp.states, exp.violation, exp.trace)
			Expect(exp.violation).To(ContainSubstring(fault))
		},
		Entry("grants after the end of the partition lease", variant{ignorePartitionLease: true},
			3, onlyFormerOwnerRenews, "runs 2 times"),
		Entry("effects released before their records are durable", variant{earlyRelease: true}, 4, claimed[:2], "recorded false"),
		Entry("a takeover that does not wait for the leases to end", variant{shortTakeover: true},
			3, slices.Concat(renewalToFormerOwner, acceptOffer), "runs 2 times"),
		Entry("an adoption answer without the claims", variant{forgetClaims: true},
			3, slices.Concat(adoptionAnswered, acceptOffer, []string{"flush", "deliver claimReply y"}), "runs 2 times"),
		Entry("an epoch used twice", variant{sharedTokens: true}, 3, renewalToFormerOwner, "token does not grow"),
		Entry("a log that does not fence former owners", variant{unfencedLog: true}, 3, slices.Concat(claimed[:3], takeOver), "assigned while"),
	)
})

// Guards against violations beyond the depth of the exploration: with several tasks, repeated expiry and
// resumption, late cancellation, and replay at any point.
var _ = It("keeps the invariants in long random histories", func() {
	rapid.Check(GinkgoT(), func(rt *rapid.T) {
		rer := rapid.SampledFrom([]job.Rerun{job.RerunFromCheckpoint, job.RerunNever}).Draw(rt, "rerun")
		mdl := newModel(variant{rerun: rer}, rapid.IntRange(1, 3).Draw(rt, "tasks"))
		mdl.budget["duplicate"], mdl.budget["evict"], mdl.budget["agentCrash"], mdl.budget["instanceCrash"] = 10, 10, 3, 3
		var trace []string
		for range rapid.IntRange(1, 150).Draw(rt, "steps") {
			acts := mdl.actions()
			act := acts[rapid.IntRange(0, len(acts)-1).Draw(rt, "action")]
			trace = append(trace, act.name)
			act.do(mdl)
			mdl.check()
			if mdl.violation != "" {
				rt.Fatalf("%s after %v", mdl.violation, trace)
			}
			mdl.checkReplay(rt)
		}
		if !mdl.runToEnd() {
			rt.Fatalf("%s after %v", cmp.Or(mdl.violation, "the job does not end"), trace)
		}
	})
})

// checkReplay expects that replaying the log and replaying the snapshot both restore the owner's state.
func (mdl *model) checkReplay(rt *rapid.T) {
	own := &mdl.owners[mdl.current()]
	if len(own.pending) > 0 {
		return
	}
	live := own.part.Snapshot()
	for name, recs := range map[string][]job.Record{"log": mdl.log, "snapshot": live} {
		par := job.New(&job.SimplePlacement{}, job.DefaultLimits())
		par.Replay(recs)
		if !reflect.DeepEqual(par.Snapshot(), live) {
			rt.Fatalf("replayed %s: %v, live: %v", name, par.Snapshot(), live)
		}
	}
}
