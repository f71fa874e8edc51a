package region_test

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthpost/internal/failure/scene"
	"jacinthpost/internal/harness"
	"jacinthpost/io/control"
)

// isolation exceeds the limit for a ticket to be in force (3 s) plus the freshness limit
// (2.5 s).
const isolation = 8 * time.Second

// readersLimit allows for several rankings of the configuration readers (2 s each) on a busy machine.
const readersLimit = 20 * time.Second

// configSent is the prefix of the counters of bytes sent to obtain the configuration.
const configSent = `jacinthpost_peer_sent_bytes_total{kind="config"`

// pullers returns the instances whose agents are no configuration readers and only pull
// their configuration from other processes. Before the first ticket, only they send bytes
// for it.
func pullers(ctx context.Context, fle *harness.Fleet) []*harness.Instance {
	GinkgoHelper()
	sent := func(ins *harness.Instance) float64 {
		usg, err := ins.Usage(ctx)
		Expect(err).NotTo(HaveOccurred())
		return usg.Sum(configSent)
	}
	before := map[*harness.Instance]float64{}
	for _, ins := range fle.Instances() {
		before[ins] = sent(ins)
	}
	scene.Hold(ctx, 1500*time.Millisecond) // three pulls
	var found []*harness.Instance
	for _, ins := range fle.Instances() {
		if sent(ins) > before[ins] {
			found = append(found, ins)
		}
	}
	return found
}

// flood returns a load that submits jobs of short tasks, so that tasks keep starting on all
// instances.
func flood(fle *harness.Fleet) func(ctx context.Context, num int) {
	return func(ctx context.Context, num int) {
		spc := scene.JobSpec(fmt.Sprintf("flood %d", num), "plan", `{"workMillis":300}`, 12, 4000, 1024)
		_, _ = fle.Submit(ctx, num%len(fle.Entries()), spc) // the submission may fail during a fault
		_ = control.Pause(ctx, 200*time.Millisecond)
	}
}

func expectStarts(ctx context.Context, fle *harness.Fleet, ins *harness.Instance, after time.Time) {
	GinkgoHelper()
	Eventually(scene.StartsAt(ctx, fle, ins, after)).WithContext(ctx).Within(30*time.Second).Should(BeNumerically(">", 4), "starts at %s", ins.ID())
}

// twoPullers returns two instances whose agents are no configuration readers, in different
// data centres of the store's region, so that both agents own partitions. It waits for them:
// a process that has just started knows few others, so it considers itself a configuration
// reader until its next ranking.
func twoPullers(ctx context.Context, fle *harness.Fleet) (own, ins *harness.Instance) {
	GinkgoHelper()
	centres := fle.Deployment().Regions[0].DataCentres
	at := map[string]*harness.Instance{}
	Eventually(func() []string {
		clear(at)
		for _, pul := range pullers(ctx, fle) {
			at[pul.DataCentre()] = pul
		}
		return slices.Collect(maps.Keys(at))
	}).WithContext(ctx).Within(readersLimit).Should(ContainElements(centres[0], centres[1]), "data centres with an agent that is no configuration reader")
	return at[centres[0]], at[centres[1]]
}

// linksExceptTo returns the links from an instance to all processes but the named ones.
func linksExceptTo(fle *harness.Fleet, ins *harness.Instance, names ...string) harness.Link {
	return harness.Link{From: []string{ins.ID()}, To: scene.NamesOf(fle, scene.Except(append(names, ins.ID())...))}
}

var _ = Describe("invariant 4 (freshness rule)", func() {
	const instances = 6 // two in each data centre, of which one is a configuration reader

	// Guards against an agent that accepts offers although it cannot know whether its data
	// centre is still in service. One owner with a current configuration keeps offering
	// tasks, and the agent can claim them, so that only the agent's own freshness check
	// prevents a start.
	It("starts no task on an agent that receives no tickets, although an owner offers tasks", func(ctx SpecContext) {
		fle := scene.StartRelayed(ctx, "sen-vang", instances)
		own, ins := twoPullers(ctx, fle)
		scene.UnderLoad(ctx, 2, flood(fle), func() {
			expectStarts(ctx, fle, ins, time.Time{})
			others := scene.NamesOf(fle, scene.Except(own.ID(), ins.ID()))
			scene.SetNetwork(ctx, fle, harness.NoCalls, linksExceptTo(fle, ins, own.ID()), harness.Link{From: others, To: []string{ins.ID()}})
			begun := time.Now()
			scene.Hold(ctx, isolation)
			Expect(scene.StartsAt(ctx, fle, ins, begun.Add(scene.InForce))()).To(BeZero(), "starts at %s", ins.ID())
			scene.HealNetwork(ctx, fle)
			expectStarts(ctx, fle, ins, time.Now())
		})
		scene.ExpectNoOverlap(ctx, fle)
	}, SpecTimeout(90*time.Second))

	// Guards against task starts in a data centre that was taken out, when neither the agent
	// nor an owner receives tickets: the owner can call the store and the agent, and other
	// processes can call both, but neither can call a configuration reader.
	It("starts no task in a data centre taken out when its agent and an owner hear of no ticket", func(ctx SpecContext) {
		fle := scene.StartRelayed(ctx, "sen-vang", instances)
		own, ins := twoPullers(ctx, fle)
		scene.UnderLoad(ctx, 2, flood(fle), func() {
			expectStarts(ctx, fle, ins, time.Time{})
			scene.SetNetwork(ctx, fle, harness.NoCalls, linksExceptTo(fle, ins, own.ID()), linksExceptTo(fle, own, ins.ID(), harness.StoreName()))
			num, accepted := scene.FileNext(ctx, fle, harness.Change{Kind: "dataCentre", Name: ins.DataCentre(), State: map[string]any{"state": "out", "reason": "test"}})
			scene.Hold(ctx, isolation)
			Expect(scene.StartsAt(ctx, fle, ins, accepted.Add(scene.InForce))()).To(BeZero(), "starts in %s", ins.DataCentre())
			scene.HealNetwork(ctx, fle)
			_, back := scene.FileNext(ctx, fle, harness.Change{Kind: "dataCentre", Name: ins.DataCentre(), BaseVersion: num, State: map[string]any{"state": "in"}})
			expectStarts(ctx, fle, ins, back)
		})
		scene.ExpectNoOverlap(ctx, fle)
	}, SpecTimeout(90*time.Second))
})
