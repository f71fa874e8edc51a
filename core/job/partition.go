package job

import (
	"cmp"
	"slices"
	"time"

	"jacinthpost/core/fleet"
	"jacinthpost/core/lease"
	"jacinthpost/core/token"
)

// Timing of the owner.
const (
	// AnswerTimeout ends an offer without an answer; it is short because an
	// urgent task starts within 1.1 s even if its first instance is dead.
	AnswerTimeout = 400 * time.Millisecond
	// ClaimTimeout ends an offer that was accepted but not claimed.
	ClaimTimeout = 2 * time.Second
	// TickPeriod is how often Tick has to be called while Busy, for offers to end in time.
	TickPeriod = AnswerTimeout / 4
	// AdoptPeriod is how often an instance that did not answer Adopt is asked again.
	AdoptPeriod = 2 * time.Second
	// CheckpointPeriod bounds how often the checkpoint of a running task is recorded.
	CheckpointPeriod = time.Minute
	// DrainPercent is the share of the tasks in a data centre taken out that is moved every DrainPeriod.
	DrainPercent = 5
	DrainPeriod  = time.Second
	removePeriod = 10 * time.Second
)

// Bounds of one pass over the queue.
const (
	maxOffers = 64 // outstanding offers of a partition
	maxTries  = 64 // tasks without a fitting instance in one pass
	// maxRemoved bounds the jobs removed at a time, and with them the size of a batch of records.
	maxRemoved = 256
)

// Limits bound the state of a partition.
type Limits struct {
	queued       int
	jobs         int
	payloadBytes int
	retention    time.Duration
}

// NewLimits returns the bounds on waiting tasks, known jobs, payload bytes of
// jobs that have not ended, and how long ended jobs stay known.
func NewLimits(queued, jobs, payloadBytes int, retention time.Duration) Limits {
	return Limits{queued: queued, jobs: jobs, payloadBytes: payloadBytes, retention: retention}
}

// DefaultLimits returns bounds for 64 partitions at 8,300 jobs a day: about 130
// jobs a day and partition, kept for a week, and the tasks of a day in the queue.
func DefaultLimits() Limits { return NewLimits(20_000, 4_096, 16<<20, 7*24*time.Hour) }

// Env is what an event needs to know about its time.
type Env struct {
	now      time.Time
	leaseEnd time.Time
	starts   func(fleet.DataCentre) bool
}

// NewEnv returns the time of an event, the end of the partition lease of the
// owner and whether tasks may start in a data centre now.
func NewEnv(now, leaseEnd time.Time, starts func(fleet.DataCentre) bool) Env {
	return Env{now: now, leaseEnd: leaseEnd, starts: starts}
}

func (env Env) owns() bool { return env.now.Before(env.leaseEnd) }

// Partition is the state of one partition under the placement policy P.
type Partition[P Placement] struct {
	placement P
	limits    Limits
	jobs      map[ID]*entry
	order     []*entry // by submission
	queue     *lanes[*task]
	delayed   []delay
	active    []*task // tasks with an offer or an assignment, and some that have ended
	offers    int
	payload   int
	submitted uint64
	recorded  uint64
	epoch     uint64
	sequence  uint64
	instances map[fleet.InstanceID]Instance
	groups    map[fleet.InstanceID]group
	out       map[fleet.DataCentre]int // tasks found there when the data centre was taken out
	drainAt   time.Time
	adoptAt   time.Time
	removeAt  time.Time
	lateAt    time.Time
	late      int
	evicted   int
}

// entry is one job.
type entry struct {
	id        ID
	spec      Spec
	digest    string
	order     uint64
	recorded  uint64 // number of the last record about the job
	cancelled bool
	waiting   string // why a task of the job has no instance yet
	endedAt   int64
	late      bool  // the deadline has passed while this process owned the job
	rank      int64 // orders the tasks within their lane, see rankOf
	tasks     []task
	// submittedAt is in Unix milliseconds.
	submittedAt int64
	counts      [stateCount]int
}

// task is one task of a job. Only volatile knowledge is in act.
type task struct {
	entry      *entry
	index      int32
	state      State
	open       bool // the assignment of the token may still end
	queued     bool
	listed     bool
	assigned   token.Token   // latest assignment
	holder     fleet.Process // of the latest assignment
	counters   Counters
	checkpoint string
	detail     string
	result     []byte
	act        *activity
}

// activity is the offer or the running assignment of a task.
type activity struct {
	token       token.Token
	holder      fleet.Process
	location    fleet.Location
	until       time.Time // end of the offer, or of the lease as the granter counts it; a group renewal may have moved it
	seen        string    // last checkpoint that the agent reported
	seenAt      time.Time
	progress    int
	stopping    string // why the task is evicted, empty for a drain
	unconfirmed bool   // taken over and not heard of since
}

type delay struct {
	until time.Time
	task  *task
}

