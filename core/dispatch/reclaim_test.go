package dispatch_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthpost/core/dispatch"
	"jacinthpost/core/fleet"
	"jacinthpost/core/job"
	"jacinthpost/core/place"
	"jacinthpost/core/quota"
	"jacinthpost/core/resource"
)

// urgentTarget is the time within which urgent work starts.
const urgentTarget = 1100 * time.Millisecond

// endless is a run time, as a lease, that outlasts every spec here.
const endless = 4 * time.Hour

// fullWorld returns a world of two partitions whose instances of 8 processors
// run batch tasks of one processor of a team, and whose checkpoints take a while.
func fullWorld(instances int, spc job.Spec) *world {
	GinkgoHelper()
	wld := newWorld(2, instances, 2)
	wld.step, wld.checkpoint = job.TickPeriod, 300*time.Millisecond
	for left, num := instances*8, 0; left > 0; left, num = left-800, num+1 {
		spc := build(min(left, 800), 1000, endless).WithTeam(spc.Team()).WithDeadline(spc.Deadline())
		wld.submit(num%2, spc, fmt.Sprint("batch-", num))
	}
	wld.pass(60)
	Expect(wld.running(spc.Team())).To(BeEquivalentTo(instances*8000), "the fleet is full")
	return wld
}

// wait returns how long a job has waited for its first start, and false if it has not started.
func (wld *world) wait(id job.ID, submitted time.Time) (time.Duration, bool) {
	at, started := wld.startedAt[id]
	return at.Sub(submitted), started
}

// runningTasks returns the tasks that run, to find those that run twice.
func (wld *world) runningTasks() []string {
	var names []string
	for _, ins := range wld.instances {
		for _, rnn := range ins.runs {
			names = append(names, fmt.Sprint(rnn.task.Ref().Job(), rnn.task.Ref().Index()))
		}
	}
	slices.Sort(names)
	return names
}

// evictions returns how often tasks of a job were stopped for others.
func (wld *world) evictions(id job.ID) int {
	sum := 0
	for _, sta := range wld.statuses() {
		if sta.ID() != id {
			continue
		}
		for _, tsk := range sta.Tasks() {
			sum += tsk.Counters().Evictions()
		}
	}
	return sum
}

