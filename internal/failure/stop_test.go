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

// stopLimit is the default of shutdownSeconds plus the time for the process to exit.
const stopLimit = 22 * time.Second

// retryRefused sends a non-idempotent request through the entries in turn. It
// retries only if the connection was refused, since the request cannot have run then.
func retryRefused(ctx context.Context, fle *harness.Fleet, num int, body string) (harness.Envelope, error) {
	env, err := fle.Request(ctx, num%2, body, "", false, scene.RequestLimit)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return fle.Request(ctx, (num+1)%2, body, "", false, scene.RequestLimit)
	}
	return env, err
}

// mustAnswer returns a load that fails the spec if a request is not answered.
func mustAnswer(fle *harness.Fleet) func(ctx context.Context, num int) {
	var once sync.Once
	return func(ctx context.Context, num int) {
		body := fmt.Sprintf("order %d", num)
		env, err := retryRefused(ctx, fle, num, body)
		if err == nil && env.Outcome == scene.Answered && env.Body.Body == body {
			return
		}
		// Reports only the first failure: a stopped process causes thousands.
		once.Do(func() {
			defer GinkgoRecover()
			Fail(fmt.Sprintf("%s was lost: %v %+v", body, err, env))
		})
	}
}

// peakOf returns the peak load and the time of the last request of an endpoint, which may
// have exited.
func peakOf(ctx context.Context, fle *harness.Fleet, ins *harness.Instance) harness.Peak {
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

// stops stop a process or drain the endpoint, and return when the stop began.
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
	// Guards against requests that are lost, interrupted or sent to an endpoint that is
	// stopping. They are not idempotent, so they must not be retried.
	DescribeTable("loses no request and sends none to the endpoint 3 s later",
		func(ctx SpecContext, name string) {
			fle := scene.StartFleet(ctx, "sen-vang", "--service-time", "20ms")
			ins := fle.Instances()[0]
			var begun time.Time
			scene.UnderLoad(ctx, 16, mustAnswer(fle), scene.Around(ctx, func() {
				Expect(peakOf(ctx, fle, ins).LastRequestUnixMillis).To(BeNumerically(">", 0), "requests reach the endpoint before")
				begun = stops[name](ctx, fle, ins)
				scene.Hold(ctx, time.Until(begun.Add(2*scene.InForce)))
			}))
			pek := peakOf(ctx, fle, ins)
			Expect(pek.LastRequestUnixMillis).To(BeNumerically("<=", begun.Add(scene.InForce).UnixMilli()))
		},
		Entry("when the endpoint gets SIGTERM", "endpoint", SpecTimeout(time.Minute)),
		Entry("when the agent gets SIGTERM", "agent", SpecTimeout(time.Minute)),
		Entry("when a ticket drains the endpoint", "drain", SpecTimeout(time.Minute)),
	)

	// Guards against an entry that aborts requests in flight or closes connections on
	// which callers are sending.
	It("loses no request when an entry gets SIGTERM", func(ctx SpecContext) {
		fle := scene.StartFleet(ctx, "sen-vang", "--service-time", "20ms")
		scene.UnderLoad(ctx, 32, mustAnswer(fle), scene.Around(ctx, func() {
			Expect(fle.Entries()[0].Process().Terminate(stopLimit)).To(BeTrue(), "the entry ends cleanly and in time")
		}))
	}, SpecTimeout(time.Minute))
})
