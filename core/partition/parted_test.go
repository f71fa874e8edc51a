package partition_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthpost/core/fleet"
	"jacinthpost/core/partition"
)

// Guards against an owner that goes on after an hour without the store, and
// against a return that takes the partition back.
var _ = It("has one owner when the former one is cut off from the store for an hour", func() {
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
			one.own.Resolve(one.clock(now), reg.sgt)
		}
		one.step(reg, now, 0)
		two.step(reg, now, 0)
		Expect(one.own.Owns(one.clock(now))).To(BeFalse())
	}
	Expect(two.own.Owns(two.clock(now))).To(BeTrue())
	Expect(reg.sgt.Row().Epoch()).To(BeEquivalentTo(2), "one takeover")
})
