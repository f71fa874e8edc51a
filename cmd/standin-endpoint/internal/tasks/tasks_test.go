package tasks_test

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"jacinthpost/cmd/standin-endpoint/internal/tasks"
	"jacinthpost/core/resource"
	"jacinthpost/core/token"
	"jacinthpost/core/worker"
	"jacinthpost/internal/specs"
)

func TestTasks(t *testing.T) {
	specs.Run(t, "tasks")
}

const incarnation = 5

var config = tasks.NewConfig(incarnation, resource.New(4000, 8000, 1)).
	WithUsageLag(time.Second).
	WithCheckpoints(time.Second)

// at returns a reading of the worker's clock.
func at(seconds float64) worker.Instant { return worker.Instant(seconds * float64(time.Second)) }

func ref(sequence uint64) worker.Ref { return worker.NewRef("job", 0, token.New(1, sequence)) }

// order returns an order of one core that ends at the deadline.
func order(rfr worker.Ref, deadline float64, payload string) worker.StartOrder {
	return worker.NewStartOrder(rfr, incarnation, at(deadline)).
		WithClass("build", "class").
		WithResources(resource.New(1000, 1000, 0)).
		WithPayload([]byte(payload), "")
}

const longWork = `{"workMillis":10000}`

// stateAt returns the report of an assignment.
func stateAt(mac *tasks.Machine, seconds float64, rfr worker.Ref) worker.TaskReport {
	GinkgoHelper()
	for _, rep := range mac.Report(at(seconds)).Tasks() {
		if rep.Ref() == rfr {
			return rep
		}
	}
	Fail("no record of " + rfr.Token().String())
	return worker.TaskReport{}
}

// Guards against a task that runs twice: each entry is a way in which a start
// arrives that must not take effect any more.
var _ = DescribeTable("a start is fenced",
	func(prepare func(*tasks.Machine), ord worker.StartOrder, want worker.Refusal) {
		mac := tasks.New(config)
		prepare(mac)
		Expect(mac.Start(at(5), ord).Refusal()).To(Equal(want))
		if want != "" {
			Expect(mac.Start(at(5), ord).Started()).To(BeFalse(), "a repetition")
		}
	},
	Entry("delayed until its deadline has passed", func(*tasks.Machine) {}, order(ref(2), 5, longWork), worker.RefusedDeadline),
	Entry("of an earlier process of the worker", func(*tasks.Machine) {},
		worker.NewStartOrder(ref(2), incarnation-1, at(60)), worker.RefusedIncarnation),
	Entry("with a lower token than a finished assignment", func(mac *tasks.Machine) {
		mac.Start(at(1), order(ref(3), 60, `{}`))
		mac.Forget(at(2), ref(3))
	}, order(ref(2), 60, longWork), worker.RefusedToken),
	Entry("after its stop", func(mac *tasks.Machine) {
		Expect(mac.Stop(at(1), ref(2), true).State()).To(Equal(worker.NotStarted))
	}, order(ref(2), 60, longWork), worker.RefusedToken),
	Entry("lower than a stop", func(mac *tasks.Machine) { mac.Stop(at(1), ref(3), false) }, order(ref(2), 60, longWork), worker.RefusedToken),
	Entry("while an earlier assignment runs", func(mac *tasks.Machine) {
		mac.Start(at(1), order(ref(1), 60, longWork))
	}, order(ref(2), 60, longWork), worker.RefusedRunning),
	Entry("not: after an earlier assignment expired", func(mac *tasks.Machine) {
		mac.Start(at(1), order(ref(1), 4, longWork))
	}, order(ref(2), 60, longWork), worker.Refusal("")),
	Entry("not: repeated with the same token", func(mac *tasks.Machine) {
		mac.Start(at(1), order(ref(2), 60, longWork))
	}, order(ref(2), 60, longWork), worker.Refusal("")),
	Entry("not: of another task", func(mac *tasks.Machine) {
		mac.Start(at(1), order(ref(9), 60, longWork))
	}, order(worker.NewRef("job", 1, token.New(1, 2)), 60, longWork), worker.Refusal("")),
)

// Guards against an order refused as running that starts once the earlier
// assignment has ended: its owner was told that it never starts.
var _ = It("keeps an order refused as running from starting later", func() {
	mac := tasks.New(config)
	mac.Start(at(0), order(ref(1), 60, longWork))
	Expect(mac.Start(at(1), order(ref(2), 60, longWork)).Refusal()).To(Equal(worker.RefusedRunning))
	mac.Stop(at(2), ref(1), false)
	Expect(mac.Start(at(3), order(ref(2), 60, longWork)).Refusal()).To(Equal(worker.RefusedToken))
	Expect(mac.Start(at(3), order(ref(3), 60, longWork)).Started()).To(BeTrue())
})

