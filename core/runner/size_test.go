package runner_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"jacinthpost/core/resource"
	"jacinthpost/core/worker"
)

// use lets one of the tasks use another amount.
func (wld *world) use(rt *rapid.T) {
	if refs, _ := wld.wkr.Running(); len(refs) > 0 {
		ref := rapid.SampledFrom(refs).Draw(rt, "task")
		wld.wkr.SetUsage(ref, resource.New(rapid.Int64Range(1, 9000).Draw(rt, "cpu"), rapid.Int64Range(1, 9000).Draw(rt, "memory"), 0))
	}
}

// evict evicts one of the tasks.
func (wld *world) evict(rt *rapid.T) {
	if refs, _ := wld.wkr.Running(); len(refs) > 0 {
		efs, _ := wld.run.Evict(rapid.SampledFrom(refs).Draw(rt, "task"), "noisy", wld.now)
		wld.do(efs)
	}
}

// uses lets the worker report several times that the task uses an amount.
func (wld *world) uses(ref worker.Ref, milliCPU, memoryMB int64) {
	wld.wkr.SetUsage(ref, resource.New(milliCPU, memoryMB, 0))
	for range 3 {
		wld.pass(time.Second)
		wld.poll()
	}
}

// Guards against tasks that use more than is committed to them while offers
// fill the rest, and against a commitment beyond the instance. The task was
// offered 1000 of 7500.
var _ = DescribeTable("commits what a running task uses",
	func(act func(wld *world, ref worker.Ref), want resource.Vector) {
		wld, ref := running()
		act(wld, ref)
		Expect(wld.led.Amount(ref)).To(Equal(want))
		Expect(wld.led.Deficit()).To(BeZero())
		Expect(wld.run.Tasks()[0].Resources()).To(Equal(want))
	},
	Entry("up to the use", func(wld *world, ref worker.Ref) { wld.uses(ref, 2000, 3000) }, resource.New(2000, 3000, 0)),
	Entry("as far as there is room", func(wld *world, ref worker.Ref) {
		wld.offer("build-b", 5000)
		wld.uses(ref, 9000, 9000)
	}, resource.New(2500, 2500, 0)),
	Entry("not below the offer", func(wld *world, ref worker.Ref) { wld.uses(ref, 10, 10) }, resource.New(1000, 1000, 0)),
	Entry("with memory at its peak and processors as used", func(wld *world, ref worker.Ref) {
		wld.uses(ref, 4000, 4000)
		wld.uses(ref, 1500, 1500)
	}, resource.New(1500, 4000, 0)),
	Entry("after a restart of the agent", func(wld *world, ref worker.Ref) {
		wld.uses(ref, 2000, 3000)
		wld.startAgent()
		wld.poll()
	}, resource.New(2000, 3000, 0)),
)

// Guards against a class that seems to need few processors because it is throttled.
var _ = DescribeTable("reports the peak at full speed",
	func(speed, steps int, used, want int64) {
		wld, ref := running()
		wld.uses(ref, 800, 1000)
		wld.run.Throttle(ref, speed)
		wld.wkr.SetUsage(ref, resource.New(used, 500, 0))
		wld.smooth(GinkgoT(), steps)
		Expect(wld.run.Tasks()[0].Peak()).To(Equal(resource.New(want, 1000, 0)))
	},
	Entry("while throttled", 50, 200, int64(600), int64(1200)),
	Entry("but not while reports may span the change", 50, 100, int64(900), int64(800)),
	Entry("without a throttle", 100, 100, int64(900), int64(900)),
)
