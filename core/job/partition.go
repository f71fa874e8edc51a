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
	// AnswerTimeout ends an offer without an answer. It is short because an urgent task must start
	// within 1.1 s even if the first instance it is offered to is dead.
	AnswerTimeout = 400 * time.Millisecond
	// ClaimTimeout ends an offer that was accepted but not claimed.
	ClaimTimeout = 2 * time.Second
	// TickPeriod is how often Tick has to be called while Busy, so that offers time out promptly.
	TickPeriod = AnswerTimeout / 4
	// AdoptPeriod is how often an instance that did not answer Adopt is asked again.
	AdoptPeriod = 2 * time.Second
	// CheckpointPeriod is the least time between two records of a running task's checkpoint.
	CheckpointPeriod = time.Minute
	// DrainPercent is the share of the tasks of a draining data centre that is stopped every DrainPeriod.
	DrainPercent = 5
	DrainPeriod  = time.Second
	removePeriod = 10 * time.Second
)

// Bounds of one pass over the queue.
const (
	maxOffers = 64 // outstanding offers of a partition
	maxTries  = 64 // tasks without a fitting instance in one pass
	// maxRemoved is the most jobs removed in one call, which bounds the size of a batch of records.
	maxRemoved = 256
)

// Limits bound the state of a partition.
type Limits struct {
	queued       int
	jobs         int
	payloadBytes int
	retention    time.Duration
}

// NewLimits returns the limits on queued tasks, stored jobs and payload bytes of jobs that have not
// ended, and the time for which ended jobs are kept.
func NewLimits(queued, jobs, payloadBytes int, retention time.Duration) Limits {
	return Limits{queued: queued, jobs: jobs, payloadBytes: payloadBytes, retention: retention}
}

// DefaultLimits returns limits for 64 partitions at 8,300 jobs a day: each partition receives about 130
// jobs a day, keeps them for a week and can queue the tasks of one day.
func DefaultLimits() Limits { return NewLimits(20_000, 4_096, 16<<20, 7*24*time.Hour) }

// Env is the context of an event: the time, the partition lease and the data centres open for starts.
type Env struct {
	now      time.Time
	leaseEnd time.Time
	starts   func(fleet.DataCentre) bool
}

// NewEnv returns the context of an event at a time. The owner's partition lease ends at leaseEnd, and
// starts reports whether tasks may start in a data centre now.
func NewEnv(now, leaseEnd time.Time, starts func(fleet.DataCentre) bool) Env {
	return Env{now: now, leaseEnd: leaseEnd, starts: starts}
}

func (env Env) owns() bool { return env.now.Before(env.leaseEnd) }

// Partition is the state of one partition under the placement policy P.
type Partition[P Placement] struct {
	placement     P
	limits        Limits
	jobs          map[ID]*entry
	order         []*entry // by submission, earliest first
	queue         *lanes[*task]
	delayed       []delay
	active        []*task // tasks with an offer or an assignment, and some that have ended
	offers        int
	payloadBytes  int
	submitted     uint64
	recorded      uint64
	epoch         uint64
	sequence      uint64 // of the last token
	instances     map[fleet.InstanceID]Instance
	groups        map[fleet.InstanceID]group
	draining      map[fleet.DataCentre]int // tasks in each draining data centre when the drain began
	drainedAt     time.Time
	adoptSentAt   time.Time
	removedAt     time.Time
	lateCheckedAt time.Time
	lateJobs      int
	evicted       int
}

// entry is one job.
type entry struct {
	id         ID
	spec       Spec
	digest     string
	order      uint64
	recorded   uint64 // number of the last record of the job
	cancelled  bool
	waitReason string // why a task of the job has not been assigned yet
	endedAt    int64
	late       bool  // the deadline passed unmet while this process owned the job
	rank       int64 // orders the tasks within their lane, see rankOf
	tasks      []task
	// submittedAt is in Unix milliseconds.
	submittedAt int64
	counts      [stateCount]int
}