var _ = Describe("reclaim", func() {
	// Guards against urgent work that waits until batch work ends, against room that
	// another task takes, and against more evictions than there is urgent work.
	DescribeTable("starts urgent work on a full fleet in time and resumes what it evicted once",
		func(instances, urgent int, team fleet.Team) {
			wld := fullWorld(instances, build(1, 1000, endless).WithTeam("batch"))
			at, ids := wld.now, []job.ID(nil)
			for num := range urgent {
				spc := build(1, 1000, time.Minute).WithTeam(team).WithUrgency(true)
				ids = append(ids, wld.submit(1, spc, fmt.Sprint("urgent-", num)))
			}
			wld.pass(15)
			for _, id := range ids {
				waited, started := wld.wait(id, at)
				Expect(started).To(BeTrue(), "%v", wld.dsp.ExplainJob(wld.statuses()[0]))
				Expect(waited).To(BeNumerically("<=", urgentTarget))
			}
			Expect(wld.stops).To(Equal(urgent))
			wld.pass(60)
			wld.step = step
			wld.pass(60)
			Expect(wld.running("batch")).To(BeEquivalentTo(instances*8000), "evicted tasks run again")
			Expect(slices.Compact(wld.runningTasks())).To(HaveLen(instances * 8))
			Expect(wld.broken).To(BeEmpty())
		},
		Entry("one task of another team", 3, 1, fleet.Team("other")),
		Entry("one task of the same team", 3, 1, fleet.Team("batch")),
		Entry("ten tasks on 40 instances", 40, 10, fleet.Team("other")),
	)

	// Guards against work lost although stopping another task would have lost less.
	It("stops tasks that start from the beginning last", func() {
		wld := newWorld(1, 2, 2)
		wld.step, wld.checkpoint = job.TickPeriod, 300*time.Millisecond
		resumes := wld.submit(0, build(8, 1000, endless).WithTeam("batch"), "resumes")
		wld.pass(60)
		restarts := wld.submit(0, build(8, 1000, endless).WithTeam("batch").WithCheckpoints(false), "restarts")
		wld.pass(60)
		Expect(wld.running("batch")).To(BeEquivalentTo(16_000), "the fleet is full")
		for num := range 10 {
			wld.submit(0, build(1, 1000, endless).WithTeam("batch").WithUrgency(true), fmt.Sprint("urgent-", num))
			wld.pass(15)
			Expect(wld.evictions(resumes)).To(Equal(min(num+1, 8)))
			Expect(wld.evictions(restarts)).To(Equal(max(num-7, 0)))
		}
		Expect(wld.broken).To(BeEmpty())
	})

	// Guards against room that is never made, because a class was not known to be
	// harmless when its running tasks were placed.
	It("starts urgent work beside tasks of a class that was not known at first", func() {
		wld := newWorld(1, 3, 2)
		wld.serving("svc", 0)
		for _, ins := range wld.instances {
			ins.busy = false
		}
		wld.step, wld.checkpoint = job.TickPeriod, 300*time.Millisecond
		wld.submit(0, noisy(6), "batch")
		wld.pass(60)
		Expect(wld.runs("noisy", 0, 3)).To(Equal(6), "the fleet is full")
		at, id := wld.now, wld.submit(0, build(1, 4000, time.Minute).WithTeam("other").WithUrgency(true), "urgent")
		wld.pass(15)
		waited, started := wld.wait(id, at)
		Expect(started).To(BeTrue())
		Expect(waited).To(BeNumerically("<=", urgentTarget))
		Expect(wld.broken).To(BeEmpty())
	})

	// Guards against a wave of urgent work that stops the whole fleet, and against stopping urgent work.
	It("bounds the evictions of a wave of urgent work", func() {
		wld := fullWorld(20, build(1, 1000, endless).WithTeam("batch"))
		wld.submit(1, build(160, 1000, endless).WithTeam("other").WithUrgency(true), "wave")
		wld.pass(20)
		Expect(wld.stops).To(BeNumerically("~", 20, 4), "a burst and four a second")
		wld.pass(600)
		Expect(wld.running("other")).To(BeNumerically("~", 80_000, 2000), "the share of the team")
		Expect(wld.broken).To(BeEmpty())
	})

	// Guards against a wave beyond the share of its team that evicts teams within theirs.
	It("takes nothing from a team within its share for work beyond the share of another", func() {
		wld := fullWorld(4, build(1, 1000, endless).WithTeam("batch"))
		wld.dsp.SetShares([]dispatch.Share{dispatch.NewShare("batch", 0.75, true), dispatch.NewShare("other", 0.25, true)})
		wld.submit(1, build(30, 1000, endless).WithTeam("other").WithUrgency(true), "urgent")
		wld.pass(200)
		Expect(wld.running("batch")).To(BeEquivalentTo(24_000))
		Expect(wld.running("other")).To(BeEquivalentTo(8_000))
	})

	// Guards against a team below its share that waits for ever while others borrow,
	// and against a reclaim that goes back and forth.
	It("gives a team below its share what others borrow", func() {
		wld := fullWorld(4, build(1, 1000, endless).WithTeam("batch"))
		wld.dsp.SetShares([]dispatch.Share{dispatch.NewShare("batch", 0.5, true), dispatch.NewShare("other", 0.5, true)})
		id := wld.submit(1, build(32, 1000, endless).WithTeam("other"), "ordinary")
		wld.pass(int(quota.ReclaimAfter/wld.step) - 5)
		Expect(wld.stops).To(BeZero(), "capacity may become free by itself")
		wld.pass(1500)
		Expect(wld.running("other")).To(BeNumerically("~", 16_000, 1000))
		before := wld.stops
		wld.pass(600)
		Expect(wld.stops).To(Equal(before))
		sta, _ := wld.parts[0].Status(wld.jobs[0])
		explained(wld.dsp.ExplainJob(sta), "a share that team other now needs")
		Expect(wld.startedAt).To(HaveKey(id))
	})

	// Guards against evicting a task with the most work to lose, or one that then misses its deadline.
	It("spares tasks near their deadline and those that lose most work", func() {
		wld := newWorld(1, 1, 1)
		wld.step = job.TickPeriod
		due := wld.now.Add(4 * time.Minute).UnixMilli()
		wld.submit(0, build(1, 2000, endless).WithTeam("batch"), "old")
		wld.pass(100)
		saved := wld.submit(0, build(1, 2000, endless).WithTeam("batch"), "saved")
		dueID := wld.submit(0, build(1, 2000, endless).WithTeam("batch").WithDeadline(due), "due")
		wld.submit(0, build(1, 2000, endless).WithTeam("batch"), "other")
		wld.pass(100)
		for _, id := range []job.ID{saved, dueID} {
			wld.pass(1)
			pos := slices.IndexFunc(wld.instances[0].runs, func(rnn run) bool { return rnn.task.Ref().Job() == id })
			ref := wld.instances[0].runs[pos].task.Ref()
			wld.collect(0, wld.parts[0].Renew(wld.env(), 0, wld.instances[0].hint.Holder(), []job.Progress{job.NewProgress(ref, 9, "new")}))
		}
		wld.submit(0, build(1, 2000, endless).WithTeam("batch").WithUrgency(true), "urgent")
		wld.pass(10)
		sta, _ := wld.parts[0].Status(saved)
		Expect(sta.Tasks()[0].Counters().Evictions()).To(Equal(1))
		Expect(sta.Tasks()[0].Checkpoint()).To(Equal("c"))
		explained(wld.dsp.ExplainJob(sta), "evicted to make room for urgent work of team batch")
	})

	// Guards against urgent work of a process that has no batch task to stop.
	DescribeTable("takes room from the tasks of another process", func(within bool, starts bool) {
		wld := fullWorld(60, build(1, 1000, endless).WithTeam("batch"))
		here := wld.dsp
		wld.dsp = dispatch.New(place.Scored{}, 8, 2)
		wld.takeOver(1, 2)
		if !within {
			wld.dsp.SetShares([]dispatch.Share{dispatch.NewShare("batch", 0.99, true)})
			here.SetShares([]dispatch.Share{dispatch.NewShare("batch", 1, true)})
		}
		at := wld.now
		id := wld.submit(1, build(1, 1000, endless).WithTeam("other").WithUrgency(true), "urgent")
		calls := 0
		for range 11 {
			wld.pass(1)
			for _, roo := range wld.parts[1].Placement().TakeRoomRequests() {
				calls++
				if ins, made := wld.parts[0].Placement().MakeRoom(roo, wld.now); made {
					wld.parts[1].Placement().RoomMade(roo, ins, wld.now)
				}
			}
		}
		waited, started := wld.wait(id, at)
		Expect(started).To(Equal(starts))
		if starts {
			Expect(waited).To(BeNumerically("<", time.Second), "before hints are relaxed, which finds the room by chance")
			Expect(calls).To(Equal(1))
		}
		wld.pass(60)
		Expect(slices.Compact(wld.runningTasks())).To(HaveLen(480))
	},
		Entry("of a team above its share", true, true),
		Entry("but not from a team within its share for a team beyond its own", false, false),
	)
})

// BenchmarkSearch measures the search for tasks to stop when none helps, for an
// owner of 340 tasks on 1,400 instances.
func BenchmarkSearch(b *testing.B) {
	wld := newWorld(1, 1400, 7)
	wld.submit(0, build(340, 1000, endless).WithTeam("batch"), "batch")
	wld.pass(20)
	for _, ins := range wld.instances {
		ins.foreign = resource.New(7000, 7000, 0)
	}
	roo := dispatch.NewRoomRequest("task", "other", resource.New(8000, 9000, 0), true, time.Second)
	b.ReportAllocs()
	for b.Loop() {
		if _, made := wld.parts[0].Placement().MakeRoom(roo, wld.now); made {
			b.Fatal("room was made")
		}
	}
}
