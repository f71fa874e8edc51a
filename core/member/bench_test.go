package member_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// BenchmarkTraffic reports what one member sends in a quiet fleet, in upper bounds of encoded bytes.
func BenchmarkTraffic(b *testing.B) {
	gomega.RegisterTestingT(b)
	for _, size := range []int{16, 64, 256, 1400} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			for range b.N {
				net := newNetwork(size, 2, 3)
				net.preload()
				net.run(15*time.Second, nil)
				net.messages, net.bytes, net.crossed = 0, 0, 0
				const seconds = 20
				begin := time.Now()
				net.run(seconds*time.Second, nil)
				per := float64(size) * seconds
				b.ReportMetric(float64(net.messages)/per, "messages/node/s")
				b.ReportMetric(float64(net.bytes)/per, "bytes/node/s")
				b.ReportMetric(float64(net.crossed)/per, "crossing/node/s")
				b.ReportMetric(float64(time.Since(begin).Microseconds())/per, "cpu-us/node/s")
			}
		})
	}
}
