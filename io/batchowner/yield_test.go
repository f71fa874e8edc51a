package batchowner

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against an owner that hands over because of a short peak, and against one that keeps a load that
// its machine can't carry.
var _ = Describe("overload", func() {
	// run measures the given loads, one a second, and returns after how many of them an overload was
	// reported, zero if none was.
	run := func(loads ...float64) int {
		var used time.Duration
		ovl := overload{processor: func() time.Duration { return used }, share: 0.24}
		now := time.Unix(1000, 0)
		Expect(ovl.measure(now)).To(BeFalse())
		for num, load := range loads {
			used += time.Duration(load * 0.24 * float64(time.Second))
			now = now.Add(time.Second)
			if ovl.measure(now) {
				return num + 1
			}
		}
		return 0
	}

	It("is reported after consecutive periods", func() { Expect(run(0.9, 0.9)).To(Equal(2)) })
	It("is not reported for single periods", func() { Expect(run(0.9, 0.2, 0.9, 0.2)).To(BeZero()) })
	It("is not reported for a load that the machine carries", func() { Expect(run(0.6, 0.6, 0.6)).To(BeZero()) })
})

// Guards against owners that hand the partition over all the time because no larger machine is left.
var _ = It("a process yields less often with each yield", func() {
	var yld yielder
	now := time.Unix(1000, 0)
	Expect(yld.mayYield(now)).To(BeTrue())
	yld.record(now)
	Expect(yld.mayYield(now.Add(firstYieldPause - time.Second))).To(BeFalse())
	now = now.Add(firstYieldPause)
	Expect(yld.mayYield(now)).To(BeTrue())
	yld.record(now)
	Expect(yld.mayYield(now.Add(firstYieldPause))).To(BeFalse())
})
