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

// The model consists of two owners of one partition, two instances and a network that delays, reorders,
// loses and duplicates messages. Time advances in steps that do not coincide with the ends of leases:
// a task lease covers three steps, a partition lease one step, and a takeover needs three.
const (
	step      = 3 * time.Second
	taskLease = 10 * time.Second
)

// variant configures the processes around the core. Each of the first six fields breaks one of their
// rules, to show that the checker finds the resulting violation.
type variant struct {
	ignorePartitionLease bool // an owner grants after the end of its partition lease
	earlyRelease         bool // effects are released before their records are durable
	shortTakeover        bool // a new owner counts open leases from an hour before the start
	forgetClaims         bool // an agent leaves unanswered claims out of its adoption answer
	sharedTokens         bool // a new owner reuses the epoch of the former one
	unfencedLog          bool // a former owner can still append

	rerun job.Rerun // setting of the job's class
}

// message is one message, which stays in the network until it is delivered. The kind determines which
// fields are set.
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

func (mdl *model) post(msg message) {
	msg.key = fmt.Sprintf("%s %d %d %d %d %v %v %t %v %v %v", msg.kind, msg.owner, msg.agent, msg.sentAt.Unix(), msg.inc,
		msg.ref, msg.task.Ref(), msg.grant, msg.refs, msg.held, msg.end)
	mdl.net = append(mdl.net, msg)
}

type owner struct {
	part     *job.Partition[*job.SimplePlacement]
	epoch    int // zero before the takeover
	dead     bool
	leaseEnd time.Time
	pending  []job.Record
	effects  []pendingEffect
	durable  uint64
}

// pendingEffect is an effect that is not released yet, with the message that caused it.
type pendingEffect struct {
	effect  job.Effect
	request message
}

// run is an execution of a task at a worker, kept after its end.
type run struct {
	ref            job.Ref
	leaseEnd       time.Time
	checkpoint     string
	end            job.End
	ended          bool
	unacknowledged bool
}

type agent struct {
	inc    fleet.Incarnation
	claims map[job.Ref]claim
	runs   []run
}

// claim is an accepted offer whose task has not reached the worker yet.
type claim struct {
	owner   int
	task    job.Task
	granted bool
}

type model struct {
	variant   variant
	now       time.Time
	renewed   time.Time // last confirmed renewal of the partition row
	epoch     int
	log       []job.Record
	owners    [2]owner
	agents    [2]agent
	net       []message
	budget    map[string]int
	violation string
	// finished counts the completed runs of each task and retried the retries by operators.
	finished [3]int
	retried  int
}

var start = time.Unix(1_000_000, 0)

func holder(idx int, inc fleet.Incarnation) fleet.Process {
	return fleet.NewProcess(fleet.InstanceID(rune('x'+idx)), inc)
}

func (mdl *model) env(own *owner) job.Env {
	end := own.leaseEnd
	if mdl.variant.ignorePartitionLease {
		end = mdl.now.Add(time.Hour)
	}
	return job.NewEnv(mdl.now, end, func(fleet.DataCentre) bool { return true })
}

func (mdl *model) instances() []job.Instance {
	var list []job.Instance
	for idx := range mdl.agents {
		list = append(list, job.NewInstance(holder(idx, mdl.agents[idx].inc), fleet.NewLocation("r", "d", "k"), resource.New(1000, 1000, 0), job.Alive))
	}
	return list
}

// newModel returns a model in which owner 0 has recorded a job with the given number of tasks.
func newModel(vrt variant, tasks int) *model {
	mdl := &model{variant: vrt, now: start, budget: map[string]int{"duplicate": 1, "agentCrash": 1, "instanceCrash": 1, "evict": 2, "cancel": 1, "reclaim": 2, "retry": 1}}
	for idx := range mdl.agents {
		mdl.agents[idx] = agent{inc: 1, claims: map[job.Ref]claim{}}
	}
	mdl.takeOver(0)
	spc := job.NewSpec(job.KindBuild, tasks, resource.New(600, 600, 0)).WithKey("c", "k").WithClass("", taskLease).WithRerun(vrt.rerun)
	own := &mdl.owners[0]
	mdl.collect(0, own.part.Submit(mdl.env(own), 0, spc), message{})
	mdl.flush(0)
	return mdl
}

