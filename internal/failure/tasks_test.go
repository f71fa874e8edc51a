package failure_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthpost/internal/failure/scene"
)

const (
	// shortWork lasts longer than the lookup of the process to fail, longWork longer than
	// a task lease (15 s), so that no task ends while its end cannot be reported.
	shortWork = `{"workMillis":6000}`
	longWork  = `{"workMillis":20000}`

	pauseBeyondTaskLease      = 18 * time.Second
	pauseBeyondPartitionLease = 9 * time.Second
)

// taskFaults are injected while the work runs.
var taskFaults = map[string]func(ctx context.Context, wrk scene.Work){
	"agent killed and restarted": func(ctx context.Context, wrk scene.Work) {
		Expect(wrk.Host(ctx).Agent().Restart()).To(Succeed())
	},
	"agent killed for good": func(ctx context.Context, wrk scene.Work) { wrk.Host(ctx).Agent().Kill() },
	"endpoint and worker killed": func(ctx context.Context, wrk scene.Work) {
		Expect(wrk.Fleet().KillEndpoint(ctx, wrk.Host(ctx))).To(Succeed())
	},
	"agent paused beyond the task lease": func(ctx context.Context, wrk scene.Work) {
		agt := wrk.Host(ctx).Agent()
		agt.Pause()
		scene.Hold(ctx, pauseBeyondTaskLease)
		agt.Resume()
	},
	// The agent restarts after another one has taken over the partition, so that the
	// ends of the tasks on its instance are reported.
	"owner killed": func(ctx context.Context, wrk scene.Work) {
		agt := wrk.Owner(ctx).Agent()
		agt.Kill()
		scene.Hold(ctx, pauseBeyondPartitionLease)
		Expect(agt.Restart()).To(Succeed())
	},
	"owner paused beyond its partition lease": func(ctx context.Context, wrk scene.Work) {
		agt := wrk.Owner(ctx).Agent()
		agt.Pause()
		scene.Hold(ctx, pauseBeyondPartitionLease)
		agt.Resume()
	},
	"store down":   func(ctx context.Context, wrk scene.Work) { scene.StoreDown(ctx, wrk.Fleet(), 10*time.Second) },
	"answers lost": func(ctx context.Context, wrk scene.Work) { scene.LoseAnswers(ctx, wrk.Fleet(), 30) },
}

var _ = Describe("invariant 2 and invariant 3 (one place, exactly once)", func() {
	// Guards against a task that runs on two instances at once, finishes twice or is
	// lost, when the process that runs, controls or records it fails.
	DescribeTable("a build and a watch",
		func(ctx SpecContext, name, payload string) {
			fle := scene.StartFleet(ctx, "sen-vang")
			wrk := scene.StartWork(ctx, fle, payload)
			taskFaults[name](ctx, wrk)
			wrk.ExpectDone(ctx)
		},
		Entry("when the agent is killed and restarted", "agent killed and restarted", shortWork, SpecTimeout(2*time.Minute)),
		Entry("when the agent is killed for good", "agent killed for good", longWork, SpecTimeout(2*time.Minute)),
		Entry("when the endpoint and worker are killed", "endpoint and worker killed", shortWork, SpecTimeout(2*time.Minute)),
		Entry("when the agent is paused beyond the task lease", "agent paused beyond the task lease", longWork, SpecTimeout(2*time.Minute)),
		Entry("when the owner is killed", "owner killed", shortWork, SpecTimeout(2*time.Minute)),
		Entry("when the owner is paused beyond its partition lease", "owner paused beyond its partition lease", shortWork, SpecTimeout(2*time.Minute)),
		Entry("when the store is down", "store down", shortWork, SpecTimeout(2*time.Minute)),
		Entry("when the store loses answers", "answers lost", shortWork, SpecTimeout(2*time.Minute)),
	)
})
