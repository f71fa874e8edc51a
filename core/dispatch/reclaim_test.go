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

// urgentTarget is the time within which urgent work must start.
const urgentTarget = 1100 * time.Millisecond

// endless is the lease of tasks that run longer than every spec here.
const endless = 4 * time.Hour

// newFullSimulation returns a simulation of two partitions whose instances are full
// of tasks of one processor. The tasks take team and deadline from the job, and a
// checkpoint takes 300 ms.
func newFullSimulation(instances int, spc job.Spec) *simulation {
	GinkgoHelper()
	sim := newSimulation(2, instances, 2)
	sim.step, sim.checkpoint = job.TickPeriod, 300*time.Millisecond
	for left, num := instances*8, 0; left > 0; left, num = left-800, num+1 {
		spc := buildJob(min(left, 800), 1000, endless).WithTeam(spc.Team()).WithDeadline(spc.Deadline())
		sim.submit(num%2, spc, fmt.Sprint("batch-", num))
	}
	sim.pass(60)
	Expect(sim.running(spc.Team())).To(BeEquivalentTo(instances*8000), "the fleet is full")
	return sim
}

// startDelay returns the time from the submission of a job to its first start, and
// false if it has not started.
func (sim *simulation) startDelay(id job.ID, submitted time.Time) (time.Duration, bool) {
	at, started := sim.startedAt[id]
	return at.Sub(submitted), started
}

// runningTasks returns the running tasks, sorted. A task that runs twice is listed twice.
func (sim *simulation) runningTasks() []string {
	var names []string
	for _, ins := range sim.instances {
		for _, rnn := range ins.runs {
			names = append(names, fmt.Sprint(rnn.task.Ref().Job(), rnn.task.Ref().Index()))
		}
	}
	slices.Sort(names)
	return names
}

