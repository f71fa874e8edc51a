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

// controlBound is the limit on the control traffic of a node, in bytes per second of both
// directions.
const controlBound = 21_000

// load is the traffic that the nodes sent and received, in bytes per second.
type load struct {
	mean         float64 // of all nodes in their busiest second
	highest      float64 // of one node in its busiest second
	settledAfter time.Duration
}

// measureLoad advances the network second by second and returns the load and the time after which
// the condition held.
func (net *network) measureLoad(dur time.Duration, holds func() bool) load {
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
		if seen.settledAfter == 0 && holds() {
			seen.settledAfter = net.now.Sub(begin)
		}
	}
	return seen
}

// randomSeeds gives every node 16 random seeds, as a fleet has that reads its seeds from a table.
func (net *network) randomSeeds() {
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

// regionsSeparated reports whether every running node counts as many members alive as run in its
// region besides itself.
func (net *network) regionsSeparated() bool {
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

func (net *network) allComplete() bool {
	return net.completeViews() == net.runningIn(0)+net.runningIn(1)
}

func expectBounded(seen load, settled time.Duration) {
	GinkgoHelper()
	GinkgoWriter.Printf("mean %.0f, highest %.0f bytes a second, settled after %v\n", seen.mean, seen.highest, seen.settledAfter)
	Expect(seen.highest).To(BeNumerically("<", controlBound))
	Expect(seen.settledAfter).To(And(BeNumerically(">", 0), BeNumerically("<=", settled)))
}

// Guards against every member suspecting each member of a region that becomes unreachable, and
// against all of these answering at once when the region is reachable again.
var _ = It("a partition between regions and its end stay within the traffic limit", func() {
	net := converged(128, 59)
	net.randomSeeds()
	net.cutRegions()
	expectBounded(net.measureLoad(20*time.Second, net.regionsSeparated), 15*time.Second)
	net.cut = nil
	expectBounded(net.measureLoad(15*time.Second, net.allComplete), 10*time.Second)
})

// Guards against views that stay different after a long partition during which members changed on
// both sides.
var _ = It("the views are the same after a partition of an hour", func() {
	net := newNetwork(20, 2, 61)
	for idx, nod := range net.nodes { // two data centres in each region, large enough to be treated as a whole
		pro := profileOf(idx, 2)
		loc := fleet.NewLocation(pro.Location().Region(), fleet.DataCentre(fmt.Sprint(idx/2%2)), pro.Location().Rack())
		nod.mac.SetProfile(member.NewProfile(pro.Role(), pro.PeerAddress(), pro.GossipAddress(), loc))
	}
	net.randomSeeds()
	Expect(net.measureLoad(20*time.Second, net.allComplete).settledAfter).To(BeNumerically(">", 0))
	net.cutRegions()
	net.measureLoad(20*time.Second, net.regionsSeparated)
	for _, idx := range []int{5, 8} {
		net.nodes[idx].running = false
	}
	expectBounded(net.measureLoad(30*time.Minute, net.regionsSeparated), 30*time.Second)
	net.start(9, 2, 2)
	expectBounded(net.measureLoad(30*time.Minute, net.regionsSeparated), time.Minute) // the new process has to find the other region unreachable itself
	net.cut = nil
	expectBounded(net.measureLoad(30*time.Second, net.allComplete), 20*time.Second)
})

// Guards against a data centre that stays dead in the views after it is reachable again, and
// against handling its loss as many independent failures.
var _ = It("a lost data centre is dead in all views within seconds and alive after its return", func() {
	net := converged(128, 67)
	net.randomSeeds()
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
	expectBounded(net.measureLoad(30*time.Second, gone), 15*time.Second)
	net.cut = nil
	expectBounded(net.measureLoad(20*time.Second, net.allComplete), 15*time.Second)
})

// BenchmarkCut reports the load during and after a partition between regions, in upper bounds of
// encoded bytes, at the fleet size expected in two years.
func BenchmarkCut(b *testing.B) {
	gomega.RegisterTestingT(b)
	for range b.N {
		net := newNetwork(1400, 2, 3)
		net.preload()
		net.randomSeeds()
		net.run(12*time.Second, nil)
		net.cutRegions()
		reportLoad(b, "cut", net.measureLoad(60*time.Second, net.regionsSeparated))
		net.cut = nil
		reportLoad(b, "heal", net.measureLoad(30*time.Second, net.allComplete))
	}
}

func reportLoad(b *testing.B, name string, seen load) {
	b.ReportMetric(seen.mean, name+"-bytes/s-mean")
	b.ReportMetric(seen.highest, name+"-bytes/s-highest")
	b.ReportMetric(seen.settledAfter.Seconds(), name+"-seconds")
}
