package explain_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthpost/core/explain"
	"jacinthpost/core/resource"
	"jacinthpost/internal/specs"
)

func TestExplain(t *testing.T) {
	specs.Run(t, "explain")
}

// Guards against a code without a sentence, whose formatting would panic.
var _ = It("formats every code", func() {
	for cod := explain.Queued; cod <= explain.Drained; cod++ {
		Expect(explain.New(cod, time.Time{}, "subject").String()).To(ContainSubstring("subject"), "code %d", cod)
	}
})

// Guards against a wait whose sentence does not say which resources have to become free.
var _ = DescribeTable("says what is missing",
	func(need, largest resource.Vector, want string) {
		Expect(explain.New(explain.NoFit, time.Time{}, "t").WithAmounts(need, largest).String()).To(HaveSuffix(want))
	},
	Entry("processors", resource.New(4000, 10, 0), resource.New(1000, 50, 0), "once one instance has 3000 mCPU, 0 MB, 0 accelerators more free"),
	Entry("free on different instances", resource.New(10, 10, 0), resource.New(10, 10, 0), "once one instance has all of them free at the same time"),
)

// Guards against a log whose memory grows with the number of subjects or decisions.
var _ = It("is bounded in subjects and in reasons per subject", func() {
	log := explain.NewLog(10, 3)
	for sub := range 100 {
		for num := range 9 {
			log.Add(explain.New(explain.Queued, time.Time{}, fmt.Sprint(sub)).WithCounts(num, 0))
		}
	}
	Expect(log.Subjects()).To(Equal(10))
	Expect(log.Reasons("0")).To(BeEmpty())
	var counts []int
	for _, rsn := range log.Reasons("99") {
		counts = append(counts, rsn.Count())
	}
	Expect(counts).To(Equal([]int{6, 7, 8}))
})
