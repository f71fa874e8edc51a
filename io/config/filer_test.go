package config_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/anishathalye/porcupine"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"jacinthpost/core/store"
	"jacinthpost/core/store/storefake"
	"jacinthpost/core/ticket"
	"jacinthpost/io/audit"
	"jacinthpost/io/config"
)

// refused collects the audit entries of refused tickets.
type refused struct {
	mu      sync.Mutex
	entries []audit.Entry
}

func (rfd *refused) Record(ent audit.Entry) bool {
	rfd.mu.Lock()
	defer rfd.mu.Unlock()
	rfd.entries = append(rfd.entries, ent)
	return true
}

func newFiler(tab store.Table) (*config.Filer, *refused) {
	rfd := &refused{}
	return config.NewFiler(tab, rfd, "entry-1", time.Now), rfd
}

// filed returns a table with two accepted tickets for one endpoint.
func filed() *storefake.Store {
	tab := &storefake.Store{}
	fil, _ := newFiler(tab)
	for num := range ticket.Number(2) {
		Expect(fil.File(context.Background(), drain(num+1, num, "agent-001", num == 0)).Kind()).To(Equal(ticket.OutcomeAccepted))
	}
	return tab
}

// expectTrail checks that the table holds the tickets up to head, each with one audit row.
func expectTrail(tab store.Table, head ticket.Number) {
	GinkgoHelper()
	sta, err := config.Load(context.Background(), tab)
	Expect(err).NotTo(HaveOccurred())
	Expect(sta.Head()).To(Equal(head))
	entries, err := audit.NewTrail(tab).List(context.Background(), "", audit.MaxList)
	Expect(err).NotTo(HaveOccurred())
	var accepted []uint64
	for _, ent := range entries {
		Expect(ent.Outcome).To(Equal("accepted"))
		accepted = append(accepted, ent.Ticket)
	}
	var want []uint64
	for num := range uint64(head) {
		want = append(want, num+1)
	}
	Expect(accepted).To(Equal(want))
}

// Guards against tickets that are lost, doubled or wrongly reported when the table fails.
var _ = DescribeTable("filing", func(tic ticket.Ticket, faults []storefake.Fault, want ticket.OutcomeKind, head ticket.Number) {
	tab := filed()
	tab.Inject(faults...)
	fil, rfd := newFiler(tab)
	out := fil.File(context.Background(), tic)
	Expect(out.Kind()).To(Equal(want), config.Explain(out))
	restarted, _ := newFiler(tab)
	again := restarted.File(context.Background(), tic)
	if out.InSequence() {
		Expect(again.Kind()).To(Equal(ticket.OutcomeSame))
	}
	if want == ticket.OutcomeUnknown {
		Expect(again.InSequence()).To(BeTrue(), "filing again tells")
	}
	if want != ticket.OutcomeAccepted {
		Expect(rfd.entries[0].Outcome).To(Equal(want.String()))
	}
	expectTrail(tab, head)
},
	Entry("next", drain(3, 2, "agent-001", true), nil, ticket.OutcomeAccepted, ticket.Number(3)),
	Entry("same content", drain(2, 1, "agent-001", false), nil, ticket.OutcomeSame, ticket.Number(2)),
	Entry("other content", drain(2, 1, "agent-001", true), nil, ticket.OutcomeConflict, ticket.Number(2)),
	Entry("gap", drain(4, 2, "agent-001", true), nil, ticket.OutcomeGap, ticket.Number(2)),
	Entry("wrong base", drain(3, 1, "agent-001", true), nil, ticket.OutcomeWrongBase, ticket.Number(2)),
	Entry("invalid", drain(3, 2, "agent/1", true), nil, ticket.OutcomeInvalid, ticket.Number(2)),
	Entry("refused read, then accepted", drain(3, 2, "agent-001", true), faults(storefake.Refuse), ticket.OutcomeUnavailable, ticket.Number(3)),
	Entry("refused commit, then accepted", drain(3, 2, "agent-001", true), faults(storefake.None, storefake.Refuse), ticket.OutcomeUnavailable, ticket.Number(3)),
	Entry("lost read", drain(3, 2, "agent-001", true), faults(storefake.LoseAnswer), ticket.OutcomeAccepted, ticket.Number(3)),
	Entry("lost answer", drain(3, 2, "agent-001", true), faults(storefake.None, storefake.LoseAnswer), ticket.OutcomeAccepted, ticket.Number(3)),
	Entry("lost call", drain(3, 2, "agent-001", true), faults(storefake.None, storefake.LoseCall), ticket.OutcomeAccepted, ticket.Number(3)),
	Entry("lost answer, read-back refused", drain(3, 2, "agent-001", true),
		faults(storefake.None, storefake.LoseAnswer, storefake.Refuse), ticket.OutcomeUnknown, ticket.Number(3)),
	Entry("lost call, read-back refused", drain(3, 2, "agent-001", true),
		faults(storefake.None, storefake.LoseCall, storefake.Refuse), ticket.OutcomeUnknown, ticket.Number(3)),
	Entry("lost answer to a ticket that conflicts", drain(2, 1, "agent-001", true), faults(storefake.LoseAnswer), ticket.OutcomeConflict, ticket.Number(2)),
)

