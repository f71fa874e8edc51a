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

type account = ledger.Ledger[string, int]

var epoch = time.Unix(1e9, 0)

// ready returns a ledger of 10 cores, of which requests can use 2.5 in 5 slots.
func ready() *account {
	led := &account{}
	led.SetCapacity(ledger.NewCapacity(25).WithEndpoint(5, 4).WithCriticalSlots(2))
	led.MarkReady(resource.New(10000, 8000, 2))
	return led
}

func cores(num int64) resource.Vector { return resource.New(num*1000, 0, 0) }

// Guards against a refusal with a wrong reason, which an owner would act upon.
var _ = DescribeTable("Reserve refuses",
	func(led *account, amount resource.Vector, want outcome.Reason) {
		out, ok := led.Reserve("task", amount, epoch, epoch.Add(time.Second))
		Expect(ok).To(BeFalse())
		Expect(out.Kind()).To(Equal(outcome.KindNotRun))
		Expect(out.Reason()).To(Equal(want))
		Expect(led.TaskCount()).To(BeZero())
	},
	Entry("before the rebuild", &account{}, cores(1), outcome.ReasonNotReady),
	Entry("what needs the reserve for requests", ready(), cores(8), outcome.ReasonTooLarge),
	Entry("too many accelerators", ready(), resource.New(0, 0, 3), outcome.ReasonTooLarge),
	Entry("negative amounts", ready(), cores(-1), outcome.ReasonTooLarge),
)

// Guards against accelerators that no request uses and no task may have.
var _ = It("leaves all accelerators to tasks", func() {
	led := &account{}
	led.SetCapacity(ledger.NewCapacity(25).WithEndpoint(8, 64))
	led.MarkReady(resource.New(10000, 8000, 4))
	_, ok := led.Reserve("task", resource.New(1000, 1000, 4), epoch, epoch.Add(time.Second))
	Expect(ok).To(BeTrue())
	Expect(led.Free().Accelerators()).To(BeZero())
})

// Guards against batch requests that take the slots of latency-critical ones, and
// against admission beyond slots, connections or a ledger that is not rebuilt.
var _ = DescribeTable("Admit",
	func(led *account, batch bool, want int) {
		for key := range 10 {
			led.Admit(key, batch)
			led.Admit(key, batch) // a repetition counts once
		}
		Expect(led.RequestCount()).To(Equal(want))
		for key := range 10 {
			led.ReleaseRequest(key)
			led.ReleaseRequest(key)
		}
		Expect(led.RequestSum()).To(BeZero())
	},
	Entry("stops at the connections", ready(), false, 4),
	Entry("leaves the critical slots to latency-critical requests", ready(), true, 3),
	Entry("admits nothing before the rebuild", &account{}, false, 0),
)

// held is what the model believes a task to hold.
type held struct {
	amount  int64
	expires time.Time // zero once committed
}

// Guards against an account that admits beyond the capacity, forgets a stop in
// progress, or leaks, in any order of operations.
var _ = It("agrees with a model and never admits beyond the capacity", func() {
	rapid.Check(GinkgoT(), func(rt *rapid.T) {
		led, now, tasks := ready(), epoch, map[string]held{}
		total, forced := int64(10), false
		name := func(rt *rapid.T) string { return fmt.Sprint(rapid.IntRange(0, 7).Draw(rt, "task")) }
		size := rapid.Int64Range(0, 5)
		live := func(key string) (held, bool) {
			hld, found := tasks[key]
			return hld, found && (hld.expires.IsZero() || now.Before(hld.expires))
		}
		rt.Repeat(map[string]func(*rapid.T){
			"reserve": func(rt *rapid.T) {
				key, amount := name(rt), size.Draw(rt, "cores")
				hld, found := live(key)
				before := led.Deficit()
				_, ok := led.Reserve(key, cores(amount), now, now.Add(3*time.Second))
				if found && !ok {
					rt.Fatalf("a repeated reservation of %s is refused", key)
				}
				if !led.Deficit().FitsIn(before) {
					rt.Fatalf("admits %s and exceeds the capacity by %v, before by %v", key, led.Deficit(), before)
				}
				if ok && !found {
					tasks[key] = held{amount: amount, expires: now.Add(3 * time.Second)}
				} else if ok && !hld.expires.IsZero() {
					tasks[key] = held{amount: hld.amount, expires: now.Add(3 * time.Second)}
				}
			},
			"commit": func(rt *rapid.T) {
				key := name(rt)
				hld, found := live(key)
				found = found && led.Phase(key) != ledger.Stopping
				if ok := led.Commit(key, now); ok != found {
					rt.Fatalf("commit of %s is %v, in the model %v", key, ok, found)
				} else if ok {
					tasks[key] = held{amount: hld.amount}
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
				if hld, found := live(key); found && led.Adjust(key, cores(amount)) {
					tasks[key] = held{amount: amount, expires: hld.expires}
				}
			},
			"find": func(rt *rapid.T) {
				if rapid.IntRange(0, 9).Draw(rt, "rare") > 0 {
					return
				}
				key, amount := name(rt), size.Draw(rt, "cores")
				led.CommitReported(key, cores(amount))
				tasks[key], forced = held{amount: amount}, true
			},
			"resize": func(rt *rapid.T) {
				total = rapid.Int64Range(4, 12).Draw(rt, "total")
				led.MarkReady(cores(total))
				forced = true
			},
			"request": func(rt *rapid.T) {
				before := led.RequestCount()
				led.Admit(rapid.IntRange(0, 9).Draw(rt, "id"), rapid.Bool().Draw(rt, "batch"))
				if sum := led.TaskSum().Plus(led.RequestSum()); led.RequestCount() > before && !sum.FitsIn(led.Capacity().Total()) {
					rt.Fatalf("admits a request beyond the capacity: %v", sum)
				}
			},
			"finish": func(rt *rapid.T) { led.ReleaseRequest(rapid.IntRange(0, 9).Draw(rt, "id")) },
			"pass":   func(*rapid.T) { now = now.Add(time.Second) },
			"": func(rt *rapid.T) {
				before := led.Deficit()
				led.Expire(now)
				var sum int64
				for key := range tasks {
					if hld, found := live(key); found {
						sum += hld.amount
					} else {
						delete(tasks, key)
					}
				}
				if led.TaskSum() != cores(sum) || led.TaskCount() != len(tasks) {
					rt.Fatalf("the ledger counts %v in %d tasks, the model %d cores in %d", led.TaskSum(), led.TaskCount(), sum, len(tasks))
				}
				if !forced && before != (resource.Vector{}) {
					rt.Fatalf("exceeds the capacity by %v without a change from outside", before)
				}
				if led.RequestCount() > 4 || led.Free() != led.Capacity().Total().Minus(led.Committed()).Max(resource.Vector{}) {
					rt.Fatalf("%d requests, %v free", led.RequestCount(), led.Free())
				}
			},
		})
	})
})

// Measures what one task and one request cost the control goroutine.
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
