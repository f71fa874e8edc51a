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
	Offered  Phase = iota // resources are reserved, and the claim is not answered
	Starting              // the owner granted the lease, and the worker has not confirmed the start
	Running
	Stopping // a stop was ordered and is not confirmed
	Ended    // the task no longer runs, and the owner has not recorded the end
	Recorded // the owner recorded the end, and the worker still has a record
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
	EndLost         EndKind = "lost" // the worker lost the task before it finished
)

// Spec is a task as the owner offers it.
type Spec struct {
	ref               worker.Ref
	partition         int
	owner             string
	kind              string
	class             fleet.JobClass
	urgent            bool
	resources         resource.Vector
	payload           []byte
	checkpoint        string
	notCheckpointable bool // it restarts from the beginning after each stop
	priorSlowdown     float64
	priorWeight       float64
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

// WithPayload returns the task with the payload for the worker and the checkpoint to resume from.
func (spc Spec) WithPayload(payload []byte, checkpoint string) Spec {
	spc.payload, spc.checkpoint = payload, checkpoint
	return spc
}

// WithCheckpoints returns the task with whether it can resume from a checkpoint.
func (spc Spec) WithCheckpoints(checkpointable bool) Spec {
	spc.notCheckpointable = !checkpointable
	return spc
}

// WithPrior returns the task with the slowdown that the owner expects its class to
// cause to the service on the instance, and the weight of the evidence for it.
func (spc Spec) WithPrior(slowdown, weight float64) Spec {
	spc.priorSlowdown, spc.priorWeight = slowdown, weight
	return spc
}

// task is the state of one assignment.
type task struct {
	spec           Spec
	ref            worker.Ref
	partition      int
	phase          Phase
	expires        time.Time // when the offer expires
	retryAt        time.Time // when to retry the claim, start or stop that failed
	claimPending   bool      // a claim is unanswered
	claimSent      bool      // a claim was sent
	claimUncertain bool      // a claim failed, so it may have been granted
	startPending   bool      // a start order is unanswered
	stopPending    bool      // a stop order is unanswered
	checkpoint     bool      // the stop takes a checkpoint
	evicted        bool      // the stop was not ordered by the owner
	mayBeAtWorker  bool      // the worker may have a record of it
	startOrders    int       // number of start orders sent

	lease            time.Duration
	leaseEnd         time.Time // by the agent's clock
	deadline         worker.Instant
	startIncarnation fleet.Incarnation
	extendAt         time.Time
	runningSince     time.Time // when the worker was first known to run it, zero before
	detail           string

	corrected          resource.Vector // commitment adjusted to the usage, zero before the first adjustment
	peak               resource.Vector // highest usage, scaled to full speed
	speedPercent       int             // ordered by Throttle, zero for full speed
	speedChangedAt     time.Time       // time of the last change of the speed, zero for none
	speedConfirmed     bool            // the worker has confirmed speedPercent
	lastReport         worker.TaskReport
	lastSent           Status // last status sent with a renewal
	leaseSetGeneration uint64 // generation of the partition in which the owner last granted it individually
	end                End
	endedAt            time.Time
}

// checkpointMargin is how long before the end of the lease the task is stopped with a checkpoint.
func (tsk *task) checkpointMargin() time.Duration {
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

// Ref returns the assignment that ended.
func (end End) Ref() worker.Ref { return end.ref }

// Kind returns how the assignment ended.
func (end End) Kind() EndKind { return end.kind }

// Checkpoint returns the last checkpoint, empty when there is none.
func (end End) Checkpoint() string { return end.checkpoint }

// Result returns the result of a finished task.
func (end End) Result() []byte { return end.result }

// Detail returns an explanation for humans.
func (end End) Detail() string { return end.detail }

// Evicted reports whether the agent stopped the task without an order of its owner.
func (end End) Evicted() bool { return end.evicted }

// Status is the state of an assignment as the agent sees it.
type Status struct {
	ref            worker.Ref
	phase          Phase
	class          fleet.JobClass
	urgent         bool
	resources      resource.Vector
	usage          resource.Vector
	peak           resource.Vector
	longRunning    bool // it has run for at least longRunTime
	progress       int
	checkpoint     string
	runningSince   time.Time
	priorSlowdown  float64
	priorWeight    float64
	speedConfirmed bool
}

// Ref returns the assignment that the status describes.
func (sta Status) Ref() worker.Ref { return sta.ref }

// Phase returns the phase of the assignment.
func (sta Status) Phase() Phase { return sta.phase }

// Class returns the class of the job.
func (sta Status) Class() fleet.JobClass { return sta.class }

// Urgent reports whether the task is urgent. It is false for tasks of an earlier agent process.
func (sta Status) Urgent() bool { return sta.urgent }

// Resources returns the resources committed to the task.
func (sta Status) Resources() resource.Vector { return sta.resources }

// Usage returns the resources in use according to the last worker report.
func (sta Status) Usage() resource.Vector { return sta.usage }

// Peak returns the highest usage seen by this agent process, scaled to full speed.
func (sta Status) Peak() resource.Vector { return sta.peak }

// Prior returns the slowdown that the owner expects the class to cause to the
// service on the instance, and the weight of the evidence for it.
func (sta Status) Prior() (slowdown, weight float64) { return sta.priorSlowdown, sta.priorWeight }

// SpeedConfirmed reports whether the worker has confirmed the latest order of Throttle. Before the first
// one the speed is unknown, because an earlier agent process may have throttled the task.
func (sta Status) SpeedConfirmed() bool { return sta.speedConfirmed }

// Progress returns the progress in percent.
func (sta Status) Progress() int { return sta.progress }

// Checkpoint returns the last checkpoint, empty when there is none.
func (sta Status) Checkpoint() string { return sta.checkpoint }

// RunningSince returns when the worker was first known to run the task, zero if it is not known to run.
func (sta Status) RunningSince() time.Time { return sta.runningSince }

// Thresholds for including a changed status in a renewal. Smaller changes are not
// sent, because each takes a hundred bytes and the owner's estimates of usage do not
// need them.
const (
	progressStep      = 5 // percentage points
	cpuStepDivisor    = 8 // 1/8 of the peak last sent
	memoryStepDivisor = 32
	// longRunTime is the run time after which the usage is sent once more, so that the
	// owner's estimates include long-running tasks with constant usage.
	longRunTime = 20 * time.Second
)

// changed reports whether a status differs enough from the one last sent to be sent again.
func (sta Status) changed(sent Status) bool {
	return sta.checkpoint != sent.checkpoint || absDifference(sta.progress, sent.progress) >= progressStep ||
		sta.progress == 100 && sent.progress != 100 ||
		roseBy(sta.peak.MilliCPU(), sent.peak.MilliCPU(), cpuStepDivisor) ||
		roseBy(sta.peak.MemoryMB(), sent.peak.MemoryMB(), memoryStepDivisor) ||
		sta.peak.Accelerators() > sent.peak.Accelerators() || sta.longRunning && !sent.longRunning
}

// roseBy reports whether a value has risen by at least 1/divisor of the value last sent.
func roseBy(val, sent, divisor int64) bool { return val > sent && (val-sent)*divisor >= sent }

func absDifference[N int | int64](one, two N) N { return max(one-two, two-one) }

// latestCheckpoint returns the checkpoint to resume from, empty if the task would
// start from the beginning.
func (tsk *task) latestCheckpoint() string {
	if cpt := tsk.lastReport.Checkpoint(); cpt != "" && !tsk.spec.notCheckpointable {
		return cpt
	}
	return tsk.spec.checkpoint
}

func (tsk *task) status() Status {
	cpt := tsk.latestCheckpoint()
	return Status{
		ref: tsk.ref, phase: tsk.phase, class: tsk.spec.class, urgent: tsk.spec.urgent,
		resources: tsk.committed(tsk.spec.resources), usage: tsk.lastReport.Usage(), peak: tsk.peak,
		priorSlowdown: tsk.spec.priorSlowdown, priorWeight: tsk.spec.priorWeight,
		progress: tsk.lastReport.Progress(), checkpoint: cpt, runningSince: tsk.runningSince, speedConfirmed: tsk.speedConfirmed,
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

// Unrecorded returns the number of assignments whose end the owner has not recorded.
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

// markEnded records the end of an assignment. The caller has proof that it neither
// runs nor can start.
func (run *Runner) markEnded(tsk *task, knd EndKind, detail string, now time.Time) {
	if tsk.detail != "" {
		detail = tsk.detail + ": " + detail
	}
	cpt := tsk.latestCheckpoint()
	tsk.phase, tsk.endedAt = Ended, now
	tsk.end = End{ref: tsk.ref, kind: knd, checkpoint: cpt, result: tsk.lastReport.Result(), detail: detail, evicted: tsk.evicted}
	run.ledger.Release(tsk.ref)
	run.partition(tsk.partition).reportNoLaterThan(now)
}
