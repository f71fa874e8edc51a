package ticket_test

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"jacinthpost/core/job"
	"jacinthpost/core/resource"
	"jacinthpost/core/ticket"
	"jacinthpost/internal/proptest"
	"jacinthpost/internal/specs"
)

func TestTicket(t *testing.T) {
	if err := proptest.Setup(100, 30); err != nil {
		t.Fatal(err)
	}
	specs.Run(t, "ticket")
}

var (
	settings                 = map[string]string{"plan": "gold"}
	workspace                = ticket.NewWorkspace(true, "team-a", settings)
	cancelled                = ticket.NewWorkspace(false, "team-a", settings)
	cancelledWithoutSettings = ticket.NewWorkspace(false, "team-a", nil)
)

func newTicket(num ticket.Number, changes ...ticket.Change) ticket.Ticket {
	return ticket.New(num, "operator", "change", changes...)
}

func change(name string, base ticket.Number, obj ticket.Object) ticket.Change {
	return ticket.NewChange(name, base, obj)
}

// stateAfterTwoTickets returns a state with a workspace at version 1 and an endpoint at version 2.
func stateAfterTwoTickets() ticket.State {
	sta, _ := ticket.State{}.Apply(newTicket(1, change("wsp", 0, workspace)))
	sta, _ = sta.Apply(newTicket(2, change("end", 0, ticket.NewEndpoint(true))))
	return sta
}

// Guards against tickets that overwrite a version of an object that their author has not seen.
var _ = DescribeTable("Apply", func(tic ticket.Ticket, want ticket.OutcomeKind, check func(out ticket.Outcome)) {
	before := stateAfterTwoTickets()
	after, out := before.Apply(tic)
	Expect(out.Kind()).To(Equal(want))
	if want != ticket.OutcomeAccepted {
		Expect(after).To(Equal(before), "a refused ticket changes nothing")
	}
	if check != nil {
		check(out)
	}
},
	Entry("next number", newTicket(3, change("end", 2, ticket.NewEndpoint(false))), ticket.OutcomeAccepted,
		func(out ticket.Outcome) { Expect(out.NextNumber()).To(Equal(ticket.Number(4))) }),
	Entry("repeated", newTicket(1, change("wsp", 0, workspace)), ticket.OutcomeSame, nil),
	Entry("same number, other content", newTicket(1, change("wsp", 0, cancelled)), ticket.OutcomeConflict,
		func(out ticket.Outcome) {
			Expect(out.Ticket().Same(newTicket(1, change("wsp", 0, workspace)))).To(BeTrue())
		}),
	Entry("gap", newTicket(4, change("new", 0, workspace)), ticket.OutcomeGap,
		func(out ticket.Outcome) { Expect(out.NextNumber()).To(Equal(ticket.Number(3))) }),
	Entry("wrong base", newTicket(3, change("wsp", 0, cancelled)), ticket.OutcomeWrongBase,
		func(out ticket.Outcome) { Expect(out.CurrentVersion()).To(Equal(ticket.Number(1))) }),
	Entry("base of a missing object", newTicket(3, change("new", 1, workspace)), ticket.OutcomeWrongBase, nil),
	Entry("one wrong base of two", newTicket(3, change("end", 2, ticket.NewEndpoint(false)), change("wsp", 2, cancelled)), ticket.OutcomeWrongBase, nil),
	Entry("cancellation with its settings", newTicket(3, change("wsp", 1, cancelled)), ticket.OutcomeAccepted, nil),
	Entry("cancellation that drops settings", newTicket(3, change("wsp", 1, cancelledWithoutSettings)), ticket.OutcomeInvalid, nil),
	Entry("no changes", newTicket(3), ticket.OutcomeInvalid, nil),
)

