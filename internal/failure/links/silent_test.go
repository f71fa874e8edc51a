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
	// recovery allows for one request deadline for each of three agents, because a silent
	// connection to an endpoint is detected only when a deadline passes.
	recovery = 5 * time.Second
	// loadAfterFault is how long the load continues after the fault is injected.
	loadAfterFault = recovery + 2*time.Second

	// firstBurstCheck is the number of the first check of the burst that precedes the load.
	// The callers of the burst fill the slots of every endpoint.
	firstBurstCheck = 1_000_000
	burstCallers    = 48

	work = `{"workMillis":9000}`
)

var _ = Describe("invariants 2, 3, 5, 6 and 7 (silent connections)", func() {
	// Guards against requests that exceed their deadline, run twice or get a wrong outcome,
	// and against tasks that run twice or are lost, when all established connections of a
	// kind accept bytes but deliver none, while new connections work. The burst leaves more
	// idle connections open than the load uses.
	DescribeTable("requests and tasks go on when established connections go silent",
		func(ctx SpecContext, kind string, mayStayUnknown bool) {
			fle := scene.StartRelayed(ctx, "sen-vang", 0, "--service-time", "20ms")
			wrk := scene.StartWork(ctx, fle, work)
			bks, cks := scene.NewBookings(fle), scene.NewChecks(fle)
			scene.UnderLoad(ctx, burstCallers, func(ctx context.Context, num int) { cks.Send(ctx, firstBurstCheck+num) }, func() { scene.Hold(ctx, scene.LeadTime) })
			var fault time.Time
			count := scene.UnderLoad(ctx, 4, scene.Load(bks, cks), scene.Around(ctx, func() {
				fault = time.Now()
				scene.SetNetwork(ctx, fle, harness.Silent, scene.LinksOf(fle, kind)...)
				scene.Hold(ctx, loadAfterFault)
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
