package place_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthpost/core/place"
	"jacinthpost/core/resource"
)

// run is how often a class has used an amount of each resource.
type run struct {
	times    int
	declared int64
	used     int64
}

// Guards against a reservation of memory below what the class has used, against margins that
// raise the reservation above a sufficient declared size, and against a reservation that does not
// follow a change of the class.
var _ = DescribeTable("reserves the memory that a class is known to need",
	func(runs []run, declared, low, high int64) {
		var siz place.Sizes
		for _, run := range runs {
			for range run.times {
				siz.Observe("c", resource.New(run.declared, run.declared, 0), resource.New(run.used, run.used, 0))
			}
		}
		est := siz.Estimate("c", resource.New(declared, declared, 0))
		Expect(est.MemoryMB()).To(And(BeNumerically(">=", low), BeNumerically("<=", high)))
	},
	Entry("as declared before there are enough runs", []run{{3, 1000, 100}}, int64(1000), int64(1000), int64(1000)),
	Entry("with a wide margin after few runs", []run{{4, 10_000, 1000}}, int64(10_000), int64(1120), int64(1360)),
	Entry("with a narrow margin after many runs", []run{{200, 10_000, 1000}}, int64(10_000), int64(1000), int64(1210)),
	Entry("at least the peak of a few dozen runs", []run{{20, 10_000, 1000}, {1, 10_000, 5000}, {9, 10_000, 1000}}, int64(10_000), int64(5000), int64(6300)),
	Entry("at least the peak of an outlier", []run{{100, 10_000, 1000}, {1, 10_000, 9000}}, int64(10_000), int64(9000), int64(10_000)),
	Entry("as declared when the class uses that amount", []run{{40, 1000, 1000}}, int64(1000), int64(1000), int64(1000)),
	Entry("more than declared when the class uses more", []run{{40, 1000, 1100}}, int64(1000), int64(1100), int64(1400)),
	Entry("as for other jobs of the class when a job declares too little", []run{{40, 10_000, 1000}, {40, 5000, 1000}}, int64(100), int64(1000), int64(1300)),
	Entry("less after the use of the class has fallen", []run{{60, 10_000, 8000}, {4, 10_000, 1000}}, int64(10_000), int64(1000), int64(1400)),
	Entry("more after the use of the class has risen", []run{{60, 10_000, 1000}, {4, 10_000, 8000}}, int64(10_000), int64(8000), int64(10_000)),
)

// Guards against tasks that are offered with no processors, and concentrated on one instance,
// because their agents could not measure the processor use.
var _ = It("ignores unknown amounts", func() {
	var siz place.Sizes
	declared := resource.New(1000, 1000, 0)
	for range 20 {
		siz.Observe("c", declared, resource.New(0, 500, 0))
	}
	Expect(siz.Estimate("c", declared).MilliCPU()).To(Equal(int64(1000)))
	Expect(siz.Estimate("c", declared).MemoryMB()).To(BeNumerically("<", 700))
	for range 4 {
		siz.Observe("c", declared, resource.New(250, 500, 0))
	}
	Expect(siz.Estimate("c", declared).MilliCPU()).To(BeNumerically("~", 250, 50))
})

// Guards against sizes that rise by the width of a wide bucket when a few runs of a class use a
// little more. On a fleet short of memory, such a rise in the most frequent class left a twelfth
// of its tasks without an instance.
var _ = It("changes the size of a class in small steps", func() {
	var siz place.Sizes
	observe := func(times int, used int64) resource.Vector {
		for range times {
			siz.Observe("c", resource.New(10_000, 10_000, 0), resource.New(used, used, 0))
		}
		return siz.Estimate("c", resource.New(10_000, 10_000, 0))
	}
	last := observe(200, 1000)
	for range 20 {
		est := observe(1, 1100)
		Expect(est.MemoryMB()).To(BeNumerically("<=", last.MemoryMB()*11/10))
		last = est
	}
	Expect(last.MemoryMB()).To(BeNumerically(">=", 1100))
})
