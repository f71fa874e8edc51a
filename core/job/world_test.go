package job_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"jacinthpost/core/fleet"
	"jacinthpost/core/job"
	"jacinthpost/core/lease"
	"jacinthpost/core/partition"
	"jacinthpost/core/resource"
	"jacinthpost/core/token"
)

// The model runs two owners of one partition, two instances and a network that
// delays, reorders, loses and duplicates messages. Time advances in steps that
// fall between the ends of leases: a task lease covers three steps, a partition
// lease one step, and a takeover needs three.
const (
	step      = 3 * time.Second
	taskLease = 10 * time.Second
)

// rules are the rules of the processes around the core. A broken variant
// switches one off, to show that the checker finds the fault.
type rules struct {
	ignorePartitionLease bool // an owner grants after its partition lease
	earlyRelease         bool // effects are released before their records are durable
	shortTakeover        bool // a new owner counts open leases from the epoch of the clock
	forgetClaims         bool // an agent leaves unanswered claims out of its adoption answer
	sharedTokens         bool // a new owner reuses the epoch of the former one
	unfencedLog          bool // a former owner can still append

	rerun job.Rerun // setting of the job's class, which breaks nothing
}

// message is one message in the network. Messages stay until they are delivered.
type message struct {
	kind   string
	owner  int // index of the owner concerned
	agent  int
	sentAt time.Time
	inc    fleet.Incarnation
	task   job.Task
	ref    job.Ref
	grant  bool
	refs   []job.Ref
	held   []job.Ref // renewed in one step
	end    job.End
	key    string // all of the above, for the fingerprint
}

func (wld *world) post(msg message) {
	msg.key = fmt.Sprintf("%s %d %d %d %d %v %v %t %v %v %v", msg.kind, msg.owner, msg.agent, msg.sentAt.Unix(), msg.inc,
		msg.ref, msg.task.Ref(), msg.grant, msg.refs, msg.held, msg.end)
	wld.net = append(wld.net, msg)
}

type owner struct {
	part     *job.Partition[*job.SimplePlacement]
	epoch    int // zero before the takeover
	dead     bool
	leaseEnd time.Time
	pending  []job.Record
	held     []held
	durable  uint64
}

// held is an effect with the message that caused it.
type held struct {
	eff job.Effect
	req message
}

// run is a task at a worker.
type run struct {
	ref     job.Ref
	until   time.Time
	from    string
	end     job.End
	ended   bool
	unacked bool
}

type agent struct {
	inc    fleet.Incarnation
	claims map[job.Ref]claim
	runs   []run
}

// claim is an accepted offer until its task has reached the worker.
type claim struct {
	owner   int
	task    job.Task
	granted bool
}

type world struct {
	rules   rules
	now     time.Time
	renewed time.Time // last confirmed renewal of the partition row
	epoch   int
	log     []job.Record
	owners  [2]owner
	agents  [2]agent
	net     []message
	budget  map[string]int
	broken  string
	// finished counts the runs to the end of each task, retried what operators have repeated.
	finished [3]int
	retried  int
}

var start = time.Unix(1_000_000, 0)

func holder(idx int, inc fleet.Incarnation) fleet.Process {
	return fleet.NewProcess(fleet.InstanceID(rune('x'+idx)), inc)
}

func (wld *world) env(own *owner) job.Env {
	end := own.leaseEnd
	if wld.rules.ignorePartitionLease {
		end = wld.now.Add(time.Hour)
	}
	return job.NewEnv(wld.now, end, func(fleet.DataCentre) bool { return true })
}

func (wld *world) hints() []job.Instance {
	var list []job.Instance
	for idx := range wld.agents {
		list = append(list, job.NewInstance(holder(idx, wld.agents[idx].inc), fleet.NewLocation("r", "d", "k"), resource.New(1000, 1000, 0), job.Alive))
	}
	return list
}

// newWorld returns a world in which owner 0 has a job with the given number of tasks.
func newWorld(rul rules, tasks int) *world {
	wld := &world{rules: rul, now: start, budget: map[string]int{"duplicate": 1, "agentCrash": 1, "instanceCrash": 1, "evict": 2, "cancel": 1, "reclaim": 2, "retry": 1}}
	for idx := range wld.agents {
		wld.agents[idx] = agent{inc: 1, claims: map[job.Ref]claim{}}
	}
	wld.takeOver(0)
	spc := job.NewSpec(job.KindBuild, tasks, resource.New(600, 600, 0)).WithKey("c", "k").WithClass("", taskLease).WithRerun(rul.rerun)
	own := &wld.owners[0]
	wld.collect(0, own.part.Submit(wld.env(own), 0, spc), message{})
	wld.flush(0)
	return wld
}

