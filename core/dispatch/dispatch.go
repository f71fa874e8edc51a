// Package dispatch makes the scheduling decisions of one process. It implements
// job.Placement on top of the instances, learned sizes and policies of core/place,
// the shares of core/quota, the attribution of failures in core/blame and the
// explanations of core/explain.
//
// Model: all partitions that the process owns share one Dispatcher, so that they
// share what is learned and do not offer the same free amounts twice. Each
// partition has a Placement, which records its commitments and releases them when
// the process loses the partition. Free amounts are hints: the answer of an agent
// corrects them, and a hint without a recent answer is raised again at a limited
// rate, because this process is not told when tasks of other owners end. An offer
// never exceeds the capacity of an instance less the commitments made here.
//
// Queue order: each team has an urgent and an ordinary lane. Urgent lanes come
// first, with one ordinary task after quota.UrgentStreakLimit urgent ones; within a
// kind, the team with the lowest use relative to its share comes first. A lane
// whose tasks fit on no instance comes last for the rest of a pass, so that it does
// not use up the attempts of the others.
//
// A data centre that returns to service takes commitments up to a fraction of its
// capacity, which grows to the whole over RampPeriod.
//
// Sizes: a task is offered with the size that its class is known to use, but at
// least the memory that an earlier attempt of the task used; its agent reserves
// exactly that. Resized records the agent's commitment when the agent corrects it
// or when a task is found running after a takeover.
//
// Interference: agents report how much their tasks slow down the service on the
// same instance. A class whose effect on a service is unknown is first tried with a
// few tasks. A service with almost no requests is not slowed down and yields no
// measurements, so an accepted offer there counts as weak evidence that the class
// is harmless; the first measurements under load outweigh it.
//
// Eviction: running tasks of this process may be evicted for a task that has found
// no instance for a while; core/place chooses them. They are stopped with a
// checkpoint, and their capacity is reserved for the waiting task for a short time.
// If this process has no task to evict for an urgent task, it asks other processes.
//
// Limits: the spread over racks and data centres counts only the commitments of
// this process; those of other owners show up as refusals. Learned sizes and costs
// are lost with the process. Memory is bounded by the number of instances, the
// number of commitments and the constants below. A Dispatcher must be used from one
// goroutine at a time, the control goroutine of the owner role.
package dispatch

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"jacinthpost/core/fleet"
	"jacinthpost/core/job"
	"jacinthpost/core/place"
	"jacinthpost/core/quota"
	"jacinthpost/core/resource"
)

// Bounds on records that are keyed by names from outside the process.
const (
	// trackedLimit bounds the subjects (jobs and tasks) whose failures are kept. The
	// parked tasks, the memory floors and the departed instances each have this bound too.
	trackedLimit = 4096
	// classLimit and teamLimit are the numbers of classes and teams with a record of
	// their own. Callers choose these names, so all further names share the record
	// of otherName.
	classLimit = 512
	teamLimit  = 1024
	otherName  = "(other)"
)

// Dispatcher holds the scheduling state of one process under the placement policy P.
type Dispatcher[P place.Policy] struct {
	sched            *place.Scheduler[P]
	now              time.Time      // of the latest event
	partitions       int            // of all processes
	known            []job.Instance // sorted by ID
	instances        map[fleet.InstanceID]*instanceView
	centres          []*centre // by name
	cursor           int       // position in known at which relax resumes
	relaxedAt        time.Time
	missed           bool // a task has found no instance since relaxedAt
	commitments      map[place.TaskID]*commitment
	placements       map[int]*Placement[P] // by partition
	chosen           place.Offer           // latest result of choose that is not committed
	withdrawn        place.TaskID          // task whose commitment was withdrawn last
	withdrawnSize    resource.Vector       // size of that commitment
	urgentStreak     int                   // urgent tasks chosen since the last attempt for an ordinary one
	misses           map[job.Lane]int      // failed choices at missAt
	missAt           time.Time
	demands          map[string]*demand // by demandKey
	reclaimedAt      time.Time
	roomRequests     []RoomRequest // to be sent to other processes
	roomRequestCount int           // since roomPeriodStart
	roomPeriodStart  time.Time
	reporter         quota.Reporter
	waiting          map[fleet.Team]waitingTask
	runTimes         map[fleet.JobClass]time.Duration
	shares           []Share // by team
	teams            nameSet[fleet.Team]
	classes          nameSet[fleet.JobClass]
	excluded         map[exclusion]time.Time // end of each exclusion
	jobs             boundedSet[string]
	parked           boundedSet[place.TaskID]
	departed         boundedSet[fleet.InstanceID]
	floors           memoryFloors
}

