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

// history records steps such as "+a@w1" (job a succeeds on instance w1) and "-a@w1" (it fails
// there), one second apart, and returns the time of the last one.
func history(led *blame.Ledger, steps ...string) time.Time {
	now := start
	for _, step := range steps {
		var job, ins string
		_, err := fmt.Sscanf(step[1:], "%1s@%2s", &job, &ins)
		Expect(err).NotTo(HaveOccurred())
		now = now.Add(time.Second)
		if step[0] == '+' {
			led.Succeeded(job, fleet.InstanceID(ins), now)
		} else {
			led.Failed(job, fleet.InstanceID(ins), now)
		}
	}
	return now
}

// Guards against parking a sound job or suspending a sound instance, above all when a failing job
// and a failing instance occur at the same time.
var _ = DescribeTable("attributes failures by evidence from other jobs and instances",
	func(steps []string, parked string, suspended string) {
		var led blame.Ledger
		now := history(&led, steps...)
		for _, job := range []string{"a", "b", "c", "p"} {
			Expect(led.Parked(job)).To(Equal(job == parked), "job "+job)
		}
		for _, id := range []fleet.InstanceID{"w1", "w2", "w3", "w4"} {
			Expect(led.State(id, now) == blame.Suspended).To(Equal(string(id) == suspended), "instance "+string(id))
		}
	},
	Entry("a job that fails on three sound instances is parked",
		[]string{"+a@w1", "+a@w2", "+a@w3", "-p@w1", "-p@w2", "-p@w3"}, "p", ""),
	Entry("evidence that the instances are sound may arrive after the failures",
		[]string{"-p@w1", "-p@w2", "-p@w3", "+a@w1", "+a@w2", "+a@w3"}, "p", ""),
	Entry("one failure has no effect", []string{"+a@w1", "-p@w1"}, "", ""),
	Entry("repeated failures on one instance count once",
		[]string{"+a@w1", "-p@w1", "-p@w1", "-p@w1", "-p@w1"}, "", ""),
	Entry("an instance on which three jobs fail is suspended",
		[]string{"-a@w1", "-b@w1", "-c@w1", "+a@w2", "+b@w3", "+c@w2"}, "", "w1"),
	Entry("a failing job is parked and a failing instance is suspended at the same time",
		[]string{"-a@w1", "+a@w2", "-p@w2", "-b@w1", "+b@w3", "-p@w3", "-c@w1", "+c@w4", "-p@w4"}, "p", "w1"),
	Entry("a failure on a failing instance does not count against the job",
		[]string{"-a@w1", "-b@w1", "-c@w1", "+a@w2", "+b@w3", "-p@w2", "-p@w3", "-p@w1"}, "", "w1"),
)

// Guards against an instance that stays suspended for ever, and against one that gets its full load
// again while tasks still fail on it.
var _ = It("puts a suspended instance on probation, after a longer period each time", func() {
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

// Guards against sound jobs that are parked, and against failing jobs that run for ever.
var _ = It("separates failing jobs from a failing instance in random histories", func() {
	rapid.Check(GinkgoT(), func(rpt *rapid.T) {
		var led blame.Ledger
		now := start
		for _, pick := range rapid.SliceOfN(rapid.IntRange(0, 9_999), 2_000, 2_000).Draw(rpt, "picks") {
			now = now.Add(time.Second)
			num, ins := pick/10%40, pick%10
			job, id := fmt.Sprintf("job-%d", num), fleet.InstanceID(fmt.Sprintf("w%d", ins))
			if led.Parked(job) || led.State(id, now) == blame.Suspended {
				continue
			}
			if ins == 0 || num < 3 {
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