// Guards against invalid or oversized tickets, which would be copied to every node.
var _ = DescribeTable("Validate names the fault", func(tic ticket.Ticket, path string) {
	var paths []string
	for _, flt := range ticket.Validate(tic) {
		paths = append(paths, flt.Path())
		Expect(len(flt.String())).To(BeNumerically("<", 600))
	}
	Expect(paths).To(ConsistOf(path))
},
	Entry("number", newTicket(0, change("wsp", 0, workspace)), "number"),
	Entry("author", ticket.New(1, "a b", "r", change("wsp", 0, workspace)), "author"),
	Entry("reason", ticket.New(1, "a", " ", change("wsp", 0, workspace)), "reason"),
	Entry("huge reason", ticket.New(1, "a", strings.Repeat("x", 2000), change("wsp", 0, workspace)), "reason"),
	Entry("object twice", newTicket(1, change("wsp", 0, workspace), change("wsp", 0, cancelled)), "changes[1].name"),
	Entry("no object", newTicket(1, change("wsp", 0, nil)), "changes[0].kind"),
	Entry("name with a slash", newTicket(1, change("a/b", 0, workspace)), "changes[0].name"),
	Entry("base not below the number", newTicket(1, change("wsp", 1, workspace)), "changes[0].baseVersion"),
	Entry("no slots", newTicket(1, change("svc", 0, ticket.NewService(0, 1, time.Second))), "changes[0].state.slots"),
	Entry("negative timeout", newTicket(1, change("svc", 0, ticket.NewService(1, 1, -1))), "changes[0].state.defaultTimeoutMillis"),
	Entry("relative path", newTicket(1, change("svc", 0, ticket.NewService(1, 1, time.Second, "a"))), "changes[0].state.idempotentPaths[0]"),
	Entry("negative resources", newTicket(1, change("cls", 0, ticket.NewJobClass(resource.New(1, -1, 0), time.Minute, 0, true))), "changes[0].state.resources"),
	Entry("lease above the maximum", newTicket(1, change("cls", 0, ticket.NewJobClass(resource.New(1, 1, 0), math.MaxInt64, 0, true))), "changes[0].state.leaseMillis"),
	Entry("data centre taken out of service without a reason", newTicket(1, change("dc", 0, ticket.NewDataCentre(true, ""))), "changes[0].state.reason"),
	Entry("rate that is NaN", newTicket(1, change("svc", 0, ticket.NewAdmission(1, math.NaN(), 0))), "changes[0].state.workspaceRate"),
	Entry("share above one", newTicket(1, change("tea", 0, ticket.NewTeam(1.5, 0, 0, true))), "changes[0].state.cpuShare"),
	Entry("team with a space", newTicket(1, change("wsp", 0, ticket.NewWorkspace(true, "a b", nil))), "changes[0].state.team"),
	Entry("too many changes", newTicket(1, make([]ticket.Change, 1000)...), "changes"),
)

// Guards against different tickets with the same digest: the second would count as a repetition of
// the first and its changes would be lost.
var _ = It("Digest depends on every field", func() {
	objects := []ticket.Object{
		workspace, cancelled, cancelledWithoutSettings, ticket.NewWorkspace(true, "team-b", settings),
		ticket.NewEndpoint(true), ticket.NewEndpoint(false), ticket.NewDataCentre(false, ""), ticket.NewDataCentre(true, "x"),
		ticket.NewService(1, 2, time.Second), ticket.NewService(2, 1, time.Second), ticket.NewService(1, 2, time.Second, "/ab"),
		ticket.NewService(1, 2, time.Second, "/a", "/b"), ticket.NewAdmission(1, 2, 0), ticket.NewAdmission(1, 0, 0.5),
		ticket.NewTeam(1, 0, 0, false), ticket.NewTeam(0, 1, 0, false), ticket.NewTeam(0, 0, 1, false), ticket.NewTeam(1, 0, 0, true),
		ticket.NewJobClass(resource.New(1, 1, 0), time.Minute, 0, true), ticket.NewJobClass(resource.New(1, 1, 0), time.Minute, time.Hour, true),
		ticket.NewJobClass(resource.New(1, 1, 0), time.Minute, 0, true).WithRerun(job.RerunNever),
	}
	seen := make(map[ticket.Digest]string)
	for idx, obj := range objects {
		for _, tic := range []ticket.Ticket{newTicket(1, change("a", 0, obj)), newTicket(2, change("a", 0, obj)), newTicket(2, change("a", 1, obj)),
			newTicket(1, change("b", 0, obj)), ticket.New(1, "other", "change", change("a", 0, obj)), ticket.New(1, "operator", "other", change("a", 0, obj))} {
			Expect(seen).NotTo(HaveKey(tic.Digest()), "object %d", idx)
			seen[tic.Digest()] = ""
		}
	}
})

// drawSequence draws a valid ticket sequence over a few objects. It returns the tickets and the
// state after each of them, preceded by the empty state.
func drawSequence(rt *rapid.T) ([]ticket.Ticket, []ticket.State) {
	states := []ticket.State{{}}
	var tickets []ticket.Ticket
	for num := range rapid.IntRange(1, ticket.HistoryLimit+40).Draw(rt, "tickets") {
		sta := states[len(states)-1]
		name := fmt.Sprintf("end-%d", rapid.IntRange(0, 5).Draw(rt, "name"))
		_, base := sta.Object(ticket.NewKey(ticket.KindEndpoint, name))
		tic := newTicket(ticket.Number(num+1), change(name, base, ticket.NewEndpoint(rapid.Bool().Draw(rt, "draining"))))
		next, out := sta.Apply(tic)
		if !out.InSequence() {
			rt.Fatalf("ticket %d: %v", num+1, out.Kind())
		}
		tickets, states = append(tickets, tic), append(states, next)
	}
	return tickets, states
}

