package member_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	. "github.com/onsi/gomega"

	"jacinthpost/core/fleet"
	"jacinthpost/core/member"
)

// controlBound is what control may cost a node, in bytes a second of both directions.
const controlBound = 21_000

// load is what the nodes sent and received, in bytes a second.
type load struct {
	mean    float64 // of all nodes in their busiest second
	highest float64 // of one node in its busiest second
	settled time.Duration
}

// observe advances the network second by second and returns the load and the
// time after which the condition held.
func (net *network) observe(dur time.Duration, holds func() bool) load {
	var seen load
	begin := net.now
	for net.now.Sub(begin) < dur {
		for _, nod := range net.nodes {
			nod.traffic = 0
		}
		net.run(time.Second, nil)
		sum := 0
		for _, nod := range net.nodes {
			sum += nod.traffic
			seen.highest = max(seen.highest, float64(nod.traffic))
		}
		seen.mean = max(seen.mean, float64(sum)/float64(len(net.nodes)))
		if seen.settled == 0 && holds() {
			seen.settled = net.now.Sub(begin)
		}
	}
	return seen
}

// manySeeds gives every node seeds of its own, as the table rows do.
func (net *network) manySeeds() {
	for _, nod := range net.nodes {
		var seeds []member.Address
		for range 16 {
			seeds = append(seeds, addressOf(net.random.IntN(len(net.nodes))))
		}
		nod.mac.SetSeeds(seeds)
	}
}

func (net *network) cutRegions() {
	net.cut = func(from, to *node) bool { return from.region != to.region }
}

// parted reports whether every running node holds exactly the running nodes of its region usable.
func (net *network) parted() bool {
	return !slices.ContainsFunc(net.nodes, func(nod *node) bool {
		return nod.running && nod.mac.Count(member.StateAlive) != net.runningIn(nod.region)-1
	})
}

func (net *network) runningIn(region int) int {
	count := 0
	for _, nod := range net.nodes {
		if nod.running && nod.region == region {
			count++
		}
	}
	return count
}

func (net *network) whole() bool {
	return net.complete() == net.runningIn(0)+net.runningIn(1)
}

func expectBounded(seen load, settled time.Duration) {
	GinkgoHelper()
	GinkgoWriter.Printf("mean %.0f, highest %.0f bytes a second, settled after %v\n", seen.mean, seen.highest, seen.settled)
	Expect(seen.highest).To(BeNumerically("<", controlBound))
	Expect(seen.settled).To(And(BeNumerically(">", 0), BeNumerically("<=", settled)))
}

// Guards against accusations of every member of a region that falls silent at
// once, and against all of them answering at once when it returns.
var _ = It("a cut between regions and its end keep to the traffic bound", func() {
	net := converged(128, 59)
	net.manySeeds()
	net.cutRegions()
	expectBounded(net.observe(20*time.Second, net.parted), 15*time.Second)
	net.cut = nil
	expectBounded(net.observe(15*time.Second, net.whole), 10*time.Second)
})

// Guards against views that don't come together after a long cut during which members changed on both sides.
var _ = It("a cut of an hour ends with one view", func() {
	net := newNetwork(20, 2, 61)
	for idx, nod := range net.nodes { // two data centres in each region, large enough to be judged as a whole
		pro := profileOf(idx, 2)
		loc := fleet.NewLocation(pro.Location().Region(), fleet.DataCentre(fmt.Sprint(idx/2%2)), pro.Location().Rack())
		nod.mac.SetProfile(member.NewProfile(pro.Role(), pro.PeerAddress(), pro.GossipAddress(), loc))
	}
	net.manySeeds()
	Expect(net.observe(20*time.Second, net.whole).settled).To(BeNumerically(">", 0))
	net.cutRegions()
	net.observe(20*time.Second, net.parted)
	for _, idx := range []int{5, 8} {
		net.nodes[idx].running = false
	}
	expectBounded(net.observe(30*time.Minute, net.parted), 30*time.Second)
	net.start(9, 2, 2)
	expectBounded(net.observe(30*time.Minute, net.parted), time.Minute) // the new process finds the other region silent by itself
	net.cut = nil
	expectBounded(net.observe(30*time.Second, net.whole), 20*time.Second)
})

// Guards against a data centre that stays dead in the views, or whose loss is taken for many single ones.
var _ = It("a lost data centre is dead to all within seconds and returns", func() {
	net := converged(128, 67)
	net.manySeeds()
	lost := func(nod *node) bool { return nod.mac.Self().Profile().Location().DataCentre() == "dc-3" }
	net.cut = func(from, to *node) bool { return lost(from) != lost(to) }
	gone := func() bool {
		return !slices.ContainsFunc(net.nodes, func(nod *node) bool {
			return !lost(nod) && slices.ContainsFunc(net.nodes, func(oth *node) bool {
				mem, _ := nod.mac.Member(oth.id)
				return lost(oth) && mem.Usable()
			})
		})
	}
	expectBounded(net.observe(30*time.Second, gone), 15*time.Second)
	net.cut = nil
	expectBounded(net.observe(20*time.Second, net.whole), 15*time.Second)
})

// BenchmarkCut reports a cut between regions at the two-year size, in upper bounds of encoded bytes.
func BenchmarkCut(b *testing.B) {
	gomega.RegisterTestingT(b)
	for range b.N {
		net := newNetwork(1400, 2, 3)
		net.preload()
		net.manySeeds()
		net.run(12*time.Second, nil)
		net.cutRegions()
		reportLoad(b, "cut", net.observe(60*time.Second, net.parted))
		net.cut = nil
		reportLoad(b, "heal", net.observe(30*time.Second, net.whole))
	}
}

func reportLoad(b *testing.B, name string, seen load) {
	b.ReportMetric(seen.mean, name+"-bytes/s-mean")
	b.ReportMetric(seen.highest, name+"-bytes/s-highest")
	b.ReportMetric(seen.settled.Seconds(), name+"-seconds")
}
