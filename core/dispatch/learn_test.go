package dispatch_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthpost/core/fleet"
	"jacinthpost/core/job"
	"jacinthpost/core/resource"
)

// setService runs a service that gets requests on the instances from a position on.
func (sim *simulation) setService(svc fleet.Service, from int) {
	for _, ins := range sim.instances[from:] {
		ins.hint, ins.busy = ins.hint.WithService(svc), true
	}
	sim.observe()
}

// countRuns returns the number of running tasks of a class on a range of instances.
func (sim *simulation) countRuns(cls fleet.JobClass, from, to int) int {
	count := 0
	for _, ins := range sim.instances[from:to] {
		for _, rnn := range ins.runs {
			if rnn.task.Spec().Class() == cls {
				count++
			}
		}
	}
	return count
}

// reportCost reports the cost of a class beside a service often enough to make it known.
func (sim *simulation) reportCost(svc fleet.Service, cls fleet.JobClass, cost float64) {
	for range 4 {
		sim.partitions[0].Placement().CostMeasured(svc, cls, cost, 8, sim.now)
	}
}

func noisyJob(tasks int) job.Spec {
	return job.NewSpec(job.KindBuild, tasks, resource.New(4000, 1000, 0)).WithClass("noisy", time.Hour)
}

// Guards against placement by declared sizes although the usage of the class is
// known, which leaves capacity unused or overloads instances.
var _ = DescribeTable("after learning, places a class by what it uses",
	func(declared, used int64, least, most int) {
		sim := newSimulation(1, 6, 2)
		sim.usage["class"] = resource.New(used, used, 0)
		sim.submit(0, buildJob(24, declared, 200*time.Second), "first")
		sim.pass(200)
		Expect(sim.unfinished()).To(BeEmpty())
		sim.submit(0, buildJob(500, declared, time.Hour), "second")
		sim.pass(4)
		Expect(sim.countRuns("class", 0, 6)).To(And(BeNumerically(">=", least), BeNumerically("<=", most)))
		Expect(sim.violation).To(BeEmpty())
	},
	Entry("declares ten times too much", int64(4000), int64(400), 90, 120),
	Entry("declares ten times too little", int64(200), int64(2000), 12, 24),
	Entry("declares what it uses", int64(2000), int64(2000), 24, 24),
)

var _ = Describe("measured interference", func() {
	// Guards against placing a class beside a service that it slows down, on an instance
	// that has not run the class yet.
	It("does not place a class beside a service that it slows down", func() {
		sim := newSimulation(1, 6, 2)
		sim.setService("robust", 0)
		sim.setService("sensitive", 3)
		sim.reportCost("robust", "noisy", 0)
		sim.reportCost("sensitive", "noisy", 2)
		sim.submit(0, noisyJob(5), "job")
		sim.pass(4)
		Expect(sim.countRuns("noisy", 0, 3)).To(Equal(5))
		Expect(sim.countRuns("noisy", 3, 6)).To(BeZero())
	})

	// Guards against a class that fills the instances of a service before its effect is
	// measured, and against one that never gets past its trial tasks.
	It("tries an unknown class with a few tasks first", func() {
		sim := newSimulation(1, 40, 2)
		sim.setService("svc", 0)
		sim.submit(0, noisyJob(60), "job")
		sim.pass(20)
		Expect(sim.countRuns("noisy", 0, 40)).To(Equal(4))
		sta, _ := sim.partitions[0].Status(sim.jobs[0])
		expectExplained(sim.dsp.ExplainJob(sta), "is not known yet and 4 of at most 4 trial tasks run")
		sim.reportCost("svc", "noisy", 0)
		sim.pass(20)
		Expect(sim.countRuns("noisy", 0, 40)).To(Equal(60))
	})

	// Guards against unused instances whose idle service yields no measurements.
	It("fills instances whose service is idle at once", func() {
		sim := newSimulation(1, 10, 2)
		sim.setService("svc", 0)
		for _, ins := range sim.instances {
			ins.busy = false
		}
		sim.submit(0, noisyJob(20), "job")
		sim.pass(2)
		Expect(sim.countRuns("noisy", 0, 10)).To(Equal(20))
		sim.reportCost("svc", "noisy", 2)
		_, cost, weight := sim.partitions[0].Placement().Terms(sim.lastOffer)
		Expect(cost).To(BeNumerically(">", 1.5), "measurements under load outweigh idle evidence")
		Expect(weight).To(BeNumerically(">", 8))
	})

	It("fills instances whose service becomes idle after the trial tasks have started", func() {
		sim := newSimulation(1, 10, 2)
		sim.setService("svc", 0)
		sim.submit(0, noisyJob(20), "job")
		sim.pass(4)
		Expect(sim.countRuns("noisy", 0, 10)).To(Equal(4))
		for range 2 {
			sim.partitions[0].Placement().ServiceIdle("svc", "noisy", sim.now)
		}
		sim.pass(4)
		Expect(sim.countRuns("noisy", 0, 10)).To(Equal(20))
	})

	// Guards against records of services that exist only in the reports of agents.
	It("ignores services that no instance has", func() {
		sim := newSimulation(1, 2, 1)
		sim.setService("svc", 0)
		sim.reportCost("made-up", "noisy", 2)
		sim.submit(0, noisyJob(1), "job")
		_, cost, _ := sim.partitions[0].Placement().Terms(sim.lastOffer)
		Expect(cost).To(BeNumerically("<", 0.3))
	})

	// Guards against a task that exceeds its memory again in every attempt.
	It("offers an evicted task with the memory that it has used", func() {
		sim := newSimulation(1, 2, 1)
		sim.usage["class"] = resource.New(1000, 5000, 0)
		sim.submit(0, buildJob(1, 1000, time.Hour), "job")
		sim.pass(4)
		sim.report(0, sim.lastOffer.Ref(), job.NewEnd(job.EndCheckpointed, "c").WithEviction(true))
		for _, ins := range sim.instances {
			ins.runs = nil
		}
		sim.pass(4)
		size, _, _ := sim.partitions[0].Placement().Terms(sim.lastOffer)
		Expect(size).To(Equal(resource.New(1000, 5000, 0)))
	})

	// Guards against a new owner that counts a running task with its declared size.
	It("counts running tasks of a partition that is taken over with their committed sizes", func() {
		sim := newSimulation(1, 2, 1)
		sim.submit(0, buildJob(4, 1000, time.Hour), "job")
		sim.pass(4)
		before := resource.Vector{}
		for _, ins := range sim.instances {
			ins.runs[0].size = resource.New(3000, 4000, 0)
			for _, rnn := range ins.runs {
				before = before.Plus(rnn.size)
			}
		}
		sim.takeOver(0, 2)
		after := sim.dsp.Committed("agent-0000").Plus(sim.dsp.Committed("agent-0001"))
		Expect(after).To(Equal(before))
	})
})
