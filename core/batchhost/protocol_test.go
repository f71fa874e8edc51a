package batchhost_test

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"jacinthpost/core/batch"
	"jacinthpost/core/batchhost"
	"jacinthpost/core/resource"
	"jacinthpost/core/workload"
)

// Times of the protocol, as io/batchowner and the platform set them.
const (
	protocolLease     = 4500 * time.Millisecond
	protocolGrant     = 6500 * time.Millisecond
	protocolLost      = 7 * time.Second
	protocolInherited = 15 * time.Second
)

type protocolOwner = batch.Scheduler[batch.DeadlineOrder, batch.SpreadPlacement]

// world is one owner, one agent and one worker with one job of one task, and the
// messages between them. Calls to the worker may be lost or carried out late.
type world struct {
	now     time.Time
	spec    workload.Job
	stored  map[string]batch.JobRecord
	owner   *protocolOwner
	epoch   uint64
	host    *batchhost.Host
	session uint64
	calls   []sentCall // made and not carried out yet
	late    []sentCall // given up by the agent, but on their way
	worker  workerModel
	fault   string

	unfenced bool // the worker does not check tokens
}

// sentCall is a call with the fencing token of the agent process that made it.
type sentCall struct {
	batchhost.Call
	token uint64
}

// workerModel is what the pages say of a worker: it runs what it is told while its lease
// lasts, never starts what it was told to stop, does nothing for a lower token than one
// that it has seen, and lists ends until they are noted.
type workerModel struct {
	token   uint64
	life    int
	lease   time.Time
	runs    map[batch.RunID]bool
	known   map[batch.RunID]bool // started or stopped before
	ended   []batchhost.EndedRun
	seq     uint64
	settled bool // the end of a run that was done has been noted
}

func (wrk *workerModel) name() batch.Incarnation {
	return batch.Incarnation("w@" + strconv.Itoa(wrk.life))
}

func newWorld() *world {
	wld := &world{now: time.Unix(1000, 0), stored: make(map[string]batch.JobRecord), session: 100}
	job, err := workload.New(workload.JobParams{
		ID: "j", Queue: "q", Service: "svc", MaxAttempts: 3, Stretch: 2, AcceptedMillis: wld.now.UnixMilli(),
		Steps: []workload.StepParams{{Count: 1, MilliCPU: 1000, MemoryMB: 100, EstimateMillis: 1000}},
	})
	Expect(err).NotTo(HaveOccurred())
	wld.spec = job
	wld.takeOver()
	wld.restartAgent()
	return wld
}

func (wld *world) newOwner() {
	wld.epoch++
	wld.owner = batch.New(batch.DeadlineOrder{}, batch.SpreadPlacement{},
		batch.Options{LostAfter: protocolLost, InheritedAfter: protocolInherited}, wld.now)
}

func (wld *world) takeOver() {
	wld.newOwner()
	if rec, found := wld.stored["j"]; found {
		wld.owner.Restore(wld.spec, rec, wld.now)
	} else {
		wld.owner.Submit(wld.spec, wld.now)
	}
	wld.owner.Tick(wld.now, wld.now)
}

func (wld *world) restartAgent() {
	wld.session += 100
	wld.late = append(wld.late, wld.calls...)
	wld.calls = nil
	wld.host = batchhost.New(batchhost.Options{Lease: protocolLease}, wld.session)
	wld.announce()
}

func (wld *world) announce() {
	wld.host.Announce(batchhost.Worker{Life: wld.worker.name(), Service: "svc", Capacity: resource.New(4000, 4000, 0)}, wld.now)
}

func (wld *world) rebirth() {
	wld.worker = workerModel{life: wld.worker.life + 1, settled: wld.worker.settled}
	wld.announce()
}

func (wld *world) report() {
	if !wld.host.Follow(wld.epoch) || !wld.host.ReadyToReport() {
		return
	}
	rep := wld.host.Report("a", wld.now)
	wld.owner.ApplyReport(rep, wld.now)
	wld.store()
	wld.host.Grant(wld.epoch, wld.now, protocolGrant)
	if out, known := wld.owner.Outbox("a", rep.Session, rep.AckedOrders); known {
		wld.host.Confirmed(wld.epoch, rep.Session, out.Acked)
	}
}

func (wld *world) orders() {
	if wld.host.Epoch() != wld.epoch {
		return
	}
	if out, known := wld.owner.Outbox("a", wld.host.Session(), wld.host.LastOrder()); known {
		wld.host.ApplyOrders(wld.epoch, wld.host.Session(), out.Orders, wld.now, wld.now)
		wld.host.Confirmed(wld.epoch, wld.host.Session(), out.Acked)
	}
}

func (wld *world) store() {
	wld.owner.Plan(wld.now)
	bat := wld.owner.NextBatch(10)
	for _, rec := range bat.Records() {
		wld.stored[rec.ID] = rec
	}
	wld.owner.Committed(bat, wld.now)
}

func (wld *world) clock() time.Duration { return wld.now.Sub(time.Unix(0, 0)) }

