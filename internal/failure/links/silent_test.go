package links_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthpost/internal/failure/scene"
	"jacinthpost/internal/harness"
)

const (
	// recovery covers a deadline for finding the silence of each of three agents'
	// connections to their endpoints, which only a deadline shows.
	recovery = 5 * time.Second
	// outlast is how long the load goes on after the fault.
	outlast = recovery + 2*time.Second

	// burst is the number of the first check of the burst before the load, whose
	// callers fill the slots of every endpoint.
	burst        = 1_000_000
	burstCallers = 48

	work = `{"workMillis":9000}`
)

var _ = Describe("invariants 2, 3, 5, 6 and 7 (silent connections)", func() {
	// Guards against requests that hang beyond their deadline, that run twice or get
	// a wrong outcome, and against tasks that run twice or are lost, when every
	// established connection of a kind accepts bytes and delivers none while new
	// ones work. The burst before leaves more idle connections than the load uses.
	DescribeTable("requests and tasks go on when established connections go silent",
		func(ctx SpecContext, kind string, mayStayUnknown bool) {
			fle := scene.StartRelayed(ctx, "sen-vang", 0, "--service-time", "20ms")
			wrk := scene.StartWork(ctx, fle, work)
			bks, cks := scene.NewBookings(fle), scene.NewChecks(fle)
			scene.UnderLoad(ctx, burstCallers, func(ctx context.Context, num int) { cks.Send(ctx, burst+num) }, func() { scene.Hold(ctx, scene.LeadTime) })
			var fault time.Time
			count := scene.UnderLoad(ctx, 4, scene.Load(bks, cks), scene.Around(ctx, func() {
				fault = time.Now()
				scene.SetNetwork(ctx, fle, harness.Silent, scene.LinksOf(fle, kind)...)
				scene.Hold(ctx, outlast)
			}))
			Expect(fle.DroppedBytes(ctx)).To(BeNumerically(">", 0), "bytes were sent on silent connections")
			cks.ExpectKept(ctx, scene.From(fault.Add(recovery)))
			bks.SettleLoad(ctx, count, mayStayUnknown)
			wrk.ExpectDone(ctx)
		},
		Entry("from entries to agents", scene.EntriesToAgents, false, SpecTimeout(90*time.Second)),
		Entry("from agents to owners", scene.AgentsToOwners, false, SpecTimeout(90*time.Second)),
		Entry("from agents to endpoint and worker", scene.AgentsToEndpoints, true, SpecTimeout(90*time.Second)),
		Entry("from entries and agents to the store", scene.AllToStore, false, SpecTimeout(90*time.Second)),
	)
})
