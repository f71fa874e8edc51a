package ring_test

import (
	"slices"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthpost/core/ring"
	"jacinthpost/internal/specs"
)

func TestRing(t *testing.T) {
	specs.Run(t, "ring")
}

// Guards against a ring that grows beyond its capacity or yields values in the wrong order.
var _ = DescribeTable("keeps the newest values in order",
	func(rng ring.Ring[int], pushes int, want []int) {
		for val := range pushes {
			rng.Push(val)
		}
		Expect(slices.Collect(rng.All())).To(Equal(want))
		rng.Clear()
		rng.Push(7)
		Expect(slices.Collect(rng.All())).To(Equal([]int{7}))
	},
	Entry("below its capacity", ring.New[int](3), 2, []int{0, 1}),
	Entry("above its capacity", ring.New[int](3), 8, []int{5, 6, 7}),
	Entry("the zero value", ring.Ring[int]{}, ring.DefaultCapacity+1, []int{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16}),
)