// evictions returns the number of evictions of the tasks of a job.
func (sim *simulation) evictions(id job.ID) int {
	sum := 0
	for _, sta := range sim.statuses() {
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
	// Guards against urgent work that waits until batch work ends, against other tasks that
	// take the capacity freed for it, and against more evictions than urgent tasks.
	DescribeTable("starts urgent work on a full fleet in time and resumes what it evicted once",
		func(instances, urgent int, team fleet.Team) {
			sim := newFullSimulation(instances, buildJob(1, 1000, endless).WithTeam("batch"))
			at, ids := sim.now, []job.ID(nil)
			for num := range urgent {
				spc := buildJob(1, 1000, time.Minute).WithTeam(team).WithUrgency(true)
				ids = append(ids, sim.submit(1, spc, fmt.Sprint("urgent-", num)))
			}
			sim.pass(15)
			for _, id := range ids {
				waited, started := sim.startDelay(id, at)
				Expect(started).To(BeTrue(), "%v", sim.dsp.ExplainJob(sim.statuses()[0]))
				Expect(waited).To(BeNumerically("<=", urgentTarget))
			}
			Expect(sim.stops).To(Equal(urgent))
			sim.pass(60)
			sim.step = step
			sim.pass(60)
			Expect(sim.running("batch")).To(BeEquivalentTo(instances*8000), "evicted tasks run again")
			Expect(slices.Compact(sim.runningTasks())).To(HaveLen(instances * 8))
			Expect(sim.violation).To(BeEmpty())
		},
		Entry("one task of another team", 3, 1, fleet.Team("other")),
		Entry("one task of the same team", 3, 1, fleet.Team("batch")),
		Entry("ten tasks on 40 instances", 40, 10, fleet.Team("other")),
	)

	// Guards against evicting a task that loses its work while others can resume theirs.
	It("stops tasks that start from the beginning last", func() {
		sim := newSimulation(1, 2, 2)
		sim.step, sim.checkpoint = job.TickPeriod, 300*time.Millisecond
		resumes := sim.submit(0, buildJob(8, 1000, endless).WithTeam("batch"), "resumes")
		sim.pass(60)
		restarts := sim.submit(0, buildJob(8, 1000, endless).WithTeam("batch").WithCheckpoints(false), "restarts")
		sim.pass(60)
		Expect(sim.running("batch")).To(BeEquivalentTo(16_000), "the fleet is full")
		for num := range 10 {
			sim.submit(0, buildJob(1, 1000, endless).WithTeam("batch").WithUrgency(true), fmt.Sprint("urgent-", num))
			sim.pass(15)
			Expect(sim.evictions(resumes)).To(Equal(min(num+1, 8)))
			Expect(sim.evictions(restarts)).To(Equal(max(num-7, 0)))
		}
		Expect(sim.violation).To(BeEmpty())
	})

	// Guards against urgent work that never starts because the running tasks were placed
	// before their class was known to be harmless.
	It("starts urgent work beside tasks of a class that was not known at first", func() {
		sim := newSimulation(1, 3, 2)
		sim.setService("svc", 0)
		for _, ins := range sim.instances {
			ins.busy = false
		}
		sim.step, sim.checkpoint = job.TickPeriod, 300*time.Millisecond
		sim.submit(0, noisyJob(6), "batch")
		sim.pass(60)
		Expect(sim.countRuns("noisy", 0, 3)).To(Equal(6), "the fleet is full")
		at, id := sim.now, sim.submit(0, buildJob(1, 4000, time.Minute).WithTeam("other").WithUrgency(true), "urgent")
		sim.pass(15)
		waited, started := sim.startDelay(id, at)
		Expect(started).To(BeTrue())
		Expect(waited).To(BeNumerically("<=", urgentTarget))
		Expect(sim.violation).To(BeEmpty())
	})

	// Guards against evictions at an unlimited rate when many urgent tasks arrive, and
	// against evicting urgent tasks.
	It("limits the rate of evictions for many urgent tasks", func() {
		sim := newFullSimulation(20, buildJob(1, 1000, endless).WithTeam("batch"))
		sim.submit(1, buildJob(160, 1000, endless).WithTeam("other").WithUrgency(true), "wave")
		sim.pass(20)
		Expect(sim.stops).To(BeNumerically("~", 20, 4), "a burst and four a second")
		sim.pass(600)
		Expect(sim.running("other")).To(BeNumerically("~", 80_000, 2000), "the share of the team")
		Expect(sim.violation).To(BeEmpty())
	})

	// Guards against evicting tasks of a team within its share for urgent work of a team
	// beyond its share.
	It("evicts no task of a team within its share for work beyond the share of another", func() {
		sim := newFullSimulation(4, buildJob(1, 1000, endless).WithTeam("batch"))
		sim.dsp.SetShares([]dispatch.Share{dispatch.NewShare("batch", 0.75, true), dispatch.NewShare("other", 0.25, true)})
		sim.submit(1, buildJob(30, 1000, endless).WithTeam("other").WithUrgency(true), "urgent")
		sim.pass(200)
		Expect(sim.running("batch")).To(BeEquivalentTo(24_000))
		Expect(sim.running("other")).To(BeEquivalentTo(8_000))
	})

	// Guards against starvation of a team below its share while others borrow, and against
	// two teams that keep evicting each other's tasks.
	It("evicts tasks of a borrowing team for a team below its share", func() {
		sim := newFullSimulation(4, buildJob(1, 1000, endless).WithTeam("batch"))
		sim.dsp.SetShares([]dispatch.Share{dispatch.NewShare("batch", 0.5, true), dispatch.NewShare("other", 0.5, true)})
		id := sim.submit(1, buildJob(32, 1000, endless).WithTeam("other"), "ordinary")
		sim.pass(int(quota.ReclaimAfter/sim.step) - 5)
		Expect(sim.stops).To(BeZero(), "capacity may become free by itself")
		sim.pass(1500)
		Expect(sim.running("other")).To(BeNumerically("~", 16_000, 1000))
		before := sim.stops
		sim.pass(600)
		Expect(sim.stops).To(Equal(before))
		sta, _ := sim.partitions[0].Status(sim.jobs[0])
		expectExplained(sim.dsp.ExplainJob(sta), "a share that team other now needs")
		Expect(sim.startedAt).To(HaveKey(id))
	})

	// Guards against evicting a task that loses most work or then misses its deadline.
	It("does not evict a task near its deadline or one that loses more work than another", func() {
		sim := newSimulation(1, 1, 1)
		sim.step = job.TickPeriod
		due := sim.now.Add(4 * time.Minute).UnixMilli()
		sim.submit(0, buildJob(1, 2000, endless).WithTeam("batch"), "old")
		sim.pass(100)
		saved := sim.submit(0, buildJob(1, 2000, endless).WithTeam("batch"), "saved")
		dueID := sim.submit(0, buildJob(1, 2000, endless).WithTeam("batch").WithDeadline(due), "due")
		sim.submit(0, buildJob(1, 2000, endless).WithTeam("batch"), "other")
		sim.pass(100)
		for _, id := range []job.ID{saved, dueID} {
			sim.pass(1)
			pos := slices.IndexFunc(sim.instances[0].runs, func(rnn run) bool { return rnn.task.Ref().Job() == id })
			ref := sim.instances[0].runs[pos].task.Ref()
			sim.collect(0, sim.partitions[0].Renew(sim.env(), 0, sim.instances[0].hint.Holder(), []job.Progress{job.NewProgress(ref, 9, "new")}))
		}
		sim.submit(0, buildJob(1, 2000, endless).WithTeam("batch").WithUrgency(true), "urgent")
		sim.pass(10)
		sta, _ := sim.partitions[0].Status(saved)
		Expect(sta.Tasks()[0].Counters().Evictions()).To(Equal(1))
		Expect(sta.Tasks()[0].Checkpoint()).To(Equal("c"))
		expectExplained(sim.dsp.ExplainJob(sta), "evicted to make room for urgent work of team batch")
	})

	// Guards against urgent work that never starts because its own process has no batch
	// task to evict.
	DescribeTable("asks another process to evict tasks", func(within bool, starts bool) {
		sim := newFullSimulation(60, buildJob(1, 1000, endless).WithTeam("batch"))
		here := sim.dsp
		sim.dsp = dispatch.New(place.Scored{}, 8, 2)
		sim.takeOver(1, 2)
		if !within {
			sim.dsp.SetShares([]dispatch.Share{dispatch.NewShare("batch", 0.99, true)})
			here.SetShares([]dispatch.Share{dispatch.NewShare("batch", 1, true)})
		}
		at := sim.now
		id := sim.submit(1, buildJob(1, 1000, endless).WithTeam("other").WithUrgency(true), "urgent")
		calls := 0
		for range 11 {
			sim.pass(1)
			for _, roo := range sim.partitions[1].Placement().TakeRoomRequests() {
				calls++
				if ins, made := sim.partitions[0].Placement().MakeRoom(roo, sim.now); made {
					sim.partitions[1].Placement().RoomMade(roo, ins, sim.now)
				}
			}
		}
		waited, started := sim.startDelay(id, at)
		Expect(started).To(Equal(starts))
		if starts {
			Expect(waited).To(BeNumerically("<", time.Second), "before raised hints alone would lead to the instance")
			Expect(calls).To(Equal(1))
		}
		sim.pass(60)
		Expect(slices.Compact(sim.runningTasks())).To(HaveLen(480))
	},
		Entry("of a team above its share", true, true),
		Entry("but not from a team within its share for a team beyond its own", false, false),
	)
})

// BenchmarkSearch measures a search for tasks to evict that finds none, in a process
// with 340 tasks on 1,400 instances.
func BenchmarkSearch(b *testing.B) {
	sim := newSimulation(1, 1400, 7)
	sim.submit(0, buildJob(340, 1000, endless).WithTeam("batch"), "batch")
	sim.pass(20)
	for _, ins := range sim.instances {
		ins.foreign = resource.New(7000, 7000, 0)
	}
	roo := dispatch.NewRoomRequest("task", "other", resource.New(8000, 9000, 0), true, time.Second)
	b.ReportAllocs()
	for b.Loop() {
		if _, made := sim.partitions[0].Placement().MakeRoom(roo, sim.now); made {
			b.Fatal("room was made")
		}
	}
}
