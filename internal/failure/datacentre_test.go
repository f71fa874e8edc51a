package failure_test

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthpost/internal/failure/scene"
	"jacinthpost/internal/harness"
	"jacinthpost/io/control"
	"jacinthpost/io/table/tableapi"
)

// outageFault is injected before and after the ticket that takes a data centre out is accepted.
type outageFault struct {
	before func(fle *harness.Fleet, ins *harness.Instance)
	after  func(ctx context.Context, fle *harness.Fleet, ins *harness.Instance)
}

func noFaultBefore(*harness.Fleet, *harness.Instance) {}

// faultDuration exceeds the limit for a ticket to be in force (3 s) plus the freshness
// limit (2.5 s).
const faultDuration = 6 * time.Second

var outageFaults = map[string]outageFault{
	"none": {noFaultBefore, func(context.Context, *harness.Fleet, *harness.Instance) {}},
	"agent paused": {
		func(_ *harness.Fleet, ins *harness.Instance) { ins.Agent().Pause() },
		func(ctx context.Context, _ *harness.Fleet, ins *harness.Instance) {
			scene.Hold(ctx, faultDuration)
			ins.Agent().Resume()
		},
	},
	"store silent": {noFaultBefore, func(ctx context.Context, fle *harness.Fleet, _ *harness.Instance) {
		fle.Platform().Pause()
		scene.Hold(ctx, faultDuration)
		fle.Platform().Resume()
	}},
	"others paused": {noFaultBefore, func(ctx context.Context, fle *harness.Fleet, ins *harness.Instance) {
		scene.SetStore(ctx, fle, tableapi.Faults{Mode: tableapi.ModeDown})
		signalOthers(fle, ins, (*harness.Process).Pause)
		scene.Hold(ctx, faultDuration)
		signalOthers(fle, ins, (*harness.Process).Resume)
		scene.SetStore(ctx, fle, tableapi.Faults{})
	}},
}

// signalOthers signals every entry and the agents of all other instances.
func signalOthers(fle *harness.Fleet, ins *harness.Instance, signal func(*harness.Process)) {
	for _, ent := range fle.Entries() {
		signal(ent.Process())
	}
	for _, oth := range fle.Instances() {
		if oth != ins {
			signal(oth.Agent())
		}
	}
}

var _ = Describe("invariant 4 (data centre out of service)", func() {
	// Guards against task starts in a data centre that was taken out: from offers in
	// flight, by an agent that was paused when the ticket was accepted, or by agents that
	// cannot receive it. Jobs are submitted continuously, so that tasks keep starting on
	// all instances.
	DescribeTable("starts no task there 3 s after the ticket, and starts tasks again after the return",
		func(ctx SpecContext, name string) {
			fle := scene.StartFleet(ctx, "sen-vang")
			flt, ins := outageFaults[name], fle.Instances()[1]
			flood := func(ctx context.Context, num int) {
				spc := scene.JobSpec(fmt.Sprintf("flood %d", num), "plan", `{"workMillis":300}`, 12, 4000, 1024)
				// The submission may fail while the store is down or the entry is paused.
				_, _ = fle.Submit(ctx, num%2, spc)
				_ = control.Pause(ctx, 200*time.Millisecond)
			}
			scene.UnderLoad(ctx, 2, flood, func() {
				Eventually(scene.StartsAt(ctx, fle, ins, time.Time{})).WithContext(ctx).Within(20 * time.Second).Should(BeNumerically(">", 4))
				flt.before(fle, ins)
				num, accepted := scene.FileNext(ctx, fle, harness.Change{Kind: "dataCentre", Name: ins.DataCentre(), State: map[string]any{"state": "out", "reason": "test"}})
				flt.after(ctx, fle, ins)
				scene.AwaitComplete(ctx, fle)
				scene.Hold(ctx, time.Until(accepted.Add(2*scene.InForce)))
				Expect(scene.StartsAt(ctx, fle, ins, accepted.Add(scene.InForce))()).To(BeZero(), "starts in %s", ins.DataCentre())
				_, back := scene.FileNext(ctx, fle, harness.Change{Kind: "dataCentre", Name: ins.DataCentre(), BaseVersion: num, State: map[string]any{"state": "in"}})
				Eventually(scene.StartsAt(ctx, fle, ins, back)).WithContext(ctx).Within(40 * time.Second).Should(BeNumerically(">", 0))
			})
			scene.ExpectNoOverlap(ctx, fle)
		},
		Entry("with all processes running", "none", SpecTimeout(90*time.Second)),
		Entry("with its agent paused before the ticket and resumed after", "agent paused", SpecTimeout(90*time.Second)),
		Entry("with a store that silently stops answering", "store silent", SpecTimeout(90*time.Second)),
		Entry("with the store down and every other process paused", "others paused", SpecTimeout(90*time.Second)),
	)
})