func faults(list ...storefake.Fault) []storefake.Fault { return list }

// Filing model: the contents accepted so far and the version of each object.
type (
	filedInput struct {
		number, base ticket.Number
		object       int
		content      string
	}
	filedOutput struct {
		kind    ticket.OutcomeKind
		next    ticket.Number
		current ticket.Number
		content string
	}
	filedState struct {
		contents string // one byte per ticket
		versions [2]ticket.Number
	}
)

// step returns the states that may follow, none if the output is impossible.
func step(sta filedState, inp filedInput, out filedOutput) []filedState {
	head := ticket.Number(len(sta.contents))
	legal := inp.number == head+1 && inp.base == sta.versions[inp.object]
	next := sta
	next.contents += inp.content
	next.versions[inp.object] = inp.number
	holds := false
	switch out.kind {
	case ticket.OutcomeAccepted:
		if legal {
			return []filedState{next}
		}
	case ticket.OutcomeUnknown:
		if legal {
			return []filedState{sta, next}
		}
		holds = true
	case ticket.OutcomeUnavailable:
		holds = true
	case ticket.OutcomeSame:
		holds = inp.number <= head && sta.contents[inp.number-1:inp.number] == inp.content
	case ticket.OutcomeConflict:
		holds = inp.number <= head && sta.contents[inp.number-1:inp.number] == out.content && out.content != inp.content
	case ticket.OutcomeGap:
		holds = inp.number > head+1 && out.next == head+1
	case ticket.OutcomeWrongBase:
		holds = inp.number == head+1 && out.current == sta.versions[inp.object] && inp.base != out.current
	}
	if holds {
		return []filedState{sta}
	}
	return nil
}

var filingModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{filedState{}} },
	Step: func(sta, inp, out any) []any {
		var next []any
		for _, itm := range step(sta.(filedState), inp.(filedInput), out.(filedOutput)) {
			next = append(next, itm)
		}
		return next
	},
}

// operator files tickets as fast as it can and learns from the outcomes.
type operator struct {
	index  int
	random *rand.Rand
	filer  *config.Filer
	table  *storefake.Store
	clock  *atomic.Int64
	next   ticket.Number
	bases  [2]ticket.Number
	log    []porcupine.Operation
}

func (opr *operator) fileOnce() {
	inp := filedInput{number: opr.next, object: opr.random.IntN(2)}
	inp.content = string(rune('a' + 2*opr.index + inp.object))
	inp.base = opr.bases[inp.object]
	fault := storefake.Fault(opr.random.IntN(8)) // mostly none
	if fault <= storefake.LoseCall {
		opr.table.Inject(fault)
	}
	if opr.random.IntN(16) == 0 {
		opr.table.Inject(storefake.None, storefake.LoseAnswer, storefake.Refuse, storefake.Refuse)
	}
	tic := ticket.New(inp.number, "operator-"+inp.content, "race", ticket.NewChange(fmt.Sprint("agent-", inp.object), inp.base, ticket.NewEndpoint(true)))
	call := opr.clock.Add(1)
	out := opr.filer.File(context.Background(), tic)
	got := filedOutput{kind: out.Kind(), next: out.NextNumber(), current: out.CurrentVersion()}
	switch out.Kind() {
	case ticket.OutcomeAccepted, ticket.OutcomeSame:
		opr.next, opr.bases[inp.object] = inp.number+1, inp.number
	case ticket.OutcomeConflict:
		got.content = out.Ticket().Author()[len("operator-"):]
		opr.next++
	case ticket.OutcomeGap:
		opr.next = out.NextNumber()
	case ticket.OutcomeWrongBase:
		opr.bases[inp.object] = out.CurrentVersion()
	}
	opr.log = append(opr.log, porcupine.Operation{ClientId: opr.index, Input: inp, Output: got, Call: call, Return: opr.clock.Add(1)})
}

// Guards against two operators who are both told that theirs is ticket n, and
// against outcomes that no order of the filings explains.
var _ = DescribeTable("concurrent filing is linearizable", func(seed uint64) {
	tab := &storefake.Store{}
	var clock atomic.Int64
	var group sync.WaitGroup
	operators := make([]*operator, 4)
	for idx := range operators {
		fil, _ := newFiler(tab)
		operators[idx] = &operator{index: idx, random: rand.New(rand.NewPCG(seed, uint64(idx))), filer: fil, table: tab, clock: &clock, next: 1}
		group.Go(func() {
			for range 40 {
				operators[idx].fileOnce()
			}
		})
	}
	group.Wait()
	var history []porcupine.Operation
	kinds := make(map[ticket.OutcomeKind]int)
	for _, opr := range operators {
		history = append(history, opr.log...)
		for _, opn := range opr.log {
			kinds[opn.Output.(filedOutput).kind]++
		}
	}
	model := filingModel.ToModel()
	Expect(porcupine.CheckOperationsTimeout(model, history, 20*time.Second)).To(Equal(porcupine.Ok))
	Expect(kinds[ticket.OutcomeAccepted]).To(BeNumerically(">", 5))
	GinkgoWriter.Println(kinds)
}, seedEntries(3))