func (wld *world) clone() *world {
	cpy := *wld
	cpy.log, cpy.net, cpy.budget = slices.Clone(wld.log), slices.Clone(wld.net), maps.Clone(wld.budget)
	for idx := range cpy.owners {
		own := &cpy.owners[idx]
		if own.part != nil {
			own.part = job.Clone(own.part)
		}
		own.pending, own.held = slices.Clone(own.pending), slices.Clone(own.held)
	}
	for idx := range cpy.agents {
		agt := &cpy.agents[idx]
		agt.claims, agt.runs = maps.Clone(agt.claims), slices.Clone(agt.runs)
	}
	return &cpy
}

func (wld *world) fail(format string, args ...any) {
	if wld.broken == "" {
		wld.broken = fmt.Sprintf(format, args...)
	}
}

func (wld *world) takeOver(idx int) {
	wld.epoch++
	own := &wld.owners[idx]
	*own = owner{part: job.New(&job.SimplePlacement{}, job.DefaultLimits()), epoch: wld.epoch}
	own.leaseEnd = lease.HolderEnd(wld.now, partition.LeaseTime)
	wld.renewed = wld.now
	own.part.Replay(wld.log)
	own.durable = own.part.Recorded()
	own.part.Observe(wld.env(own), wld.hints())
	env, epoch := wld.env(own), wld.epoch
	if wld.rules.shortTakeover {
		env = job.NewEnv(start.Add(-time.Hour), own.leaseEnd, func(fleet.DataCentre) bool { return true })
	}
	if wld.rules.sharedTokens {
		epoch = 1
	}
	wld.collect(idx, own.part.TakeOver(env, uint64(epoch)), message{})
	wld.tick(idx)
}

func (wld *world) tick(idx int) {
	if own := &wld.owners[idx]; own.part != nil && !own.dead {
		wld.collect(idx, own.part.Observe(wld.env(own), wld.hints()), message{})
		wld.collect(idx, own.part.Tick(wld.env(own)), message{})
	}
}

// collect takes in the output of the core for the request that caused it.
func (wld *world) collect(idx int, out *job.Output, req message) {
	own := &wld.owners[idx]
	own.pending = append(own.pending, out.Records()...)
	for _, eff := range out.Effects() {
		own.held = append(own.held, held{eff: eff, req: req})
	}
	wld.release(idx)
}

// release sends the effects whose records are durable.
func (wld *world) release(idx int) {
	own := &wld.owners[idx]
	var kept []held
	for _, hld := range own.held {
		if hld.eff.After() > own.durable && !wld.rules.earlyRelease {
			kept = append(kept, hld)
			continue
		}
		wld.send(idx, hld)
	}
	own.held = kept
}

func (wld *world) send(idx int, hld held) {
	msg := message{owner: idx, agent: hld.req.agent, sentAt: hld.req.sentAt, inc: hld.req.inc, ref: hld.req.ref, held: hld.req.held}
	switch eff := hld.eff.(type) {
	case job.Offer:
		msg.kind, msg.agent, msg.task = "offer", agentIndex(eff.To().Instance()), eff.Task()
	case job.ClaimReply:
		msg.kind, msg.grant = "claimReply", eff.Granted()
	case job.RenewReply:
		msg.kind, msg.grant, msg.refs = "renewReply", len(eff.Grants()) > 0 || eff.Agreed(), stopRefs(eff.Stops())
	case job.ReportReply:
		msg.kind, msg.refs = "reportReply", eff.Recorded()
	case job.Stop:
		msg.kind, msg.agent, msg.refs = "stop", agentIndex(eff.To()), stopRefs(eff.Orders())
	case job.Adopt:
		msg.kind, msg.agent = "adopt", agentIndex(eff.To())
	default:
		return
	}
	wld.post(msg)
}

func agentIndex(ins fleet.InstanceID) int { return int(ins[0] - 'x') }

func stopRefs(orders []job.StopOrder) []job.Ref {
	var refs []job.Ref
	for _, ord := range orders {
		refs = append(refs, ord.Ref())
	}
	return refs
}

// flush writes the pending records of an owner. A fenced owner loses its state.
func (wld *world) flush(idx int) {
	own := &wld.owners[idx]
	if own.epoch != wld.epoch && !wld.rules.unfencedLog {
		own.dead, own.pending, own.held = true, nil, nil
		return
	}
	for _, rec := range own.pending {
		wld.checkRecord(rec)
		wld.log = append(wld.log, rec)
	}
	own.durable += uint64(len(own.pending))
	own.pending = nil
	wld.release(idx)
}

