package lease_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	"pgregory.net/rapid"

	"jacinthpost/core/lease"
	"jacinthpost/core/token"
	"jacinthpost/internal/proptest"
	"jacinthpost/internal/specs"
)

func TestLease(t *testing.T) {
	if err := proptest.Setup(100, 30); err != nil {
		t.Fatal(err)
	}
	specs.Run(t, "lease")
}

// Guards against a granter that grants a lease again while a holder with a drifting clock still uses it.
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

// Guards against two different sets that compare as equal, and against a set that
// depends on the order in which it was built.
var _ = It("describes a set by its members regardless of their order", func() {
	type member struct {
		job string
		idx int
		seq uint64
	}
	build := func(list []member) (set lease.Set) {
		for _, mem := range list {
			set = set.With(mem.job, mem.idx, token.New(1, mem.seq))
		}
		return set
	}
	rapid.Check(GinkgoT(), func(rt *rapid.T) {
		one := rapid.Custom(func(rt *rapid.T) member {
			return member{rapid.SampledFrom([]string{"j1", "j2"}).Draw(rt, "job"), rapid.IntRange(0, 3).Draw(rt, "index"), rapid.Uint64Range(1, 4).Draw(rt, "sequence")}
		})
		list := rapid.SliceOfNDistinct(one, 2, 12, func(mem member) member { return mem }).Draw(rt, "members")
		set, last := build(list), list[len(list)-1]
		if build(rapid.Permutation(list).Draw(rt, "order")) != set || set.Count() != len(list) {
			rt.Fatalf("%v depends on the order", list)
		}
		without := set.Without(last.job, last.idx, token.New(1, last.seq))
		if without != build(list[:len(list)-1]) {
			rt.Fatalf("%v without its last member differs", list)
		}
		if oth := without.With(last.job, last.idx, token.New(1, last.seq+4)); oth == set {
			rt.Fatalf("%v equals a set with another token", list)
		}
	})
})

// Guards against renewals that are sent later than a period after the last one, so that a lease of three
// periods survives fewer lost renewals, and against renewals outside the start of a window.
var _ = It("schedules the next renewal at the last start of a window within the period", func() {
	rapid.Check(GinkgoT(), func(rt *rapid.T) {
		const period, window = 5 * time.Second, time.Second
		origin := time.Unix(1000, 0)
		now := origin.Add(time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(rt, "now")))
		next := lease.NextRenewal(now, origin, period, window)
		if next <= period-window || next > period || now.Add(next).Sub(origin)%window != 0 {
			rt.Fatalf("%v at %v", next, now.Sub(origin))
		}
	})
})