func (mdl *model) clone() *model {
	cpy := *mdl
	cpy.log, cpy.net, cpy.budget = slices.Clone(mdl.log), slices.Clone(mdl.net), maps.Clone(mdl.budget)
	for idx := range cpy.owners {
		own := &cpy.owners[idx]
		if own.part != nil {
			own.part = job.Clone(own.part)
		}
		own.pending, own.effects = slices.Clone(own.pending), slices.Clone(own.effects)
	}
	for idx := range cpy.agents {
		agt := &cpy.agents[idx]
		agt.claims, agt.runs = maps.Clone(agt.claims), slices.Clone(agt.runs)
	}
	return &cpy
}

func (mdl *model) fail(format string, args ...any) {
	if mdl.violation == "" {
		mdl.violation = fmt.Sprintf(format, args...)
	}
}

func (mdl *model) takeOver(idx int) {
	mdl.epoch++
	own := &mdl.owners[idx]
	*own = owner{part: job.New(&job.SimplePlacement{}, job.DefaultLimits()), epoch: mdl.epoch}
	own.leaseEnd = lease.HolderEnd(mdl.now, partition.LeaseTime)
	mdl.renewed = mdl.now
	own.part.Replay(mdl.log)
	own.durable = own.part.Recorded()
	own.part.Observe(mdl.env(own), mdl.instances())
	env, epoch := mdl.env(own), mdl.epoch
	if mdl.variant.shortTakeover {
		env = job.NewEnv(start.Add(-time.Hour), own.leaseEnd, func(fleet.DataCentre) bool { return true })
	}
	if mdl.variant.sharedTokens {
		epoch = 1
	}
	mdl.collect(idx, own.part.TakeOver(env, uint64(epoch)), message{})
	mdl.tick(idx)
}

func (mdl *model) tick(idx int) {
	if own := &mdl.owners[idx]; own.part != nil && !own.dead {
		mdl.collect(idx, own.part.Observe(mdl.env(own), mdl.instances()), message{})
		mdl.collect(idx, own.part.Tick(mdl.env(own)), message{})
	}
}

// collect adds the output of the core to the pending records and effects. The request req caused it.
func (mdl *model) collect(idx int, out *job.Output, req message) {
	own := &mdl.owners[idx]
	own.pending = append(own.pending, out.Records()...)
	for _, eff := range out.Effects() {
		own.effects = append(own.effects, pendingEffect{effect: eff, request: req})
	}
	mdl.release(idx)
}

// release sends the effects whose records are durable.
func (mdl *model) release(idx int) {
	own := &mdl.owners[idx]
	var kept []pendingEffect
	for _, pnd := range own.effects {
		if pnd.effect.After() > own.durable && !mdl.variant.earlyRelease {
			kept = append(kept, pnd)
			continue
		}
		mdl.send(idx, pnd)
	}
	own.effects = kept
}

