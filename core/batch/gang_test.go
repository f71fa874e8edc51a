package batch_test

import (
	"cmp"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthpost/core/batch"
	"jacinthpost/core/resource"
	"jacinthpost/core/workload"
)

// member is the run of one member of a gang.
type member struct {
	instance string
	id       batch.RunID
}

// gangJob is a job of one gang of three members on two instances.
type gangJob struct {
	*succession
	session uint64
	lastEnd map[string]uint64 // sequence number of the last end, by instance
}

func newGangJob(maxAttempts int) *gangJob {
	GinkgoHelper()
	gang := step(3)
	gang.Gang, gang.PerInstance = true, 2
	return newGangJobOf(gang, maxAttempts)
}

func newGangJobOf(gang workload.StepParams, maxAttempts int) *gangJob {
	GinkgoHelper()
	gng := &gangJob{succession: &succession{owner: newOwner()}, session: 1, lastEnd: make(map[string]uint64)}
	gng.maxAttempts = maxAttempts
	gng.receive(report("a", 1))
	gng.receive(report("b", 1))
	gng.job = gng.submit("j", gang)
	gng.save()
	return gng
}

// members returns the stored members whose ends are not known, by instance.
func (gng *gangJob) members() []member {
	if gng.record.State.Final() {
		return nil
	}
	var out []member
	for idx, tsk := range gng.record.Occurrences[0].Steps[0] {
		for _, att := range tsk.Attempts {
			rid := batch.RunID{Task: batch.TaskID{Job: "j", Index: idx}, Run: att[0]}
			out = append(out, member{instance: string(gng.record.Places[att[1]].Instance), id: rid})
		}
	}
	slices.SortStableFunc(out, func(fst, snd member) int { return cmp.Compare(fst.instance, snd.instance) })
	return out
}

// end reports the ends of members, each in a report of its own.
func (gng *gangJob) end(cause batch.EndCause, mems ...member) {
	for _, mem := range mems {
		gng.lastEnd[mem.instance]++
		gng.receive(report(mem.instance, gng.session), endEvent(gng.lastEnd[mem.instance], mem.id, cause))
		gng.save()
	}
}

// succeed lets a new owner take over, to which the agents report the members that go on.
func (gng *gangJob) succeed() {
	gng.takeOver()
	gng.session++
	clear(gng.lastEnd)
	mems := gng.members()
	for _, id := range []string{"a", "b"} {
		var rids []batch.RunID
		for _, mem := range mems {
			if mem.instance == id {
				rids = append(rids, mem.id)
			}
		}
		gng.list(id, gng.session, rids...)
	}
}

// next lets the next run begin and returns its members.
func (gng *gangJob) next() []member {
	GinkgoHelper()
	gng.advance(time.Second)
	gng.save()
	mems := gng.members()
	Expect(mems).To(HaveLen(3))
	return mems
}

func (gng *gangJob) expectState(sta batch.JobState) {
	GinkgoHelper()
	Expect(gng.record.State).To(Equal(sta))
}

var _ = Describe("A gang", func() {
	// Guards against a job that is shown as failed after one run of its gang, because each member that failed in it
	// counts (LOST), and against a run after as many failed ones as are allowed (BUDGET).
	DescribeTable("fails after as many failed runs as are allowed", func(end func(gng *gangJob, mems []member)) {
		gng := newGangJob(2)
		end(gng, gng.next())
		gng.expectState(batch.JobRunning)
		end(gng, gng.next())
		gng.expectState(batch.JobFailed)
		Expect(gng.members()).To(BeEmpty())
	},
		Entry("in which one member fails", func(gng *gangJob, mems []member) {
			gng.end(batch.EndFailed, mems[0])
			gng.end(batch.EndGangEnded, mems[1:]...)
		}),
		Entry("in which all members fail", func(gng *gangJob, mems []member) { gng.end(batch.EndFailed, mems...) }),
		Entry("in which all members fail, in another order", func(gng *gangJob, mems []member) {
			gng.end(batch.EndFailed, mems[2], mems[0], mems[1])
		}),
		Entry("in which ends are reported twice", func(gng *gangJob, mems []member) {
			for _, mem := range mems {
				gng.end(batch.EndFailed, mem)
				gng.lastEnd[mem.instance]--
				gng.end(batch.EndFailed, mem)
			}
		}),
		Entry("in which members fail before and after a takeover", func(gng *gangJob, mems []member) {
			gng.end(batch.EndFailed, mems[0])
			gng.succeed()
			gng.end(batch.EndFailed, mems[2], mems[1])
		}),
		Entry("in which members fail before their owner could store it", func(gng *gangJob, mems []member) {
			gng.receive(report(mems[0].instance, gng.session), endEvent(gng.lastEnd[mems[0].instance]+1, mems[0].id, batch.EndFailed))
			gng.succeed()
			gng.end(batch.EndFailed, mems...)
		}),
	)

	// Guards against a gang that uses up its attempts on one faulty worker, because each member avoids only the instances
	// on which it has failed itself.
	DescribeTable("avoids the instances on which any of its members has failed", func(longRunning bool) {
		gang := step(3)
		gang.Gang, gang.PerInstance, gang.LongRunning = true, 2, longRunning
		gng := newGangJobOf(gang, 3)
		mems := gng.next()
		for _, id := range []string{"c", "d"} {
			rep := report(id, 1)
			rep.Capacity = resource.New(40_000, 40_000, 0) // also for the headroom that tasks that last leave
			gng.receive(rep)
		}
		failed := mems[0]
		gng.end(batch.EndFailed, failed)
		gng.end(batch.EndStopped, mems[1:]...)
		for _, mem := range gng.next() {
			Expect(mem.instance).NotTo(Equal(failed.instance))
		}
	},
		Entry("of a limited run time", false),
		Entry("that runs until its job is cancelled", true),
	)

	// Guards against a job that fails too early after an update of the owner: earlier versions stored a failure at each
	// member that had failed.
	DescribeTable("has failed as often as one of its members by what an earlier version has stored", func(want batch.JobState, nums ...int) {
		gng := newGangJob(3)
		gng.end(batch.EndFailed, gng.next()...)
		for idx, num := range nums {
			tsk := &gng.record.Occurrences[0].Steps[0][idx]
			tsk.Failures, tsk.FailedRun = num, 0
		}
		gng.succeed()
		gng.end(batch.EndFailed, gng.next()...)
		gng.succeed()
		gng.expectState(want)
	},
		Entry("none", batch.JobRunning, 0, 0, 0),
		Entry("one run in which two have failed", batch.JobRunning, 0, 1, 1),
		Entry("two runs", batch.JobFailed, 1, 2, 0),
	)
})
