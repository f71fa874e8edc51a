package runner

import (
	"slices"
	"time"

	"jacinthpost/core/fleet"
	"jacinthpost/core/resource"
	"jacinthpost/core/worker"
)

// Phase is the phase of an assignment at the agent.
type Phase int

// Phases in the order in which an assignment passes through them.
const (
	Offered  Phase = iota // resources are reserved, the claim is not answered
	Starting              // the owner granted the lease, the worker has not confirmed the start
	Running
	Stopping // a stop was ordered and is not confirmed
	Ended    // it runs no more, the owner has not recorded the end
	Recorded // the owner recorded the end, the worker still has the record
)

// EndKind is how an assignment ended.
type EndKind string

// Kinds of end.
const (
	EndFinished     EndKind = "finished"
	EndFailed       EndKind = "failed"
	EndCheckpointed EndKind = "checkpointed"
	EndStopped      EndKind = "stopped"
	EndNotStarted   EndKind = "notStarted"
	EndLost         EndKind = "lost" // the worker no longer has the task and has not finished it
)

// Spec is a task as the owner offers it.
type Spec struct {
	ref        worker.Ref
	partition  int
	owner      string
	kind       string
	class      fleet.JobClass
	urgent     bool
	resources  resource.Vector
	payload    []byte
	checkpoint string
	restarts   bool // it starts from the beginning after each stop
	cost       float64
	weight     float64
}

// NewSpec returns a task of a partition that the owner at an address offers.
func NewSpec(ref worker.Ref, partition int, owner string) Spec {
	return Spec{ref: ref, partition: partition, owner: owner}
}

// WithClass returns the task with its kind, its class and whether it is urgent.
func (spc Spec) WithClass(kind string, cla fleet.JobClass, urgent bool) Spec {
	spc.kind, spc.class, spc.urgent = kind, cla, urgent
	return spc
}

// WithResources returns the task with its resources.
func (spc Spec) WithResources(vec resource.Vector) Spec {
	spc.resources = vec
	return spc
}

// WithPayload returns the task with its work and the checkpoint to resume from.
func (spc Spec) WithPayload(payload []byte, checkpoint string) Spec {
	spc.payload, spc.checkpoint = payload, checkpoint
	return spc
}

// WithCheckpoints returns the task with whether it can resume from a checkpoint.
func (spc Spec) WithCheckpoints(checkpointable bool) Spec {
	spc.restarts = !checkpointable
	return spc
}

// WithPrior returns the task with the slowdown that the owner expects of its
// class beside the service of the instance, and the weight of its evidence.
func (spc Spec) WithPrior(cost, weight float64) Spec {
	spc.cost, spc.weight = cost, weight
	return spc
}

// task is one assignment.
type task struct {
	spec       Spec
	ref        worker.Ref
	partition  int
	phase      Phase
	expires    time.Time // of the offer
	retryAt    time.Time // of the claim, start or stop that failed
	claiming   bool      // a claim is not answered
	claimed    bool      // a claim was sent
	unsure     bool      // a claim got no answer, so it may have been granted
	starting   bool      // a start order is not answered
	stopping   bool      // a stop order is not answered
	checkpoint bool      // the stop takes a checkpoint
	evicted    bool      // the stop was not ordered by the owner
	touched    bool      // the worker may have a record
	orders     int       // start orders sent

	lease            time.Duration
	leaseEnd         time.Time // by the agent's clock
	deadline         worker.Instant
	startIncarnation fleet.Incarnation
	extendAt         time.Time
	confirmed        time.Time // when the worker was known to run it
	detail           string

	grown   resource.Vector // committed after a correction, zero before
	peak    resource.Vector // highest use at full speed
	speed   int             // percentage ordered by Throttle, zero for full speed
	slowed  time.Time       // latest change of the speed
	last    worker.TaskReport
	told    Status // last status sent with a renewal
	round   uint64 // round of the partition in which the owner granted it by itself
	end     End
	endedAt time.Time
}

// margin is how long before the end of the lease the task is checkpointed.
func (tsk *task) margin() time.Duration {
	if tsk.lease == 0 {
		return CheckpointMargin
	}
	return min(CheckpointMargin, tsk.lease/5)
}

// End is how an assignment ended.
type End struct {
	ref        worker.Ref
	kind       EndKind
	checkpoint string
	result     []byte
	detail     string
	evicted    bool
}

// Ref returns the assignment.
func (end End) Ref() worker.Ref { return end.ref }

// Kind returns how the assignment ended.
func (end End) Kind() EndKind { return end.kind }

// Checkpoint returns the last checkpoint, empty when there is none.
func (end End) Checkpoint() string { return end.checkpoint }

// Result returns the result of a finished task.
func (end End) Result() []byte { return end.result }

// Detail returns an explanation for people.
func (end End) Detail() string { return end.detail }

// Evicted reports whether the agent stopped the task without an order of its owner.
func (end End) Evicted() bool { return end.evicted }

// Status is the state of an assignment as the agent sees it.
type Status struct {
	ref        worker.Ref
	phase      Phase
	class      fleet.JobClass
	urgent     bool
	resources  resource.Vector
	usage      resource.Vector
	peak       resource.Vector
	settled    bool // it has run for newsSettled
	progress   int
	checkpoint string
	running    time.Time
	cost       float64
	weight     float64
}

