package blame_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"jacinthpost/core/blame"
	"jacinthpost/core/fleet"
	"jacinthpost/internal/proptest"
	"jacinthpost/internal/specs"
)

func TestBlame(t *testing.T) {
	if err := proptest.Setup(100, 30); err != nil {
		t.Fatal(err)
	}
	specs.Run(t, "blame")
}

var start = time.Unix(1_000, 0)

// history applies "job@worker" successes (+) and failures (-) one second apart.
func history(led *blame.Ledger, steps ...string) time.Time {
	now := start
	for _, step := range steps {
		var job, wrk string
		_, err := fmt.Sscanf(step[1:], "%1s@%2s", &job, &wrk)
		Expect(err).NotTo(HaveOccurred())
		now = now.Add(time.Second)
		if step[0] == '+' {
			led.Succeeded(job, fleet.InstanceID(wrk), now)
		} else {
			led.Failed(job, fleet.InstanceID(wrk), now)
		}
	}
	return now
}

// Guards against blaming the wrong side, above all when poison jobs and a bad worker occur together.
var _ = DescribeTable("judges by evidence from other jobs and workers",
	func(steps []string, parked string, suspended string) {
		var led blame.Ledger
		now := history(&led, steps...)
		for _, job := range []string{"a", "b", "c", "p"} {
			Expect(led.Parked(job)).To(Equal(job == parked), "job "+job)
		}
		for _, id := range []fleet.InstanceID{"w1", "w2", "w3", "w4"} {
			Expect(led.State(id, now) == blame.Suspended).To(Equal(string(id) == suspended), "worker "+string(id))
		}
	},
	Entry("a job that fails on three sound workers is parked",
		[]string{"+a@w1", "+a@w2", "+a@w3", "-p@w1", "-p@w2", "-p@w3"}, "p", ""),
	Entry("evidence that the workers are sound may come later",
		[]string{"-p@w1", "-p@w2", "-p@w3", "+a@w1", "+a@w2", "+a@w3"}, "p", ""),
	Entry("one failure proves nothing", []string{"+a@w1", "-p@w1"}, "", ""),
	Entry("repeated failures on one worker count once",
		[]string{"+a@w1", "-p@w1", "-p@w1", "-p@w1", "-p@w1"}, "", ""),
	Entry("a worker that fails three jobs is suspended",
		[]string{"-a@w1", "-b@w1", "-c@w1", "+a@w2", "+b@w3", "+c@w2"}, "", "w1"),
	Entry("both at once: the poison job fails on sound workers, the bad worker fails sound jobs",
		[]string{"-a@w1", "+a@w2", "-p@w2", "-b@w1", "+b@w3", "-p@w3", "-c@w1", "+c@w4", "-p@w4"}, "p", "w1"),
	Entry("a failure on the bad worker does not count against the job",
		[]string{"-a@w1", "-b@w1", "-c@w1", "+a@w2", "+b@w3", "-p@w2", "-p@w3", "-p@w1"}, "", "w1"),
)

// Guards against a worker that never returns, or returns with full load while it is still bad.
var _ = It("lets a suspended worker back through probation, later each time", func() {
	var led blame.Ledger
	now := history(&led, "-a@w1", "-b@w1", "-c@w1")
	Expect(led.State("w1", now)).To(Equal(blame.Suspended))
	now = now.Add(blame.MinSuspension)
	Expect(led.State("w1", now)).To(Equal(blame.Probation))
	ver := led.Failed("x", "w1", now)
	Expect(ver.Suspended()).To(HaveLen(1))
	Expect(ver.Suspended()[0].Period()).To(Equal(2 * blame.MinSuspension))
	now = now.Add(2 * blame.MinSuspension)
	Expect(led.State("w1", now)).To(Equal(blame.Probation))
	led.Succeeded("y", "w1", now)
	Expect(led.State("w1", now)).To(Equal(blame.Probation))
	Expect(led.Succeeded("z", "w1", now).Restored()).To(Equal([]fleet.InstanceID{"w1"}))
	Expect(led.State("w1", now)).To(Equal(blame.Healthy))
})

// Guards against sound jobs that are parked, and against poison jobs that run for ever.
var _ = It("separates poison jobs and a bad worker in random histories", func() {
	rapid.Check(GinkgoT(), func(rpt *rapid.T) {
		var led blame.Ledger
		now := start
		for _, pick := range rapid.SliceOfN(rapid.IntRange(0, 9_999), 2_000, 2_000).Draw(rpt, "picks") {
			now = now.Add(time.Second)
			num, wrk := pick/10%40, pick%10
			job, id := fmt.Sprintf("job-%d", num), fleet.InstanceID(fmt.Sprintf("w%d", wrk))
			if led.Parked(job) || led.State(id, now) == blame.Suspended {
				continue
			}
			if wrk == 0 || num < 3 {
				led.Failed(job, id, now)
			} else {
				led.Succeeded(job, id, now)
			}
		}
		for num := range 40 {
			Expect(led.Parked(fmt.Sprintf("job-%d", num))).To(Equal(num < 3), "job %d", num)
		}
	})
})
