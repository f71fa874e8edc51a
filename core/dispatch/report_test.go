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

// owners simulates owner processes with one partition each. Every process has
// instances of its own, so the processes do not compete for them; the specs check
// only what a team uses through all processes together.
type owners struct {
	processes   []*simulation
	allocator   *quota.Allocator // nil while no process gets answers
	lostAnswers int              // number of next answers that are lost
	entriesSent int              // uses and allotments sent
}

func newOwners(count int, shares ...dispatch.Share) *owners {
	own := &owners{allocator: &quota.Allocator{}}
	for range count {
		sim := newSimulation(1, 12, 2)
		sim.dsp = dispatch.New(place.Scored{}, 7, count)
		sim.takeOver(0, 2)
		sim.dsp.SetShares(shares)
		own.processes = append(own.processes, sim)
	}
	return own
}

// pass advances the time; the processes report one after another.
func (own *owners) pass(period time.Duration) {
	for end := own.processes[0].now.Add(period); own.processes[0].now.Before(end); {
		for num, sim := range own.processes {
			sim.pass(1)
			if sim.now.Sub(start)/step%4 == time.Duration(num)%4 {
				own.report(num, sim)
			}
		}
	}
}

func (own *owners) report(num int, sim *simulation) {
	if !sim.dsp.ReportDue(sim.now) {
		return
	}
	complete, uses, granularity := sim.dsp.Report(sim.now)
	if own.allocator == nil {
		sim.dsp.ReportLost()
		return
	}
	ans := own.allocator.Report(fleet.NewProcess(fleet.InstanceID(fmt.Sprint("owner-", num)), 1), complete, uses, granularity, sim.now)
	own.entriesSent += len(uses) + len(ans.Allotments())
	if own.lostAnswers > 0 {
		own.lostAnswers--
		sim.dsp.ReportLost()
		return
	}
	sim.dsp.ReportAnswered(uses, ans)
}

// running returns the processors, in thousandths, that a team uses in the fleet.
func (own *owners) running(tea fleet.Team) int64 {
	sum := int64(0)
	for _, sim := range own.processes {
		sum += sim.running(tea)
	}
	return sum
}

// passWithin advances the time and checks that a team never exceeds its bound.
func (own *owners) passWithin(period time.Duration, tea fleet.Team, bound int64) {
	GinkgoHelper()
	for end := own.processes[0].now.Add(period); own.processes[0].now.Before(end); {
		own.pass(step)
		Expect(own.running(tea)).To(BeNumerically("<=", bound), "after %v", own.processes[0].now.Sub(start))
	}
}

var _ = Describe("quota across owners", func() {
	const bound = 24_000 // thousandths of a processor: a quarter of 12 instances of 8

	red := dispatch.NewShare("red", 0.25, false)

	// Guards against a team that gets its share from each owner, and against one that gets
	// only a part of its share because few owners have its work.
	DescribeTable("keeps a team that may not borrow at its share", func(demand ...int) {
		own := newOwners(len(demand), red)
		for num, tasks := range demand {
			if tasks > 0 {
				own.processes[num].submit(0, buildJob(tasks, 1000, endless).WithTeam("red"), "red")
			}
		}
		own.passWithin(40*time.Second, "red", bound)
		Expect(own.running("red")).To(BeEquivalentTo(bound))
	},
		Entry("work with one of four owners", 60, 0, 0, 0),
		Entry("work with all", 60, 60, 60, 60),
		Entry("work with two, few tasks with the others", 60, 60, 2, 1),
		Entry("one owner", 60),
	)

	// Guards against a task that never starts because it is larger than an equal part of
	// the bound.
	It("gives a large task what is left although an equal part would be smaller", func() {
		own := newOwners(4, red)
		for _, sim := range own.processes {
			sim.submit(0, buildJob(2, 7000, endless).WithTeam("red"), "red")
		}
		own.passWithin(40*time.Second, "red", bound)
		Expect(own.running("red")).To(BeEquivalentTo(21_000))
	})

	// Guards against a share that is exceeded or never reached again when the allocator
	// is lost, is replaced by a new one or its answers are lost.
	It("stays within the share while the allocator is lost and rebuilt", func() {
		own := newOwners(4, red)
		for _, sim := range own.processes {
			sim.submit(0, buildJob(90, 1000, 100*time.Second).WithTeam("red"), "red")
		}
		own.passWithin(20*time.Second, "red", bound)
		own.allocator = nil
		own.passWithin(20*time.Second, "red", bound)
		Expect(own.running("red")).To(BeNumerically(">=", bound*3/4), "owners keep their limits")
		own.allocator, own.lostAnswers = &quota.Allocator{}, 10
		own.passWithin(40*time.Second, "red", bound)
		Expect(own.running("red")).To(BeNumerically(">=", bound*3/4))
	})

	// Guards against a team that uses most of one owner's capacity because its use
	// through other owners is ignored.
	It("orders teams by their use in the whole fleet", func() {
		own := newOwners(2, dispatch.NewShare("red", 0.5, true), dispatch.NewShare("blue", 0.5, true))
		own.processes[0].submit(0, buildJob(48, 1000, endless).WithTeam("red"), "red")
		own.pass(20 * time.Second)
		for _, tea := range []fleet.Team{"red", "blue"} {
			own.processes[1].submit(0, buildJob(900, 1000, 40*time.Second).WithTeam(tea), string(tea))
		}
		own.pass(20 * time.Second)
		Expect(own.processes[1].running("blue")).To(BeNumerically("~", 72_000, 4000))
		Expect(own.processes[1].running("red")).To(BeNumerically("~", 24_000, 4000))
	})

	// Guards against reports that repeat what has not changed.
	It("sends no uses and allotments while nothing changes", func() {
		own := newOwners(4, red)
		own.processes[0].submit(0, buildJob(60, 1000, endless).WithTeam("red"), "red")
		own.pass(60 * time.Second)
		before := own.entriesSent
		own.pass(20 * time.Second)
		Expect(own.entriesSent).To(Equal(before))
	})
})
