package pairs_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthpost/internal/failure/scene"
	"jacinthpost/internal/harness"
	"jacinthpost/io/table/tableapi"
)

const (
	pauseBeyondTaskLease      = 18 * time.Second
	pauseBeyondPartitionLease = 9 * time.Second
	lostPercent               = 30

	// work lasts longer than the lookup of the process to fail, longWork longer than a task
	// lease (15 s), so that no task ends while its end cannot be reported.
	work     = `{"workMillis":6000}`
	longWork = `{"workMillis":20000}`
)

// pairs inject two faults at once while tasks and requests run. All processes run again
// when they return.
var pairs = map[string]func(ctx context.Context, wrk scene.Work){
	"store down, owner killed": func(ctx context.Context, wrk scene.Work) {
		agt := wrk.Owner(ctx).Agent()
		scene.SetStore(ctx, wrk.Fleet(), tableapi.Faults{Mode: tableapi.ModeDown})
		agt.Kill()
		scene.Hold(ctx, pauseBeyondPartitionLease)
		scene.SetStore(ctx, wrk.Fleet(), tableapi.Faults{})
		Expect(agt.Restart()).To(Succeed())
	},
	"answers lost, agent paused": func(ctx context.Context, wrk scene.Work) {
		agt := wrk.Host(ctx).Agent()
		scene.LoseAnswers(ctx, wrk.Fleet(), lostPercent)
		agt.Pause()
		scene.Hold(ctx, pauseBeyondTaskLease)
		agt.Resume()
	},
	"connections silent, entry killed": func(ctx context.Context, wrk scene.Work) {
		scene.SetNetwork(ctx, wrk.Fleet(), harness.Silent, scene.LinksOf(wrk.Fleet(), scene.EntriesToAgents)...)
		ent := wrk.Fleet().Entries()[0].Process()
		ent.Kill()
		Expect(ent.Restart()).To(Succeed())
	},
}

var _ = Describe("invariants 2, 3, 6 and 7 (pairs of faults)", func() {
	// Guards against recovery from one fault that depends on a component which the other
	// fault disables.
	DescribeTable("tasks and bookings",
		func(ctx SpecContext, pair, payload string, mayStayUnknown bool) {
			fle := scene.StartRelayed(ctx, "sen-vang", 0, "--service-time", "50ms")
			wrk := scene.StartWork(ctx, fle, payload)
			bks := scene.NewBookings(fle)
			count := scene.UnderLoad(ctx, 4, bks.Book, scene.Around(ctx, func() { pairs[pair](ctx, wrk) }))
			wrk.ExpectDone(ctx)
			scene.AwaitComplete(ctx, fle)
			scene.InParallel(count, func(num int) { bks.Settle(ctx, num, mayStayUnknown) })
			Expect(bks.Answered()).To(BeNumerically(">", 0))
		},
		Entry("when the store is down and an owner is killed", "store down, owner killed", work, true, SpecTimeout(2*time.Minute)),
		Entry("when the store loses answers and an agent is paused", "answers lost, agent paused", longWork, true, SpecTimeout(2*time.Minute)),
		Entry("when connections to agents go silent and an entry is killed", "connections silent, entry killed", work, false, SpecTimeout(2*time.Minute)),
	)
})
