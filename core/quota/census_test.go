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

// process is an owner process with tasks of one processor of a team that may not borrow.
type process struct {
	id       fleet.Process
	reporter quota.Reporter
	held     int64
	demand   int64
	reports  int
}

// group is a census and its processes. The time starts when the census has settled.
type group struct {
	bound     int64
	census    quota.Allocator
	inbox     quota.DuplicateFilter
	processes []*process
	now       time.Time
	sequence  uint64
}

func newGroup(count int, bound int64) *group {
	grp := &group{bound: bound, now: time.Unix(1_000, 0)}
	for num := range count {
		grp.processes = append(grp.processes, &process{id: fleet.NewProcess(fleet.InstanceID(fmt.Sprint("owner-", num)), 1)})
	}
	grp.pass(quota.SettlePeriod + 4*quota.QuietPeriod)
	return grp
}

func processors(count int64) resource.Vector { return resource.New(1000*count, 0, 0) }

func (grp *group) limit(pro *process) int64 {
	return pro.reporter.Limit("red", processors(grp.bound), int64(len(grp.processes))).MilliCPU() / 1000
}

// run starts and ends tasks as far as the demand and the limit go.
func (grp *group) run(pro *process) {
	pro.held = min(pro.demand, max(pro.held, grp.limit(pro)))
}

func (grp *group) uses(pro *process) []quota.Use {
	use := quota.NewUse("red", processors(pro.held)).Bounded(processors(grp.bound), processors(grp.limit(pro)))
	if pro.demand > pro.held {
		use = use.Waiting(processors(1))
	}
	if use.Empty() {
		return nil
	}
	return []quota.Use{use}
}

// report lets a process report if it has to; the calls that reach the census and are
// not answered are repeated with the same number, as owner.Client does.
func (grp *group) report(pro *process, unanswered int, lost bool) {
	if !pro.reporter.Due(grp.uses(pro), grp.now) {
		return
	}
	pro.reports++
	complete, uses := pro.reporter.Report(grp.uses(pro), resource.Vector{}, grp.now)
	arriving := slices.Clone(uses)
	for pos, use := range arriving {
		if use.BoundsKnown() { // bound and limit are not sent
			arriving[pos] = quota.NewUse(use.Team(), use.Amounts()).Waiting(use.Want()).WithBoundsKnown()
		}
	}
	grp.sequence++
	var ans quota.Answer
	for range unanswered + 1 {
		ans = quota.Answer{}
		if grp.inbox.Accept(pro.id, grp.sequence, complete) {
			ans = grp.census.Report(pro.id, complete, arriving, resource.Vector{}, grp.now)
		}
	}
	if lost {
		pro.reporter.Lost()
		return
	}
	pro.reporter.Answered(uses, ans)
}

// pass lets time pass with reports that are all answered.
func (grp *group) pass(period time.Duration) {
	for end := grp.now.Add(period); grp.now.Before(end); grp.now = grp.now.Add(quota.ReportPeriod) {
		for _, pro := range grp.processes {
			grp.run(pro)
			grp.report(pro, 0, false)
		}
	}
}

func (grp *group) total(of func(pro *process) int64) int64 {
	sum := int64(0)
	for _, pro := range grp.processes {
		sum += of(pro)
	}
	return sum
}

var _ = Describe("Census", func() {
	// Guards against limits that exceed the bound together, because a process keeps to a
	// limit that the census has lowered in an answer that was lost or read twice.
	It("keeps the limits of all processes together within the bound", func() {
		rapid.Check(GinkgoT(), func(tst *rapid.T) {
			grp := newGroup(rapid.IntRange(2, 4).Draw(tst, "processes"), 12)
			for step := range rapid.IntRange(1, 60).Draw(tst, "steps") {
				if step%8 == 0 { // so that no report expires
					grp.pass(quota.ReportPeriod)
				}
				pro := rapid.SampledFrom(grp.processes).Draw(tst, "process")
				pro.demand = rapid.Int64Range(0, 20).Draw(tst, "demand")
				grp.run(pro)
				grp.report(pro, rapid.IntRange(0, 2).Draw(tst, "unanswered"), rapid.Bool().Draw(tst, "lost"))
				grp.now = grp.now.Add(quota.ReportPeriod / 4)
				if sum := grp.total(grp.limit); sum > grp.bound {
					tst.Fatalf("limits of %d together", sum)
				}
				if sum := grp.total(func(pro *process) int64 { return pro.held }); sum > grp.bound {
					tst.Fatalf("tasks of %d together", sum)
				}
			}
		})
	})

	// Guards against a team that waits long for its share because idle processes report rarely.
	DescribeTable("gives a team its share soon although its work is with one process", func(count int, period time.Duration, share int64) {
		grp := newGroup(count, 1280)
		for _, pro := range grp.processes[1:] {
			pro.demand = 1 // known to all processes
		}
		grp.pass(time.Minute)
		grp.processes[0].demand = 2000
		grp.pass(period)
		grp.run(grp.processes[0])
		Expect(grp.processes[0].held).To(BeNumerically(">=", share))
	},
		Entry("64 processes, at once half", 64, 2*time.Second, int64(600)),
		Entry("64 processes, soon all but the tasks of the others", 64, 14*time.Second, int64(1217)),
		Entry("two processes", 2, 14*time.Second, int64(1279)),
	)

	// Guards against reports whose number grows with the demand without a bound.
	DescribeTable("bounds the reports of a process", func(demand int64, period time.Duration, most int) {
		grp := newGroup(4, 12)
		grp.pass(2 * time.Minute)
		pro := grp.processes[0]
		pro.reports = 0
		for _, oth := range grp.processes {
			oth.demand = demand
		}
		grp.pass(period)
		Expect(pro.reports).To(BeNumerically("<=", most))
	},
		Entry("nothing to do", int64(0), 4*time.Minute, 40),
		// 8 early ones and the burst, and a quiet one in each 6 s of the rest.
		Entry("always waiting", int64(1000), 4*time.Minute, 50),
	)

	// Guards against reports whose size grows with the number of teams, and against teams that are never told.
	It("tells at most ChangeLimit teams in a report, and each in turn", func() {
		var rpr quota.Reporter
		now := time.Unix(1_000, 0)
		told := make(map[fleet.Team]int)
		for round := range int64(51) {
			var uses []quota.Use
			for num := range 50 {
				uses = append(uses, quota.NewUse(fleet.Team(fmt.Sprint("team-", num)), processors(round+1)))
			}
			complete, sent := rpr.Report(uses, resource.Vector{}, now)
			Expect(complete).To(Equal(round == 0))
			for _, use := range sent {
				told[use.Team()]++
			}
			if !complete {
				Expect(sent).To(HaveLen(quota.ChangeLimit))
			}
			rpr.Answered(sent, quota.NewAnswer(true, true, nil))
			now = now.Add(quota.QuietPeriod)
		}
		Expect(told).To(HaveLen(50))
		Expect(told).To(HaveEach(BeNumerically(">=", 3)))
	})
})
