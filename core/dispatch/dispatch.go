// Package dispatch makes the scheduling decisions of one process: it implements
// job.Placement from the instances, learned sizes and policies of core/place, the
// shares of core/quota, the judgement of failures of core/blame and the reasons
// of core/explain.
//
// Model: all partitions that the process owns share one Dispatcher, so that they
// share what is learned and do not offer the same free amounts twice. Each
// partition has a Part, which remembers its commitments and gives them back when
// the partition is lost. Free amounts are hints: the answer of an agent corrects
// them, and a hint that the process has no newer answer for is relaxed slowly,
// because the tasks of other owners end without notice. The bookkeeping never
// offers more than the capacity of an instance less the commitments made here.
//
// Queue order: a lane is a team and whether its tasks are urgent. Urgent lanes
// go first, with one ordinary task after quota.UrgentRow urgent ones, then the
// team that uses least for its share. A lane whose tasks fit nowhere goes last
// for the rest of a pass, so that it does not use up the tries of the others.
//
// A data centre that returns takes commitments up to a part of its capacity that
// grows over RampPeriod.
//
// Sizes: a task is offered with the size that its class is known to use, at
// least what an earlier attempt of the task used, and its agent reserves exactly
// that. When the agent corrects the commitment of a running task, or a task is
// found running after a takeover, Resized takes in what the agent has committed.
//
// Interference: agents report how much their tasks slow down the service beside
// them. A class that is not known beside a service is tried with a few tasks
// first. Services with next to no requests can't be disturbed and don't measure
// anything, so an accepted offer there counts as weak evidence that the class is
// harmless; the first measurements under load outweigh it.
//
// Eviction: a task that finds no instance for a while may take room from running
// tasks of this process; core/place chooses them. They are stopped with a
// checkpoint and the room is kept for the waiting task for a short time.
//
// When this process has none to stop for an urgent task, other processes are asked.
//
// Limits: spread counts the commitments of this process only; other owners are
// seen through refusals. What is learned is lost with the process.
// Memory is bounded by the number of instances, the commitments, and the
// constants below. A Dispatcher must be used from one goroutine at a time: the
// control goroutine of the owner role.
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

// Bounds of what is kept by name.
const (
	// trackedLimit is the number of jobs, and of single tasks, whose failures are remembered.
	trackedLimit = 4096
	// classLimit and teamLimit are the numbers of names with a record of their
	// own. Callers choose these names, so further ones share a record.
	classLimit = 512
	teamLimit  = 1024
	otherName  = "(other)"
)

// Dispatcher holds the scheduling state of one process under the placement policy P.
type Dispatcher[P place.Policy] struct {
	sched      *place.Scheduler[P]
	now        time.Time // of the latest event
	partitions int
	list       []job.Instance
	instances  map[fleet.InstanceID]*instanceView
	centres    []*centre // by name
	cursor     int       // where the next relaxation of hints begins
	relaxed    time.Time
	missed     bool // a task found no instance since the last relaxation
	holds      map[place.TaskID]*hold
	parts      map[int]*Placement[P]
	chosen     place.Offer
	undone     place.TaskID    // the latest withdrawal
	freed      resource.Vector // what it had committed
	row        int             // urgent tasks chosen since an ordinary one was tried
	misses     map[job.Lane]int
	missAt     time.Time
	demands    map[string]*demand // of tasks that find no instance
	reclaimed  time.Time
	asks       []RoomRequest // to be sent to other processes
	asked      int           // since askedAt
	askedAt    time.Time
	reporter   quota.Reporter
	wants      map[fleet.Team]want // of teams with waiting tasks
	runTimes   map[fleet.JobClass]time.Duration
	shares     []Share // by team
	teams      names[fleet.Team]
	classes    names[fleet.JobClass]
	excluded   map[pairing]time.Time // until when a class is not placed on an instance
	jobs       tracked[string]
	parked     tracked[place.TaskID]
	left       tracked[fleet.InstanceID]
	floors     floors
}

