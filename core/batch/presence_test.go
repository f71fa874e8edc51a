package batch_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthpost/core/batch"
	"jacinthpost/core/fleet"
	"jacinthpost/core/workload"
)

// successionOptions are the times of the owners in these specs.
var successionOptions = batch.Options{LostAfter: 5 * time.Second, Validity: time.Second, MaxValidity: 4 * time.Second}

// succeed returns an owner that takes over now.
func succeed(now time.Time, left batch.Presence, suc batch.Succession) *owner {
	own := &owner{scheduler: batch.New(batch.DeadlineOrder{}, batch.SpreadPlacement{}, successionOptions, now), now: now}
	own.RestorePresence(left, suc)
	return own
}

var _ = Describe("owners in quick succession", func() {
	// timeToReschedule simulates successive owners with the given tenures, after the instance "gone" with a
	// long-running task has been lost together with its owner. It returns the time until the task is started on another one.
	timeToReschedule := func(bound bool, tenures ...time.Duration) time.Duration {
		GinkgoHelper()
		spec := step(1)
		spec.LongRunning = true
		own := succeed(start, batch.Presence{}, batch.Succession{QuietSince: start})
		own.receive(report("gone", 1))
		job := own.submit("j", spec)
		recs := own.store()
		left := own.Presence(own.now)
		began := own.now
		for num, tenure := range tenures {
			own = succeed(own.now, left, batch.Succession{QuietSince: own.now, Bound: bound})
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

	// Guards against long-running tasks that run nowhere for as long as a lost owner might have granted time if no
	// other process could have replaced it, when their machine is lost with it (LOST, review/4 and review/6).
	It("treat an instance that was lost with a bound owner as lost when its grants have ended", func() {
		Expect(timeToReschedule(true, 30*time.Second)).To(BeNumerically("~", 6*time.Second, 200*time.Millisecond))
	})

	// Guards against a task that runs twice, because an owner may grant time for longer if its successor is not bound.
	It("wait for longer if the former owner was not bound", func() {
		Expect(timeToReschedule(false, 30*time.Second)).To(BeNumerically("~", 9*time.Second, 200*time.Millisecond))
	})

	// Guards against a long-running task that is not started again because each takeover restarts
	// the wait for grants that expired long ago (senvang-catalog, mix --seed 115974129422: 32 s).
	DescribeTable("treat an instance that reported to none of them as lost", func(bound bool) {
		alone := timeToReschedule(bound, 30*time.Second)
		// Times are rounded down to half seconds, so each of the two takeovers adds at most that.
		Expect(timeToReschedule(bound, 2*time.Second, 1500*time.Millisecond, 30*time.Second)).To(BeNumerically("<=", alone+time.Second))
	},
		Entry("and they were bound", true),
		Entry("and they were not", false),
	)
})

var _ = Describe("the presence that an owner passes on", func() {
	// restored returns an owner with a run on instance a.
	restored := func(left batch.Presence, suc batch.Succession) *owner {
		own := succeed(start, batch.Presence{}, batch.Succession{QuietSince: start})
		own.receive(report("a", 1))
		own.submit("j", step(1))
		recs := own.store()
		nxt := succeed(own.now, left, suc)
		nxt.Restore(mustJob("j", step(1)), recs[0], own.now)
		return nxt
	}
	expectSilence := func(own *owner, after, want time.Duration) {
		GinkgoHelper()
		Expect(own.Presence(own.now.Add(after)).Silent).To(Equal(map[fleet.InstanceID]time.Duration{"a": want}))
	}

	// Guards against an instance that is treated as lost although the last owner granted it time.
	It("restarts the wait for an instance that reported to the last owner", func() {
		own := restored(batch.Presence{Validity: time.Second, Reported: []fleet.InstanceID{"a"}}, batch.Succession{QuietSince: start, Bound: true})
		expectSilence(own, 0, -time.Second)
		expectSilence(own, 1900*time.Millisecond, 500*time.Millisecond)
		expectSilence(own, 800*time.Millisecond, -500*time.Millisecond)
		own.ApplyReport(report("a", 1), own.now)
		Expect(own.Presence(own.now)).To(Equal(batch.Presence{Validity: time.Second, Reported: []fleet.InstanceID{"a"}}))
	})

	// Guards against an instance that counts as lost while grants of an owner before the last one may be valid.
	DescribeTable("continues the wait for an instance that did not", func(left batch.Presence, bound bool, want time.Duration) {
		expectSilence(restored(left, batch.Succession{QuietSince: start, Bound: bound}), 2*time.Second, want)
	},
		Entry("by what the last owner has stored", batch.Presence{Validity: time.Second, Silent: map[fleet.InstanceID]time.Duration{"a": time.Second}}, true, 3*time.Second),
		Entry("while grants may still be made", batch.Presence{Validity: time.Second, Silent: map[fleet.InstanceID]time.Duration{"a": -time.Second}}, true, time.Second),
		Entry("whose last owner was not bound", batch.Presence{Validity: time.Second, Silent: map[fleet.InstanceID]time.Duration{"a": time.Second}}, false, 3*time.Second),
		Entry("and that the presence does not name", batch.Presence{Validity: time.Second}, true, -2*time.Second),
		Entry("of an earlier version", batch.Presence{Silent: map[fleet.InstanceID]time.Duration{"a": 3 * time.Second}}, true, time.Second),
		Entry("of an earlier version that may have granted it time", batch.Presence{Reported: []fleet.InstanceID{"a"}}, true, -2*time.Second),
	)

	// Guards against a wait as for an owner that was not bound, when one that took over was lost before all agents had reported to
	// it (LOST, the day of review/6 with seed 9).
	It("names the instances that reported to the owner before and may report to this one", func() {
		own := succeed(start, batch.Presence{Validity: time.Second, Reported: []fleet.InstanceID{"a", "b"}, Silent: map[fleet.InstanceID]time.Duration{"c": 4 * time.Second, "d": 5 * time.Second}},
			batch.Succession{QuietSince: start, Bound: true})
		own.receive(report("a", 1))
		left := own.Presence(own.now.Add(500 * time.Millisecond))
		Expect(left.Reported).To(ConsistOf(fleet.InstanceID("a")))
		Expect(left.Silent).To(Equal(map[fleet.InstanceID]time.Duration{"b": -500 * time.Millisecond, "c": 4500 * time.Millisecond}))
		Expect(left.Named(successionOptions.LostAfter)).To(ConsistOf(fleet.InstanceID("a"), fleet.InstanceID("b"), fleet.InstanceID("c")))
		Expect(left.Names("d", successionOptions.LostAfter)).To(BeFalse())
		Expect(own.PresenceChanged(own.now.Add(time.Second))).To(BeTrue())
		Expect(own.Presence(own.now.Add(7 * time.Second)).Silent).To(BeEmpty())
	})

	// Guards against an instance that was lost and whose silent process counts as one that has a grant, or that could take over
	// without being bound.
	It("names a lost instance as silent until it reports again", func() {
		own := succeed(start, batch.Presence{}, batch.Succession{QuietSince: start})
		own.receive(report("a", 1))
		Expect(own.Present()).To(Equal(1))
		own.advance(6 * time.Second)
		Expect(own.Present()).To(BeZero())
		Expect(own.PresenceChanged(own.now)).To(BeTrue())
		expectSilence(own, 0, successionOptions.LostAfter)
		expectSilence(own, time.Minute, successionOptions.LostAfter)
		own.receive(report("a", 1))
		Expect(own.PresenceChanged(own.now)).To(BeTrue())
		Expect(own.Presence(own.now).Reported).To(ConsistOf(fleet.InstanceID("a")))
		Expect(own.Present()).To(Equal(1))
	})
})

func mustJob(id string, steps ...workload.StepParams) workload.Job {
	GinkgoHelper()
	job, err := workload.New(workload.JobParams{ID: id, Queue: "q", Service: "svc", Steps: steps, MaxAttempts: 2})
	Expect(err).NotTo(HaveOccurred())
	return job
}
