package job_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// exchange delivers every message of one agent, which also renews, until there
// are none. Those of the other agent are lost.
func (mdl *model) exchange(idx int) {
	for pos, rnn := range mdl.agents[idx].runs {
		if !rnn.ended {
			mdl.renew(0, idx, pos)
		}
	}
	for mdl.flush(0); len(mdl.net) > 0; mdl.flush(0) {
		if mdl.net[0].agent == idx {
			mdl.deliver(0, false)
		} else {
			mdl.net = mdl.net[1:]
		}
	}
}

// Guards against a task that is lost, started more than once or recorded with its
// old end when its instance is cut off for an hour.
var _ = It("restarts a task once on another instance when its own is isolated for an hour", func() {
	mdl := prepare(variant{}, running...)
	for range int(time.Hour / step) {
		mdl.advance(0)
		mdl.exchange(0)
		mdl.check()
	}
	Expect(mdl.violation).To(BeEmpty())
	former, present := mdl.agents[1].runs, mdl.agents[0].runs
	Expect(former).To(HaveLen(1))
	Expect(former[0].ended).To(BeTrue(), "the worker stopped the task at its lease end")
	Expect(present).To(HaveLen(1))
	Expect(present[0].ended).To(BeFalse())
	recorded := len(mdl.log)
	mdl.report(1, 0)
	mdl.exchange(1)
	Expect(mdl.log).To(HaveLen(recorded), "the end of the former assignment is not recorded")
	Expect(mdl.runToEnd()).To(BeTrue(), mdl.violation)
})
