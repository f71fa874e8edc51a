package intake_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"jacinthpost/core/admit"
	"jacinthpost/core/fleet"
	"jacinthpost/core/intake"
	"jacinthpost/core/ledger"
	"jacinthpost/core/outcome"
	"jacinthpost/core/reqlog"
	"jacinthpost/core/resource"
	"jacinthpost/internal/proptest"
	"jacinthpost/internal/specs"
)

func TestIntake(t *testing.T) {
	if err := proptest.Setup(1000, 80); err != nil {
		t.Fatal(err)
	}
	specs.Run(t, "intake")
}

var epoch = time.Unix(1e9, 0)

// site allows requests unless it is told otherwise.
type site struct{ refusal outcome.Reason }

func (sit *site) RequestsAllowed(fleet.Service, time.Time) (outcome.Outcome, bool) {
	return outcome.NotRun(sit.refusal, ""), sit.refusal == ""
}
func (*site) Limits(fleet.Service, fleet.Workspace) admit.Limits { return admit.NewLimits(0, 6) }

// fixture is an intake of two slots and a queue of three, with deliveries as values.
type fixture struct {
	*intake.Intake[int, string]
	led  *ledger.Ledger[string, reqlog.ID]
	site *site
	now  time.Time
}

func newFixture() *fixture {
	fix := &fixture{led: &ledger.Ledger[string, reqlog.ID]{}, site: &site{}, now: epoch}
	fix.led.SetCapacity(ledger.NewCapacity(25))
	opt := intake.DefaultOptions().WithQueue(3, admit.CriticalFirst{}).
		WithLimits(reqlog.DefaultLimits().WithSizes(5, 40, 4).WithWindows(time.Minute, 10*time.Second, time.Hour))
	fix.Intake = intake.New[int, string](fix.led, fix.site, opt)
	fix.led.MarkReady(resource.New(1000, 1000, 0))
	fix.announce(1, false)
	return fix
}

func (fix *fixture) announce(inc fleet.Incarnation, leaving bool) {
	ann := admit.NewAnnouncement("svc", "addr", inc).WithCapacity(2, 8, resource.Vector{}).WithLeaving(leaving)
	fix.RecordAnnouncement(ann, fix.now)
}

func (fix *fixture) arrive(counter uint64, val int, timeout time.Duration, batch bool) []intake.RequestDecision[int, string] {
	req := admit.NewRequest("svc", "wsp", batch, fix.now.Add(timeout))
	return fix.Submit(reqlog.NewID("entry", 1, counter), req, val, fix.now)
}

// Guards against admission in a state in which the endpoint must not get requests.
var _ = DescribeTable("refuses a request",
	func(prepare func(fix *fixture), want outcome.Reason) {
		fix := newFixture()
		prepare(fix)
		vers := fix.arrive(1, 1, time.Second, false)
		Expect(vers).To(HaveLen(1))
		Expect(vers[0].Decision().Outcome().Reason()).To(Equal(want))
		Expect(fix.Drained()).To(BeTrue())
		again := fix.arrive(1, 2, time.Second, false)
		Expect(again[0].Decision().Outcome().Reason()).To(Equal(outcome.ReasonFenced), "a refusal is final")
	},
	Entry("before the rebuild", func(fix *fixture) { *fix.led = ledger.Ledger[string, reqlog.ID]{} }, outcome.ReasonNotReady),
	Entry("while the endpoint leaves", func(fix *fixture) { fix.announce(1, true) }, outcome.ReasonLeaving),
	Entry("while the agent drains", func(fix *fixture) { fix.Drain(fix.now) }, outcome.ReasonLeaving),
	Entry("without announcements", func(fix *fixture) { fix.now = fix.now.Add(admit.AnnouncementTTL) }, outcome.ReasonNoEndpoint),
	Entry("with stale configuration", func(fix *fixture) { fix.site.refusal = outcome.ReasonStaleConfig }, outcome.ReasonStaleConfig),
	Entry("that was fenced", func(fix *fixture) { fix.Resolve(reqlog.NewID("entry", 1, 1), fix.now) }, outcome.ReasonFenced),
)

