package admit_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"jacinthpost/core/admit"
	"jacinthpost/core/fleet"
	"jacinthpost/core/outcome"
	"jacinthpost/internal/proptest"
	"jacinthpost/internal/specs"
)

func TestAdmit(t *testing.T) {
	if err := proptest.Setup(500, 60); err != nil {
		t.Fatal(err)
	}
	specs.Run(t, "admit")
}

var (
	epoch = time.Unix(1e9, 0)
	full  = admit.NewLoad(2, 2)
)

func request(batch bool, millis int) admit.Request {
	return admit.NewRequest("svc", "wsp", batch, epoch.Add(time.Duration(millis)*time.Millisecond))
}

// queue returns a queue for three requests with a mean service time of 100 ms.
func queue[P admit.Policy](pol P) *admit.Queue[int, P] {
	que := admit.New[int](3, pol)
	que.Observe(100 * time.Millisecond)
	return que
}

func anything(admit.Request) bool { return true }

// drain returns the values in the order in which they would start.
func drain[P admit.Policy](que *admit.Queue[int, P], now time.Time) (order []int) {
	for {
		nxt, found, _ := que.Next(now, anything)
		if !found {
			return order
		}
		order = append(order, nxt.Value())
		que.Done(nxt.Request())
	}
}

// Guards against latency-critical requests behind batch requests, and against a
// baseline that reorders.
var _ = DescribeTable("order",
	func(pol admit.Policy, want []int) {
		que := admit.New[int](9, pol)
		for val, req := range []admit.Request{request(true, 500), request(false, 900), request(false, 400), request(false, 900)} {
			Expect(que.Offer(req, val, epoch, full, admit.Limits{}).Accepted()).To(BeTrue())
		}
		Expect(drain(que, epoch)).To(Equal(want))
	},
	Entry("critical first, then by deadline, then by arrival", admit.CriticalFirst{}, []int{2, 1, 3, 0}),
	Entry("first in, first out", admit.FIFO{}, []int{0, 1, 2, 3}),
)

// Guards against late or untrue refusals.
var _ = DescribeTable("Offer refuses",
	func(queued int, req admit.Request, loa admit.Load, lim admit.Limits, want outcome.Reason) {
		que := queue(admit.CriticalFirst{})
		for val := range queued {
			Expect(que.Offer(request(false, 5000), val, epoch, full, admit.Limits{}).Accepted()).To(BeTrue())
		}
		dec := que.Offer(req, 99, epoch, loa, lim)
		Expect(dec.Refusal().Reason()).To(Equal(want))
		Expect(dec.Accepted()).To(Equal(want == ""))
	},
	Entry("beyond the queue", 3, request(false, 6000), full, admit.Limits{}, outcome.ReasonQueueFull),
	Entry("what is past its deadline", 0, request(false, 0), full, admit.Limits{}, outcome.ReasonDeadline),
	Entry("what would still wait at its deadline", 2, request(true, 149), full, admit.Limits{}, outcome.ReasonDeadline),
	Entry("not what would start just in time", 2, request(true, 150), full, admit.Limits{}, outcome.Reason("")),
	Entry("not what starts at once, whatever the estimate", 0, request(false, 1), admit.NewLoad(2, 1), admit.Limits{}, outcome.Reason("")),
	Entry("beyond the limit of the service", 2, request(false, 9000), full, admit.NewLimits(2, 0), outcome.ReasonAdmission),
	Entry("beyond the limit of the workspace", 2, request(false, 9000), full, admit.NewLimits(0, 2), outcome.ReasonAdmission),
)

// Guards against a full queue of batch requests that blocks latency-critical ones.
var _ = It("displaces a batch request by a latency-critical one only", func() {
	que := queue(admit.CriticalFirst{})
	for val := range 3 {
		que.Offer(request(true, 5000), val, epoch, full, admit.Limits{})
	}
	Expect(que.Offer(request(true, 4000), 8, epoch, full, admit.Limits{}).Accepted()).To(BeFalse())
	dec := que.Offer(request(false, 9000), 9, epoch, full, admit.Limits{})
	Expect(dec.Accepted()).To(BeTrue())
	Expect(dec.Displaced()[0].Value()).To(Equal(2))
	Expect(drain(que, epoch)).To(Equal([]int{9, 0, 1}))
})

