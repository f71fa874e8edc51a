package member_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// BenchmarkTraffic reports what each member sends while no member changes, in upper bounds of
// encoded bytes.
func BenchmarkTraffic(b *testing.B) {
	gomega.RegisterTestingT(b)
	for _, size := range []int{16, 64, 256, 1400} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			for range b.N {
				net := newNetwork(size, 2, 3)
				net.preload()
				net.run(15*time.Second, nil)
				net.messages, net.bytes, net.crossRegion = 0, 0, 0
				const seconds = 20
				begin := time.Now()
				net.run(seconds*time.Second, nil)
				per := float64(size) * seconds
				b.ReportMetric(float64(net.messages)/per, "messages/node/s")
				b.ReportMetric(float64(net.bytes)/per, "bytes/node/s")
				b.ReportMetric(float64(net.crossRegion)/per, "crossing/node/s")
				b.ReportMetric(float64(time.Since(begin).Microseconds())/per, "cpu-us/node/s")
			}
		})
	}
}

// BenchmarkJoin reports the start of a whole fleet, in upper bounds of encoded bytes: the time
// until all members know each other, and the busiest second of any member and of the seed. Either
// agent-0000 is a seed of all members, or each member has 16 random seeds.
func BenchmarkJoin(b *testing.B) {
	gomega.RegisterTestingT(b)
	for _, size := range []int{64, 256, 1400} {
		for _, many := range []bool{false, true} {
			b.Run(fmt.Sprintf("%d/manySeeds=%v", size, many), func(b *testing.B) {
				for range b.N {
					reportJoin(b, size, many)
				}
			})
		}
	}
}

func reportJoin(b *testing.B, size int, many bool) {
	net := newNetwork(size, 2, 7)
	if many {
		net.randomSeeds()
	}
	begin, highest, seed := net.now, 0.0, 0
	for net.completeViews() < size && net.now.Sub(begin) < 10*time.Minute {
		highest = max(highest, net.measureLoad(time.Second, net.allComplete).highest)
		seed = max(seed, net.nodes[0].traffic)
	}
	b.ReportMetric(net.now.Sub(begin).Seconds(), "seconds")
	b.ReportMetric(highest, "bytes/s-highest")
	b.ReportMetric(float64(seed), "bytes/s-seed")
	b.ReportMetric(float64(net.bytes)/float64(size), "bytes-sent/node")
}
