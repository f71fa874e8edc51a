package failure_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthpost/internal/failure/scene"
	"jacinthpost/internal/harness"
)

// stopLimit is the default of shutdownSeconds plus the time for the process to end.
const stopLimit = 22 * time.Second

// retryRefused sends a non-idempotent request through the entries in turn. Only a
// connection that the entry has refused proves that another try is harmless.
func retryRefused(ctx context.Context, fle *harness.Fleet, num int, body string) (harness.Envelope, error) {
	env, err := fle.Request(ctx, num%2, body, "", false, scene.RequestLimit)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return fle.Request(ctx, (num+1)%2, body, "", false, scene.RequestLimit)
	}
	return env, err
}

// mustAnswer returns a call whose request must be answered.
func mustAnswer(fle *harness.Fleet) func(ctx context.Context, num int) {
	var once sync.Once
	return func(ctx context.Context, num int) {
		body := fmt.Sprintf("order %d", num)
		env, err := retryRefused(ctx, fle, num, body)
		if err == nil && env.Outcome == scene.Answered && env.Body.Body == body {
			return
		}
		// One failure tells enough; a process that is gone would give thousands.
		once.Do(func() {
			defer GinkgoRecover()
			Fail(fmt.Sprintf("%s was lost: %v %+v", body, err, env))
		})
	}
}

// lastRequestAt returns when the endpoint last received a request, also when it has ended.
func lastRequestAt(ctx context.Context, fle *harness.Fleet, ins *harness.Instance) harness.Peak {
	GinkgoHelper()
	var pek harness.Peak
	var err error
	if ins.Endpoint().Running() {
		pek, err = fle.Peak(ctx, ins)
	} else {
		pek, err = ins.FinalPeak()
	}
	Expect(err).NotTo(HaveOccurred())
	return pek
}

// stops end one process or its service under load and return when that began.
var stops = map[string]func(ctx context.Context, fle *harness.Fleet, ins *harness.Instance) time.Time{
	"endpoint": func(_ context.Context, _ *harness.Fleet, ins *harness.Instance) time.Time {
		begun := time.Now()
		Expect(ins.Endpoint().Terminate(stopLimit)).To(BeTrue(), "the endpoint ends cleanly and in time")
		return begun
	},
	"agent": func(_ context.Context, _ *harness.Fleet, ins *harness.Instance) time.Time {
		begun := time.Now()
		Expect(ins.Agent().Terminate(stopLimit)).To(BeTrue(), "the agent ends cleanly and in time")
		return begun
	},
	"drain": func(ctx context.Context, fle *harness.Fleet, ins *harness.Instance) time.Time {
		_, accepted := scene.FileNext(ctx, fle, harness.Change{Kind: "endpoint", Name: ins.ID(), State: map[string]any{"draining": true}})
		return accepted
	},
}

var _ = Describe("invariant 8 and invariant 9 (leaving endpoint, graceful stop)", func() {
	// Guards against requests that are lost, cut or sent to an endpoint that leaves:
	// they are not idempotent, so nobody may repeat them.
	DescribeTable("loses no request and sends none to the endpoint 3 s later",
		func(ctx SpecContext, name string) {
			fle := scene.StartFleet(ctx, "sen-vang", "--service-time", "20ms")
			ins := fle.Instances()[0]
			var begun time.Time
			scene.UnderLoad(ctx, 16, mustAnswer(fle), scene.Around(ctx, func() {
				Expect(lastRequestAt(ctx, fle, ins).LastRequestUnixMillis).To(BeNumerically(">", 0), "requests reach the endpoint before")
				begun = stops[name](ctx, fle, ins)
				scene.Hold(ctx, time.Until(begun.Add(2*scene.InForce)))
			}))
			pek := lastRequestAt(ctx, fle, ins)
			Expect(pek.LastRequestUnixMillis).To(BeNumerically("<=", begun.Add(scene.InForce).UnixMilli()))
		},
		Entry("when the endpoint gets SIGTERM", "endpoint", SpecTimeout(time.Minute)),
		Entry("when the agent gets SIGTERM", "agent", SpecTimeout(time.Minute)),
		Entry("when a ticket drains the endpoint", "drain", SpecTimeout(time.Minute)),
	)

	// Guards against an entry that cuts requests in flight or that closes
	// connections on which callers are sending.
	It("loses no request when an entry gets SIGTERM", func(ctx SpecContext) {
		fle := scene.StartFleet(ctx, "sen-vang", "--service-time", "20ms")
		scene.UnderLoad(ctx, 32, mustAnswer(fle), scene.Around(ctx, func() {
			Expect(fle.Entries()[0].Process().Terminate(stopLimit)).To(BeTrue(), "the entry ends cleanly and in time")
		}))
	}, SpecTimeout(time.Minute))
})
