package failure_test

import (
	"context"
	"fmt"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthpost/internal/failure/scene"
	"jacinthpost/internal/harness"
	"jacinthpost/io/table/tableapi"
)

// pauseBeyondSilence is longer than the time after which a connection counts as
// silent (1 s) and a member as suspect (2 s).
const pauseBeyondSilence = 3 * time.Second

// settleTime is the service time of requests that are sent when no fault acts any longer.
const settleTime = time.Millisecond

// requestFaults are injected while requests run. Each restores the fleet before it returns.
var requestFaults = map[string]func(ctx context.Context, fle *harness.Fleet){
	"agent killed": func(_ context.Context, fle *harness.Fleet) {
		fle.Instances()[0].Agent().Kill()
		Expect(fle.Instances()[0].Agent().Restart()).To(Succeed())
	},
	"agent paused": func(ctx context.Context, fle *harness.Fleet) {
		fle.Instances()[0].Agent().Pause()
		scene.Hold(ctx, pauseBeyondSilence)
		fle.Instances()[0].Agent().Resume()
	},
	"entry killed": func(_ context.Context, fle *harness.Fleet) {
		fle.Entries()[0].Process().Kill()
		Expect(fle.Entries()[0].Process().Restart()).To(Succeed())
	},
	"answers lost": func(ctx context.Context, fle *harness.Fleet) {
		scene.LoseAnswers(ctx, fle, 20)
		scene.Hold(ctx, 2*time.Second)
		scene.SetStore(ctx, fle, tableapi.Faults{})
	},
	"store down": func(ctx context.Context, fle *harness.Fleet) { scene.StoreDown(ctx, fle, 5*time.Second) },
}

var _ = Describe("invariant 6 and invariant 7 (not run is true, at most once)", func() {
	// Guards against a booking that runs twice, or that runs although a caller was
	// told "not run", when a process that handles it fails midway. The requests take
	// 50 ms at the endpoint, so that many are running when the fault occurs.
	DescribeTable("keyed bookings through both entries",
		func(ctx SpecContext, name string, mayStayUnknown bool) {
			fle := scene.StartFleet(ctx, "bayou-paddle", "--service-time", "50ms")
			bks := scene.NewBookings(fle)
			count := scene.UnderLoad(ctx, 16, bks.Book, scene.Around(ctx, func() { requestFaults[name](ctx, fle) }))
			scene.AwaitComplete(ctx, fle)
			// Refusals are quick: an outage of the store leaves thousands of keys to settle.
			Expect(fle.SetServiceTime(ctx, settleTime)).To(Succeed())
			scene.InParallel(count, func(num int) { bks.Settle(ctx, num, mayStayUnknown) })
			Expect(bks.Answered()).To(BeNumerically(">", count/2), "most keys are answered in the end")
		},
		Entry("while an agent is killed", "agent killed", true, SpecTimeout(time.Minute)),
		Entry("while an agent is paused beyond the silence limit", "agent paused", false, SpecTimeout(time.Minute)),
		Entry("while an entry is killed", "entry killed", false, SpecTimeout(time.Minute)),
		Entry("while the store loses answers", "answers lost", false, SpecTimeout(time.Minute)),
		Entry("while the store is down", "store down", false, SpecTimeout(time.Minute)),
	)
})

var _ = Describe("invariant 5 (own answer)", func() {
	// Guards against an answer that reaches another caller when replies are late:
	// a resumed agent answers requests whose callers have given up or moved on.
	It("gives every caller the whole answer to its own request while an agent is paused and resumed", func(ctx SpecContext) {
		fle := scene.StartFleet(ctx, "sen-vang", "--service-time", "20ms")
		var mut sync.Mutex
		seen := map[string]int{}
		call := func(ctx context.Context, num int) {
			body := fmt.Sprintf("check %d", num)
			env, err := fle.Request(ctx, num%2, body, "", num%3 == 0, scene.RequestLimit/2)
			Expect(err).NotTo(HaveOccurred())
			mut.Lock()
			defer mut.Unlock()
			seen[env.Outcome]++
			if env.Outcome == scene.Answered {
				Expect(env.Body.Body).To(Equal(body))
				Expect(env.Body.RequestID).To(Equal(env.RequestID))
				Expect(env.Body.Instance).To(Equal(env.Instance))
			}
		}
		count := scene.UnderLoad(ctx, 16, call, scene.Around(ctx, func() { requestFaults["agent paused"](ctx, fle) }))
		Expect(seen[scene.Answered]).To(BeNumerically(">", count/2))
		scene.InParallel(count, func(num int) {
			if num%3 != 0 {
				Expect(fle.Executions(ctx, fmt.Sprintf("check %d", num))).To(BeNumerically("<=", 1), "executions of the non-idempotent request %d", num)
			}
		})
	}, SpecTimeout(time.Minute))
})