// perform is the worker carrying out a call.
func (wld *world) perform(cal sentCall) batchhost.CallOutcome {
	wrk := &wld.worker
	if cal.Life != wrk.name() || cal.Kind == batchhost.CallPace {
		return batchhost.NotDone
	}
	if cal.token < wrk.token && !wld.unfenced {
		return batchhost.Retry
	}
	wrk.token = cal.token
	if wrk.known == nil {
		wrk.known, wrk.runs = make(map[batch.RunID]bool), make(map[batch.RunID]bool)
	}
	if cal.Kind == batchhost.CallStop {
		wrk.known[cal.ID] = true
		if wrk.runs[cal.ID] {
			wrk.end(cal.ID, batch.EndStopped)
		}
		return batchhost.Accepted
	}
	until := time.Unix(0, 0).Add(cal.LeaseEnd)
	switch {
	case wrk.runs[cal.ID]:
		return batchhost.Accepted
	case wrk.known[cal.ID] || !until.After(wld.now):
		return batchhost.NotDone
	}
	wrk.lease = later(wrk.lease, until)
	wrk.known[cal.ID], wrk.runs[cal.ID] = true, true
	wld.judge()
	return batchhost.Accepted
}

func later(fst, snd time.Time) time.Time {
	if snd.After(fst) {
		return snd
	}
	return fst
}

func (wrk *workerModel) end(rid batch.RunID, cause batch.EndCause) {
	delete(wrk.runs, rid)
	wrk.seq++
	wrk.ended = append(wrk.ended, batchhost.EndedRun{Seq: wrk.seq, ID: rid, Cause: cause})
}

// judge checks the promise when a run starts: no other one is at work, none was done.
func (wld *world) judge() {
	if num := len(wld.worker.runs); num > 1 {
		wld.fault = fmt.Sprintf("%d runs at work", num)
	}
	if wld.worker.settled {
		wld.fault = "a start after the task was done"
	}
}

func (wld *world) list() {
	wrk := &wld.worker
	wrk.token = max(wrk.token, wld.session)
	until, ok := wld.host.LeaseEnd(wld.now)
	if ok {
		wrk.lease = later(wrk.lease, time.Unix(0, 0).Add(until))
	}
	noted := wld.host.Forgettable()
	for len(wrk.ended) > 0 && wrk.ended[0].Seq <= noted {
		wrk.settled = wrk.settled || wrk.ended[0].Cause == batch.EndDone
		wrk.ended = wrk.ended[1:]
	}
	lst := batchhost.Listing{Life: wrk.name(), Clock: wld.clock(), Ended: slices.Clone(wrk.ended), SentAt: wld.now, ReceivedAt: wld.now}
	for rid := range wrk.runs {
		lst.Runs = append(lst.Runs, batch.RunState{ID: rid})
	}
	wld.now = wld.now.Add(time.Millisecond)
	wld.host.ApplyListing(lst)
}

func (wld *world) finish() {
	for _, rid := range slices.Collect(maps.Keys(wld.worker.runs)) {
		wld.worker.end(rid, batch.EndDone)
	}
}

func (wld *world) pass(dur time.Duration) {
	wld.now = wld.now.Add(dur)
	if !wld.worker.lease.After(wld.now) {
		for _, rid := range slices.Collect(maps.Keys(wld.worker.runs)) {
			wld.worker.end(rid, batch.EndLeaseExpired)
		}
	}
	wld.owner.Tick(wld.now, wld.now)
	wld.host.Tick(wld.now)
	wld.store()
}

// answer hands the outcome of the first call to the agent.
func (wld *world) answer(perform, lost bool) {
	if len(wld.calls) == 0 {
		return
	}
	cal := wld.calls[0]
	wld.calls = wld.calls[1:]
	ver := batchhost.Unknown
	if perform {
		ver = wld.perform(cal)
	} else {
		wld.late = append(wld.late, cal)
	}
	if lost {
		ver = batchhost.Unknown
	}
	if cal.Kind == batchhost.CallStop {
		wld.host.StopEnded(cal.Life, cal.ID, ver, wld.now)
		return
	}
	wld.host.StartEnded(cal.Life, cal.ID, ver, "", wld.now)
}

func (wld *world) performLate() {
	if len(wld.late) == 0 {
		return
	}
	cal := wld.late[0]
	wld.late = wld.late[1:]
	wld.perform(cal)
}

// move is a step of the enumeration.
type move struct {
	name string
	do   func(wld *world)
}

var moves = []move{
	{"report", (*world).report},
	{"orders", (*world).orders},
	{"call", func(wld *world) { wld.answer(true, false) }},
	{"callAnswerLost", func(wld *world) { wld.answer(true, true) }},
	{"callLate", func(wld *world) { wld.answer(false, true) }},
	{"lateArrives", (*world).performLate},
	{"list", (*world).list},
	{"runEnds", (*world).finish},
	{"threeSeconds", func(wld *world) { wld.pass(3 * time.Second) }},
	{"eightSeconds", func(wld *world) { wld.pass(8 * time.Second) }},
	{"takeover", (*world).takeOver},
	{"agentRestarts", (*world).restartAgent},
	{"workerReborn", (*world).rebirth},
}

