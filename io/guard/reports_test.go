package guard_test

import (
	"bytes"
	"context"
	"encoding/gob"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"jacinthpost/core/interfere"
	"jacinthpost/io/agentstate"
	"jacinthpost/io/control"
	"jacinthpost/io/guard"
	"jacinthpost/io/message"
)

// owner records the messages that it gets. While it is down, calls fail.
type owner struct {
	mu       sync.Mutex
	down     bool
	calls    int
	messages []message.LearnArgs
}

// Call implements guard.Caller.
func (own *owner) Call(_ context.Context, addr, method string, args, _ any) error {
	own.mu.Lock()
	defer own.mu.Unlock()
	own.calls++
	if own.down {
		return errors.New("down")
	}
	own.messages = append(own.messages, *args.(*message.LearnArgs))
	if addr != "owner" || method != "Owner.Learn" {
		panic(addr + " " + method)
	}
	return nil
}

func (own *owner) counts() (calls, arrived int) {
	own.mu.Lock()
	defer own.mu.Unlock()
	return own.calls, len(own.messages)
}

// loop applies events at once, on the goroutine that posts them.
type loop struct {
	ins *instance
}

// Post and TryPost implement agentstate.Loop.
func (lop *loop) Post(_ context.Context, evt control.Event[agentstate.State]) error {
	evt.Apply(lop.ins.state, lop.ins.now)
	return nil
}
func (lop *loop) TryPost(control.Event[agentstate.State]) bool { return true }

// newReportingInstance returns an instance whose guard sends its observations to an owner.
func newReportingInstance(ctx context.Context) (*instance, *owner) {
	ins, own := newInstance(), &owner{}
	ins.guard = guard.New(&loop{ins: ins}, ins.host, interfere.NewController, zap.NewNop())
	ins.guard.EnableReports(ctx, own, "instance", 1)
	ins.state.Runner().Adopt(0, 1, "owner", ins.now)
	return ins, own
}

// serveAndWait calls serve period by period and waits until the calls to the owner have ended.
func (ins *instance) serveAndWait(periods int, slowdown float64) {
	for range periods {
		ins.serve(1, slowdown)
		synctest.Wait()
	}
}

// runInBubble runs a spec in a synctest bubble, so that it can wait for the ends of calls.
func runInBubble(spec func(ctx context.Context)) {
	synctest.Test(suite, func(*testing.T) {
		defer GinkgoRecover()
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		spec(ctx)
	})
}

var _ = Describe("EnableReports", func() {
	// Guards against owners that never get the observed cost of a class, get it too often, or do
	// not get it again after a failed call.
	It("sends the cost of a class to the owner of its task, again after a failure", func() {
		runInBubble(func(ctx context.Context) {
			ins, own := newReportingInstance(ctx)
			ins.serveAndWait(30, 0)
			Expect(own.counts()).To(BeZero(), "no task has run")
			ins.report(ins.noisyTask(1000))
			own.down = true
			ins.serveAndWait(60, 9)
			calls, arrived := own.counts()
			Expect(calls).To(BeNumerically(">", 0))
			Expect(arrived).To(BeZero())
			own.down = false
			ins.report() // the task has ended, the observation about its class remains
			ins.serveAndWait(100, 9)
			Expect(own.messages).NotTo(BeEmpty())
			Expect(own.messages[0].Service).To(Equal("service"))
			Expect(own.messages[0].Pairings).To(HaveLen(1))
			Expect(own.messages[0].Pairings[0].Class).To(Equal("noisy"))
			Expect(own.messages[0].Pairings[0].Cost).To(BeNumerically(">", 1))
			calls, _ = own.counts()
			Expect(calls).To(BeNumerically("<=", 4), "160 periods are 80 s")
		})
	})

	// Guards against an owner that assumes fewer resources for a task than are committed to it.
	It("tells the owner what is committed to a task that uses more", func() {
		runInBubble(func(ctx context.Context) {
			ins, own := newReportingInstance(ctx)
			ins.report(ins.noisyTask(1000))
			ins.serveAndWait(20, 0)
			ins.report(ins.noisyTask(5000))
			ins.serveAndWait(150, 0)
			var sizes []message.TaskSize
			for _, msg := range own.messages {
				sizes = append(sizes, msg.Sizes...)
			}
			Expect(sizes).To(HaveLen(1))
			Expect(sizes[0].Committed.MemoryMB).To(BeEquivalentTo(5000))
		})
	})

	// Guards against a class that is held back for ever because an idle service allows no
	// measurement, and against an unlimited number of idle reports.
	It("reports to the owner at most three times that the service beside a task is idle", func() {
		runInBubble(func(ctx context.Context) {
			ins, own := newReportingInstance(ctx)
			ins.report(ins.noisyTask(1000))
			for range 600 {
				ins.now = ins.now.Add(guard.Period)
				ins.guard.Decide(ins.state, ins.now)
				synctest.Wait()
			}
			Expect(own.messages).To(HaveLen(3))
			Expect(own.messages).To(HaveEach(HaveField("Idle", HaveExactElements("noisy"))))
		})
	})

	// Guards against a message larger than the size that docs/CAPACITY.md assumes.
	It("keeps the largest message within 4 KB", func() {
		var args message.LearnArgs
		for num := range message.MaxPairings {
			args.Pairings = append(args.Pairings, message.Pairing{Class: fmt.Sprintf("class-with-a-long-name-%02d", num), Cost: 1.234567, Weight: 7.654321})
		}
		for num := range message.MaxSizes {
			ref := message.TaskRef{Job: fmt.Sprintf("%040d", num), Index: num, Token: message.Token{Epoch: 1000, Sequence: 1_000_000}}
			args.Sizes = append(args.Sizes, message.TaskSize{Ref: ref, Committed: message.Resources{MilliCPU: 12_345, MemoryMB: 65_432}})
		}
		var buf bytes.Buffer
		enc := gob.NewEncoder(&buf)
		Expect(enc.Encode(args)).To(Succeed())
		first := buf.Len()
		Expect(enc.Encode(args)).To(Succeed())
		AddReportEntry("bytes", fmt.Sprintf("first %d, later %d", first, buf.Len()-first), ReportEntryVisibilityAlways)
		Expect(first).To(BeNumerically("<", 4096))
	})
})

// Guards against a service that counts as idle while it gets requests: every class would then
// appear to have no cost.
var _ = DescribeTable("Idle",
	func(each, seconds int, want bool) {
		ins := newInstance()
		for range seconds {
			ins.now = ins.now.Add(time.Second)
			ins.state.Served(each, ins.now)
		}
		Expect(ins.state.Idle(ins.now)).To(Equal(want))
		Expect(ins.state.Idle(ins.now.Add(time.Minute))).To(BeFalse(), "no count is recent")
	},
	Entry("holds without requests", 0, 1, true),
	Entry("holds without requests for long", 0, 100, true),
	Entry("ends with the first busy second", 10, 12, false),
	Entry("does not hold at one request a second", 1, 30, false),
)
