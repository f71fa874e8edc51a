package interfere_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthpost/core/interfere"
)

// fakeSender sends the messages of an outbox to one owner as soon as they are due.
type fakeSender struct {
	out  *interfere.Outbox
	now  time.Time
	sent []time.Time
	got  []interfere.Observation
	lost bool // messages are lost
}

func newFakeSender() *fakeSender {
	return &fakeSender{out: interfere.NewOutbox(1), now: time.Unix(1_000, 0)}
}

// run simulates a number of seconds. In each, one observation of the cost is added if weight is
// above zero.
func (snd *fakeSender) run(seconds int, cost, weight float64) {
	for range seconds {
		snd.now = snd.now.Add(time.Second)
		if weight > 0 {
			snd.out.Add([]interfere.Observation{interfere.NewObservation("svc", "c", cost, weight)}, snd.now)
		}
		snd.out.KeepReceiver("owner", snd.now)
		if len(snd.out.DueReceivers(snd.now)) == 0 {
			continue
		}
		if obss := snd.out.Unsent("owner", "svc", 16); len(obss) > 0 {
			snd.out.Sent("owner", snd.now)
			snd.sent = append(snd.sent, snd.now)
			if !snd.lost {
				snd.out.Acknowledged("owner", obss)
				snd.got = append(snd.got, obss...)
			}
		}
	}
}

// Guards against messages that cost an owner more than the budget of its node.
var _ = DescribeTable("sends observations at a bounded rate",
	func(seconds int, weight float64, least, most int) {
		snd := newFakeSender()
		snd.run(seconds, 1, weight)
		Expect(len(snd.sent)).To(And(BeNumerically(">=", least), BeNumerically("<=", most)))
		for pos := 1; pos < len(snd.sent); pos++ {
			Expect(snd.sent[pos].Sub(snd.sent[pos-1])).To(BeNumerically(">=", 30*time.Second))
		}
	},
	Entry("nothing without observations", 600, 0.0, 0, 0),
	Entry("nothing while there is too little evidence", 40, 0.01, 0, 0),
	Entry("the first evidence within seconds", 10, 0.1, 1, 1),
	Entry("later evidence at most twice a minute", 120, 1.0, 3, 4),
	Entry("less often the more evidence there is", 3600, 1.0, 5, 20),
)

// Guards against evidence that is lost with a message or counted twice, and against recent evidence
// that is outweighed by old one.
var _ = Describe("Outbox", func() {
	It("sends evidence again until it is acknowledged, and not after that", func() {
		snd := newFakeSender()
		snd.lost = true
		snd.run(60, 1, 0.1)
		Expect(snd.got).To(BeEmpty())
		snd.lost = false
		snd.run(60, 1, 0)
		snd.run(300, 1, 0)
		Expect(snd.got).To(HaveLen(1))
		Expect(snd.got[0].Weight()).To(BeNumerically("~", 6, 0.1))
		Expect(snd.got[0].Cost()).To(BeNumerically("~", 1, 0.001))
	})

	It("sends evidence that contradicts the earlier one without delay", func() {
		snd := newFakeSender()
		snd.run(3600, 0.5, 1)
		before := len(snd.sent)
		snd.run(50, 1.5, 1)
		Expect(len(snd.sent)).To(BeNumerically(">", before))
	})

	It("sends recent evidence to a new owner", func() {
		snd := newFakeSender()
		snd.run(600, 2, 1)
		snd.now = snd.now.Add(5 * time.Hour)
		snd.run(60, 0.5, 1)
		snd.out.KeepReceiver("other", snd.now)
		Expect(snd.out.DueReceivers(snd.now)).NotTo(ContainElement("other"), "evidence accumulates first")
		obss := snd.out.Unsent("other", "svc", 16)
		Expect(obss).To(HaveLen(1))
		Expect(obss[0].Cost()).To(BeNumerically("~", 0.5, 0.1))
		Expect(obss[0].Weight()).To(BeNumerically("<=", 8))
	})

	It("resets a pairing that is no longer measured", func() {
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