// commitment reserves amounts of an instance for one task.
type commitment struct {
	view      *instanceView
	class     fleet.JobClass
	size      resource.Vector
	partition int
	ref       job.Ref
	demandKey string // of the demand while the task waited
	team      fleet.Team
	since     time.Time
	fromStart bool // the task did not resume from a checkpoint
	accepted  bool
	evicted   bool // this process stops the task in favour of another
}

// New returns a dispatcher with a policy and the seed of its random choices.
// Partitions is the number of partitions of all processes together.
func New[P place.Policy](pol P, seed uint64, partitions int) *Dispatcher[P] {
	return &Dispatcher[P]{
		sched: place.NewScheduler(pol, seed), partitions: partitions,
		instances:   make(map[fleet.InstanceID]*instanceView),
		commitments: make(map[place.TaskID]*commitment),
		placements:  make(map[int]*Placement[P]),
		misses:      make(map[job.Lane]int),
		demands:     make(map[string]*demand),
		waiting:     make(map[fleet.Team]waitingTask),
		runTimes:    make(map[fleet.JobClass]time.Duration),
		excluded:    make(map[exclusion]time.Time),
	}
}

// Committed returns what the tasks committed by this process reserve on an instance.
func (dsp *Dispatcher[P]) Committed(id fleet.InstanceID) resource.Vector {
	if viw := dsp.instances[id]; viw != nil {
		return viw.pending.Plus(viw.accepted)
	}
	return resource.Vector{}
}

// owners returns the assumed number of owner processes: one per partition, but no
// more than there are instances.
func (dsp *Dispatcher[P]) owners() int64 { return int64(max(1, min(dsp.partitions, len(dsp.known)))) }

// Commitments returns the number of commitments.
func (dsp *Dispatcher[P]) Commitments() int { return len(dsp.commitments) }

func taskID(ref job.Ref) place.TaskID {
	return place.TaskID(string(ref.Job()) + "/" + strconv.Itoa(ref.Index()))
}

// request converts a task to the form of core/place. The due time is the latest
// start that meets the deadline with the mean run time of the class.
func (dsp *Dispatcher[P]) request(tsk job.Task) place.Task {
	spc := tsk.Spec()
	req := place.NewTask(taskID(tsk.Ref()), string(tsk.Ref().Job()), dsp.teams.canonical(spc.Team(), teamLimit),
		dsp.classes.canonical(spc.Class(), classLimit), spc.Resources())
	if spc.Urgent() {
		req = req.Urgent()
	}
	if spc.Deadline() != 0 {
		req = req.Due(time.UnixMilli(spc.Deadline()).Add(-dsp.runTime(spc.Class())))
	}
	return req.Evicted(tsk.Counters().Evictions()).Restarts(!spc.Checkpointable()).AtLeast(dsp.floors.of(req.ID()))
}

// choose returns the instance for a task and false if there is none. The caller
// passes the choice on to commit if it makes the offer.
func (dsp *Dispatcher[P]) choose(tsk job.Task, starts func(fleet.DataCentre) bool, now time.Time) (fleet.InstanceID, bool) {
	dsp.now = now
	dsp.relax()
	dsp.openCentres(starts)
	req := dsp.request(tsk)
	dsp.unpark(req)
	off, found := place.Offer{}, false
	dsp.hintRoom(req)
	if dsp.mayUse(req) {
		off, found = dsp.sched.Choose(req, dsp.instanceFilter(req.Class(), tsk.Spec().Service()), now)
		if !found {
			dsp.addDemand(req, tsk.Spec())
		}
	}
	dsp.recordChoice(tsk.Spec(), found)
	if !found {
		dsp.missed = true
		dsp.recordWaiting(req.Team(), req.Declared())
		return "", false
	}
	dsp.chosen = off
	return off.Instance(), true
}

// commit records the commitment for an offer that choose returned. Any other task
// was found running after a takeover: its agent has already accepted it, and its
// declared size counts until Resized is called.
func (dsp *Dispatcher[P]) commit(tsk job.Task, id fleet.InstanceID, partition int) bool {
	viw := dsp.instances[id]
	req := dsp.request(tsk)
	off, offered := dsp.chosen, dsp.chosen.Task().ID() == req.ID() && dsp.chosen.Instance() == id
	if !offered {
		off = place.NewOffer(req, id, tsk.Spec().Resources())
	}
	dsp.chosen = place.Offer{}
	if viw == nil || !dsp.sched.Commit(off, dsp.now) {
		return false
	}
	com := &commitment{view: viw, class: req.Class(), size: off.Size(), partition: partition, ref: tsk.Ref(), since: dsp.now,
		fromStart: offered && tsk.Checkpoint() == "", demandKey: demandKey(req, laneOf(tsk.Spec())), team: req.Team()}
	dsp.commitments[req.ID()] = com
	viw.pending = viw.pending.Plus(com.size)
	viw.centre.committed += com.size.MilliCPU()
	dsp.track(string(tsk.Ref().Job()))
	if !offered {
		dsp.accept(req.ID(), com, dsp.reportedFree(viw).Minus(com.size))
	}
	return true
}

