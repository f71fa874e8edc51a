package quota_test

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"jacinthpost/core/fleet"
	"jacinthpost/core/quota"
	"jacinthpost/core/resource"
)

// process simulates an owner process. All tasks need one processor and belong to a team
// that may not borrow.
type process struct {
	id       fleet.Process
	reporter quota.Reporter
	held     int64
	demand   int64
	reports  int
}

// simulation runs processes that report to one allocator.
type simulation struct {
	bound     int64
	allocator quota.Allocator
	filter    quota.DuplicateFilter
	processes []*process
	now       time.Time
	sequence  uint64
}

// newSimulation returns a simulation of processes without tasks whose allocator has settled.
func newSimulation(count int, bound int64) *simulation {
	sim := &simulation{bound: bound, now: time.Unix(1_000, 0)}
	for num := range count {
		sim.processes = append(sim.processes, &process{id: fleet.NewProcess(fleet.InstanceID(fmt.Sprint("owner-", num)), 1)})
	}
	sim.pass(quota.SettlePeriod + 4*quota.QuietPeriod)
	return sim
}

func processors(count int64) resource.Vector { return resource.New(1000*count, 0, 0) }

func (sim *simulation) limit(pro *process) int64 {
	return pro.reporter.Limit("red", processors(sim.bound), int64(len(sim.processes))).MilliCPU() / 1000
}

// runTasks starts and ends tasks so that the process runs as many as demand and limit allow.
func (sim *simulation) runTasks(pro *process) {
	pro.held = min(pro.demand, max(pro.held, sim.limit(pro)))
}

func (sim *simulation) uses(pro *process) []quota.Use {
	use := quota.NewUse("red", processors(pro.held)).Bounded(processors(sim.bound), processors(sim.limit(pro)))
	if pro.demand > pro.held {
		use = use.Waiting(processors(1))
	}
	if use.Empty() {
		return nil
	}
	return []quota.Use{use}
}

// report sends a report of a process if one is due. Calls that reach the allocator
// without an answer to the process are repeated with the same sequence number, as
// owner.Client does. If lost is set, the last answer is lost too.
func (sim *simulation) report(pro *process, unanswered int, lost bool) {
	if !pro.reporter.Due(sim.uses(pro), sim.now) {
		return
	}
	pro.reports++
	complete, uses := pro.reporter.Report(sim.uses(pro), resource.Vector{}, sim.now)
	arriving := slices.Clone(uses)
	for pos, use := range arriving {
		if use.BoundsKnown() { // bound and limit are not sent
			arriving[pos] = quota.NewUse(use.Team(), use.Amounts()).Waiting(use.Want()).WithBoundsKnown()
		}
	}
	sim.sequence++
	var ans quota.Answer
	for range unanswered + 1 {
		ans = quota.Answer{}
		if sim.filter.Accept(pro.id, sim.sequence, complete) {
			ans = sim.allocator.Report(pro.id, complete, arriving, resource.Vector{}, sim.now)
		}
	}
	if lost {
		pro.reporter.Lost()
		return
	}
	pro.reporter.Answered(uses, ans)
}

// pass advances the time; all reports are answered.
func (sim *simulation) pass(period time.Duration) {
	for end := sim.now.Add(period); sim.now.Before(end); sim.now = sim.now.Add(quota.ReportPeriod) {
		for _, pro := range sim.processes {
			sim.runTasks(pro)
			sim.report(pro, 0, false)
		}
	}
}

func (sim *simulation) total(of func(pro *process) int64) int64 {
	sum := int64(0)
	for _, pro := range sim.processes {
		sum += of(pro)
	}
	return sum
}

var _ = Describe("Allocator", func() {
	// Guards against limits whose sum exceeds the bound, because a process still applies a
	// limit that the allocator has lowered in an answer that was lost, or because a
	// repeated report counts as a confirmation.
	It("keeps the limits of all processes together within the bound", func() {
		rapid.Check(GinkgoT(), func(tst *rapid.T) {
			sim := newSimulation(rapid.IntRange(2, 4).Draw(tst, "processes"), 12)
			for step := range rapid.IntRange(1, 60).Draw(tst, "steps") {
				if step%8 == 0 { // so that no report expires
					sim.pass(quota.ReportPeriod)
				}
				pro := rapid.SampledFrom(sim.processes).Draw(tst, "process")
				pro.demand = rapid.Int64Range(0, 20).Draw(tst, "demand")
				sim.runTasks(pro)
				sim.report(pro, rapid.IntRange(0, 2).Draw(tst, "unanswered"), rapid.Bool().Draw(tst, "lost"))
				sim.now = sim.now.Add(quota.ReportPeriod / 4)
				if sum := sim.total(sim.limit); sum > sim.bound {
					tst.Fatalf("the limits of all processes add up to %d, more than the bound", sum)
				}
				if sum := sim.total(func(pro *process) int64 { return pro.held }); sum > sim.bound {
					tst.Fatalf("the tasks of all processes add up to %d, more than the bound", sum)
				}
			}
		})
	})

	// Guards against a team that waits long for its share because idle processes report rarely.
	DescribeTable("soon gives a team its share if one process has most of its work", func(count int, period time.Duration, share int64) {
		sim := newSimulation(count, 1280)
		for _, pro := range sim.processes[1:] {
			pro.demand = 1 // known to all processes
		}
		sim.pass(time.Minute)
		sim.processes[0].demand = 2000
		sim.pass(period)
		sim.runTasks(sim.processes[0])
		Expect(sim.processes[0].held).To(BeNumerically(">=", share))
	},
		Entry("64 processes, half of the share at first", 64, 2*time.Second, int64(600)),
		Entry("64 processes, soon all except the tasks of the others", 64, 14*time.Second, int64(1217)),
		Entry("two processes", 2, 14*time.Second, int64(1279)),
	)

	// Guards against an unlimited number of reports while tasks wait.
	DescribeTable("bounds the reports of a process", func(demand int64, period time.Duration, most int) {
		sim := newSimulation(4, 12)
		sim.pass(2 * time.Minute)
		pro := sim.processes[0]
		pro.reports = 0
		for _, oth := range sim.processes {
			oth.demand = demand
		}
		sim.pass(period)
		Expect(pro.reports).To(BeNumerically("<=", most))
	},
		Entry("nothing to do", int64(0), 4*time.Minute, 40),
		// The burst and 8 restored early reports, and one for each QuietPeriod in the
		// remaining time.
		Entry("always waiting", int64(1000), 4*time.Minute, 50),
	)

	// Guards against reports whose size grows with the number of teams, and against teams
	// that are never reported.
	It("includes at most ChangeLimit teams in a report, and each team in turn", func() {
		var rpr quota.Reporter
		now := time.Unix(1_000, 0)
		reported := make(map[fleet.Team]int)
		for round := range int64(51) {
			var uses []quota.Use
			for num := range 50 {
				uses = append(uses, quota.NewUse(fleet.Team(fmt.Sprint("team-", num)), processors(round+1)))
			}
			complete, sent := rpr.Report(uses, resource.Vector{}, now)
			Expect(complete).To(Equal(round == 0))
			for _, use := range sent {
				reported[use.Team()]++
			}
			if !complete {
				Expect(sent).To(HaveLen(quota.ChangeLimit))
			}
			rpr.Answered(sent, quota.NewAnswer(true, true, nil))
			now = now.Add(quota.QuietPeriod)
		}
		Expect(reported).To(HaveLen(50))
		Expect(reported).To(HaveEach(BeNumerically(">=", 3)))
	})
})
