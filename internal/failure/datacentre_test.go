package failure_test

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthpost/internal/harness"
	"jacinthpost/io/table/tableapi"
)

// outFault strikes around the acceptance of the ticket that takes a data centre out.
type outFault struct {
	before func(fle *harness.Fleet, ins *harness.Instance)
	after  func(ctx context.Context, fle *harness.Fleet, ins *harness.Instance)
}

func nothingBefore(*harness.Fleet, *harness.Instance) {}

// cutOff is longer than the promise plus the freshness limit (2.5 s).
const cutOff = 6 * time.Second

var outFaults = map[string]outFault{
	"none": {nothingBefore, func(context.Context, *harness.Fleet, *harness.Instance) {}},
	"agent paused": {
		func(_ *harness.Fleet, ins *harness.Instance) { ins.Agent().Pause() },
		func(ctx context.Context, _ *harness.Fleet, ins *harness.Instance) {
			hold(ctx, cutOff)
			ins.Agent().Resume()
		},
	},
	"store silent": {nothingBefore, func(ctx context.Context, fle *harness.Fleet, _ *harness.Instance) {
		fle.Platform().Pause()
		hold(ctx, cutOff)
		fle.Platform().Resume()
	}},
	"others paused": {nothingBefore, func(ctx context.Context, fle *harness.Fleet, ins *harness.Instance) {
		setStore(ctx, fle, tableapi.Faults{Mode: tableapi.ModeDown})
		forOthers(fle, ins, (*harness.Process).Pause)
		hold(ctx, cutOff)
		forOthers(fle, ins, (*harness.Process).Resume)
		setStore(ctx, fle, tableapi.Faults{})
	}},
}

// forOthers applies a signal to every entry and to the agents of other instances.
func forOthers(fle *harness.Fleet, ins *harness.Instance, signal func(*harness.Process)) {
	for _, ent := range fle.Entries() {
		signal(ent.Process())
	}
	for _, oth := range fle.Instances() {
		if oth != ins {
			signal(oth.Agent())
		}
	}
}

// fileNext files a change under the next number and returns when it was accepted.
func fileNext(ctx context.Context, fle *harness.Fleet, chg harness.Change) (uint64, time.Time) {
	GinkgoHelper()
	sta, err := fle.State(ctx, 0)
	Expect(err).NotTo(HaveOccurred())
	fld, err := fle.File(ctx, 0, sta.Head+1, chg)
	Expect(err).NotTo(HaveOccurred())
	Expect(fld.Outcome).To(Equal("accepted"), fld.Detail)
	return sta.Head + 1, time.Now()
}

// startsAt returns how many tasks have started on an instance after a time.
func startsAt(ctx context.Context, fle *harness.Fleet, ins *harness.Instance, after time.Time) func() int {
	return func() int {
		all, err := fle.History(ctx)
		Expect(err).NotTo(HaveOccurred())
		count := 0
		for _, run := range all {
			if run.Instance == ins.ID() && run.Started > after.UnixMilli() {
				count++
			}
		}
		return count
	}
}

var _ = Describe("invariant 4 (data centre out of service)", func() {
	// Guards against a start in a data centre that was taken out: by offers that
	// were under way, by an agent that slept through the ticket, and by agents
	// that cannot know of it. Jobs keep arriving, so that tasks start everywhere
	// all the time.
	DescribeTable("starts no task there 3 s after the ticket, and starts tasks again after the return",
		func(ctx SpecContext, name string) {
			fle := startFleet(ctx, "sen-vang")
			flt, ins := outFaults[name], fle.Instances()[1]
			flood := func(ctx context.Context, num int) {
				spc := jobSpec(fmt.Sprintf("flood %d", num), "plan", `{"workMillis":300}`, 12, 4000, 1024)
				// A store that is down and a paused entry refuse or lose the submission.
				_, _ = fle.Submit(ctx, num%2, spc)
				_ = harness.Pause(ctx, 200*time.Millisecond)
			}
			underLoad(ctx, 2, flood, func() {
				Eventually(startsAt(ctx, fle, ins, time.Time{})).WithContext(ctx).Within(20 * time.Second).Should(BeNumerically(">", 4))
				flt.before(fle, ins)
				num, accepted := fileNext(ctx, fle, harness.Change{Kind: "dataCentre", Name: ins.DataCentre(), State: map[string]any{"state": "out", "reason": "test"}})
				flt.after(ctx, fle, ins)
				awaitComplete(ctx, fle)
				hold(ctx, time.Until(accepted.Add(2*inForce)))
				Expect(startsAt(ctx, fle, ins, accepted.Add(inForce))()).To(BeZero(), "starts in %s", ins.DataCentre())
				_, back := fileNext(ctx, fle, harness.Change{Kind: "dataCentre", Name: ins.DataCentre(), BaseVersion: num, State: map[string]any{"state": "in"}})
				Eventually(startsAt(ctx, fle, ins, back)).WithContext(ctx).Within(40 * time.Second).Should(BeNumerically(">", 0))
			})
			expectNoOverlap(ctx, fle)
		},
		Entry("with all processes running", "none", SpecTimeout(90*time.Second)),
		Entry("with its agent paused before the ticket and resumed after", "agent paused", SpecTimeout(90*time.Second)),
		Entry("with a store that silently stops answering", "store silent", SpecTimeout(90*time.Second)),
		Entry("with the store down and every other process paused", "others paused", SpecTimeout(90*time.Second)),
	)
})
