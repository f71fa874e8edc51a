package batch

import (
	"time"

	"jacinthpost/core/resource"
)

// Ordering decides which of two waiting steps is placed first.
type Ordering interface {
	Before(fst, snd Candidate) bool
}

// Candidate is a step with waiting tasks, with the data that an Ordering needs.
type Candidate struct {
	ID             string
	Priority       int
	Accepted       time.Time
	Started        bool          // a task of the job has started
	LongRunning    bool          // the tasks of the step don't end by themselves
	Deadline       time.Time     // a job that completes by then is on time
	WorthlessAfter time.Time     // the result of a job that completes later has no value
	Remaining      time.Duration // predicted time until the job is complete if its tasks start now
	Backlog        time.Duration // predicted time until the waiting best-effort tasks have been processed
	Now            time.Time
}

// Urgency tells what the result of a job will be worth. Lower values are more urgent.
type Urgency int

// Urgencies of jobs.
const (
	OnTime    Urgency = iota // the job can be on time
	Late                     // it will be late
	Worthless                // its result will have no value
)

// String returns the name of the urgency in the decision log.
func (urg Urgency) String() string { return [...]string{"onTime", "late", "worthless"}[urg] }

// urgency ignores the deadline of a long-running step. Its tasks are worth something only while they
// run, however late they start.
func (can Candidate) urgency() Urgency {
	if can.LongRunning {
		return OnTime
	}
	end := can.Now.Add(can.Remaining)
	switch {
	case !end.After(can.Deadline):
		return OnTime
	case !end.After(can.WorthlessAfter):
		return Late
	default:
		return Worthless
	}
}

// Slack with which a job is still on time after it has waited for one more instance, and after one
// or two of its tasks have failed or run longer than predicted. The larger of the two limits
// applies.
const (
	minSlack         = 1200 * time.Millisecond
	minSlackFraction = 0.25 // of the predicted time until the job completes
)

// hasSlack reports whether the job will be on time even if its tasks wait for better instances. The
// backlog counts against the slack, because CPU left idle now is missing when later jobs are due.
func (can Candidate) hasSlack() bool {
	slack := can.Deadline.Sub(can.Now.Add(can.Backlog + can.Remaining))
	return slack >= max(minSlack, time.Duration(minSlackFraction*float64(can.Remaining)))
}

// ArrivalOrder orders steps by priority and then by the time of acceptance.
type ArrivalOrder struct{}

// Before implements Ordering.
func (ArrivalOrder) Before(fst, snd Candidate) bool {
	if fst.Priority != snd.Priority {
		return fst.Priority < snd.Priority
	}
	if !fst.Accepted.Equal(snd.Accepted) {
		return fst.Accepted.Before(snd.Accepted)
	}
	return fst.ID < snd.ID
}

// DeadlineOrder orders steps by priority, then by urgency, then started jobs before others, then by
// deadline. In the backlog after a burst, the order of arrival would make every job late.
type DeadlineOrder struct{}

// Before implements Ordering.
func (DeadlineOrder) Before(fst, snd Candidate) bool {
	if fst.Priority != snd.Priority {
		return fst.Priority < snd.Priority
	}
	if one, two := fst.urgency(), snd.urgency(); one != two {
		return one < two
	}
	if fst.Started != snd.Started {
		return fst.Started
	}
	if !fst.Deadline.Equal(snd.Deadline) {
		return fst.Deadline.Before(snd.Deadline)
	}
	return fst.ID < snd.ID
}

// Placement chooses an instance for a task.
type Placement interface {
	// Fits reports whether a task may be placed on an instance. Interference is not set yet.
	Fits(asg Assignment, inf InstanceInfo) bool
	// Acceptable reports whether a task should be placed on an instance on which it fits. If not,
	// it waits for a better one.
	Acceptable(asg Assignment) bool
	// Cost returns the cost of placing a task on an instance on which it fits. The lowest cost
	// wins.
	Cost(asg Assignment, inf InstanceInfo) float64
}

