package route_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthpost/core/fleet"
	"jacinthpost/core/outcome"
	"jacinthpost/core/route"
	"jacinthpost/internal/specs"
)

func TestRoute(t *testing.T) {
	specs.Run(t, "route")
}

var epoch = time.Unix(1_000_000, 0)

// tierSizes builds a set with the given number of candidates in each tier, named t<tier>-<number>.
func tierSizes(sizes ...int) *route.Set {
	set := new(route.Set)
	for tier, size := range sizes {
		for num := range size {
			name := fleet.InstanceID(fmt.Sprintf("t%d-%d", tier, num))
			set.Add(fleet.Tier(tier), route.NewCandidate(name, 1, string(name), new(route.Load)))
		}
	}
	return set
}

func load(set *route.Set, name fleet.InstanceID) *route.Load {
	can, found := set.Find(name)
	ExpectWithOffset(1, found).To(BeTrue())
	return can.Load()
}

func expectChoices(set *route.Set, tried []fleet.InstanceID, want ...fleet.InstanceID) {
	GinkgoHelper()
	rng := rand.New(rand.NewPCG(1, 2))
	var rou route.Router[route.TwoChoices]
	seen := map[fleet.InstanceID]bool{}
	for range 200 {
		can, _, found := rou.Next(set, tried, epoch, rng)
		if found {
			seen[can.Instance()] = true
		}
	}
	Expect(seen).To(HaveLen(len(want)))
	for _, name := range want {
		Expect(seen).To(HaveKey(name))
	}
}

func failTimes(loa *route.Load, times int) {
	for range times {
		loa.RecordFailure(epoch)
	}
}

var _ = Describe("Router.Next", func() {
	It("stays in the nearest tier, so that the regional link carries nothing needless", func() {
		expectChoices(tierSizes(2, 3, 4), nil, "t0-0", "t0-1")
	})
	It("goes one tier out when all near candidates were tried", func() {
		expectChoices(tierSizes(1, 2, 1), []fleet.InstanceID{"t0-0"}, "t1-0", "t1-1")
	})
	It("passes over full candidates while another has room", func() {
		set := tierSizes(2, 1)
		load(set, "t0-0").RecordFull(epoch)
		expectChoices(set, nil, "t0-1")
	})
	It("takes a full candidate rather than refusing unheard", func() {
		set := tierSizes(1)
		load(set, "t0-0").RecordFull(epoch)
		expectChoices(set, nil, "t0-0")
	})
	It("passes over ejected candidates", func() {
		set := tierSizes(3)
		failTimes(load(set, "t0-1"), 5)
		expectChoices(set, nil, "t0-0", "t0-2")
	})
	It("ignores ejection when most of the tier is ejected, so that a local fault cannot stop a service", func() {
		set := tierSizes(3)
		failTimes(load(set, "t0-1"), 5)
		failTimes(load(set, "t0-2"), 5)
		expectChoices(set, nil, "t0-0", "t0-1", "t0-2")
	})
	It("leaves a tier that is lost, so that the requests go where they are answered", func() {
		set := tierSizes(2, 2)
		failTimes(load(set, "t0-0"), 5)
		failTimes(load(set, "t0-1"), 5)
		expectChoices(set, nil, "t1-0", "t1-1")
	})
	It("ignores ejection when no tier answers, so that a local fault cannot stop a service", func() {
		set := tierSizes(1, 1)
		failTimes(load(set, "t0-0"), 5)
		failTimes(load(set, "t1-0"), 5)
		expectChoices(set, nil, "t0-0")
	})
	It("finds nothing in an empty set", func() {
		expectChoices(tierSizes(), nil)
	})
})

var _ = Describe("Load", func() {
	It("returns an ejected endpoint after a bounded pause and ejects it again at its first failure", func() {
		var loa route.Load
		failTimes(&loa, 5)
		Expect(loa.Ejected(epoch)).To(BeTrue())
		Expect(loa.Ejected(epoch.Add(time.Second))).To(BeFalse())
		failTimes(&loa, 1)
		Expect(loa.Ejected(epoch.Add(time.Second))).To(BeTrue())
		failTimes(&loa, 20)
		Expect(loa.Ejected(epoch.Add(30 * time.Second))).To(BeFalse())
	})
	It("forgets failures after an answer", func() {
		var loa route.Load
		failTimes(&loa, 4)
		loa.RecordSuccess(time.Millisecond)
		failTimes(&loa, 4)
		Expect(loa.Ejected(epoch)).To(BeFalse())
	})
})

// Guards against retries that multiply the load of a failing service.
var _ = Describe("Budget", func() {
	It("limits retries to a tenth of the requests after the first few", func() {
		var bud route.Budget
		retries := 0
		for range 10_000 {
			bud.Earn()
			if bud.Spend() {
				retries++
			}
		}
		Expect(retries).To(BeNumerically("<=", 10_000/10+10))
		Expect(retries).To(BeNumerically(">=", 10_000/10))
	})
})

// Compares the policies on 11 endpoints with exact local counts; the figure is
// the largest number of requests in flight on one endpoint.
func BenchmarkPolicies(b *testing.B) {
	b.Run("twoChoices", func(b *testing.B) { runPolicy(b, new(route.Router[route.TwoChoices])) })
	b.Run("uniform", func(b *testing.B) { runPolicy(b, new(route.Router[route.Uniform])) })
	b.Run("leastOutstanding", func(b *testing.B) { runPolicy(b, new(route.Router[route.LeastOutstanding])) })
}

func runPolicy[P route.Policy](b *testing.B, rou *route.Router[P]) {
	set := tierSizes(11)
	rng := rand.New(rand.NewPCG(7, 7))
	var inFlight []*route.Load
	highest := int64(0)
	for b.Loop() {
		can, _, _ := rou.Next(set, nil, epoch, rng)
		can.Load().Begin()
		highest = max(highest, can.Load().Outstanding())
		inFlight = append(inFlight, can.Load())
		if len(inFlight) > 60 {
			num := rng.IntN(len(inFlight))
			inFlight[num].End()
			inFlight[num] = inFlight[len(inFlight)-1]
			inFlight = inFlight[:len(inFlight)-1]
		}
	}
	b.ReportMetric(float64(highest), "peak-in-flight")
}

// Guards against a leaving endpoint using up the retries that overload needs, and the reverse.
var _ = DescribeTable("RetryCosts",
	func(out outcome.Outcome, want bool) { Expect(route.RetryCostsBudget(out)).To(Equal(want)) },
	Entry("overload", outcome.NotRun(outcome.ReasonQueueFull, ""), true),
	Entry("unknown", outcome.Unknown(outcome.ReasonPeerLost, ""), true),
	Entry("leaving", outcome.NotRun(outcome.ReasonLeaving, ""), false),
	Entry("agent out of reach", outcome.NotRun(outcome.ReasonPeerLost, ""), false),
	Entry("a reason without a rule", outcome.NotRun(outcome.ReasonFenced, ""), true),
)