// checkRecord checks a fact against the log: at most one open assignment, tokens
// that grow, one completion, and no further assignment after it.
func (wld *world) checkRecord(rec job.Record) {
	var last token.Token
	open, finished, lost, repeat := false, false, false, true
	for _, old := range wld.log {
		if old.Kind() == job.JobRetried {
			repeat = true
		}
		if old.Kind() == job.JobSubmitted || old.Kind() == job.JobCancelled || old.Ref().Index() != rec.Ref().Index() {
			continue
		}
		switch old.Kind() {
		case job.TaskAssigned:
			last, open = old.Ref().Token(), true
		case job.TaskEnded:
			open, lost = false, old.End().Kind() == job.EndLost
			repeat = !lost || wld.rules.rerun != job.RerunNever
			finished = finished || old.End().Kind() == job.EndFinished
		default:
		}
	}
	switch {
	case rec.Kind() == job.TaskAssigned && open:
		wld.fail("assigned while an assignment is open: %v", rec.Ref())
	case rec.Kind() == job.TaskAssigned && !repeat:
		wld.fail("assigned again although it may have run: %v", rec.Ref())
	case rec.Kind() == job.TaskAssigned && rec.Ref().Token().Compare(last) <= 0:
		wld.fail("token does not grow: %v", rec.Ref())
	case rec.Kind() == job.TaskEnded && rec.Ref().Token() != last:
		wld.fail("end with an outdated token: %v", rec.Ref())
	case rec.Kind() == job.TaskEnded && !open && !lost:
		wld.fail("second end of one assignment: %v", rec.Ref())
	case finished && (rec.Kind() == job.TaskAssigned || rec.Kind() == job.TaskEnded):
		wld.fail("%v after the completion: %v", rec.Kind(), rec.Ref())
	}
}

// recordedCheckpoint returns the last checkpoint recorded before the assignment.
func (wld *world) recordedCheckpoint(ref job.Ref) (string, bool) {
	checkpoint := ""
	for _, rec := range wld.log {
		if rec.Ref().Index() != ref.Index() {
			continue
		}
		switch rec.Kind() {
		case job.TaskAssigned:
			if rec.Ref() == ref {
				return checkpoint, true
			}
		case job.TaskEnded, job.TaskCheckpointed:
			if rec.End().Checkpoint() != "" {
				checkpoint = rec.End().Checkpoint()
			}
		default:
		}
	}
	return "", false
}

// check checks that no task runs twice and that each start resumed from the recorded checkpoint.
func (wld *world) check() {
	live := map[int]int{}
	for idx := range wld.agents {
		for _, run := range wld.agents[idx].runs {
			if run.ended || !wld.now.Before(run.until) {
				continue
			}
			live[run.ref.Index()]++
			if want, recorded := wld.recordedCheckpoint(run.ref); !recorded || want != run.from {
				wld.fail("%v runs from %q, recorded %t %q", run.ref, run.from, recorded, want)
			}
		}
	}
	for task, num := range live {
		if num > 1 {
			wld.fail("task %d runs %d times", task, num)
		}
	}
	for task, num := range wld.finished {
		if wld.rules.rerun == job.RerunNever && num > 1+wld.retried {
			wld.fail("task %d ran to its end %d times", task, num)
		}
	}
}

func (wld *world) fingerprint() []byte {
	buf := job.Put(nil, wld.now.Unix(), wld.renewed.Unix(), int64(wld.epoch), int64(len(wld.log)), int64(wld.finished[0]), int64(wld.retried))
	for _, kind := range budgets {
		buf = job.Put(buf, int64(wld.budget[kind]))
	}
	for idx := range wld.owners {
		own := &wld.owners[idx]
		buf = job.Put(buf, int64(own.epoch), job.Bit(own.dead), int64(own.durable), int64(len(own.pending)), int64(len(own.held)))
		if own.part != nil && !own.dead {
			buf = job.Fingerprint(buf, own.part)
		}
	}
	for idx := range wld.agents {
		agt := &wld.agents[idx]
		buf = job.Put(buf, int64(agt.inc))
		for _, ref := range sortedClaims(agt.claims) {
			clm := agt.claims[ref]
			buf = putRef(buf, ref, int64(clm.owner), job.Bit(clm.granted))
		}
		for _, run := range agt.runs {
			buf = putRef(buf, run.ref, -2, run.until.Unix(), int64(run.end.Kind()), job.Bit(run.ended), job.Bit(run.unacked))
			buf = append(buf, run.from...)
		}
	}
	msgs := make([]string, 0, len(wld.net))
	for _, msg := range wld.net {
		msgs = append(msgs, msg.key)
	}
	slices.Sort(msgs)
	return append(buf, strings.Join(msgs, ";")...)
}

var budgets = []string{"duplicate", "agentCrash", "instanceCrash", "evict", "cancel", "reclaim", "retry"}

func putRef(buf []byte, ref job.Ref, values ...int64) []byte {
	return job.Put(job.Put(buf, int64(ref.Index()), int64(ref.Token().Epoch()), int64(ref.Token().Sequence())), values...)
}

func sortedClaims(claims map[job.Ref]claim) []job.Ref {
	return slices.SortedFunc(maps.Keys(claims), func(one, two job.Ref) int { return one.Token().Compare(two.Token()) })
}
