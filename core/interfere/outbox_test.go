package interfere_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthpost/core/interfere"
)

// mailbox sends what an outbox has for one owner as soon as it is due.
type mailbox struct {
	out  *interfere.Outbox
	now  time.Time
	sent []time.Time
	got  []interfere.Observation
	lost bool // messages don't arrive
}

func newMailbox() *mailbox { return &mailbox{out: interfere.NewOutbox(1), now: time.Unix(1_000, 0)} }

// run lets seconds pass. Each second brings evidence of a weight about a class, if any.
func (mbx *mailbox) run(seconds int, cost, weight float64) {
	for range seconds {
		mbx.now = mbx.now.Add(time.Second)
		if weight > 0 {
			mbx.out.Add([]interfere.Observation{interfere.NewObservation("svc", "c", cost, weight)}, mbx.now)
		}
		mbx.out.KeepReceiver("owner", mbx.now)
		if len(mbx.out.DueReceivers(mbx.now)) == 0 {
			continue
		}
		if obss := mbx.out.Unsent("owner", "svc", 16); len(obss) > 0 {
			mbx.out.Sent("owner", mbx.now)
			mbx.sent = append(mbx.sent, mbx.now)
			if !mbx.lost {
				mbx.out.Acknowledged("owner", obss)
				mbx.got = append(mbx.got, obss...)
			}
		}
	}
}

// Guards against messages that cost the owners more than the budget of a node.
var _ = DescribeTable("sends what is learned at a bounded rate",
	func(seconds int, weight float64, least, most int) {
		mbx := newMailbox()
		mbx.run(seconds, 1, weight)
		Expect(len(mbx.sent)).To(And(BeNumerically(">=", least), BeNumerically("<=", most)))
		for pos := 1; pos < len(mbx.sent); pos++ {
			Expect(mbx.sent[pos].Sub(mbx.sent[pos-1])).To(BeNumerically(">=", 30*time.Second))
		}
	},
	Entry("nothing when nothing is learned", 600, 0.0, 0, 0),
	Entry("nothing when next to nothing is", 40, 0.01, 0, 0),
	Entry("the first evidence soon", 10, 0.1, 1, 1),
	Entry("then at most twice a minute", 120, 1.0, 3, 4),
	Entry("and seldom when much is known", 3600, 1.0, 5, 20),
)

// Guards against evidence that is lost with a message, counted twice, or
// outweighed by what was measured long ago.
var _ = Describe("Outbox", func() {
	It("repeats what has not arrived and sends nothing twice", func() {
		mbx := newMailbox()
		mbx.lost = true
		mbx.run(60, 1, 0.1)
		Expect(mbx.got).To(BeEmpty())
		mbx.lost = false
		mbx.run(60, 1, 0)
		mbx.run(300, 1, 0)
		Expect(mbx.got).To(HaveLen(1))
		Expect(mbx.got[0].Weight()).To(BeNumerically("~", 6, 0.1))
		Expect(mbx.got[0].Cost()).To(BeNumerically("~", 1, 0.001))
	})

	It("sends a change of what is known at once", func() {
		mbx := newMailbox()
		mbx.run(3600, 0.5, 1)
		before := len(mbx.sent)
		mbx.run(50, 1.5, 1)
		Expect(len(mbx.sent)).To(BeNumerically(">", before))
	})

	It("tells a new owner what is known now", func() {
		mbx := newMailbox()
		mbx.run(600, 2, 1)
		mbx.now = mbx.now.Add(5 * time.Hour)
		mbx.run(60, 0.5, 1)
		mbx.out.KeepReceiver("other", mbx.now)
		Expect(mbx.out.DueReceivers(mbx.now)).NotTo(ContainElement("other"), "evidence accumulates first")
		obss := mbx.out.Unsent("other", "svc", 16)
		Expect(obss).To(HaveLen(1))
		Expect(obss[0].Cost()).To(BeNumerically("~", 0.5, 0.1))
		Expect(obss[0].Weight()).To(BeNumerically("<=", 8))
	})

	It("forgets a pairing that nobody measures any more", func() {
		var prs interfere.Pairings
		now := time.Unix(1_000, 0)
		prs.Observe("svc", "c", 1, 100, now)
		for range 150 {
			now = now.Add(time.Minute)
			prs.Decay(now)
		}
		Expect(prs.Find("svc", "c").Estimate().Known()).To(BeFalse())
		for range 400 {
			now = now.Add(time.Minute)
			prs.Decay(now)
		}
		Expect(prs.Find("svc", "c").Estimate().Weight()).To(BeZero())
		Expect(prs.Find("svc", "c").Estimate().Cost()).To(BeNumerically("<", 0.3))
	})
})
