package batch

import (
	"fmt"
	"time"

	"jacinthpost/core/fleet"
)

// TaskID identifies a task of a job.
type TaskID struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// String formats the ID as JOB.OCCURRENCE.STEP.INDEX.
func (tid TaskID) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", tid.Job, tid.Occurrence, tid.Step, tid.Index)
}

// RunID identifies one run of a task. Each run of a task has a higher number than the one before.
type RunID struct {
	Task TaskID
	Run  int
}

// Incarnation identifies one incarnation of a worker. A new incarnation has none of the runs of the
// former one.
type Incarnation string

// TaskPhase is the phase of a task.
type TaskPhase int

// Phases of a task. Done and TaskFailed are final.
const (
	Waiting TaskPhase = iota
	Active
	Done
	TaskFailed
)

// EndCause is the reason why a run ended.
type EndCause string

// Reasons why a run ended.
const (
	EndDone           EndCause = "done"
	EndFailed         EndCause = "failed"
	EndStopped        EndCause = "stopped"
	EndLeaseExpired   EndCause = "lapsed"  // the worker's lease expired
	EndGangEnded      EndCause = "broken"  // another member of the gang ended
	EndGangIncomplete EndCause = "alone"   // the other members of the gang did not start in time
	EndLost           EndCause = "lost"    // the worker's incarnation ended or its lease certainly expired
	EndRefused        EndCause = "refused" // the run has not started and never will
)

// attempt is a run of a task that may be running on an instance.
type attempt struct {
	job            *jobState
	step           *stepState
	task           *task
	taskID         TaskID
	slot           int // index in the attempts of the instance
	run            int
	instance       fleet.InstanceID
	incarnation    Incarnation
	orderedAt      time.Time // when the start was decided, then when its order was released
	confirmed      bool      // the agent lists the run
	workingSince   time.Time // when the run was first listed
	stopping       bool
	released       bool // the start order may have been sent
	percent        int
	measurement    float64 // tail latency in ms of a serving task, otherwise CPU use in mCPU
	overdue        bool
	throttledSince time.Time // since when a best-effort task has been throttled
}

// task is the state of one task.
type task struct {
	phase      TaskPhase
	run        int // highest assigned run number
	failures   int // failed runs; of a gang, those that are counted at this member
	failedRun  int // number of the last run of a gang in which this member failed
	checkpoint string
	attempts   []*attempt
	notBefore  time.Time
	failedOn   []fleet.InstanceID
}

func (att *attempt) id() RunID { return RunID{Task: att.taskID, Run: att.run} }

func (tsk *task) find(run int) *attempt {
	for _, att := range tsk.attempts {
		if att.run == run {
			return att
		}
	}
	return nil
}

func (tsk *task) remove(att *attempt) {
	for num, oth := range tsk.attempts {
		if oth == att {
			tsk.attempts = append(tsk.attempts[:num], tsk.attempts[num+1:]...)
			return
		}
	}
}

// live returns the number of attempts that are not being stopped.
func (tsk *task) live() int {
	num := 0
	for _, att := range tsk.attempts {
		if !att.stopping {
			num++
		}
	}
	return num
}

// ready reports whether a run of the task may be assigned now.
func (tsk *task) ready(now time.Time) bool {
	return tsk.phase == Waiting && len(tsk.attempts) == 0 && !now.Before(tsk.notBefore)
}

func (tsk *task) failedOnInstance(ins fleet.InstanceID) bool {
	for _, oth := range tsk.failedOn {
		if oth == ins {
			return true
		}
	}
	return false
}
