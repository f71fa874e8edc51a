package lease_test

import (
	"flag"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"jacinthpost/core/lease"
)

func TestLease(t *testing.T) {
	NewWithT(t).Expect(flag.Set("rapid.seed", "1")).To(Succeed())
	RegisterFailHandler(Fail)
	RunSpecs(t, "lease")
}

// Guards against a granter that reuses a lease while a drifting holder still uses it.
var _ = It("ends for the holder before the granter at every drift within the bound", func() {
	rapid.Check(GinkgoT(), func(rt *rapid.T) {
		dur := time.Duration(rapid.Int64Range(0, int64(4*time.Hour)).Draw(rt, "duration"))
		// Shorten and Stretch must bound the duration by the drift in both directions.
		short, long := lease.Shorten(dur), lease.Stretch(dur)
		if short*101 > dur*100 || dur*100-short*101 >= 101 {
			rt.Fatalf("holder uses %v of %v", short, dur)
		}
		if long*100 < dur*101 || long*100-dur*101 >= 100 {
			rt.Fatalf("granter waits %v for %v", long, dur)
		}
	})
})
