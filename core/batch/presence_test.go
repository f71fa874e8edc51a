package batch_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthpost/core/batch"
	"jacinthpost/core/fleet"
	"jacinthpost/core/workload"
)

var _ = Describe("owners in quick succession", func() {
	// reigns plays owners that are replaced after some seconds each, after an instance with a
	// lasting task has gone for good, and returns after how long the task is at another one.
	reigns := func(spans ...time.Duration) time.Duration {
		spec := step(1)
		spec.LongRunning = true
		var job workload.Job
		own := newOwner()
		own.hear(report("gone", 1))
		job = own.submit("j", spec)
		recs := own.store()
		left := own.Presence(own.now)
		began := own.now
		for num, span := range spans {
			opt := batch.Options{LostAfter: 5 * time.Second, InheritedAfter: 10 * time.Second}
			own = &owner{scheduler: batch.New(batch.DeadlineOrder{}, batch.SpreadPlacement{}, opt, own.now), now: own.now}
			own.RestorePresence(left)
			own.Restore(job, recs[0], own.now)
			for end := own.now.Add(span); own.now.Before(end); {
				own.pass(100 * time.Millisecond)
				own.hear(report("b", uint64(num+1)))
				own.store()
				if len(own.orders("b", uint64(num+1), batch.StartRun)) > 0 {
					return own.now.Sub(began)
				}
				left = own.Presence(own.now)
			}
		}
		return own.now.Sub(began)
	}

	// Guards against a lasting task that stays lost because each takeover waits anew for grants
	// that ended long ago (senvang-catalog, mix --seed 115974129422: 32 s).
	It("give up an instance that reported to none of them", func() {
		alone := reigns(30 * time.Second)
		Expect(alone).To(BeNumerically("~", 10*time.Second, time.Second))
		// At most a second is lost with each of the two takeovers.
		Expect(reigns(4*time.Second, 4*time.Second, 30*time.Second)).To(BeNumerically("<=", alone+2*time.Second))
	})

	// Guards against an instance that is given up although the last owner granted it time.
	It("begin anew with an instance that reported to the last one", func() {
		own := newOwner()
		own.hear(report("a", 1))
		own.submit("j", step(1))
		recs := own.store()
		Expect(own.Presence(own.now)).To(Equal(batch.Presence{Reported: []fleet.InstanceID{"a"}}))
		nxt := batch.New(batch.DeadlineOrder{}, batch.SpreadPlacement{}, batch.Options{}, own.now)
		nxt.RestorePresence(batch.Presence{Unreported: map[fleet.InstanceID]time.Duration{"a": 4 * time.Second}})
		nxt.Restore(mustJob("j", step(1)), recs[0], own.now)
		Expect(nxt.Presence(own.now.Add(1500 * time.Millisecond)).Unreported).To(HaveKeyWithValue(fleet.InstanceID("a"), 5*time.Second))
		nxt.ApplyReport(report("a", 1), own.now)
		Expect(nxt.Presence(own.now).Unreported).To(BeEmpty())
	})
})

func mustJob(id string, steps ...workload.StepParams) workload.Job {
	GinkgoHelper()
	job, err := workload.New(workload.JobParams{ID: id, Queue: "q", Service: "svc", Steps: steps, MaxAttempts: 2})
	Expect(err).NotTo(HaveOccurred())
	return job
}
