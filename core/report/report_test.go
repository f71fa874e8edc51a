package report_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthpost/core/fleet"
	"jacinthpost/core/job"
	"jacinthpost/core/report"
	"jacinthpost/core/resource"
	"jacinthpost/internal/specs"
)

func TestReport(t *testing.T) {
	specs.Run(t, "report")
}

var begin = time.Unix(1_000_000, 0)

// partition returns a partition with a job of one task for each key. The deadline is relative to
// begin; zero means none. No task starts, because there are no instances.
func partition(deadline time.Duration, keys ...string) *job.Partition[*job.SimplePlacement] {
	par := job.New(&job.SimplePlacement{}, job.DefaultLimits())
	par.TakeOver(env(begin), 1)
	for _, key := range keys {
		spc := job.NewSpec(job.KindBuild, 1, resource.New(1000, 1000, 0)).WithKey("uni", key).WithTeam("catalogue").WithClass("termBuild", 0)
		if deadline > 0 {
			spc = spc.WithDeadline(begin.Add(deadline).UnixMilli())
		}
		par.Submit(env(begin), 0, spc)
	}
	return par
}

func env(now time.Time) job.Env {
	return job.NewEnv(now, now.Add(time.Hour), func(fleet.DataCentre) bool { return true })
}

// reportOf returns a report on the jobs of a partition.
func reportOf(par *job.Partition[*job.SimplePlacement], since, now time.Time) *report.Report {
	rpt := report.Since(since)
	for sum := range par.Summaries() {
		rpt.AddJob(sum, now)
	}
	return rpt
}

var builds = report.NewKey("catalogue", "termBuild")

// Guards against jobs that are missing from a report, counted twice or in the wrong column.
var _ = Describe("a report", func() {
	expectCounts := func(rpt *report.Report, col report.Column, want int) {
		GinkgoHelper()
		Expect(rpt.Keys()).To(Equal([]report.Key{builds}))
		Expect(rpt.Row(builds).Count(col)).To(Equal(want))
	}

	It("counts jobs by state", func() {
		par := partition(0, "a", "b", "c")
		par.Cancel(env(begin.Add(time.Minute)), 0, job.NewID("uni", "b"))
		rpt := reportOf(par, begin, begin.Add(time.Hour))
		expectCounts(rpt, report.Waiting, 2)
		expectCounts(rpt, report.Cancelled, 1)
		Expect(rpt.Items()).To(BeEmpty())
	})

	It("leaves out jobs that ended before its start", func() {
		par := partition(0, "a", "b")
		par.Cancel(env(begin.Add(time.Minute)), 0, job.NewID("uni", "a"))
		rpt := reportOf(par, begin.Add(time.Hour), begin.Add(2*time.Hour))
		expectCounts(rpt, report.Cancelled, 0)
		expectCounts(rpt, report.Waiting, 1)
	})

	It("lists a job that is past its deadline", func() {
		rpt := reportOf(partition(time.Hour, "a"), begin, begin.Add(3*time.Hour))
		expectCounts(rpt, report.Late, 1)
		Expect(rpt.Items()).To(HaveLen(1))
		itm := rpt.Items()[0]
		Expect(itm.Concern()).To(Equal(report.ConcernOverdue))
		Expect(itm.ID()).To(Equal(job.NewID("uni", "a")))
		Expect(itm.Tardiness()).To(Equal(2 * time.Hour))
	})

	It("has the same content whether merged from parts or made of all jobs", func() {
		now := begin.Add(2 * time.Hour)
		sum := reportOf(partition(time.Hour, "a", "b"), begin, now)
		sum.Merge(reportOf(partition(time.Hour, "c"), begin, now))
		whole := reportOf(partition(time.Hour, "a", "b", "c"), begin, now)
		Expect(sum.Row(builds)).To(Equal(whole.Row(builds)))
		Expect(sum.Items()).To(Equal(whole.Items()))
	})
})

// Guards against a report whose size grows with the number of classes or of jobs that need attention.
var _ = Describe("a report with many classes", func() {
	It("stays within its limits and counts what exceeds them", func() {
		rpt := &report.Report{}
		for num := range report.RowLimit + 10 {
			key := report.NewKey("team", fleet.JobClass(fmt.Sprint("class-", num)))
			rpt.AddRow(key, report.Row{}.With(report.Finished, 1))
			rpt.AddItem(report.NewItem(report.ConcernOverdue, job.ID(fmt.Sprint(num)), key, "c"))
		}
		rpt.AddItem(report.NewItem(report.ConcernParked, "worst", builds, "c"))
		Expect(rpt.Keys()).To(HaveLen(report.RowLimit + 1))
		Expect(rpt.Row(report.NewKey("(other)", "(other)")).Count(report.Finished)).To(Equal(10))
		Expect(rpt.Items()).To(HaveLen(report.ItemLimit))
		Expect(rpt.Items()[0].ID()).To(Equal(job.ID("worst")))
		Expect(rpt.Unnamed()).To(Equal(report.RowLimit + 11 - report.ItemLimit))
	})
})

// Measures how long a report on one partition blocks the control goroutine of its owner. The largest
// case is a week of 8,300 jobs a day, of 20 tasks each, in 64 partitions.
func BenchmarkReport(b *testing.B) {
	for _, jobs := range []int{100, 300, 900} {
		par := job.New(&job.SimplePlacement{}, job.NewLimits(100_000, 10_000, 1<<20, time.Hour))
		par.TakeOver(env(begin), 1)
		for num := range jobs {
			spc := job.NewSpec(job.KindBuild, 20, resource.New(1000, 1000, 0)).WithKey("uni", fmt.Sprint(num)).WithClass(fleet.JobClass(fmt.Sprint(num%20)), 0)
			par.Submit(env(begin), 0, spc)
		}
		b.Run(fmt.Sprint(jobs), func(b *testing.B) {
			for b.Loop() {
				reportOf(par, begin, begin.Add(time.Hour))
			}
		})
	}
}
