package ticket_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthpost/core/ticket"
)

// Guards against a region that starts tasks, or stops its requests, at some time of
// an hour in which its readers can't reach the store and say so, and against one
// that waits after the first confirmation.
var _ = It("keeps requests and stops task starts through an hour without the store", func() {
	const pull = 500 * time.Millisecond
	fre := ticket.Freshness{}.Observe(confirmed(0, 0))
	for at := pull; at < time.Hour; at += pull {
		fre = fre.Observe(down(at, at))
		now := start.Add(at + pull - 1)
		Expect(fre.MayAdmitRequests(now)).To(BeTrue(), "after %v", at)
		Expect(fre.MayStartTasks(now)).To(Equal(at+pull-1 < ticket.FreshnessLimit), "after %v", at)
	}
	fre = fre.Observe(confirmed(time.Hour, 0))
	Expect(fre.MayStartTasks(start.Add(time.Hour))).To(BeTrue())
})
