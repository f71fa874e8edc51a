package interfere_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthpost/core/explain"
	"jacinthpost/core/interfere"
	"jacinthpost/core/resource"
)

// strongestThrottle simulates a number of seconds and returns the highest throttle of a task in them.
func (fin *fakeInstance) strongestThrottle(id string, seconds int) int {
	strongest := 0
	for range seconds {
		fin.run(1)
		strongest = max(strongest, fin.percent[id])
	}
	return strongest
}

// known returns an estimate with enough evidence to count as known.
func known(cost float64) interfere.Estimate {
	var prs interfere.Pairings
	prs.Observe("svc", "c", cost, 20, newFakeInstance().now)
	return prs.Find("svc", "c").Estimate()
}

// Guards against throttling quiet tasks because of noisy ones on the same instance.
var _ = DescribeTable("does not throttle a quiet task next to noisy ones",
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
	Entry("measured before one noisy task starts", 2.0, 1, measuredFirst),
	Entry("measured before three noisy tasks start", 3.0, 3, measuredFirst),
	Entry("starting at the same time as one noisy task, with costs learned by other instances", 2.0, 1, learnedElsewhere),
	Entry("starting at the same time as two noisy tasks, with costs learned by other instances", 3.0, 2, learnedElsewhere),
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

// Guards against reporting the wrong cause of an eviction to operators.
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
