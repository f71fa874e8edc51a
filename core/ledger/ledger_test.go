package ledger_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"jacinthpost/core/ledger"
	"jacinthpost/core/outcome"
	"jacinthpost/core/resource"
	"jacinthpost/internal/proptest"
	"jacinthpost/internal/specs"
)

func TestLedger(t *testing.T) {
	if err := proptest.Setup(500, 80); err != nil {
		t.Fatal(err)
	}
	specs.Run(t, "ledger")
}

type testLedger = ledger.Ledger[string, int]

var epoch = time.Unix(1e9, 0)

// ready returns a ledger with 10 cores, of which 2.5 are reserved for requests in 5
// slots.
func ready() *testLedger {
	led := &testLedger{}
	led.SetCapacity(ledger.NewCapacity(25).WithEndpoint(5, 4).WithCriticalSlots(2))
	led.MarkReady(resource.New(10000, 8000, 2))
	return led
}

func cores(num int64) resource.Vector { return resource.New(num*1000, 0, 0) }

// Guards against refusals with a wrong reason, from which an owner would draw wrong conclusions.
var _ = DescribeTable("Reserve refuses",
	func(led *testLedger, amount resource.Vector, want outcome.Reason) {
		out, ok := led.Reserve("task", amount, epoch, epoch.Add(time.Second))
		Expect(ok).To(BeFalse())
		Expect(out.Kind()).To(Equal(outcome.KindNotRun))
		Expect(out.Reason()).To(Equal(want))
		Expect(led.TaskCount()).To(BeZero())
	},
	Entry("before the ledger is ready", &testLedger{}, cores(1), outcome.ReasonNotReady),
	Entry("an amount that needs the reserve for requests", ready(), cores(8), outcome.ReasonTooLarge),
	Entry("more accelerators than the instance has", ready(), resource.New(0, 0, 3), outcome.ReasonTooLarge),
	Entry("negative amounts", ready(), cores(-1), outcome.ReasonTooLarge),
)

// Guards against reserving accelerators for requests, which never use them.
var _ = It("leaves all accelerators to tasks", func() {
	led := &testLedger{}
	led.SetCapacity(ledger.NewCapacity(25).WithEndpoint(8, 64))
	led.MarkReady(resource.New(10000, 8000, 4))
	_, ok := led.Reserve("task", resource.New(1000, 1000, 4), epoch, epoch.Add(time.Second))
	Expect(ok).To(BeTrue())
	Expect(led.Free().Accelerators()).To(BeZero())
})

// Guards against batch requests that take the slots of latency-critical ones, against
// more requests than slots or connections, and against admission before the ledger
// is ready.
var _ = DescribeTable("Admit",
	func(led *testLedger, batch bool, want int) {
		for key := range 10 {
			led.Admit(key, batch)
			led.Admit(key, batch) // has no effect
		}
		Expect(led.RequestCount()).To(Equal(want))
		for key := range 10 {
			led.ReleaseRequest(key)
			led.ReleaseRequest(key)
		}
		Expect(led.RequestSum()).To(BeZero())
	},
	Entry("admits no more requests than connections", ready(), false, 4),
	Entry("leaves the critical slots to latency-critical requests", ready(), true, 3),
	Entry("admits nothing before the ledger is ready", &testLedger{}, false, 0),
)

// modelCommitment is the commitment of a task in the model.
type modelCommitment struct {
	amount  int64
	expires time.Time // zero once committed
}

