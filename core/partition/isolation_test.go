package partition_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthpost/core/fleet"
	"jacinthpost/core/partition"
)

// Guards against an owner that still grants after the end of its lease while it is isolated from the
// store, and against one that regains the partition when the store is reachable again.
var _ = It("has one owner when the former one is isolated from the store for an hour", func() {
	reg := &register{}
	one := &process{own: partition.NewOwnership(fleet.NewPeer("a", 1, "")), drift: -4}
	two := &process{own: partition.NewOwnership(fleet.NewPeer("b", 1, "")), drift: 4}
	now := time.Second
	for range 2 {
		one.step(reg, now, 0)
	}
	Expect(one.own.Owns(one.clock(now))).To(BeTrue())
	for end := now + time.Hour; now < end; now += time.Second {
		_ = one.own.Decide(one.clock(now), 0, 0) // its writes get no answer
		two.step(reg, now, 0)
		Expect(one.own.Owns(one.clock(now)) && two.own.Owns(two.clock(now))).To(BeFalse(), "two owners at %v", now)
	}
	for range 2 * 60 {
		now += time.Second
		if one.own.Awaiting() {
			one.own.Resolve(one.clock(now), reg.obs)
		}
		one.step(reg, now, 0)
		two.step(reg, now, 0)
		Expect(one.own.Owns(one.clock(now))).To(BeFalse())
	}
	Expect(two.own.Owns(two.clock(now))).To(BeTrue())
	Expect(reg.obs.Row().Epoch()).To(BeEquivalentTo(2), "one takeover")
})