func (wld *world) step(mov move) {
	mov.do(wld)
	for _, cal := range wld.host.Calls() {
		wld.calls = append(wld.calls, sentCall{Call: cal, token: wld.session})
	}
}

// digest sums up what can be seen of a world, to count different states.
func (wld *world) digest() string {
	out, _ := wld.owner.Outbox("a", wld.host.Session(), 0)
	return fmt.Sprint(wld.stored["j"], wld.epoch, out, wld.host.Report("a", wld.now), wld.calls, wld.late, wld.worker.life, wld.worker.runs,
		wld.worker.ended, wld.worker.settled, wld.worker.lease.Sub(wld.now))
}

// enumeration plays all sequences of moves of a length after a prefix.
type enumeration struct {
	prefix    []move
	unfenced  bool
	sequences int
	states    map[string]bool
	faults    []string
}

func (enu *enumeration) play(path []int) {
	wld := newWorld()
	wld.unfenced = enu.unfenced
	for _, mov := range enu.prefix {
		wld.step(mov)
	}
	for _, num := range path {
		wld.step(moves[num])
		if wld.fault != "" {
			break
		}
	}
	enu.sequences++
	enu.states[wld.digest()] = true
	if wld.fault == "" {
		return
	}
	txt := wld.fault + ":"
	for _, num := range path {
		txt += " " + moves[num].name
	}
	enu.faults = append(enu.faults, txt)
}

func (enu *enumeration) run(path []int, depth int) {
	if depth == 0 {
		enu.play(path)
		return
	}
	for num := range moves {
		enu.run(append(slices.Clone(path), num), depth-1)
	}
}

// depth returns the length of the sequences: JACINTHPOST_DEPTH, or three, which takes seconds.
func depth() int {
	if num, err := strconv.Atoi(os.Getenv("JACINTHPOST_DEPTH")); err == nil && num > 0 {
		return num
	}
	return 3
}

func named(names ...string) []move {
	out := make([]move, 0, len(names))
	for _, name := range names {
		num := slices.IndexFunc(moves, func(mov move) bool { return mov.name == name })
		Expect(num).To(BeNumerically(">=", 0), name)
		out = append(out, moves[num])
	}
	return out
}

var _ = Describe("The protocol of owner, agent and worker", func() {
	// Guards against two runs of a task at one time, and a run after the task was done, by any
	// order of lost and late calls, restarts, lapses and takeovers.
	DescribeTable("has at most one run at work", func(prefix ...string) {
		enu := &enumeration{prefix: named(prefix...), states: make(map[string]bool)}
		enu.run(nil, depth())
		AddReportEntry(fmt.Sprintf("%d sequences, %d states", enu.sequences, len(enu.states)))
		Expect(enu.faults).To(BeEmpty())
	},
		Entry("from the start", "list", "report"),
		Entry("with a start ordered", "list", "report", "orders"),
		Entry("with a start whose outcome is unknown", "list", "report", "orders", "callLate"),
		Entry("with a start whose answer was lost", "list", "report", "orders", "callAnswerLost"),
		Entry("with a run at work", "list", "report", "orders", "call", "list", "report"),
		Entry("with a run at work and a silent agent", "list", "report", "orders", "call", "list", "threeSeconds", "threeSeconds"),
		Entry("with a run that was done, not noted", "list", "report", "orders", "call", "list", "runEnds", "list"),
		Entry("with a run at work and a new owner", "list", "report", "orders", "call", "list", "takeover", "eightSeconds"),
		Entry("with a run at work and a restarted agent", "list", "report", "orders", "call", "list", "agentRestarts"),
		Entry("with a late start and a restarted agent", "list", "report", "orders", "callLate", "agentRestarts", "list", "report"),
	)

	It("completes the job when nothing goes wrong", func() {
		wld := newWorld()
		for _, mov := range named("list", "report", "orders", "call", "list", "runEnds", "list", "report", "list") {
			wld.step(mov)
		}
		Expect(wld.stored["j"].State).To(Equal(batch.JobCompleted))
		Expect(wld.worker.settled).To(BeTrue())
	})

	// The model must be able to show a fault: without tokens, a start of a former agent
	// process that arrives late runs beside the one of its successor.
	It("finds two runs when the worker does not check tokens", func() {
		enu := &enumeration{prefix: named("list", "report", "orders", "callLate", "agentRestarts", "list", "report"), unfenced: true, states: make(map[string]bool)}
		enu.run(nil, 3)
		Expect(enu.faults).To(ContainElement(ContainSubstring("2 runs at work")))
	})

	It("counts two runs at work as a fault", func() {
		wld := newWorld()
		wld.worker.runs = map[batch.RunID]bool{{Task: batch.TaskID{Job: "j"}, Run: 9}: true}
		wld.worker.known = map[batch.RunID]bool{}
		cal := batchhost.Call{Kind: batchhost.CallStart, ID: batch.RunID{Task: batch.TaskID{Job: "j"}, Run: 1}, Life: wld.worker.name(), LeaseEnd: wld.clock() + time.Second}
		wld.perform(sentCall{Call: cal, token: wld.session})
		Expect(wld.fault).NotTo(BeEmpty())
	})
})