// hold is the commitment of one task to an instance.
type hold struct {
	view     *instanceView
	class    fleet.JobClass
	size     resource.Vector
	part     int
	ref      job.Ref
	demand   string // name of its demand while it waited
	team     fleet.Team
	since    time.Time
	whole    bool // the task runs from its beginning
	accepted bool
	evicted  bool // this process stops the task for another one
}

// New returns a dispatcher with a policy and the seed of its random choices.
// The partitions are those of all processes.
func New[P place.Policy](pol P, seed uint64, partitions int) *Dispatcher[P] {
	return &Dispatcher[P]{
		sched: place.NewScheduler(pol, seed), partitions: partitions,
		instances: make(map[fleet.InstanceID]*instanceView),
		holds:     make(map[place.TaskID]*hold),
		parts:     make(map[int]*Placement[P]),
		misses:    make(map[job.Lane]int), demands: make(map[string]*demand), wants: make(map[fleet.Team]want), runTimes: make(map[fleet.JobClass]time.Duration), excluded: make(map[pairing]time.Time),
	}
}

// Committed returns what the tasks committed by this process reserve on an instance.
func (dsp *Dispatcher[P]) Committed(id fleet.InstanceID) resource.Vector {
	if viw := dsp.instances[id]; viw != nil {
		return viw.pending.Plus(viw.accepted)
	}
	return resource.Vector{}
}

// owners returns the number of processes that share the partitions.
func (dsp *Dispatcher[P]) owners() int64 { return int64(max(1, min(dsp.partitions, len(dsp.list)))) }

// Holds returns the number of commitments.
func (dsp *Dispatcher[P]) Commitments() int { return len(dsp.holds) }

func taskID(ref job.Ref) place.TaskID {
	return place.TaskID(string(ref.Job()) + "/" + strconv.Itoa(ref.Index()))
}

// request translates a task for core/place.
func (dsp *Dispatcher[P]) request(tsk job.Task) place.Task {
	spc := tsk.Spec()
	req := place.NewTask(taskID(tsk.Ref()), string(tsk.Ref().Job()), dsp.teams.bound(spc.Team(), teamLimit),
		dsp.classes.bound(spc.Class(), classLimit), spc.Resources())
	if spc.Urgent() {
		req = req.Urgent()
	}
	if spc.Deadline() != 0 {
		req = req.Due(time.UnixMilli(spc.Deadline()).Add(-dsp.runTime(spc.Class())))
	}
	return req.Evicted(tsk.Counters().Evictions()).Restarts(!spc.Checkpointable()).AtLeast(dsp.floors.of(req.ID()))
}

// choose returns the instance for a task.
func (dsp *Dispatcher[P]) choose(tsk job.Task, starts func(fleet.DataCentre) bool, now time.Time) (fleet.InstanceID, bool) {
	dsp.now = now
	dsp.relax()
	dsp.openCentres(starts)
	req := dsp.request(tsk)
	dsp.unpark(req)
	off, found := place.Offer{}, false
	dsp.tryRoom(req)
	if dsp.mayUse(req) {
		off, found = dsp.sched.Choose(req, dsp.accepts(req.Class(), tsk.Spec().Service()), now)
		if !found {
			dsp.want(req, tsk.Spec())
		}
	}
	dsp.tried(tsk.Spec(), found)
	if !found {
		dsp.missed = true
		dsp.waits(req.Team(), req.Declared())
		return "", false
	}
	dsp.chosen = off
	return off.Instance(), true
}

// commit takes in an offer, or a task found running after a takeover, which its
// agent has accepted and whose size is the declared one until Resized tells.
func (dsp *Dispatcher[P]) commit(tsk job.Task, id fleet.InstanceID, part int) bool {
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
	hol := &hold{view: viw, class: req.Class(), size: off.Size(), part: part, ref: tsk.Ref(), since: dsp.now,
		whole: offered && tsk.Checkpoint() == "", demand: demandKey(req, laneOf(tsk.Spec())), team: req.Team()}
	dsp.holds[req.ID()] = hol
	viw.pending = viw.pending.Plus(hol.size)
	viw.centre.used += hol.size.MilliCPU()
	dsp.track(string(tsk.Ref().Job()))
	if !offered {
		dsp.accept(req.ID(), hol, dsp.reported(viw).Minus(hol.size))
	}
	return true
}

