package interfere_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthpost/core/explain"
	"jacinthpost/core/interfere"
	"jacinthpost/core/resource"
)

// worst advances like run and returns the strongest throttle that a task had.
func (lod *load) worst(id string, seconds int) int {
	worst := 0
	for range seconds {
		lod.run(1)
		worst = max(worst, lod.percent[id])
	}
	return worst
}

// known returns an estimate of the cost of a class from other instances.
func known(cost float64) interfere.Estimate {
	var prs interfere.Pairings
	prs.Observe("svc", "c", cost, 20, newLoad().now)
	return prs.Find("svc", "c").Estimate()
}

// Guards against quiet tasks that pay for the noisy ones beside them.
var _ = DescribeTable("leaves a quiet task at its speed beside noisy ones",
	func(noise float64, noisy int, prepare func(lod *load, noise float64)) {
		lod := newLoad()
		lod.run(60)
		prepare(lod, noise)
		for num := range noisy {
			lod.start(string(rune('a'+num)), "noisy", noise)
		}
		Expect(lod.worst("quiet", 180)).To(BeNumerically("<=", 20))
		Expect(lod.slowdown()).To(BeNumerically("<", 0.2))
	},
	Entry("that was measured before, one noisy task", 2.0, 1, measuredFirst),
	Entry("that was measured before, three noisy tasks", 3.0, 3, measuredFirst),
	Entry("that starts at the same time as one that others know", 2.0, 1, learnedElsewhere),
	Entry("that starts at the same time as two that others know", 3.0, 2, learnedElsewhere),
)

func measuredFirst(lod *load, _ float64) {
	lod.start("quiet", "quiet", 0.02)
	lod.run(120)
}

func learnedElsewhere(lod *load, noise float64) {
	lod.con.SetPrior("svc", "noisy", known(noise))
	lod.con.SetPrior("svc", "quiet", known(0.02))
	lod.start("quiet", "quiet", 0.02)
}

// Guards against an eviction that operators are told has another cause than it has.
var _ = DescribeTable("explains an eviction by its cause",
	func(cause func(lod *load), want explain.Code, text string) {
		lod := newLoad()
		lod.run(60)
		cause(lod)
		Expect(lod.evicted.Code()).To(Equal(want))
		Expect(lod.evicted.String()).To(ContainSubstring(text))
	},
	Entry("memory", func(lod *load) {
		lod.start("a", "c", 0)
		lod.con.ObserveUsage("a", resource.New(1_000, 62_000, 0), lod.now)
		lod.run(2)
	}, explain.MemoryEvicted, "use 62000 of 64000 MB of memory"),
	Entry("latency", func(lod *load) {
		for _, id := range []string{"a", "b", "c"} {
			lod.start(id, "noisy", 8)
		}
		lod.run(60)
	}, explain.Evicted, "requests of svc have missed their target"),
)