func expectSameState(rt *rapid.T, got, want ticket.State) {
	if got.Head() != want.Head() || fmt.Sprint(got.Records("", 100)) != fmt.Sprint(want.Records("", 100)) {
		rt.Fatalf("state with head %d differs from the state after ticket %d", got.Head(), want.Head())
	}
}

// Guards against a state that contains parts of two configurations because its objects were listed
// while tickets were accepted, and against a head that decreases.
var _ = It("restores and replays only states that follow some ticket", func() {
	rapid.Check(GinkgoT(), func(rt *rapid.T) {
		tickets, states := drawSequence(rt)
		last := len(tickets)
		base := rapid.IntRange(0, last).Draw(rt, "base")
		seen := rapid.IntRange(base, last).Draw(rt, "seen")
		// Each object is listed at its own time between the two reads of the head.
		var records []ticket.Record
		for idx := range 6 {
			key := ticket.NewKey(ticket.KindEndpoint, fmt.Sprintf("end-%d", idx))
			at := rapid.IntRange(base, seen).Draw(rt, "listed")
			if obj, ver := states[at].Object(key); ver > 0 {
				records = append(records, ticket.NewRecord(key, ver, obj))
			}
		}
		got, consistent := ticket.RestoreAndReplay(ticket.Number(base), records, tickets[base:seen])
		if !consistent {
			rt.Fatalf("not consistent")
		}
		expectSameState(rt, got, states[seen])
		for range 20 { // tickets in random order, with repetitions
			next, _ := got.Apply(tickets[rapid.IntRange(0, last-1).Draw(rt, "ticket")])
			if next.Head() < got.Head() {
				rt.Fatalf("the head decreased")
			}
			got = next
			expectSameState(rt, got, states[got.Head()])
		}
		since, kept := got.TicketsAfter(ticket.Number(base), 1000)
		if kept != (int(got.Head())-base <= ticket.HistoryLimit) || (kept && len(since) != int(got.Head())-base) {
			rt.Fatalf("history after %d: got %d tickets, kept %v", base, len(since), kept)
		}
	})
})

var start = time.Unix(1_700_000_000, 0)

// Guards against nodes that start tasks or admit requests which a ticket unknown to them may
// forbid, and against requests refused for the whole of a store outage. The entries follow the
// table in section 6.6 of docs/design.md.
var _ = DescribeTable("Freshness", func(answers []ticket.Confirmation, after time.Duration, tasks, requests bool) {
	var fre ticket.Freshness
	for _, con := range answers {
		fre = fre.Observe(con)
	}
	now := start.Add(after)
	Expect([]bool{fre.MayStartTasks(now), fre.MayAdmitRequests(now)}).To(Equal([]bool{tasks, requests}))
},
	Entry("never confirmed", nil, time.Second, false, false),
	Entry("confirmed", answers(confirmed(0, 0)), 2499*time.Millisecond, true, true),
	Entry("stale, no reader reachable", answers(confirmed(0, 0)), 2500*time.Millisecond, false, false),
	Entry("the age in the answer is added", answers(confirmed(0, 2*time.Second)), 500*time.Millisecond, false, false),
	Entry("an answer to an earlier pull that arrives late changes nothing", answers(confirmed(3*time.Second, 0), confirmed(0, 0)), 5*time.Second, true, true),
	Entry("a negative age counts as zero", answers(confirmed(0, -time.Hour)), 2500*time.Millisecond, false, false),
	Entry("stale, store reported down", answers(confirmed(0, 0), down(time.Hour, time.Hour)), time.Hour+time.Second, false, true),
	Entry("stale, report of the outage too old", answers(confirmed(0, 0), down(0, 0)), 2500*time.Millisecond, false, false),
	Entry("stale, reader without a head or a report of an outage", answers(confirmed(0, 0), ticket.NewUnconfirmed(start.Add(9*time.Second))), 10*time.Second, false, false),
	Entry("store down, but nothing was ever confirmed", answers(down(0, 0)), time.Second, false, false),
	Entry("confirmed again after an outage", answers(confirmed(0, 0), down(8*time.Second, time.Second), confirmed(9*time.Second, 0)), 10*time.Second, true, true),
)

func answers(list ...ticket.Confirmation) []ticket.Confirmation { return list }

func confirmed(at, age time.Duration) ticket.Confirmation {
	return ticket.NewConfirmation(start.Add(at), age)
}

func down(at, since time.Duration) ticket.Confirmation {
	return ticket.NewUnconfirmed(start.Add(at)).WithStoreDown(since)
}
