package runner_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"jacinthpost/core/resource"
	"jacinthpost/core/worker"
)

// changeUsage sets the usage of a random running task.
func (sim *simulation) changeUsage(rt *rapid.T) {
	if refs, _ := sim.wkr.Running(); len(refs) > 0 {
		ref := rapid.SampledFrom(refs).Draw(rt, "task")
		sim.wkr.SetUsage(ref, resource.New(rapid.Int64Range(1, 9000).Draw(rt, "cpu"), rapid.Int64Range(1, 9000).Draw(rt, "memory"), 0))
	}
}

// evictTask evicts a random running task.
func (sim *simulation) evictTask(rt *rapid.T) {
	if refs, _ := sim.wkr.Running(); len(refs) > 0 {
		efs, _ := sim.run.Evict(rapid.SampledFrom(refs).Draw(rt, "task"), "noisy", sim.now)
		sim.enqueue(efs)
	}
}

// reportUsage sets the usage of a task and lets the worker report it three times.
func (sim *simulation) reportUsage(ref worker.Ref, milliCPU, memoryMB int64) {
	sim.wkr.SetUsage(ref, resource.New(milliCPU, memoryMB, 0))
	for range 3 {
		sim.advance(time.Second)
		sim.poll()
	}
}

// Guards against accepting offers into resources that running tasks use beyond
// their commitment, and against commitments beyond the capacity of the instance.
// The task was offered 1000 of 7500 millicores and MB.
var _ = DescribeTable("commits what a running task uses",
	func(act func(sim *simulation, ref worker.Ref), want resource.Vector) {
		sim, ref := newSimulationWithTask()
		act(sim, ref)
		Expect(sim.led.Amount(ref)).To(Equal(want))
		Expect(sim.led.Deficit()).To(BeZero())
		Expect(sim.run.Tasks()[0].Resources()).To(Equal(want))
	},
	Entry("up to its usage", func(sim *simulation, ref worker.Ref) { sim.reportUsage(ref, 2000, 3000) }, resource.New(2000, 3000, 0)),
	Entry("up to the free resources", func(sim *simulation, ref worker.Ref) {
		sim.offer("build-b", 5000)
		sim.reportUsage(ref, 9000, 9000)
	}, resource.New(2500, 2500, 0)),
	Entry("but not less than it was offered", func(sim *simulation, ref worker.Ref) { sim.reportUsage(ref, 10, 10) }, resource.New(1000, 1000, 0)),
	Entry("with memory at its peak and processors at their present usage", func(sim *simulation, ref worker.Ref) {
		sim.reportUsage(ref, 4000, 4000)
		sim.reportUsage(ref, 1500, 1500)
	}, resource.New(1500, 4000, 0)),
	Entry("after a restart of the agent", func(sim *simulation, ref worker.Ref) {
		sim.reportUsage(ref, 2000, 3000)
		sim.startAgent()
		sim.poll()
	}, resource.New(2000, 3000, 0)),
)

// Guards against underestimating the processors that a class needs because its tasks are throttled.
var _ = DescribeTable("reports the peak at full speed",
	func(speed, steps int, used, want int64) {
		sim, ref := newSimulationWithTask()
		sim.reportUsage(ref, 800, 1000)
		sim.run.Throttle(ref, speed)
		sim.wkr.SetUsage(ref, resource.New(used, 500, 0))
		sim.runWithoutFaults(GinkgoT(), steps)
		Expect(sim.run.Tasks()[0].Peak()).To(Equal(resource.New(want, 1000, 0)))
	},
	Entry("while throttled", 50, 200, int64(600), int64(1200)),
	Entry("but without processors while reports may span the change of speed", 50, 100, int64(900), int64(800)),
	Entry("without a throttle", 100, 100, int64(900), int64(900)),
)