// Guards against admission beyond the capacity, lost records of stops in progress,
// and leaked commitments, in any order of operations.
var _ = It("agrees with a model and never admits beyond the capacity", func() {
	rapid.Check(GinkgoT(), func(rt *rapid.T) {
		led, now, tasks := ready(), epoch, map[string]modelCommitment{}
		total, deficitAllowed := int64(10), false
		name := func(rt *rapid.T) string { return fmt.Sprint(rapid.IntRange(0, 7).Draw(rt, "task")) }
		size := rapid.Int64Range(0, 5)
		activeCommitment := func(key string) (modelCommitment, bool) {
			cmt, found := tasks[key]
			return cmt, found && (cmt.expires.IsZero() || now.Before(cmt.expires))
		}
		rt.Repeat(map[string]func(*rapid.T){
			"reserve": func(rt *rapid.T) {
				key, amount := name(rt), size.Draw(rt, "cores")
				cmt, found := activeCommitment(key)
				before := led.Deficit()
				_, ok := led.Reserve(key, cores(amount), now, now.Add(3*time.Second))
				if found && !ok {
					rt.Fatalf("a repeated reservation of %s was refused", key)
				}
				if !led.Deficit().FitsIn(before) {
					rt.Fatalf("admitted %s: the deficit is %v, before it was %v", key, led.Deficit(), before)
				}
				if ok && !found {
					tasks[key] = modelCommitment{amount: amount, expires: now.Add(3 * time.Second)}
				} else if ok && !cmt.expires.IsZero() {
					tasks[key] = modelCommitment{amount: cmt.amount, expires: now.Add(3 * time.Second)}
				}
			},
			"commit": func(rt *rapid.T) {
				key := name(rt)
				cmt, found := activeCommitment(key)
				found = found && led.Phase(key) != ledger.Stopping
				if ok := led.Commit(key, now); ok != found {
					rt.Fatalf("Commit of %s returned %v, want %v as in the model", key, ok, found)
				} else if ok {
					tasks[key] = modelCommitment{amount: cmt.amount}
				}
			},
			"stop": func(rt *rapid.T) {
				key := name(rt)
				if led.Phase(key) == ledger.Committed {
					led.Stop(key)
				}
			},
			"release": func(rt *rapid.T) {
				key := name(rt)
				led.Release(key)
				delete(tasks, key)
			},
			"adjust": func(rt *rapid.T) {
				key, amount := name(rt), size.Draw(rt, "cores")
				if cmt, found := activeCommitment(key); found && led.Adjust(key, cores(amount)) {
					tasks[key] = modelCommitment{amount: amount, expires: cmt.expires}
				}
			},
			"find": func(rt *rapid.T) {
				if rapid.IntRange(0, 9).Draw(rt, "rare") > 0 {
					return
				}
				key, amount := name(rt), size.Draw(rt, "cores")
				led.CommitReported(key, cores(amount))
				tasks[key], deficitAllowed = modelCommitment{amount: amount}, true
			},
			"resize": func(rt *rapid.T) {
				total = rapid.Int64Range(4, 12).Draw(rt, "total")
				led.MarkReady(cores(total))
				deficitAllowed = true
			},
			"request": func(rt *rapid.T) {
				before := led.RequestCount()
				led.Admit(rapid.IntRange(0, 9).Draw(rt, "id"), rapid.Bool().Draw(rt, "batch"))
				if sum := led.TaskSum().Plus(led.RequestSum()); led.RequestCount() > before && !sum.FitsIn(led.Capacity().Total()) {
					rt.Fatalf("admitted a request beyond the capacity: tasks and requests hold %v", sum)
				}
			},
			"finish": func(rt *rapid.T) { led.ReleaseRequest(rapid.IntRange(0, 9).Draw(rt, "id")) },
			"pass":   func(*rapid.T) { now = now.Add(time.Second) },
			"": func(rt *rapid.T) {
				before := led.Deficit()
				led.Expire(now)
				var sum int64
				for key := range tasks {
					if cmt, found := activeCommitment(key); found {
						sum += cmt.amount
					} else {
						delete(tasks, key)
					}
				}
				if led.TaskSum() != cores(sum) || led.TaskCount() != len(tasks) {
					rt.Fatalf("the ledger has %v committed to %d tasks, want %d cores for %d as in the model", led.TaskSum(), led.TaskCount(), sum, len(tasks))
				}
				if !deficitAllowed && before != (resource.Vector{}) {
					rt.Fatalf("the deficit is %v without reported tasks or a change of capacity, want none", before)
				}
				if led.RequestCount() > 4 || led.Free() != led.Capacity().Total().Minus(led.Committed()).Max(resource.Vector{}) {
					rt.Fatalf("%d requests, want at most 4; or %v free, want the total minus the commitments", led.RequestCount(), led.Free())
				}
			},
		})
	})
})

// Measures the time that one task and one request take in the control goroutine.
func BenchmarkLedger(b *testing.B) {
	b.Run("task", func(b *testing.B) {
		led := ready()
		for key := range 50 {
			led.CommitReported(fmt.Sprint("other", key), resource.New(10, 0, 0))
		}
		for b.Loop() {
			led.Reserve("task", cores(1), epoch, epoch.Add(time.Second))
			led.Commit("task", epoch)
			led.Release("task")
		}
	})
	b.Run("request", func(b *testing.B) {
		led := ready()
		for b.Loop() {
			led.Admit(1, false)
			led.ReleaseRequest(1)
		}
	})
}