func (mdl *model) send(idx int, pnd pendingEffect) {
	msg := message{owner: idx, agent: pnd.request.agent, sentAt: pnd.request.sentAt, inc: pnd.request.inc, ref: pnd.request.ref, held: pnd.request.held}
	switch eff := pnd.effect.(type) {
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
	mdl.post(msg)
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
func (mdl *model) flush(idx int) {
	own := &mdl.owners[idx]
	if own.epoch != mdl.epoch && !mdl.variant.unfencedLog {
		own.dead, own.pending, own.effects = true, nil, nil
		return
	}
	for _, rec := range own.pending {
		mdl.checkRecord(rec)
		mdl.log = append(mdl.log, rec)
	}
	own.durable += uint64(len(own.pending))
	own.pending = nil
	mdl.release(idx)
}

// checkRecord checks a new record against the log: a task has at most one open assignment, strictly
// growing tokens, one completion and no assignment after it.
func (mdl *model) checkRecord(rec job.Record) {
	var last token.Token
	open, finished, lost, repeat := false, false, false, true
	for _, old := range mdl.log {
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
			repeat = !lost || mdl.variant.rerun != job.RerunNever
			finished = finished || old.End().Kind() == job.EndFinished
		default:
		}
	}
	switch {
	case rec.Kind() == job.TaskAssigned && open:
		mdl.fail("assigned while an assignment is open: %v", rec.Ref())
	case rec.Kind() == job.TaskAssigned && !repeat:
		mdl.fail("assigned again although it may have run: %v", rec.Ref())
	case rec.Kind() == job.TaskAssigned && rec.Ref().Token().Compare(last) <= 0:
		mdl.fail("token does not grow: %v", rec.Ref())
	case rec.Kind() == job.TaskEnded && rec.Ref().Token() != last:
		mdl.fail("end with an outdated token: %v", rec.Ref())
	case rec.Kind() == job.TaskEnded && !open && !lost:
		mdl.fail("second end of one assignment: %v", rec.Ref())
	case finished && (rec.Kind() == job.TaskAssigned || rec.Kind() == job.TaskEnded):
		mdl.fail("%v after the completion: %v", rec.Kind(), rec.Ref())
	}
}

// recordedCheckpoint returns the last checkpoint recorded before an assignment, and false if the
// assignment is not recorded.
func (mdl *model) recordedCheckpoint(ref job.Ref) (string, bool) {
	checkpoint := ""
	for _, rec := range mdl.log {
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

// check checks that no task has two live runs, that each run started from the recorded checkpoint, and
// that a task that must not run again completes once.
func (mdl *model) check() {
	live := map[int]int{}
	for idx := range mdl.agents {
		for _, run := range mdl.agents[idx].runs {
			if run.ended || !mdl.now.Before(run.leaseEnd) {
				continue
			}
			live[run.ref.Index()]++
			if want, recorded := mdl.recordedCheckpoint(run.ref); !recorded || want != run.checkpoint {
				mdl.fail("%v runs from %q, recorded %t %q", run.ref, run.checkpoint, recorded, want)
			}
		}
	}
	for task, num := range live {
		if num > 1 {
			mdl.fail("task %d runs %d times", task, num)
		}
	}
	for task, num := range mdl.finished {
		if mdl.variant.rerun == job.RerunNever && num > 1+mdl.retried {
			mdl.fail("task %d ran to its end %d times", task, num)
		}
	}
}

func (mdl *model) fingerprint() []byte {
	buf := job.Put(nil, mdl.now.Unix(), mdl.renewed.Unix(), int64(mdl.epoch), int64(len(mdl.log)), int64(mdl.finished[0]), int64(mdl.retried))
	for _, kind := range budgetKinds {
		buf = job.Put(buf, int64(mdl.budget[kind]))
	}
	for idx := range mdl.owners {
		own := &mdl.owners[idx]
		buf = job.Put(buf, int64(own.epoch), job.Bit(own.dead), int64(own.durable), int64(len(own.pending)), int64(len(own.effects)))
		if own.part != nil && !own.dead {
			buf = job.Fingerprint(buf, own.part)
		}
	}
	for idx := range mdl.agents {
		agt := &mdl.agents[idx]
		buf = job.Put(buf, int64(agt.inc))
		for _, ref := range sortedClaims(agt.claims) {
			clm := agt.claims[ref]
			buf = putRef(buf, ref, int64(clm.owner), job.Bit(clm.granted))
		}
		for _, run := range agt.runs {
			buf = putRef(buf, run.ref, -2, run.leaseEnd.Unix(), int64(run.end.Kind()), job.Bit(run.ended), job.Bit(run.unacknowledged))
			buf = append(buf, run.checkpoint...)
		}
	}
	msgs := make([]string, 0, len(mdl.net))
	for _, msg := range mdl.net {
		msgs = append(msgs, msg.key)
	}
	slices.Sort(msgs)
	return append(buf, strings.Join(msgs, ";")...)
}

var budgetKinds = []string{"duplicate", "agentCrash", "instanceCrash", "evict", "cancel", "reclaim", "retry"}

func putRef(buf []byte, ref job.Ref, values ...int64) []byte {
	return job.Put(job.Put(buf, int64(ref.Index()), int64(ref.Token().Epoch()), int64(ref.Token().Sequence())), values...)
}

func sortedClaims(claims map[job.Ref]claim) []job.Ref {
	return slices.SortedFunc(maps.Keys(claims), func(one, two job.Ref) int { return one.Token().Compare(two.Token()) })
}
