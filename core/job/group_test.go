package job_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthpost/core/fleet"
	"jacinthpost/core/job"
	"jacinthpost/core/lease"
	"jacinthpost/core/token"
)

// pair is a partition with two tasks that one instance runs and that its agent
// has listed one by one.
type pair struct {
	*bench
	holder fleet.Process
	refs   []job.Ref
}

func newPair() *pair {
	ben := newBench()
	ben.part.Observe(ben.env(), []job.Instance{ben.instance(0)})
	ben.submit(1)
	ben.submit(1)
	par := &pair{bench: ben, holder: ben.holders[0], refs: ben.running[:2]}
	par.part.Renew(par.env(), 0, par.holder, par.progress())
	return par
}

func (par *pair) progress() []job.Progress {
	var list []job.Progress
	for _, ref := range par.refs {
		list = append(list, job.NewProgress(ref, 1, ""))
	}
	return list
}

func (par *pair) renewHeld(ins fleet.Process, refs []job.Ref) job.RenewReply {
	return only[job.RenewReply](par.part.RenewHeld(par.env(), 0, ins, describe(refs), nil))[0]
}

func (par *pair) pass(dur time.Duration) { par.now = par.now.Add(dur) }

func (par *pair) states() []job.State {
	var list []job.State
	for _, ref := range par.refs {
		if sta, known := par.part.Status(ref.Job()); known {
			list = append(list, sta.Tasks()[ref.Index()].State())
		}
	}
	return list
}

// expectOpenUntil checks that both assignments stay open until a lease that was granted earlier has ended.
func (par *pair) expectOpenUntil(end time.Time) {
	par.now = end.Add(-time.Millisecond)
	par.part.Tick(par.env())
	Expect(par.states()).To(HaveEach(BeElementOf(job.Running, job.Stopping)), "before the end of the lease")
	par.now = end
	par.part.Tick(par.env())
	Expect(par.states()).NotTo(ContainElement(BeElementOf(job.Running, job.Stopping)), "at the end of the lease")
}

// Guards against a second copy of a task whose lease was renewed with the whole
// set, and against a lost instance whose tasks wait for ever.
var _ = DescribeTable("a renewal of the whole set counts from its grant", func(afterwards func(par *pair)) {
	par := newPair()
	par.pass(5 * time.Second)
	rep := par.renewHeld(par.holder, par.refs)
	Expect(rep.Agreed()).To(BeTrue())
	Expect(rep.Renewed()).To(Equal(2))
	Expect(rep.After()).To(Equal(par.part.Recorded()), "the assignments must be durable")
	end := lease.GranterEnd(par.now, job.DefaultLease)
	afterwards(par)
	par.expectOpenUntil(end)
},
	Entry("while the tasks run", func(*pair) {}),
	Entry("after a renewal that was refused", func(par *pair) {
		par.pass(5 * time.Second)
		Expect(par.renewHeld(par.holder, par.refs[:1]).Disagreed()).To(BeTrue())
	}),
	Entry("after the owner ordered a stop", func(par *pair) {
		par.part.DrainDataCentres(par.env(), []fleet.DataCentre{"d0"})
		for range 25 {
			par.pass(100 * time.Millisecond)
			par.part.Tick(par.env())
		}
		Expect(par.states()).To(HaveEach(job.Stopping))
	}),
)

// Guards against a lease that is prolonged for a task which the owner has given
// up, stops, or has elsewhere, and for one whose assignment is not current.
var _ = DescribeTable("a set that differs renews nothing", func(change func(par *pair) (fleet.Process, []job.Ref)) {
	par := newPair()
	end := lease.GranterEnd(par.now, job.DefaultLease)
	par.pass(5 * time.Second)
	rep := par.renewHeld(change(par))
	Expect(rep.Agreed()).To(BeFalse())
	Expect(rep.Renewed()).To(BeZero())
	par.expectNotRenewed(end)
},
	Entry("a task is missing", func(par *pair) (fleet.Process, []job.Ref) { return par.holder, par.refs[:1] }),
	Entry("a task too many", func(par *pair) (fleet.Process, []job.Ref) {
		return par.holder, append(par.refs, job.NewRef("other", 0, par.refs[0].Token()))
	}),
	Entry("a former token", func(par *pair) (fleet.Process, []job.Ref) {
		ref := par.refs[1]
		return par.holder, []job.Ref{par.refs[0], job.NewRef(ref.Job(), ref.Index(), token.New(1, ref.Token().Sequence()+100))}
	}),
	Entry("two tokens exchanged", func(par *pair) (fleet.Process, []job.Ref) {
		one, two := par.refs[0], par.refs[1]
		return par.holder, []job.Ref{job.NewRef(one.Job(), one.Index(), two.Token()), job.NewRef(two.Job(), two.Index(), one.Token())}
	}),
	Entry("another instance", func(par *pair) (fleet.Process, []job.Ref) { return fleet.NewProcess("other", 1), par.refs }),
	Entry("the job is cancelled", func(par *pair) (fleet.Process, []job.Ref) {
		par.part.Cancel(par.env(), 0, par.refs[0].Job())
		return par.holder, par.refs
	}),
	Entry("a task has ended", func(par *pair) (fleet.Process, []job.Ref) {
		par.part.Report(par.env(), 0, []job.Report{job.NewReport(par.refs[1], job.NewEnd(job.EndFinished, ""))})
		return par.holder, par.refs
	}),
	Entry("a lease has ended and no tick has come since", func(par *pair) (fleet.Process, []job.Ref) {
		par.pass(lease.Stretch(job.DefaultLease))
		return par.holder, par.refs
	}),
	Entry("the owner has lost the partition", func(par *pair) (fleet.Process, []job.Ref) {
		par.lost = true
		return par.holder, par.refs
	}),
)

// expectNotRenewed checks that no assignment is open past the lease that was granted before.
func (par *pair) expectNotRenewed(end time.Time) {
	par.lost = false
	if par.now.Before(end) {
		par.now = end
	}
	par.part.Tick(par.env())
	Expect(par.states()).NotTo(ContainElement(BeElementOf(job.Running, job.Stopping)))
}

// Guards against an owner and an agent that disagree for good after one difference.
var _ = It("agrees again once the tasks were listed", func() {
	par := newPair()
	par.pass(5 * time.Second)
	Expect(par.renewHeld(par.holder, par.refs[:1]).Disagreed()).To(BeTrue())
	rep := only[job.RenewReply](par.part.Renew(par.env(), 0, par.holder, par.progress()))[0]
	Expect(rep.Grants()).To(HaveLen(2))
	par.pass(14 * time.Second) // past the lease of the first listing
	Expect(par.renewHeld(par.holder, par.refs).Agreed()).To(BeTrue())
})
