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

// environment allows requests unless a refusal is set.
type environment struct{ refusal outcome.Reason }

func (env *environment) RequestsAllowed(fleet.Service, time.Time) (outcome.Outcome, bool) {
	return outcome.NotRun(env.refusal, ""), env.refusal == ""
}
func (*environment) Limits(fleet.Service, fleet.Workspace) admit.Limits { return admit.NewLimits(0, 6) }

// fixture is an intake with two slots and a queue of three requests. The values are
// the numbers of deliveries.
type fixture struct {
	*intake.Intake[int, string]
	led *ledger.Ledger[string, reqlog.ID]
	env *environment
	now time.Time
}

func newFixture() *fixture {
	fix := &fixture{led: &ledger.Ledger[string, reqlog.ID]{}, env: &environment{}, now: epoch}
	fix.led.SetCapacity(ledger.NewCapacity(25))
	opt := intake.DefaultOptions().WithQueue(3, admit.CriticalFirst{}).
		WithLimits(reqlog.DefaultLimits().WithSizes(5, 40, 4).WithWindows(time.Minute, 10*time.Second, time.Hour))
	fix.Intake = intake.New[int, string](fix.led, fix.env, opt)
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

// Guards against admitting requests while the endpoint must not get any.
var _ = DescribeTable("refuses a request",
	func(prepare func(fix *fixture), want outcome.Reason) {
		fix := newFixture()
		prepare(fix)
		decs := fix.arrive(1, 1, time.Second, false)
		Expect(decs).To(HaveLen(1))
		Expect(decs[0].Decision().Outcome().Reason()).To(Equal(want))
		Expect(fix.Drained()).To(BeTrue())
		again := fix.arrive(1, 2, time.Second, false)
		Expect(again[0].Decision().Outcome().Reason()).To(Equal(outcome.ReasonFenced), "a refusal is final")
	},
	Entry("before the ledger is ready", func(fix *fixture) { *fix.led = ledger.Ledger[string, reqlog.ID]{} }, outcome.ReasonNotReady),
	Entry("while the endpoint leaves", func(fix *fixture) { fix.announce(1, true) }, outcome.ReasonLeaving),
	Entry("while the agent drains", func(fix *fixture) { fix.Drain(fix.now) }, outcome.ReasonLeaving),
	Entry("without announcements", func(fix *fixture) { fix.now = fix.now.Add(admit.AnnouncementTTL) }, outcome.ReasonNoEndpoint),
	Entry("while the configuration is stale", func(fix *fixture) { fix.env.refusal = outcome.ReasonStaleConfig }, outcome.ReasonStaleConfig),
	Entry("that was fenced", func(fix *fixture) { fix.Resolve(reqlog.NewID("entry", 1, 1), fix.now) }, outcome.ReasonFenced),
)

// Guards against starting queued requests on an endpoint that announced its leave
// more than LeaveGrace ago, is absent, or must not get requests.
var _ = DescribeTable("refuses a queued request",
	func(change func(fix *fixture), after time.Duration, want outcome.Reason) {
		fix := newFixture()
		for cnt := range uint64(3) {
			fix.arrive(cnt+1, int(cnt), time.Minute, false)
		}
		Expect(fix.Queued()).To(Equal(1))
		change(fix)
		fix.now = fix.now.Add(after)
		decs := append(fix.Tick(fix.now), fix.Finish(reqlog.NewID("entry", 1, 1), outcome.Answered(), "", 0, fix.now)...)
		Expect(decs).To(HaveLen(1))
		Expect(decs[0].Decision().Started()).To(Equal(want == ""))
		Expect(decs[0].Decision().Outcome().Reason()).To(Equal(want))
	},
	Entry("but not within LeaveGrace of a leave", func(fix *fixture) { fix.announce(1, true) }, intake.LeaveGrace-1, outcome.Reason("")),
	Entry("when LeaveGrace after a leave has passed", func(fix *fixture) { fix.announce(1, true) }, intake.LeaveGrace, outcome.ReasonLeaving),
	Entry("when LeaveGrace after a drain has passed", func(fix *fixture) { fix.Drain(fix.now) }, intake.LeaveGrace, outcome.ReasonLeaving),
	Entry("without announcements", func(*fixture) {}, admit.AnnouncementTTL, outcome.ReasonNoEndpoint),
	Entry("when the configuration became stale", func(fix *fixture) { fix.env.refusal = outcome.ReasonStaleConfig }, time.Second, outcome.ReasonStaleConfig),
)

// Guards against two starts of one ID, a start after the outcome "not run", more
// running requests than slots, and deliveries with no decision or with two.
var _ = It("makes one decision about every delivery and starts an ID at most once", func() {
	rapid.Check(GinkgoT(), func(rt *rapid.T) {
		fix, deliveries := newFixture(), 0
		undecided, ids := map[int]bool{}, map[int]uint64{}
		started, notRun, running := map[uint64]bool{}, map[uint64]bool{}, map[uint64]int{}
		apply := func(decs []intake.RequestDecision[int, string]) {
			for _, rdc := range decs {
				val, cnt := rdc.Value(), ids[rdc.Value()]
				if !undecided[val] {
					rt.Fatalf("delivery %d got a second decision", val)
				}
				delete(undecided, val)
				switch out := rdc.Decision().Outcome(); {
				case rdc.Decision().Started() && (started[cnt] || notRun[cnt]):
					rt.Fatalf("request %d was started although it was started before (%v) or reported as not run (%v)", cnt, started[cnt], notRun[cnt])
				case rdc.Decision().Started():
					started[cnt], running[cnt] = true, val
				case out.Kind() == outcome.KindNotRun && started[cnt]:
					rt.Fatalf("request %d was reported as not run after its start", cnt)
				case out.Kind() == outcome.KindNotRun:
					notRun[cnt] = true
				}
			}
		}
		counter := rapid.Uint64Range(1, 12)
		rt.Repeat(map[string]func(*rapid.T){
			"arrive": func(rt *rapid.T) {
				deliveries++
				cnt := counter.Draw(rt, "counter")
				undecided[deliveries], ids[deliveries] = true, cnt
				timeout := time.Duration(rapid.IntRange(1, 900).Draw(rt, "millis")) * time.Millisecond
				apply(fix.arrive(cnt, deliveries, timeout, rapid.Bool().Draw(rt, "batch")))
			},
			"finish": func(rt *rapid.T) {
				cnt := counter.Draw(rt, "counter")
				if _, is := running[cnt]; !is {
					return
				}
				delete(running, cnt)
				outs := []outcome.Outcome{outcome.Answered(), outcome.Unknown(outcome.ReasonTimeout, "")}
				apply(fix.Finish(reqlog.NewID("entry", 1, cnt), rapid.SampledFrom(outs).Draw(rt, "end"), "answer", 6, fix.now))
			},
			"giveUp": func(rt *rapid.T) {
				val := rapid.IntRange(0, deliveries).Draw(rt, "delivery")
				if undecided[val] {
					apply(fix.ExpireQueued(reqlog.NewID("entry", 1, ids[val]), val, fix.now))
				}
			},
			"resolve": func(rt *rapid.T) {
				cnt := counter.Draw(rt, "counter")
				if sta := fix.Resolve(reqlog.NewID("entry", 1, cnt), fix.now).State(); sta == reqlog.NotRun {
					if notRun[cnt] = true; started[cnt] {
						rt.Fatalf("request %d was resolved as not run after its start", cnt)
					}
				}
			},
			"announce": func(*rapid.T) { fix.announce(1, false) },
			"pass": func(rt *rapid.T) {
				fix.now = fix.now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(rt, "millis")) * time.Millisecond)
				apply(fix.Tick(fix.now))
			},
			"": func(rt *rapid.T) {
				if len(running) > 2 || fix.led.RequestCount() != len(running) || fix.Queued() != len(undecided) {
					rt.Fatalf("%d running, want at most 2 and %d as in the ledger; %d queued, want %d as deliveries without a decision", len(running), fix.led.RequestCount(), fix.Queued(), len(undecided))
				}
			},
		})
		fix.now = fix.now.Add(time.Hour)
		apply(fix.Tick(fix.now))
		if len(undecided) > 0 || fix.Drained() != (len(running) == 0) {
			rt.Fatalf("%d deliveries got no decision, want none; Drained returned %v with %d running", len(undecided), fix.Drained(), len(running))
		}
	})
})
