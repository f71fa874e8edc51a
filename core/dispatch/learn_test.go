package dispatch_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthpost/core/fleet"
	"jacinthpost/core/job"
	"jacinthpost/core/resource"
)

// serving gives instances a service whose requests arrive, from one position on.
func (wld *world) serving(svc fleet.Service, from int) {
	for _, ins := range wld.instances[from:] {
		ins.hint, ins.busy = ins.hint.WithService(svc), true
	}
	wld.observe()
}

// runs returns the number of tasks of a class on the instances from one position to another.
func (wld *world) runs(cls fleet.JobClass, from, to int) int {
	count := 0
	for _, ins := range wld.instances[from:to] {
		for _, rnn := range ins.runs {
			if rnn.task.Spec().Class() == cls {
				count++
			}
		}
	}
	return count
}

// learn reports the cost of a class beside a service until it is known.
func (wld *world) learn(svc fleet.Service, cls fleet.JobClass, cost float64) {
	for range 4 {
		wld.parts[0].Placement().CostMeasured(svc, cls, cost, 8, wld.now)
	}
}

func noisy(tasks int) job.Spec {
	return job.NewSpec(job.KindBuild, tasks, resource.New(4000, 1000, 0)).WithClass("noisy", time.Hour)
}

// Guards against declared sizes that waste the fleet or overload its instances
// although it is known what the class uses.
var _ = DescribeTable("after learning, places a class by what it uses",
	func(declared, used int64, least, most int) {
		wld := newWorld(1, 6, 2)
		wld.uses["class"] = resource.New(used, used, 0)
		wld.submit(0, build(24, declared, 200*time.Second), "first")
		wld.pass(200)
		Expect(wld.open()).To(BeEmpty())
		wld.submit(0, build(500, declared, time.Hour), "second")
		wld.pass(4)
		Expect(wld.runs("class", 0, 6)).To(And(BeNumerically(">=", least), BeNumerically("<=", most)))
		Expect(wld.broken).To(BeEmpty())
	},
	Entry("declares ten times too much", int64(4000), int64(400), 90, 120),
	Entry("declares ten times too little", int64(200), int64(2000), 12, 24),
	Entry("declares what it uses", int64(2000), int64(2000), 24, 24),
)

var _ = Describe("what agents learned", func() {
	// Guards against a class that disturbs a service and is placed beside it
	// again, on an instance that has not seen it.
	It("keeps a noisy class away from the service that it disturbs", func() {
		wld := newWorld(1, 6, 2)
		wld.serving("robust", 0)
		wld.serving("sensitive", 3)
		wld.learn("robust", "noisy", 0)
		wld.learn("sensitive", "noisy", 2)
		wld.submit(0, noisy(5), "job")
		wld.pass(4)
		Expect(wld.runs("noisy", 0, 3)).To(Equal(5))
		Expect(wld.runs("noisy", 3, 6)).To(BeZero())
	})

	// Guards against a class that fills the instances of a service before anybody
	// knows what it does there, and against one that is held back for ever.
	It("tries an unknown class with a few tasks first", func() {
		wld := newWorld(1, 40, 2)
		wld.serving("svc", 0)
		wld.submit(0, noisy(60), "job")
		wld.pass(20)
		Expect(wld.runs("noisy", 0, 40)).To(Equal(4))
		sta, _ := wld.parts[0].Status(wld.jobs[0])
		explained(wld.dsp.ExplainJob(sta), "is not known yet and 4 of at most 4 trial tasks run")
		wld.learn("svc", "noisy", 0)
		wld.pass(20)
		Expect(wld.runs("noisy", 0, 40)).To(Equal(60))
	})

	// Guards against a fleet that stays empty because nothing can be measured.
	It("fills instances whose service is idle at once", func() {
		wld := newWorld(1, 10, 2)
		wld.serving("svc", 0)
		for _, ins := range wld.instances {
			ins.busy = false
		}
		wld.submit(0, noisy(20), "job")
		wld.pass(2)
		Expect(wld.runs("noisy", 0, 10)).To(Equal(20))
		wld.learn("svc", "noisy", 2)
		_, cost, weight := wld.parts[0].Placement().Terms(wld.last)
		Expect(cost).To(BeNumerically(">", 1.5), "what is measured under load outweighs it")
		Expect(weight).To(BeNumerically(">", 8))
	})

	It("fills them when the service becomes idle after the trials have started", func() {
		wld := newWorld(1, 10, 2)
		wld.serving("svc", 0)
		wld.submit(0, noisy(20), "job")
		wld.pass(4)
		Expect(wld.runs("noisy", 0, 10)).To(Equal(4))
		for range 2 {
			wld.parts[0].Placement().ServiceIdle("svc", "noisy", wld.now)
		}
		wld.pass(4)
		Expect(wld.runs("noisy", 0, 10)).To(Equal(20))
	})

	// Guards against services and classes that agents make up.
	It("ignores services that no instance has", func() {
		wld := newWorld(1, 2, 1)
		wld.serving("svc", 0)
		wld.learn("made-up", "noisy", 2)
		wld.submit(0, noisy(1), "job")
		_, cost, _ := wld.parts[0].Placement().Terms(wld.last)
		Expect(cost).To(BeNumerically("<", 0.3))
	})

	// Guards against a task that outgrew its memory and is offered with the same size again.
	It("offers an evicted task with what it has used", func() {
		wld := newWorld(1, 2, 1)
		wld.uses["class"] = resource.New(1000, 5000, 0)
		wld.submit(0, build(1, 1000, time.Hour), "job")
		wld.pass(4)
		wld.report(0, wld.last.Ref(), job.NewEnd(job.EndCheckpointed, "c").WithEviction(true))
		for _, ins := range wld.instances {
			ins.runs = nil
		}
		wld.pass(4)
		size, _, _ := wld.parts[0].Placement().Terms(wld.last)
		Expect(size).To(Equal(resource.New(1000, 5000, 0)))
	})

	// Guards against a new owner that counts a running task with its declared size.
	It("takes the committed sizes over with a partition", func() {
		wld := newWorld(1, 2, 1)
		wld.submit(0, build(4, 1000, time.Hour), "job")
		wld.pass(4)
		before := resource.Vector{}
		for _, ins := range wld.instances {
			ins.runs[0].size = resource.New(3000, 4000, 0)
			for _, rnn := range ins.runs {
				before = before.Plus(rnn.size)
			}
		}
		wld.takeOver(0, 2)
		after := wld.dsp.Committed("agent-0000").Plus(wld.dsp.Committed("agent-0001"))
		Expect(after).To(Equal(before))
	})
})
