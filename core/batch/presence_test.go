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
	// timeToReschedule simulates successive owners with the given tenures, after the instance "gone" with a
	// long-running task has been lost together with its owner, on whose machine formerOwn is. It returns the
	// time until the task is started on another one.
	timeToReschedule := func(formerOwn fleet.InstanceID, tenures ...time.Duration) time.Duration {
		spec := step(1)
		spec.LongRunning = true
		var job workload.Job
		own := newOwner()
		own.receive(report("gone", 1))
		job = own.submit("j", spec)
		recs := own.store()
		left := own.Presence(own.now)
		left.Own = formerOwn
		began := own.now
		for num, tenure := range tenures {
			opt := batch.Options{LostAfter: 5 * time.Second, InheritedAfter: 10 * time.Second, InheritedOwnAfter: 6 * time.Second}
			own = &owner{scheduler: batch.New(batch.DeadlineOrder{}, batch.SpreadPlacement{}, opt, own.now), now: own.now}
			own.RestorePresence(left)
			own.Restore(job, recs[0], own.now)
			for end := own.now.Add(tenure); own.now.Before(end); {
				own.advance(100 * time.Millisecond)
				own.receive(report("b", uint64(num+1)))
				own.store()
				if len(own.orders("b", uint64(num+1), batch.StartRun)) > 0 {
					return own.now.Sub(began)
				}
				left = own.Presence(own.now)
			}
		}
		return own.now.Sub(began)
	}

	// Guards against a long-running task that is not started again because each takeover restarts
	// the wait for grants that expired long ago (senvang-catalog, mix --seed 115974129422: 32 s).
	It("treat an instance that reported to none of them as lost", func() {
		alone := timeToReschedule("", 30*time.Second)
		Expect(alone).To(BeNumerically("~", 10*time.Second, time.Second))
		// Times are rounded down to seconds, so each of the two takeovers adds at most a second.
		Expect(timeToReschedule("", 4*time.Second, 4*time.Second, 30*time.Second)).To(BeNumerically("<=", alone+2*time.Second))
	})

	// Guards against long-running tasks that run nowhere for as long as a lost owner might have granted time to others,
	// when its machine is lost with it (LOST, senvang-catalog, review/4).
	It("treat the instance on the machine of a lost owner as lost earlier", func() {
		alone := timeToReschedule("gone", 30*time.Second)
		Expect(alone).To(BeNumerically("~", 6*time.Second, time.Second))
		Expect(timeToReschedule("gone", 3*time.Second, 30*time.Second)).To(BeNumerically("<=", alone+time.Second))
		Expect(timeToReschedule("other", 30*time.Second)).To(BeNumerically("~", 10*time.Second, time.Second))
	})

	// Guards against an instance that counts as lost while grants of the owner before the last one may be valid: it has
	// not reported to the last one, which became the owner on its machine.
	It("wait for the instance of a lost owner that has not reported to it", func() {
		opt := batch.Options{LostAfter: 5 * time.Second, InheritedAfter: 10 * time.Second, InheritedOwnAfter: 6 * time.Second}
		own := newOwner()
		own.receive(report("a", 1))
		own.submit("j", step(1))
		recs := own.store()
		nxt := batch.New(batch.DeadlineOrder{}, batch.SpreadPlacement{}, opt, own.now)
		nxt.RestorePresence(batch.Presence{Own: "a", Reported: []fleet.InstanceID{"b"}})
		nxt.Restore(mustJob("j", step(1)), recs[0], own.now)
		Expect(nxt.Presence(own.now).Unreported).To(HaveKeyWithValue(fleet.InstanceID("a"), time.Duration(0)))
	})

	// Guards against an instance that is treated as lost although the last owner granted it time.
	It("restart the wait for an instance that reported to the last one", func() {
		own := newOwner()
		own.receive(report("a", 1))
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