// New returns an empty partition.
func New[P Placement](plc P, lim Limits) *Partition[P] {
	return &Partition[P]{
		placement: plc,
		limits:    lim,
		jobs:      make(map[ID]*entry),
		queue:     newLanes(compareTasks),
		instances: make(map[fleet.InstanceID]Instance),
		groups:    make(map[fleet.InstanceID]group),
		out:       make(map[fleet.DataCentre]int),
	}
}

func compareTasks(one, two *task) int {
	return cmp.Or(cmp.Compare(one.entry.rank, two.entry.rank), cmp.Compare(one.entry.order, two.entry.order), cmp.Compare(one.index, two.index))
}

// Recorded returns the number of the last record.
func (par *Partition[P]) Recorded() uint64 { return par.recorded }

// Queued returns the number of tasks that wait for an instance.
func (par *Partition[P]) Queued() int { return par.queue.len() + len(par.delayed) }

// Busy reports whether Tick has to be called each TickPeriod, because tasks wait
// for an answer or an instance or have to move. Otherwise a call every second will do.
func (par *Partition[P]) Busy() bool { return par.offers+par.Queued() > 0 || len(par.out) > 0 }

// Offers returns the number of outstanding offers.
func (par *Partition[P]) Offers() int { return par.offers }

// Placement returns the policy.
func (par *Partition[P]) Placement() P { return par.placement }

// Replay rebuilds the durable state from a snapshot and the records after it.
func (par *Partition[P]) Replay(recs []Record) {
	for _, rec := range recs {
		par.apply(rec)
	}
}

// TakeOver starts an epoch after Replay. The leases of open assignments are
// counted from now, because grants of the former owner are unknown, and their
// instances are asked what they still hold.
func (par *Partition[P]) TakeOver(env Env, epoch uint64) *Output {
	out := &Output{}
	par.epoch, par.sequence = epoch, 0
	for _, ent := range par.order {
		for idx := range ent.tasks {
			tsk := &ent.tasks[idx]
			if tsk.act == nil {
				continue
			}
			tsk.act.until = lease.GranterEnd(env.now, ent.spec.Lease())
			tsk.act.unconfirmed = true
			tsk.act.location = par.instances[tsk.holder.Instance()].location
			par.placement.Committed(tsk.view(), tsk.holder.Instance())
		}
	}
	par.adopt(env, out)
	return out
}

// adopt asks the instances of unconfirmed assignments what they hold.
func (par *Partition[P]) adopt(env Env, out *Output) {
	par.adoptAt = env.now
	var ids []fleet.InstanceID
	for _, tsk := range par.active {
		if tsk.act != nil && tsk.act.unconfirmed {
			ids = append(ids, tsk.act.holder.Instance())
		}
	}
	slices.Sort(ids)
	for _, ins := range slices.Compact(ids) {
		out.emit(Adopt{to: ins})
	}
}

// record emits a fact and applies it.
func (par *Partition[P]) record(out *Output, rec Record) {
	out.records = append(out.records, rec)
	par.apply(rec)
}

func (par *Partition[P]) find(ref Ref) *task {
	ent := par.jobs[ref.job]
	if ent == nil || ref.index < 0 || ref.index >= len(ent.tasks) {
		return nil
	}
	return &ent.tasks[ref.index]
}

// nextToken returns a token higher than all before it.
func (par *Partition[P]) nextToken() token.Token {
	par.sequence++
	return token.New(par.epoch, par.sequence)
}

func (tsk *task) ref(tok token.Token) Ref { return NewRef(tsk.entry.id, int(tsk.index), tok) }

// view returns the task as placements and agents see it.
func (tsk *task) view() Task {
	tok := tsk.assigned
	if tsk.act != nil {
		tok = tsk.act.token
	}
	return Task{ref: tsk.ref(tok), spec: tsk.entry.spec, counters: tsk.counters, checkpoint: tsk.checkpoint, last: tsk.holder.Instance()}
}

// setState moves a task to a state and keeps the queue and the counts in step.
func (par *Partition[P]) setState(tsk *task, sta State) {
	ent := tsk.entry
	if tsk.queued {
		par.queue.remove(par.placement.Lane(ent.spec), tsk)
		tsk.queued = false
	}
	switch tsk.state {
	case Offered:
		par.offers--
	case Running:
		par.leave(tsk)
	default:
	}
	ent.counts[tsk.state]--
	tsk.state = sta
	ent.counts[sta]++
	switch sta {
	case Queued:
		par.queue.push(par.placement.Lane(ent.spec), tsk)
		tsk.queued, tsk.act = true, nil
	case Offered:
		par.offers++
	case Running:
		par.join(tsk)
	case Assigned, Stopping:
	default:
		tsk.act = nil
	}
}

// activate gives a task an offer or an assignment.
func (par *Partition[P]) activate(tsk *task, act activity) {
	tsk.act = &act
	if !tsk.listed {
		tsk.listed = true
		par.active = append(par.active, tsk)
	}
}
