package member_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthpost/core/fleet"
)

// Guards against members that remove the other region, or declare members of their own region dead,
// during a partition of an hour, and against traffic that grows meanwhile. The nodes have no seeds
// that could bring them together.
var _ = It("a partition of an hour between regions causes no death within a region, and the views converge after it", func() {
	net := converged(8, 59)
	for _, nod := range net.nodes {
		nod.mac.SetSeeds(nil)
	}
	net.cut = func(from, to *node) bool { return from.region != to.region }
	net.run(time.Minute, nil) // until each region has declared the other dead
	net.bytes = 0
	falseDeaths := net.run(time.Hour-time.Minute, func(fleet.InstanceID) bool { return true })
	Expect(falseDeaths).To(BeEmpty())
	rate := float64(net.bytes) / float64(len(net.nodes)) / (time.Hour - time.Minute).Seconds()
	net.cut = nil
	took := net.timeUntil(2*time.Minute, func() bool { return net.completeViews() == len(net.nodes) })
	AddReportEntry("bytes per member and second during the partition", rate)
	AddReportEntry("converged after", took)
	Expect(took).To(BeNumerically("<", 40*time.Second))
	Expect(rate).To(BeNumerically("<", 2000), "bytes per member and second")
	expectNoDeath(net, 10*time.Second)
})
