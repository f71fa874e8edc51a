package member_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthpost/core/fleet"
)

// Guards against members that forget the other region, or lose members of their
// own, in a partition of an hour, and against traffic that grows while it lasts.
// The seeds are not used to heal it.
var _ = It("a partition of an hour between regions kills nobody within one and heals", func() {
	net := converged(8, 59)
	for _, nod := range net.nodes {
		nod.mac.SetSeeds(nil)
	}
	net.cut = func(from, to *node) bool { return from.region != to.region }
	net.run(time.Minute, nil) // each region declares the other dead
	net.bytes = 0
	wrong := net.run(time.Hour-time.Minute, func(fleet.InstanceID) bool { return true })
	Expect(wrong).To(BeEmpty())
	rate := float64(net.bytes) / float64(len(net.nodes)) / (time.Hour - time.Minute).Seconds()
	net.cut = nil
	took := net.timeUntil(2*time.Minute, func() bool { return net.completeViews() == len(net.nodes) })
	AddReportEntry("bytes a member and second while parted", rate)
	AddReportEntry("healed after", took)
	Expect(took).To(BeNumerically("<", 40*time.Second))
	Expect(rate).To(BeNumerically("<", 2000), "bytes a member and second")
	expectNoDeath(net, 10*time.Second)
})