// accept notes that the agent has reserved the amounts; free is what it has left.
func (dsp *Dispatcher[P]) accept(id place.TaskID, hol *hold, free resource.Vector) {
	viw := hol.view
	hol.accepted = true
	dsp.met(hol.demand)
	delete(dsp.wants, hol.team)
	viw.pending, viw.accepted = viw.pending.Minus(hol.size), viw.accepted.Plus(hol.size)
	dsp.sched.Accepted(id, viw.clamp(free))
}

// release ends the bookkeeping of a commitment that the scheduler has taken off.
func (dsp *Dispatcher[P]) release(id place.TaskID, hol *hold) {
	delete(dsp.holds, id)
	viw := hol.view
	if hol.accepted {
		viw.accepted = viw.accepted.Minus(hol.size)
	} else {
		viw.pending = viw.pending.Minus(hol.size)
	}
	viw.centre.used -= hol.size.MilliCPU()
	if !viw.present && viw.idle() {
		delete(dsp.instances, viw.hint.ID())
	}
	dsp.check(viw)
}

func (dsp *Dispatcher[P]) check(viw *instanceView) {
	if !viw.pending.Valid() || !viw.accepted.Valid() || viw.centre.used < 0 {
		panic(fmt.Sprintf("dispatch: instance %s has %v pending, %v accepted, centre %s uses %d",
			viw.hint.ID(), viw.pending, viw.accepted, viw.centre.name, viw.centre.used))
	}
}

// withdraw undoes a commitment without a result.
func (dsp *Dispatcher[P]) withdraw(id place.TaskID) {
	if hol := dsp.holds[id]; hol != nil {
		dsp.undone, dsp.freed = id, hol.size
		dsp.sched.Withdraw(id)
		dsp.release(id, hol)
	}
}

// Used takes in the present usage of a running task, from which the sizes of its class are learned.
func (dsp *Dispatcher[P]) Used(ref job.Ref, used resource.Vector, now time.Time) {
	if used != (resource.Vector{}) {
		dsp.sched.ObserveUsage(taskID(ref), used, now)
	}
}

// track remembers that failures of a job or a task may be on record, and drops the oldest beyond the bound.
func (dsp *Dispatcher[P]) track(name string) {
	dsp.jobs.add(name, trackedLimit, func(old string) bool { return dsp.sched.Forget(old) })
}

// tracked holds names in the order of their first use, up to a bound.
type tracked[K comparable] struct {
	order []K
	known map[K]struct{}
}

// add notes a name. Beyond the bound it removes the oldest for which drop
// succeeds; it tries a few, so that the cost of one call is bounded.
func (tra *tracked[K]) add(name K, limit int, drop func(K) bool) {
	if _, found := tra.known[name]; found {
		return
	}
	if tra.known == nil {
		tra.known = make(map[K]struct{})
	}
	tra.known[name] = struct{}{}
	tra.order = append(tra.order, name)
	for tries := 0; len(tra.order) > limit && tries < 8; tries++ {
		oldest := tra.order[0]
		tra.order = slices.Delete(tra.order, 0, 1)
		if drop(oldest) {
			delete(tra.known, oldest)
			continue
		}
		tra.order = append(tra.order, oldest)
	}
}

// remove takes a name out and reports whether it was there.
func (tra *tracked[K]) remove(name K) bool {
	if _, found := tra.known[name]; !found {
		return false
	}
	delete(tra.known, name)
	tra.order = slices.DeleteFunc(tra.order, func(oth K) bool { return oth == name })
	return true
}

// names bounds a set of names that callers choose.
type names[N ~string] struct {
	known map[N]struct{}
}

// bound returns the name, or otherName when the set is full of others.
func (nam *names[N]) bound(name N, limit int) N {
	if _, found := nam.known[name]; found {
		return name
	}
	if len(nam.known) >= limit {
		return otherName
	}
	if nam.known == nil {
		nam.known = make(map[N]struct{})
	}
	nam.known[name] = struct{}{}
	return name
}