var _ = Describe("a lease", func() {
	// Guards against a task that outlives its lease when the worker looks late.
	It("ends at its deadline with the last checkpoint", func() {
		mac := tasks.New(config)
		mac.Start(at(0), order(ref(1), 3.5, longWork))
		rep := stateAt(mac, 100, ref(1))
		Expect(rep.State()).To(Equal(worker.Expired))
		Expect(rep.Checkpoint()).To(Equal("work:3000"))
		Expect(mac.History(at(100))[0].Stopped()).To(Equal(at(3.5)))
	})

	// Guards against a delayed renewal that shortens a lease or revives a task.
	It("is never shortened and never revived", func() {
		mac := tasks.New(config)
		mac.Start(at(0), order(ref(1), 4, longWork))
		Expect(mac.Renew(at(1), []worker.Lease{worker.NewLease(ref(1), at(6)), worker.NewLease(ref(2), at(9))})).
			To(Equal([]worker.Ref{ref(1)}))
		mac.Renew(at(2), []worker.Lease{worker.NewLease(ref(1), at(3))})
		Expect(stateAt(mac, 5, ref(1)).State()).To(Equal(worker.Running))
		Expect(mac.Renew(at(7), []worker.Lease{worker.NewLease(ref(1), at(20))})).To(BeEmpty())
		Expect(stateAt(mac, 8, ref(1)).State()).To(Equal(worker.Expired))
	})

	// Guards against a paused worker that continues a task whose lease ended meanwhile.
	It("ends during a freeze", func() {
		mac := tasks.New(config)
		mac.Start(at(0), order(ref(1), 5, longWork))
		mac.SetFaults(at(2), tasks.Faults{FreezeMillis: 8000})
		rep := stateAt(mac, 10, ref(1))
		Expect(rep.State()).To(Equal(worker.Expired))
		Expect(rep.Progress()).To(Equal(20), "no progress while frozen")
	})
})

var _ = Describe("work", func() {
	// Guards against lost or repeated work: another worker must go on from the checkpoint.
	It("continues on another worker from a checkpoint", func() {
		mac := tasks.New(config)
		mac.Start(at(0), order(ref(1), 60, longWork))
		rep := mac.Stop(at(4.25), ref(1), true)
		Expect(rep.State()).To(Equal(worker.Checkpointed))
		other := tasks.New(config)
		other.Start(at(0), order(ref(2), 60, longWork).WithPayload([]byte(longWork), rep.Checkpoint()))
		Expect(stateAt(other, 5.7, ref(2)).State()).To(Equal(worker.Running))
		Expect(stateAt(other, 5.8, ref(2)).State()).To(Equal(worker.Finished))
		Expect(other.History(at(9))[0].Stopped()).To(Equal(at(5.75)))
	})

	// Guards against a worker double that hides the cost of noise and throttling from the scheduler.
	It("disturbs the endpoint in proportion to its throttled speed", func() {
		mac := tasks.New(config)
		Expect(mac.Interference()).To(BeZero())
		mac.Start(at(0), order(ref(1), 60, `{"workMillis":10000,"noisy":true,"memoryMB":3000}`))
		loud := mac.Interference()
		mac.Throttle(at(2), ref(1), 50)
		Expect(mac.Interference()).To(BeNumerically("~", loud/2, 0.01))
		Expect(stateAt(mac, 2.5, ref(1)).Usage()).To(Equal(resource.New(1500, 3000, 0)), "usage lags")
		Expect(stateAt(mac, 3, ref(1)).Usage()).To(Equal(resource.New(750, 3000, 0)))
		Expect(stateAt(mac, 4, ref(1)).Progress()).To(Equal(30))
	})

	// Guards against classes that all disturb alike whatever their payload says.
	It("disturbs the endpoint as much as the payload says", func() {
		disturbance := func(payload string) float64 {
			mac := tasks.New(config)
			mac.Start(at(0), order(ref(1), 60, payload))
			return mac.Interference()
		}
		one := disturbance(`{"workMillis":10000,"noisePercent":150}`)
		Expect(one).To(BeNumerically(">", 0))
		Expect(disturbance(`{"workMillis":10000,"noisePercent":300}`)).To(BeNumerically("~", 2*one, 0.01))
	})

	// Guards against a baseline without throttling that is throttled all the same.
	It("runs tasks at full speed when it ignores throttle orders", func() {
		mac := tasks.New(config)
		mac.SetFaults(at(0), tasks.Faults{IgnoreThrottle: true})
		mac.Start(at(0), order(ref(1), 60, `{"workMillis":10000,"noisy":true}`))
		mac.Throttle(at(0), ref(1), 10)
		Expect(stateAt(mac, 4, ref(1)).Progress()).To(Equal(40))
	})

	// Guards against a double that hides an over-commitment.
	It("records the peak and slows down when it does not fit", func() {
		mac := tasks.New(config)
		for index := range 8 {
			mac.Start(at(0), order(worker.NewRef("job", index, token.New(1, 1)), 60, longWork))
		}
		Expect(mac.Peak()).To(Equal(resource.New(8000, 8000, 0)))
		Expect(stateAt(mac, 10, ref(1)).Progress()).To(Equal(50))
	})

	DescribeTable("fails when told to",
		func(payload string, flt tasks.Faults, want worker.State) {
			mac := tasks.New(config)
			mac.SetFaults(at(0), flt)
			mac.Start(at(0), order(ref(1), 60, payload))
			Expect(stateAt(mac, 50, ref(1)).State()).To(Equal(want))
		},
		Entry("a poison task", `{"workMillis":1000,"failPercent":100}`, tasks.Faults{}, worker.Failed),
		Entry("a payload that is not JSON", `{`, tasks.Faults{}, worker.Failed),
		Entry("a bad worker", longWork, tasks.Faults{FailAll: true}, worker.Failed),
		Entry("a task that never finishes", `{"neverFinishes":true}`, tasks.Faults{}, worker.Running),
		Entry("a slow worker", longWork, tasks.Faults{SlowPercent: 90}, worker.Running),
		Entry("no fault", longWork, tasks.Faults{}, worker.Finished),
	)
})

