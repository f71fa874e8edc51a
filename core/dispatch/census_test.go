package dispatch_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthpost/core/dispatch"
	"jacinthpost/core/fleet"
	"jacinthpost/core/place"
	"jacinthpost/core/quota"
)

// owners are processes that each run one partition on the same fleet. The
// instances of each world stand for the part that its tasks get; only what the
// teams use in all of them counts here.
type owners struct {
	worlds []*world
	census *quota.Allocator // nil while it is lost
	lost   int              // answers to be lost
	told   int              // allotments and uses sent
}

func newOwners(count int, shares ...dispatch.Share) *owners {
	own := &owners{census: &quota.Allocator{}}
	for range count {
		wld := newWorld(1, 12, 2)
		wld.dsp = dispatch.New(place.Scored{}, 7, count)
		wld.takeOver(0, 2)
		wld.dsp.SetShares(shares)
		own.worlds = append(own.worlds, wld)
	}
	return own
}

// pass lets time pass; the processes report one after another.
func (own *owners) pass(period time.Duration) {
	for end := own.worlds[0].now.Add(period); own.worlds[0].now.Before(end); {
		for num, wld := range own.worlds {
			wld.pass(1)
			if wld.now.Sub(start)/step%4 == time.Duration(num)%4 {
				own.report(num, wld)
			}
		}
	}
}

func (own *owners) report(num int, wld *world) {
	if !wld.dsp.ReportDue(wld.now) {
		return
	}
	complete, uses, granularity := wld.dsp.Report(wld.now)
	if own.census == nil {
		wld.dsp.ReportLost()
		return
	}
	ans := own.census.Report(fleet.NewProcess(fleet.InstanceID(fmt.Sprint("owner-", num)), 1), complete, uses, granularity, wld.now)
	own.told += len(uses) + len(ans.Allotments())
	if own.lost > 0 {
		own.lost--
		wld.dsp.ReportLost()
		return
	}
	wld.dsp.ReportAnswered(uses, ans)
}

// running returns the processors, in thousandths, that a team uses in the fleet.
func (own *owners) running(tea fleet.Team) int64 {
	sum := int64(0)
	for _, wld := range own.worlds {
		sum += wld.running(tea)
	}
	return sum
}

// within lets time pass and checks that a team never exceeds its bound.
func (own *owners) within(period time.Duration, tea fleet.Team, bound int64) {
	GinkgoHelper()
	for end := own.worlds[0].now.Add(period); own.worlds[0].now.Before(end); {
		own.pass(step)
		Expect(own.running(tea)).To(BeNumerically("<=", bound), "after %v", own.worlds[0].now.Sub(start))
	}
}

var _ = Describe("quota across owners", func() {
	const bound = 24_000 // thousandths of a processor: a quarter of 12 instances of 8

	red := dispatch.NewShare("red", 0.25, false)

	// Guards against a team that gets its share once for each owner, or only a part of
	// it because its work is with few owners.
	DescribeTable("keeps a team that may not borrow at its share", func(demand ...int) {
		own := newOwners(len(demand), red)
		for num, tasks := range demand {
			if tasks > 0 {
				own.worlds[num].submit(0, build(tasks, 1000, endless).WithTeam("red"), "red")
			}
		}
		own.within(40*time.Second, "red", bound)
		Expect(own.running("red")).To(BeEquivalentTo(bound))
	},
		Entry("work with one of four owners", 60, 0, 0, 0),
		Entry("work with all", 60, 60, 60, 60),
		Entry("work with two, few tasks with the others", 60, 60, 2, 1),
		Entry("one owner", 60),
	)

	// Guards against tasks larger than the part of one owner that never start.
	It("gives a large task what is left although its part would be smaller", func() {
		own := newOwners(4, red)
		for _, wld := range own.worlds {
			wld.submit(0, build(2, 7000, endless).WithTeam("red"), "red")
		}
		own.within(40*time.Second, "red", bound)
		Expect(own.running("red")).To(BeEquivalentTo(21_000))
	})

	// Guards against a share that is exceeded or lost for good when the census is lost, moves or loses answers.
	It("stays within the share while the census is lost and rebuilds it", func() {
		own := newOwners(4, red)
		for _, wld := range own.worlds {
			wld.submit(0, build(90, 1000, 100*time.Second).WithTeam("red"), "red")
		}
		own.within(20*time.Second, "red", bound)
		own.census = nil
		own.within(20*time.Second, "red", bound)
		Expect(own.running("red")).To(BeNumerically(">=", bound*3/4), "owners go on with their limits")
		own.census, own.lost = &quota.Allocator{}, 10
		own.within(40*time.Second, "red", bound)
		Expect(own.running("red")).To(BeNumerically(">=", bound*3/4))
	})

	// Guards against teams that borrow through one owner what another team needs at a second one.
	It("orders teams by their use in the whole fleet", func() {
		own := newOwners(2, dispatch.NewShare("red", 0.5, true), dispatch.NewShare("blue", 0.5, true))
		own.worlds[0].submit(0, build(48, 1000, endless).WithTeam("red"), "red")
		own.pass(20 * time.Second)
		for _, tea := range []fleet.Team{"red", "blue"} {
			own.worlds[1].submit(0, build(900, 1000, 40*time.Second).WithTeam(tea), string(tea))
		}
		own.pass(20 * time.Second)
		Expect(own.worlds[1].running("blue")).To(BeNumerically("~", 72_000, 4000))
		Expect(own.worlds[1].running("red")).To(BeNumerically("~", 24_000, 4000))
	})

	// Guards against messages that grow with what does not change.
	It("says nothing while nothing changes", func() {
		own := newOwners(4, red)
		own.worlds[0].submit(0, build(60, 1000, endless).WithTeam("red"), "red")
		own.pass(60 * time.Second)
		before := own.told
		own.pass(20 * time.Second)
		Expect(own.told).To(Equal(before))
	})
})