// task is one task of a job. The fields act, queued and inActive are volatile, and a snapshot does not
// tell Offered from Queued or Running and Stopping from Assigned. All else is durable.
type task struct {
	entry      *entry
	index      int32
	state      State
	open       bool          // an end of the latest assignment is still accepted
	queued     bool          // in Partition.queue
	inActive   bool          // in Partition.active
	assigned   token.Token   // latest assignment
	holder     fleet.Process // of the latest assignment
	counters   Counters
	checkpoint string
	detail     string
	result     []byte
	act        *activity
}

// activity is the volatile state of a task that is offered or assigned.
type activity struct {
	token                token.Token
	holder               fleet.Process
	location             fleet.Location
	expiresAt            time.Time // end of the offer, or of the lease as the granter counts it; see expiry for group renewals
	checkpoint           string    // the last one that the agent reported
	checkpointRecordedAt time.Time
	progress             int
	evictReason          string // empty for a drain
	unconfirmed          bool   // found at the takeover and not yet confirmed by its agent
}

// delay is a failed task that waits for its retry.
type delay struct {
	notBefore time.Time
	task      *task
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
		draining:  make(map[fleet.DataCentre]int),
	}
}

func compareTasks(one, two *task) int {
	return cmp.Or(cmp.Compare(one.entry.rank, two.entry.rank), cmp.Compare(one.entry.order, two.entry.order), cmp.Compare(one.index, two.index))
}

// Recorded returns the number of the last record.
func (par *Partition[P]) Recorded() uint64 { return par.recorded }

// Queued returns the number of tasks that wait for an instance.
func (par *Partition[P]) Queued() int { return par.queue.len() + len(par.delayed) }

// Busy reports whether Tick has to be called every TickPeriod, because offers are open, tasks are queued
// or a data centre is draining. Otherwise one call a second suffices.
func (par *Partition[P]) Busy() bool { return par.offers+par.Queued() > 0 || len(par.draining) > 0 }

// Offers returns the number of outstanding offers.
func (par *Partition[P]) Offers() int { return par.offers }

// Placement returns the placement that the partition was created with.
func (par *Partition[P]) Placement() P { return par.placement }

// Replay rebuilds the durable state from a snapshot and the records after it.
func (par *Partition[P]) Replay(recs []Record) {
	for _, rec := range recs {
		par.apply(rec)
	}
}

// TakeOver starts an epoch after Replay. The leases of open assignments are counted from now, because
// the last grants of the former owner are unknown, and Adopt is sent to their instances.
func (par *Partition[P]) TakeOver(env Env, epoch uint64) *Output {
	out := &Output{}
	par.epoch, par.sequence = epoch, 0
	for _, ent := range par.order {
		for idx := range ent.tasks {
			tsk := &ent.tasks[idx]
			if tsk.act == nil {
				continue
			}
			tsk.act.expiresAt = lease.GranterEnd(env.now, ent.spec.Lease())
			tsk.act.unconfirmed = true
			tsk.act.location = par.instances[tsk.holder.Instance()].location
			par.placement.Committed(tsk.view(), tsk.holder.Instance())
		}
	}
	par.adopt(env, out)
	return out
}

// adopt sends Adopt to the instances of unconfirmed assignments.
func (par *Partition[P]) adopt(env Env, out *Output) {
	par.adoptSentAt = env.now
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

// record appends a record to the output and applies it to the state.
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

// view returns the description of the task for placements and agents.
func (tsk *task) view() Task {
	tok := tsk.assigned
	if tsk.act != nil {
		tok = tsk.act.token
	}
	return Task{ref: tsk.ref(tok), spec: tsk.entry.spec, counters: tsk.counters, checkpoint: tsk.checkpoint, lastInstance: tsk.holder.Instance()}
}

// setState changes the state of a task and updates the queue, the counts and the group with it.
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
		par.leaveGroup(tsk)
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
		par.joinGroup(tsk)
	case Assigned, Stopping:
	default:
		tsk.act = nil
	}
}

// activate sets the offer or assignment of a task and adds the task to the active list.
func (par *Partition[P]) activate(tsk *task, act activity) {
	tsk.act = &act
	if !tsk.inActive {
		tsk.inActive = true
		par.active = append(par.active, tsk)
	}
}