// Ref returns the assignment.
func (sta Status) Ref() worker.Ref { return sta.ref }

// Phase returns the phase of the assignment.
func (sta Status) Phase() Phase { return sta.phase }

// Class returns the class of the job.
func (sta Status) Class() fleet.JobClass { return sta.class }

// Urgent reports whether the task is urgent; false for tasks found after a restart.
func (sta Status) Urgent() bool { return sta.urgent }

// Resources returns the resources committed to the task.
func (sta Status) Resources() resource.Vector { return sta.resources }

// Usage returns the resources in use, as measured some time ago.
func (sta Status) Usage() resource.Vector { return sta.usage }

// Peak returns the highest use seen by this agent process, as it would be at full speed.
func (sta Status) Peak() resource.Vector { return sta.peak }

// Prior returns the slowdown of the services beside it that the owner expects of
// the class, and the weight of its evidence.
func (sta Status) Prior() (cost, weight float64) { return sta.cost, sta.weight }

// Progress returns the progress in percent.
func (sta Status) Progress() int { return sta.progress }

// Checkpoint returns the last checkpoint, empty when there is none.
func (sta Status) Checkpoint() string { return sta.checkpoint }

// Running returns since when the worker is known to run the task, zero when it is not.
func (sta Status) RunningSince() time.Time { return sta.running }

// Changes that a renewal tells the owner. Smaller ones wait, because each costs a
// hundred bytes, and what the owner learns from usage does not need them.
const (
	newsProgress = 5 // percent of the work
	newsCPU      = 8 // parts of the highest use told before
	newsMemory   = 32
	// newsSettled is the run time after which the use is told once more, so that
	// the owner learns from tasks that run for long and use the same all the time.
	newsSettled = 20 * time.Second
)

// news reports whether the owner has to learn of a status after an earlier one.
func (sta Status) news(told Status) bool {
	return sta.checkpoint != told.checkpoint || distance(sta.progress, told.progress) >= newsProgress ||
		sta.progress == 100 && told.progress != 100 ||
		grown(sta.peak.MilliCPU(), told.peak.MilliCPU(), newsCPU) ||
		grown(sta.peak.MemoryMB(), told.peak.MemoryMB(), newsMemory) ||
		sta.peak.Accelerators() > told.peak.Accelerators() || sta.settled && !told.settled
}

// grown reports whether a peak has risen by a noticeable part of the one told.
func grown(val, told, parts int64) bool { return val > told && (val-told)*parts >= told }

func distance[N int | int64](one, two N) N { return max(one-two, two-one) }

// resumesFrom returns the last checkpoint, empty if the task starts from the beginning.
func (tsk *task) resumesFrom() string {
	if cpt := tsk.last.Checkpoint(); cpt != "" && !tsk.spec.restarts {
		return cpt
	}
	return tsk.spec.checkpoint
}

func (tsk *task) status() Status {
	cpt := tsk.resumesFrom()
	return Status{
		ref: tsk.ref, phase: tsk.phase, class: tsk.spec.class, urgent: tsk.spec.urgent,
		resources: tsk.committed(tsk.spec.resources), usage: tsk.last.Usage(), peak: tsk.peak,
		cost: tsk.spec.cost, weight: tsk.spec.weight,
		progress: tsk.last.Progress(), checkpoint: cpt, running: tsk.confirmed,
	}
}

// Tasks returns the assignments in the order of worker.Ref.
func (run *Runner) Tasks() []Status {
	res := make([]Status, 0, len(run.tasks))
	for _, tsk := range run.tasks {
		res = append(res, tsk.status())
	}
	return res
}

// Len returns the number of assignments that are not recorded as ended.
func (run *Runner) Unrecorded() int {
	num := 0
	for _, tsk := range run.tasks {
		if tsk.phase < Recorded {
			num++
		}
	}
	return num
}

func (run *Runner) search(ref worker.Ref) (int, bool) {
	return slices.BinarySearchFunc(run.tasks, ref, func(tsk *task, oth worker.Ref) int { return tsk.ref.Compare(oth) })
}

func (run *Runner) find(ref worker.Ref) *task {
	if pos, found := run.search(ref); found {
		return run.tasks[pos]
	}
	return nil
}

func (run *Runner) insert(tsk *task) {
	pos, _ := run.search(tsk.ref)
	run.tasks = slices.Insert(run.tasks, pos, tsk)
}

func (run *Runner) remove(tsk *task) {
	if pos, found := run.search(tsk.ref); found {
		run.tasks = slices.Delete(run.tasks, pos, pos+1)
	}
}

// end notes that an assignment certainly runs no more and cannot start.
func (run *Runner) end(tsk *task, knd EndKind, detail string, now time.Time) {
	if tsk.detail != "" {
		detail = tsk.detail + ": " + detail
	}
	cpt := tsk.resumesFrom()
	tsk.phase, tsk.endedAt = Ended, now
	tsk.end = End{ref: tsk.ref, kind: knd, checkpoint: cpt, result: tsk.last.Result(), detail: detail, evicted: tsk.evicted}
	run.account.Release(tsk.ref)
	run.partition(tsk.partition).reportBy(now)
}
