package job_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// exchange delivers every message of one agent, which also renews, until there
// are none. Those of the other agent are lost.
func (wld *world) exchange(idx int) {
	for pos, rnn := range wld.agents[idx].runs {
		if !rnn.ended {
			wld.renew(0, idx, pos)
		}
	}
	for wld.flush(0); len(wld.net) > 0; wld.flush(0) {
		if wld.net[0].agent == idx {
			wld.deliver(0, false)
		} else {
			wld.net = wld.net[1:]
		}
	}
}

// Guards against a task that is lost, started more than once or recorded with its
// old end when its instance is cut off for an hour.
var _ = It("starts a task once elsewhere when its instance is cut off for an hour", func() {
	wld := prepare(rules{}, running...)
	for range int(time.Hour / step) {
		wld.advance(0)
		wld.exchange(0)
		wld.check()
	}
	Expect(wld.broken).To(BeEmpty())
	former, present := wld.agents[1].runs, wld.agents[0].runs
	Expect(former).To(HaveLen(1))
	Expect(former[0].ended).To(BeTrue(), "the worker stopped the task at its lease end")
	Expect(present).To(HaveLen(1))
	Expect(present[0].ended).To(BeFalse())
	recorded := len(wld.log)
	wld.report(1, 0)
	wld.exchange(1)
	Expect(wld.log).To(HaveLen(recorded), "the old end is not recorded")
	Expect(wld.settle()).To(BeTrue(), wld.broken)
})