// Assignment is a possible assignment of a task to an instance, with the data that a Placement
// needs.
type Assignment struct {
	Resources          resource.Vector
	MilliCPU           int64 // CPU use at full speed
	BestEffort         bool
	Serving            bool // has a latency target
	OtherServingImages int  // number of serving images on the instance other than the task's own
	// Local is set if the task runs at full speed on the instance: it is in the rack of the task's
	// data and of the tasks with which it is tightly coupled.
	Local        bool
	RemoteFactor float64 // factor on the run time when the instance is not local
	Starved      bool    // the occurrence has had no run for a while
	FailedBefore bool    // a run of the task has failed on the instance
	// Interference is the number of serving tasks that a best-effort task brings over their targets,
	// or the load that best-effort tasks put on a serving task.
	Interference float64
}

// InstanceInfo is the data about an instance that a Placement needs.
type InstanceInfo struct {
	Capacity         resource.Vector
	Free             resource.Vector
	BestEffortCPU    int64 // that best-effort tasks use at full speed
	ServingCPU       int64 // reserved by serving tasks
	BestEffortPaused bool  // best-effort tasks are paused to protect a serving task
}

// SpreadPlacement spreads tasks over the instances: best-effort tasks by idle CPU and away from
// serving tasks with which they would interfere, others by free CPU. Serving tasks are packed
// instead, and grouped by image. This leaves instances with no serving tasks or few serving images,
// so that each best-effort image finds instances on which it interferes little. The rules are made
// for noisy best-effort tasks beside services whose load fluctuates.
type SpreadPlacement struct{}

// Weights of the costs, in units of the cost of a full instance, and fractions of CPU.
const (
	// remotePenalty applies to the relative increase of the run time on an instance that is not local.
	remotePenalty = 0.6
	// failedBeforePenalty makes a worker on which the task has failed the last choice.
	failedBeforePenalty = 2.0
	// interferencePenalty gives an instance on which 0.5 serving tasks exceed their targets the
	// cost of a full one.
	interferencePenalty = 2.0
	// otherImagePenalty applies for each other serving image. Packing alone saves less, so an empty
	// instance is preferred to one with another image.
	otherImagePenalty = 1.0
	// servingUseFraction is the fraction of their reservation that serving tasks use, including the
	// fluctuations of their load.
	servingUseFraction = 0.55
	// minBestEffortShare is the fraction of its full-speed CPU that must be idle before a best-effort
	// task is placed.
	minBestEffortShare = 0.7
)

// maxInterference is the number of serving tasks that a best-effort task may bring over their targets.
const maxInterference = 0.2

// idle returns the CPU that is expected to be idle, in mCPU.
func (inf InstanceInfo) idle() float64 {
	return float64(inf.Free.MilliCPU()-inf.BestEffortCPU) + (1-servingUseFraction)*float64(inf.ServingCPU)
}

// Fits implements Placement.
func (SpreadPlacement) Fits(asg Assignment, inf InstanceInfo) bool {
	lacksCPU := asg.BestEffort && (inf.BestEffortPaused || inf.idle() < minBestEffortShare*float64(asg.MilliCPU))
	return asg.Resources.FitsIn(inf.Free) && (!lacksCPU || asg.Starved)
}

// Acceptable implements Placement. Best-effort tasks wait for instances on which they interfere little
// with serving tasks, even if their jobs are late because of it. If jobs without slack were exempt, a
// backlog, in which no job has slack, would keep serving tasks over their targets on all instances,
// and the pauses that follow would make the jobs late all the same.
func (SpreadPlacement) Acceptable(asg Assignment) bool {
	return !asg.BestEffort || asg.Starved || asg.Interference <= maxInterference
}

// Cost implements Placement.
func (SpreadPlacement) Cost(asg Assignment, inf InstanceInfo) float64 {
	cpu := float64(max(1, inf.Capacity.MilliCPU()))
	cost := 1 - float64(inf.Free.MilliCPU())/cpu
	if asg.BestEffort {
		cost = 1 - inf.idle()/cpu
	}
	if asg.Serving {
		cost = float64(inf.Free.MilliCPU())/cpu + otherImagePenalty*float64(asg.OtherServingImages)
	}
	if !asg.Local {
		cost += remotePenalty * (asg.RemoteFactor - 1)
	}
	if asg.FailedBefore {
		cost += failedBeforePenalty
	}
	return cost + interferencePenalty*asg.Interference
}