// Guards against requests that are lost, returned twice, started after their
// deadline, or counted forever.
var _ = It("returns every accepted request exactly once", func() {
	rapid.Check(GinkgoT(), func(rt *rapid.T) {
		que, now, next := queue(admit.CriticalFirst{}), epoch, 0
		tickets, running := map[int]admit.Ticket{}, []admit.Request{}
		take := func(val int) {
			if _, present := tickets[val]; !present {
				rt.Fatalf("request %d is returned twice", val)
			}
			delete(tickets, val)
		}
		rt.Repeat(map[string]func(*rapid.T){
			"offer": func(rt *rapid.T) {
				next++
				req := request(rapid.Bool().Draw(rt, "batch"), int(now.Sub(epoch).Milliseconds())+rapid.IntRange(1, 300).Draw(rt, "millis"))
				dec := que.Offer(req, next, now, admit.NewLoad(2, len(running)), admit.NewLimits(0, 4))
				for _, itm := range dec.Displaced() {
					take(itm.Value())
				}
				if dec.Refusal().Reason() == outcome.ReasonAdmission && len(tickets)+len(running) < 4 {
					rt.Fatalf("the limit of the workspace is reached with %d queued and %d running", len(tickets), len(running))
				}
				if dec.Accepted() {
					tickets[next] = dec.Ticket()
				}
			},
			"next": func(*rapid.T) {
				nxt, found, expired := que.Next(now, func(admit.Request) bool { return len(running) < 2 })
				for _, itm := range expired {
					take(itm.Value())
				}
				if !found {
					return
				}
				take(nxt.Value())
				if !now.Before(nxt.Request().Deadline()) {
					rt.Fatalf("request %d starts after its deadline", nxt.Value())
				}
				running = append(running, nxt.Request())
			},
			"done": func(*rapid.T) {
				if len(running) > 0 {
					que.Done(running[0])
					running = running[1:]
				}
			},
			"cancel": func(rt *rapid.T) {
				val := rapid.IntRange(0, next).Draw(rt, "value")
				if tic, present := tickets[val]; que.Cancel(tic) != present {
					rt.Fatalf("cancel of %d does not match its presence", val)
				}
				delete(tickets, val)
			},
			"pass": func(*rapid.T) { now = now.Add(50 * time.Millisecond) },
			"": func(rt *rapid.T) {
				if que.Len() != len(tickets) || que.Len() > 3 || len(tickets)+len(running) > 4 {
					rt.Fatalf("%d queued, %d expected, %d running", que.Len(), len(tickets), len(running))
				}
			},
		})
	})
})

// Guards against a delayed announcement that undoes a leave, and against an
// endpoint that gets requests after it disappeared.
var _ = DescribeTable("endpoint",
	func(hear func(end *admit.Endpoint) bool, accepted bool, after time.Duration, want outcome.Reason) {
		var end admit.Endpoint
		end.Record(admit.NewAnnouncement("svc", "addr", 5), epoch)
		Expect(hear(&end)).To(Equal(accepted))
		out, ok := end.Admits("svc", epoch.Add(after))
		Expect(ok).To(Equal(want == ""))
		Expect(out.Reason()).To(Equal(want))
	},
	Entry("is present", announce(5, false), true, time.Second, outcome.Reason("")),
	Entry("is missing after 3 s", announce(5, false), true, admit.AnnouncementTTL, outcome.ReasonNoEndpoint),
	Entry("leaves", announce(5, true), true, time.Second, outcome.ReasonLeaving),
	Entry("stays left when an older announcement arrives late", func(end *admit.Endpoint) bool {
		announce(5, true)(end)
		return announce(5, false)(end)
	}, false, time.Second, outcome.ReasonLeaving),
	Entry("returns as a new process", func(end *admit.Endpoint) bool {
		announce(5, true)(end)
		return announce(6, false)(end)
	}, true, time.Second, outcome.Reason("")),
	Entry("is not replaced by an older process", announce(4, true), false, time.Second, outcome.Reason("")),
)

func announce(inc fleet.Incarnation, leaving bool) func(end *admit.Endpoint) bool {
	return func(end *admit.Endpoint) bool {
		return end.Record(admit.NewAnnouncement("svc", "addr", inc).WithLeaving(leaving), epoch)
	}
}
