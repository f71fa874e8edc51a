package interfere_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthpost/core/explain"
	"jacinthpost/core/interfere"
	"jacinthpost/core/resource"
)

// strongest advances like run and returns the strongest throttle that a task had.
func (fin *fakeInstance) strongestThrottle(id string, seconds int) int {
	strongest := 0
	for range seconds {
		fin.run(1)
		strongest = max(strongest, fin.percent[id])
	}
	return strongest
}

// known returns an estimate of the cost of a class from other instances.
func known(cost float64) interfere.Estimate {
	var prs interfere.Pairings
	prs.Observe("svc", "c", cost, 20, newFakeInstance().now)
	return prs.Find("svc", "c").Estimate()
}

// Guards against quiet tasks that pay for the noisy ones beside them.
var _ = DescribeTable("leaves a quiet task at its speed beside noisy ones",
	func(noise float64, noisy int, prepare func(fin *fakeInstance, noise float64)) {
		fin := newFakeInstance()
		fin.run(60)
		prepare(fin, noise)
		for num := range noisy {
			fin.start(string(rune('a'+num)), "noisy", noise)
		}
		Expect(fin.strongestThrottle("quiet", 180)).To(BeNumerically("<=", 20))
		Expect(fin.slowdown()).To(BeNumerically("<", 0.2))
	},
	Entry("that was measured before, one noisy task", 2.0, 1, measuredFirst),
	Entry("that was measured before, three noisy tasks", 3.0, 3, measuredFirst),
	Entry("that starts at the same time as one that others know", 2.0, 1, learnedElsewhere),
	Entry("that starts at the same time as two that others know", 3.0, 2, learnedElsewhere),
)

func measuredFirst(fin *fakeInstance, _ float64) {
	fin.start("quiet", "quiet", 0.02)
	fin.run(120)
}

func learnedElsewhere(fin *fakeInstance, noise float64) {
	fin.con.SetPrior("svc", "noisy", known(noise))
	fin.con.SetPrior("svc", "quiet", known(0.02))
	fin.start("quiet", "quiet", 0.02)
}

// Guards against an eviction that operators are told has another cause than it has.
var _ = DescribeTable("explains an eviction by its cause",
	func(cause func(fin *fakeInstance), want explain.Code, text string) {
		fin := newFakeInstance()
		fin.run(60)
		cause(fin)
		Expect(fin.evicted.Code()).To(Equal(want))
		Expect(fin.evicted.String()).To(ContainSubstring(text))
	},
	Entry("memory", func(fin *fakeInstance) {
		fin.start("a", "c", 0)
		fin.con.ObserveUsage("a", resource.New(1_000, 62_000, 0), fin.now)
		fin.run(2)
	}, explain.MemoryEvicted, "use 62000 of 64000 MB of memory"),
	Entry("latency", func(fin *fakeInstance) {
		for _, id := range []string{"a", "b", "c"} {
			fin.start(id, "noisy", 8)
		}
		fin.run(60)
	}, explain.Evicted, "requests of svc have missed their target"),
)