// racingTable files further tickets between the calls of a reader.
type racingTable struct {
	store.Table
	race func()
}

func (rac racingTable) Read(ctx context.Context, keys ...string) ([]store.Row, error) {
	rac.race()
	return rac.Table.Read(ctx, keys...)
}

func (rac racingTable) List(ctx context.Context, prefix, after string, limit int) ([]store.Row, error) {
	rac.race()
	return rac.Table.List(ctx, prefix, after, limit)
}

// Guards against a crashed filing or a slow load that leaves a mixture of two tickets.
var _ = It("a load yields the state after some accepted ticket, wherever filings crash", func() {
	rapid.Check(GinkgoT(), func(rt *rapid.T) {
		tab := &storefake.Store{}
		fil, _ := newFiler(tab)
		states := []ticket.State{{}}
		fileNext := func() {
			sta := states[len(states)-1]
			tic := manyObjects(sta, rapid.IntRange(1, ticket.MaxChanges).Draw(rt, "changes"), rapid.IntRange(0, 400).Draw(rt, "first"))
			tab.Inject(rapid.SampledFrom([]storefake.Fault{storefake.None, storefake.None, storefake.Refuse}).Draw(rt, "read"),
				storefake.Fault(rapid.IntRange(0, 3).Draw(rt, "commit")), storefake.None, storefake.Refuse)
			out := fil.File(context.Background(), tic)
			// The process restarts without knowing the outcome, so a sound filer decides the same ticket.
			if !out.InSequence() {
				out = restartAndFile(tab, tic)
			}
			if !out.InSequence() {
				rt.Fatalf("ticket %d: %v", tic.Number(), out.Kind())
			}
			next, _ := sta.Apply(tic)
			states = append(states, next)
			for range 4 { // uses up the faults that are left
				_, _ = tab.Read(context.Background(), "config/head")
			}
		}
		for range rapid.IntRange(0, 12).Draw(rt, "tickets") {
			fileNext()
		}
		racing := racingTable{Table: tab, race: func() {
			if rapid.IntRange(0, 2).Draw(rt, "race") == 0 {
				fileNext()
			}
		}}
		got, err := config.Load(context.Background(), racing)
		if err != nil || int(got.Head()) >= len(states) {
			rt.Fatalf("load: head %d, %v", got.Head(), err)
		}
		if want := states[got.Head()]; fmt.Sprint(got.Records("", 10_000)) != fmt.Sprint(want.Records("", 10_000)) {
			rt.Fatalf("not the state after ticket %d", got.Head())
		}
	})
})

// restartAndFile files again with a new process until the queued faults are used up.
func restartAndFile(tab *storefake.Store, tic ticket.Ticket) ticket.Outcome {
	var out ticket.Outcome
	for range 8 {
		fil, _ := newFiler(tab)
		if out = fil.File(context.Background(), tic); out.InSequence() {
			break
		}
	}
	return out
}

// manyObjects returns the next ticket with several changed endpoints.
func manyObjects(sta ticket.State, num, first int) ticket.Ticket {
	var changes []ticket.Change
	for idx := range num {
		name := fmt.Sprintf("agent-%04d", first+idx)
		_, base := sta.Object(ticket.NewKey(ticket.KindEndpoint, name))
		changes = append(changes, ticket.NewChange(name, base, ticket.NewEndpoint(sta.Head()%2 == 0)))
	}
	return ticket.New(sta.Head()+1, "operator", "many", changes...)
}

// Guards against settings of a workspace that revert, or can't be changed any
// more, because an earlier version stored them under another name.
var _ = It("continues from the settings that an earlier version stored for a workspace", func(ctx SpecContext) {
	const settings = `{"active":true,"settings":{"language":"vi"}}`
	tab := &storefake.Store{}
	txn := &store.Transaction{}
	txn.Put("config/head", []byte(`{"number":1}`))
	txn.Put("config/ticket/000000000001", []byte(`{"number":1,"author":"a","reason":"r","changes":[{"kind":"customer","name":"uni","baseVersion":0,"state":`+settings+`}]}`))
	txn.Put("config/object/customer/uni", []byte(`{"kind":"customer","name":"uni","version":1,"state":`+settings+`}`))
	Expect(tab.Commit(ctx, txn)).To(Satisfy(store.Result.Committed))

	sta, err := config.Load(ctx, tab)
	Expect(err).NotTo(HaveOccurred())
	wsp, found := sta.Workspace("uni")
	Expect(found).To(BeTrue())
	Expect(wsp.Setting("language")).To(Equal("vi"))

	fil, _ := newFiler(tab)
	next := ticket.New(2, "a", "r", ticket.NewChange("uni", 1, ticket.NewWorkspace(true, "", map[string]string{"language": "fr"})))
	Expect(fil.File(ctx, next).Kind()).To(Equal(ticket.OutcomeAccepted))
	sta, err = config.Load(ctx, tab)
	Expect(err).NotTo(HaveOccurred())
	wsp, _ = sta.Workspace("uni")
	Expect(wsp.Setting("language")).To(Equal("fr"))
})