// Guards against any order of calls that lets two assignments of a task run at
// once, runs one past its deadline, or starts a token that a stop has fenced.
var _ = It("holds its invariants under random calls", func() {
	seeds, _ := strconv.Atoi(os.Getenv("JACINTHPOST_SEEDS"))
	for seed := range max(seeds, 1) {
		Expect(flag.Set("rapid.seed", strconv.Itoa(11+seed))).To(Succeed())
		rapid.Check(GinkgoTB(), checkInvariants)
	}
})

func checkInvariants(gen *rapid.T) {
	mac, now := tasks.New(config), 0.0
	stopped := make(map[worker.Ref]bool)
	for range rapid.IntRange(1, 40).Draw(gen, "calls") {
		now += rapid.Float64Range(0, 2).Draw(gen, "seconds")
		rfr := worker.NewRef("job", rapid.IntRange(0, 1).Draw(gen, "index"), token.New(1, rapid.Uint64Range(1, 6).Draw(gen, "sequence")))
		end := now + rapid.Float64Range(-2, 6).Draw(gen, "lease")
		switch rapid.IntRange(0, 4).Draw(gen, "call") {
		case 0, 1:
			known := len(mac.History(at(now)))
			mac.Start(at(now), order(rfr, end, `{"workMillis":3000}`))
			if len(mac.History(at(now))) > known && stopped[rfr] {
				gen.Fatalf("%v started after its stop", rfr)
			}
		case 2:
			mac.Renew(at(now), []worker.Lease{worker.NewLease(rfr, at(end))})
		case 3:
			rep := mac.Stop(at(now), rfr, rapid.Bool().Draw(gen, "checkpoint"))
			if !rep.State().Ended() {
				gen.Fatalf("stop answered %s", rep.State())
			}
			for sequence := rfr.Token().Sequence(); sequence > 0; sequence-- {
				stopped[worker.NewRef("job", rfr.Index(), token.New(1, sequence))] = true
			}
		default:
			mac.Forget(at(now), rfr)
		}
		checkState(gen, mac, at(now))
	}
}

func checkState(gen *rapid.T, mac *tasks.Machine, now worker.Instant) {
	running := make(map[int]worker.Ref)
	for _, rep := range mac.Report(now).Tasks() {
		if rep.State() != worker.Running {
			continue
		}
		if other, found := running[rep.Ref().Index()]; found {
			gen.Fatalf("%v and %v run at once", rep.Ref(), other)
		}
		if rep.Deadline() <= now {
			gen.Fatalf("%v runs past its deadline", rep.Ref())
		}
		running[rep.Ref().Index()] = rep.Ref()
	}
	last := make(map[int]tasks.Entry)
	for _, ent := range mac.History(now) {
		before, found := last[ent.Ref().Index()]
		if found && (before.State() == worker.Running || ent.Started() < before.Stopped()) {
			gen.Fatalf("%s", fmt.Sprint("history overlaps: ", before, ent))
		}
		last[ent.Ref().Index()] = ent
	}
}