// Guards against queued requests that start on an endpoint long after it was
// told to leave, disappeared or became forbidden.
var _ = DescribeTable("refuses a queued request",
	func(change func(fix *fixture), after time.Duration, want outcome.Reason) {
		fix := newFixture()
		for cnt := range uint64(3) {
			fix.arrive(cnt+1, int(cnt), time.Minute, false)
		}
		Expect(fix.Queued()).To(Equal(1))
		change(fix)
		fix.now = fix.now.Add(after)
		vers := append(fix.Tick(fix.now), fix.Finish(reqlog.NewID("entry", 1, 1), outcome.Answered(), "", 0, fix.now)...)
		Expect(vers).To(HaveLen(1))
		Expect(vers[0].Decision().Started()).To(Equal(want == ""))
		Expect(vers[0].Decision().Outcome().Reason()).To(Equal(want))
	},
	Entry("not within the grace of a leave", func(fix *fixture) { fix.announce(1, true) }, intake.LeaveGrace-1, outcome.Reason("")),
	Entry("after the grace of a leave", func(fix *fixture) { fix.announce(1, true) }, intake.LeaveGrace, outcome.ReasonLeaving),
	Entry("after the grace of a drain", func(fix *fixture) { fix.Drain(fix.now) }, intake.LeaveGrace, outcome.ReasonLeaving),
	Entry("without announcements", func(*fixture) {}, admit.AnnouncementTTL, outcome.ReasonNoEndpoint),
	Entry("when the configuration became stale", func(fix *fixture) { fix.site.refusal = outcome.ReasonStaleConfig }, time.Second, outcome.ReasonStaleConfig),
)

// Guards against two starts of one ID, a start after "not run", more requests
// than slots, and deliveries that get no decision or two.
var _ = It("decides once about every delivery and starts an ID at most once", func() {
	rapid.Check(GinkgoT(), func(rt *rapid.T) {
		fix, deliveries := newFixture(), 0
		waiting, ids := map[int]bool{}, map[int]uint64{}
		started, denied, running := map[uint64]bool{}, map[uint64]bool{}, map[uint64]int{}
		take := func(vers []intake.RequestDecision[int, string]) {
			for _, ver := range vers {
				val, cnt := ver.Value(), ids[ver.Value()]
				if !waiting[val] {
					rt.Fatalf("delivery %d gets a second decision", val)
				}
				delete(waiting, val)
				switch out := ver.Decision().Outcome(); {
				case ver.Decision().Started() && (started[cnt] || denied[cnt]):
					rt.Fatalf("request %d starts, started before %v, denied %v", cnt, started[cnt], denied[cnt])
				case ver.Decision().Started():
					started[cnt], running[cnt] = true, val
				case out.Kind() == outcome.KindNotRun && started[cnt]:
					rt.Fatalf("request %d is said not to have run", cnt)
				case out.Kind() == outcome.KindNotRun:
					denied[cnt] = true
				}
			}
		}
		counter := rapid.Uint64Range(1, 12)
		rt.Repeat(map[string]func(*rapid.T){
			"arrive": func(rt *rapid.T) {
				deliveries++
				cnt := counter.Draw(rt, "counter")
				waiting[deliveries], ids[deliveries] = true, cnt
				timeout := time.Duration(rapid.IntRange(1, 900).Draw(rt, "millis")) * time.Millisecond
				take(fix.arrive(cnt, deliveries, timeout, rapid.Bool().Draw(rt, "batch")))
			},
			"finish": func(rt *rapid.T) {
				cnt := counter.Draw(rt, "counter")
				if _, is := running[cnt]; !is {
					return
				}
				delete(running, cnt)
				outs := []outcome.Outcome{outcome.Answered(), outcome.Unknown(outcome.ReasonTimeout, "")}
				take(fix.Finish(reqlog.NewID("entry", 1, cnt), rapid.SampledFrom(outs).Draw(rt, "end"), "answer", 6, fix.now))
			},
			"giveUp": func(rt *rapid.T) {
				val := rapid.IntRange(0, deliveries).Draw(rt, "delivery")
				if waiting[val] {
					take(fix.ExpireQueued(reqlog.NewID("entry", 1, ids[val]), val, fix.now))
				}
			},
			"resolve": func(rt *rapid.T) {
				cnt := counter.Draw(rt, "counter")
				if sta := fix.Resolve(reqlog.NewID("entry", 1, cnt), fix.now).State(); sta == reqlog.NotRun {
					if denied[cnt] = true; started[cnt] {
						rt.Fatalf("request %d is resolved as not run after its start", cnt)
					}
				}
			},
			"announce": func(*rapid.T) { fix.announce(1, false) },
			"pass": func(rt *rapid.T) {
				fix.now = fix.now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(rt, "millis")) * time.Millisecond)
				take(fix.Tick(fix.now))
			},
			"": func(rt *rapid.T) {
				if len(running) > 2 || fix.led.RequestCount() != len(running) || fix.Queued() != len(waiting) {
					rt.Fatalf("%d running, %d in the ledger, %d queued, %d waiting", len(running), fix.led.RequestCount(), fix.Queued(), len(waiting))
				}
			},
		})
		fix.now = fix.now.Add(time.Hour)
		take(fix.Tick(fix.now))
		if len(waiting) > 0 || fix.Drained() != (len(running) == 0) {
			rt.Fatalf("%d deliveries got no decision, drained %v with %d running", len(waiting), fix.Drained(), len(running))
		}
	})
})
