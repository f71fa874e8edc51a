package quota_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthpost/core/fleet"
	"jacinthpost/core/quota"
	"jacinthpost/core/resource"
	"jacinthpost/internal/proptest"
	"jacinthpost/internal/specs"
)

func TestQuota(t *testing.T) {
	if err := proptest.Setup(200, 30); err != nil {
		t.Fatal(err)
	}
	specs.Run(t, "quota")
}

var start = time.Unix(0, 0)

// item is a waiting task: its team and whether it is urgent.
type item struct {
	team   fleet.Team
	urgent bool
}

type arbiter = quota.Arbiter[string, item]

func add(arb *arbiter, count int, itm item) {
	for pos := range count {
		Expect(arb.Add(fmt.Sprint(itm, pos), itm.team, itm.urgent, time.Time{}, itm)).To(BeTrue())
	}
}

// serve starts up to count tasks of cost one and returns them in order.
func serve(arb *arbiter, count int) []item {
	var served []item
	for range count {
		_, itm, found := arb.Next(start)
		if !found {
			break
		}
		arb.Started(itm.team, itm.urgent, resource.New(1, 0, 0))
		served = append(served, itm)
	}
	return served
}

func starts(served []item, name fleet.Team) int {
	count := 0
	for _, itm := range served {
		if itm.team == name {
			count++
		}
	}
	return count
}

// Guards against shares that are ignored when all teams wait, and against idle shares that stay unused.
var _ = DescribeTable("divides capacity by weight among the teams that wait",
	func(waiting map[fleet.Team]int, want map[fleet.Team]int) {
		var arb arbiter
		arb.SetTeam("a", 1)
		arb.SetTeam("b", 3)
		for _, name := range []fleet.Team{"a", "b"} {
			add(&arb, waiting[name], item{team: name})
		}
		served := serve(&arb, 40)
		for _, name := range []fleet.Team{"a", "b"} {
			Expect(starts(served, name)).To(Equal(want[name]), "team %s", name)
		}
	},
	Entry("both wait", map[fleet.Team]int{"a": 100, "b": 100}, map[fleet.Team]int{"a": 10, "b": 30}),
	Entry("a borrows the idle share of b", map[fleet.Team]int{"a": 100, "b": 5}, map[fleet.Team]int{"a": 35, "b": 5}),
)

// Guards against urgent work that waits behind ordinary work, and against ordinary work that never starts.
var _ = It("serves urgent work first, but at most UrgentRow tasks in a row", func() {
	var arb arbiter
	add(&arb, 50, item{team: "a"})
	add(&arb, 50, item{team: "b", urgent: true})
	row := 0
	for pos, itm := range serve(&arb, 54) {
		if pos == 0 {
			Expect(itm.urgent).To(BeTrue())
		}
		if row++; !itm.urgent {
			row = 0
		}
		Expect(row).To(BeNumerically("<=", quota.UrgentStreakLimit))
	}
})

// Guards against a large task that smaller ones overtake for ever, and against one that is lost when capacity returns.
var _ = It("holds a lane back for a task that was overtaken for BackfillPeriod, and wakes it when it fits", func() {
	var arb arbiter
	big := resource.New(100, 100, 0)
	Expect(arb.Defer("big", "a", false, item{team: "a"}, big, start)).To(BeTrue())
	add(&arb, 2, item{team: "a"})
	_, _, found := arb.Next(start)
	Expect(found).To(BeTrue(), "smaller tasks may overtake at first")
	_, _, found = arb.Next(start.Add(quota.BackfillPeriod))
	Expect(found).To(BeFalse())
	arb.Wake(resource.New(99, 100, 0))
	_, _, found = arb.Next(start.Add(quota.BackfillPeriod))
	Expect(found).To(BeFalse())
	arb.Wake(big)
	key, _, _ := arb.Next(start.Add(quota.BackfillPeriod))
	Expect(key).To(Equal("big"))
})

// Guards against a team below its share that waits for ever, and against reclaiming beyond the share.
var _ = DescribeTable("lets a team that waits reclaim up to its share",
	func(used int64, urgent bool, waited time.Duration, want int) {
		var arb arbiter
		arb.SetCapacity(resource.New(100, 100, 0))
		arb.SetTeam("a", 1)
		arb.SetTeam("b", 1)
		arb.Started("a", false, resource.New(used, 0, 0))
		arb.Defer("x", "a", urgent, item{team: "a", urgent: urgent}, resource.New(10, 0, 0), start)
		Expect(arb.Claims(start.Add(waited))).To(HaveLen(want))
		Expect(arb.Claims(start.Add(waited))).To(BeEmpty(), "a claim is not repeated at once")
	},
	Entry("below its share, long enough", int64(0), false, quota.ReclaimAfter, 1),
	Entry("too early", int64(0), false, quota.ReclaimAfter-1, 0),
	Entry("urgent work claims earlier", int64(0), true, quota.UrgentReclaimAfter, 1),
	Entry("its share would be exceeded", int64(45), false, quota.ReclaimAfter, 0),
)

// Guards against waves of cancellations that cost more than what is cancelled.
var _ = It("cancels tasks that wait or were set aside, and forgets them", func() {
	var arb arbiter
	add(&arb, 1_000, item{team: "a"})
	arb.Defer("x", "a", false, item{team: "a"}, resource.Vector{}, start)
	for pos := range 1_000 {
		_, found := arb.Cancel(fmt.Sprint(item{team: "a"}, pos))
		Expect(found).To(BeTrue())
	}
	_, found := arb.Cancel("x")
	Expect(found).To(BeTrue())
	_, found = arb.Cancel("x")
	Expect(found).To(BeFalse())
	Expect(arb.Len()).To(BeZero())
	arb.WakeAll()
	Expect(serve(&arb, 1)).To(BeEmpty())
})

// Guards against a process that stops on, or trusts, an answer that arrives after
// it has lost its last partition, as after a pause.
var _ = It("drops the answer to a report from before it left the census", func() {
	rpr, uses := quota.Reporter{}, []quota.Use{quota.NewUse("blue", resource.New(1000, 1, 0))}
	_, sent := rpr.Report(uses, resource.Vector{}, time.Unix(1_000, 0))
	var cen quota.Allocator
	ans := cen.Report(fleet.NewProcess("owner", 1), true, sent, resource.Vector{}, time.Unix(1_000, 0))
	rpr.Leave()
	rpr.Answered(sent, ans)
	complete, changed := rpr.Report(uses, resource.Vector{}, time.Unix(1_000, 0))
	Expect(complete).To(BeTrue())
	Expect(changed).To(HaveLen(1))
})
