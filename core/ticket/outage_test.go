package ticket_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthpost/core/ticket"
)

// Guards against a node that starts tasks or refuses requests at any time during an hour in which
// its readers report that the store is down, and against a node that doesn't start tasks again at
// the first confirmation after the outage.
var _ = It("admits requests and starts no tasks during an hour without the store", func() {
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
