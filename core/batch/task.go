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

// String formats the identity for logs.
func (tid TaskID) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", tid.Job, tid.Occurrence, tid.Step, tid.Index)
}

// RunID identifies one start of a task. Run numbers of a task rise.
type RunID struct {
	Task TaskID
	Run  int
}

// Life identifies one life of a worker: what it ran before is gone in the next life.
type Incarnation string

// TaskPhase is how far a task has come.
type TaskPhase int

// Phases of a task. Done and TaskFailed are final.
const (
	Waiting TaskPhase = iota
	Active
	Done
	TaskFailed
)

// EndCause is why a run ended.
type EndCause string

// Causes of ends.
const (
	EndDone           EndCause = "done"
	EndFailed         EndCause = "failed"
	EndStopped        EndCause = "stopped"
	EndLeaseExpired   EndCause = "lapsed"  // the worker's lease expired
	EndGangEnded      EndCause = "broken"  // another member of the gang ended
	EndGangIncomplete EndCause = "alone"   // the other members of the gang did not come in time
	EndLost           EndCause = "lost"    // the worker's life ended or its lease certainly expired
	EndRefused        EndCause = "refused" // the run never started and never will
)

// attempt is one run of a task that may be at work somewhere.
type attempt struct {
	run       int
	instance  fleet.InstanceID
	life      Incarnation
	orderedAt time.Time // when the start was decided
	confirmed bool      // the agent lists the run
	working   time.Time // when the run was first listed
	stopping  bool
	released  bool // the start order may have left this process
	percent   int
	figure    float64 // tail latency in ms of a serving task, otherwise mCPU in use
	overdue   bool
	slowSince time.Time // since when the pace keeps a filling task slow
}

// task is the state of one task.
type task struct {
	phase      TaskPhase
	run        int // highest run number given out
	failures   int
	checkpoint string
	attempts   []*attempt
	notBefore  time.Time
	failedOn   []fleet.InstanceID
}

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

// ready reports whether a start may be decided now.
func (tsk *task) ready(now time.Time) bool {
	return tsk.phase == Waiting && len(tsk.attempts) == 0 && !now.Before(tsk.notBefore)
}

func (tsk *task) failedAt(ins fleet.InstanceID) bool {
	for _, oth := range tsk.failedOn {
		if oth == ins {
			return true
		}
	}
	return false
}