// accept records that the agent has reserved the size of the commitment. Free is what
// the agent has left.
func (dsp *Dispatcher[P]) accept(id place.TaskID, com *commitment, free resource.Vector) {
	viw := com.view
	com.accepted = true
	dsp.removeDemand(com.demandKey)
	delete(dsp.waiting, com.team)
	viw.pending, viw.accepted = viw.pending.Minus(com.size), viw.accepted.Plus(com.size)
	dsp.sched.Accepted(id, viw.clamp(free))
}

// release removes a commitment that the scheduler has already removed.
func (dsp *Dispatcher[P]) release(id place.TaskID, com *commitment) {
	delete(dsp.commitments, id)
	viw := com.view
	if com.accepted {
		viw.accepted = viw.accepted.Minus(com.size)
	} else {
		viw.pending = viw.pending.Minus(com.size)
	}
	viw.centre.committed -= com.size.MilliCPU()
	if !viw.present && viw.idle() {
		delete(dsp.instances, viw.hint.ID())
	}
	dsp.check(viw)
}

func (dsp *Dispatcher[P]) check(viw *instanceView) {
	if !viw.pending.Valid() || !viw.accepted.Valid() || viw.centre.committed < 0 {
		panic(fmt.Sprintf("dispatch: instance %s has %v pending, %v accepted, centre %s uses %d",
			viw.hint.ID(), viw.pending, viw.accepted, viw.centre.name, viw.centre.committed))
	}
}

// withdraw removes the commitment of a task that has not run.
func (dsp *Dispatcher[P]) withdraw(id place.TaskID) {
	if com := dsp.commitments[id]; com != nil {
		dsp.withdrawn, dsp.withdrawnSize = id, com.size
		dsp.sched.Withdraw(id)
		dsp.release(id, com)
	}
}

// Used records the current usage of a running task, from which the sizes of its
// class are learned.
func (dsp *Dispatcher[P]) Used(ref job.Ref, used resource.Vector, now time.Time) {
	if used != (resource.Vector{}) {
		dsp.sched.ObserveUsage(taskID(ref), used, now)
	}
}

// track records that the scheduler may keep failures of a job or a task, and makes
// it forget the oldest beyond trackedLimit.
func (dsp *Dispatcher[P]) track(name string) {
	dsp.jobs.add(name, trackedLimit, func(old string) bool { return dsp.sched.Forget(old) })
}

// boundedSet is a set of keys in the order of insertion whose size add bounds.
type boundedSet[K comparable] struct {
	order []K
	known map[K]struct{}
}

// add inserts a key if it is missing. While the set exceeds the limit, add removes
// the oldest key if drop allows it and moves it to the end otherwise. It tries at
// most 8 keys, which bounds the cost of a call.
func (set *boundedSet[K]) add(name K, limit int, drop func(K) bool) {
	if _, found := set.known[name]; found {
		return
	}
	if set.known == nil {
		set.known = make(map[K]struct{})
	}
	set.known[name] = struct{}{}
	set.order = append(set.order, name)
	for tries := 0; len(set.order) > limit && tries < 8; tries++ {
		oldest := set.order[0]
		set.order = slices.Delete(set.order, 0, 1)
		if drop(oldest) {
			delete(set.known, oldest)
			continue
		}
		set.order = append(set.order, oldest)
	}
}

// remove deletes a key and reports whether it was in the set.
func (set *boundedSet[K]) remove(name K) bool {
	if _, found := set.known[name]; !found {
		return false
	}
	delete(set.known, name)
	set.order = slices.DeleteFunc(set.order, func(oth K) bool { return oth == name })
	return true
}

// nameSet bounds the number of different names that callers can introduce.
type nameSet[N ~string] struct {
	known map[N]struct{}
}

// canonical returns the name, adding it if there is space, or otherName if the set
// is full.
func (set *nameSet[N]) canonical(name N, limit int) N {
	if _, found := set.known[name]; found {
		return name
	}
	if len(set.known) >= limit {
		return otherName
	}
	if set.known == nil {
		set.known = make(map[N]struct{})
	}
	set.known[name] = struct{}{}
	return name
}
