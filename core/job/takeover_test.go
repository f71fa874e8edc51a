package job_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthpost/core/fleet"
	"jacinthpost/core/job"
	"jacinthpost/core/lease"
)

// takeOver replaces the owner by one that knows only the records, and the given instances.
func (par *pair) takeOver(recs []job.Record, list ...job.Instance) {
	par.part = job.New(&job.SimplePlacement{}, job.DefaultLimits())
	par.part.Replay(recs)
	par.part.Observe(par.env(), list)
	par.part.TakeOver(par.env(), 2)
}

// stopsAfter returns the assignments that the owner orders to stop within a time in which the agent
// renews its whole set each second.
func (par *pair) stopsAfter(dur time.Duration) []job.Ref {
	var refs []job.Ref
	for range dur / time.Second {
		par.sleep(time.Second)
		par.renewHeld(par.holder, par.refs)
		for _, stp := range effectsOf[job.Stop](par.part.Tick(par.env())) {
			refs = append(refs, stopRefs(stp.Orders())...)
		}
	}
	return refs
}

var drained = []fleet.DataCentre{"d0"}

// Guards against tasks that stay in a data centre that was taken out, because their owner was replaced and
// the new one did not know yet where they run.
var _ = DescribeTable("a new owner empties a data centre that was taken out", func(prepare func(par *pair)) {
	par := newPair()
	prepare(par)
	Expect(par.stopsAfter(25 * time.Second)).To(ContainElements(par.refs))
},
	Entry("when the former owner had not ordered the stops", func(par *pair) {
		par.takeOver(par.part.Snapshot(), par.instance(0))
		par.part.Renew(par.env(), 0, par.holder, par.progress())
		par.part.DrainDataCentres(par.env(), drained)
	}),
	Entry("when the orders of the former owner were lost", func(par *pair) {
		par.part.DrainDataCentres(par.env(), drained)
		Expect(par.stopsAfter(3 * time.Second)).To(ConsistOf(par.refs))
		par.takeOver(par.part.Snapshot(), par.instance(0))
		par.part.Renew(par.env(), 0, par.holder, par.progress())
		par.part.DrainDataCentres(par.env(), drained)
	}),
	Entry("when it learns of the instance after the renewal of all its tasks", func(par *pair) {
		par.takeOver(par.part.Snapshot())
		par.part.DrainDataCentres(par.env(), drained)
		par.part.Renew(par.env(), 0, par.holder, par.progress())
		par.part.Observe(par.env(), []job.Instance{par.instance(0)})
	}),
	Entry("when it learns of the instance before the ticket", func(par *pair) {
		par.takeOver(par.part.Snapshot())
		par.part.Renew(par.env(), 0, par.holder, par.progress())
		par.part.Observe(par.env(), []job.Instance{par.instance(0)})
		par.part.DrainDataCentres(par.env(), drained)
	}),
)

// Guards against tasks of a cancelled job that run on, because their owner was replaced before they had
// been ordered to stop or had ended.
var _ = DescribeTable("a new owner stops the tasks of a cancelled job", func(records func(par *pair) []job.Record) {
	par := newPair()
	par.takeOver(records(par), par.instance(0))
	end := lease.GranterEnd(par.now, job.DefaultLease)
	par.sleep(time.Second)
	Expect(par.renewHeld(par.holder, par.refs).Disagreed()).To(BeTrue())
	rep := effectsOf[job.RenewReply](par.part.Renew(par.env(), 0, par.holder, par.progress()))[0]
	Expect(stopRefs(rep.Stops())).To(Equal(par.refs[:1]))
	Expect(rep.Grants()).To(HaveExactElements(HaveField("Ref()", par.refs[1])))
	par.now = end
	par.part.Tick(par.env())
	Expect(par.states()).To(Equal([]job.State{job.Cancelled, job.Running}), "the lease of the cancelled task has ended")
},
	Entry("before an order was sent", func(par *pair) []job.Record {
		before := par.part.Snapshot()
		return append(before, par.part.Cancel(par.env(), 0, par.refs[0].Job()).Records()...)
	}),
	Entry("after a snapshot", func(par *pair) []job.Record {
		par.part.Cancel(par.env(), 0, par.refs[0].Job())
		return par.part.Snapshot()
	}),
	Entry("after a second change of the owner", func(par *pair) []job.Record {
		par.part.Cancel(par.env(), 0, par.refs[0].Job())
		par.takeOver(par.part.Snapshot(), par.instance(0))
		par.part.Renew(par.env(), 0, par.holder, par.progress())
		return par.part.Snapshot()
	}),
)
