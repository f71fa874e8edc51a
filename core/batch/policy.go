package batch

import (
	"time"

	"jacinthpost/core/resource"
)

// Ordering decides which of two waiting steps gets room first.
type Ordering interface {
	Before(fst, snd Candidate) bool
}

// Candidate is a step with waiting tasks, as an order sees it.
type Candidate struct {
	ID             string
	Priority       int
	Accepted       time.Time
	Started        bool          // a task of the job has started
	Deadline       time.Time     // a job that is complete by then is on time
	WorthlessAfter time.Time     // a job that completes later is worth nothing more
	Remaining      time.Duration // predicted time until the job is complete if its tasks start now
	Backlog        time.Duration // predicted time until the filling tasks that wait have been carried out
	Now            time.Time
}

// urgency ranks a candidate: jobs that can be on time, then late ones, then the rest.
func (can Candidate) urgency() int {
	end := can.Now.Add(can.Remaining)
	switch {
	case !end.After(can.Deadline):
		return 0
	case !end.After(can.WorthlessAfter):
		return 1
	default:
		return 2
	}
}

// Slack that makes a job patient: above it the job is on time after the wait for one more place,
// and after one or two tasks that fail or run longer than predicted.
const (
	patientSlack = 1200 * time.Millisecond
	patientPart  = 0.25 // of the predicted time until the job is complete
)

// patient reports whether the job is on time also when its tasks wait for better places. In a
// backlog nobody is: processors that stay idle now are missing when the jobs behind are due.
func (can Candidate) patient() bool {
	slack := can.Deadline.Sub(can.Now.Add(can.Backlog + can.Remaining))
	return slack >= max(patientSlack, time.Duration(patientPart*float64(can.Remaining)))
}

// ArrivalOrder places in the order of priority and acceptance.
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

// DeadlineOrder places in the order of priority, then jobs that can still be on
// time by their deadline, then late ones. It answers a backlog after a burst, in
// which the order of arrival makes every job late.
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
	// Fits reports whether a task may be placed on an instance. The disturbance is not known yet.
	Fits(ned Assignment, sit InstanceInfo) bool
	// Worthwhile reports whether a place where the task fits is good enough, or the task waits for a better one.
	Acceptable(ned Assignment) bool
	// Rate rates an instance on which the task fits. Lower is better.
	Cost(ned Assignment, sit InstanceInfo) float64
}

// Need is what a placement knows of a task on an instance.
type Assignment struct {
	Resources          resource.Vector
	MilliCPU           int64 // in use at full speed
	BestEffort         bool
	Serving            bool    // has a latency target
	OtherServingImages int     // serving images on the instance other than its own
	Local              bool    // the instance is in the rack of the data, or there is none
	RemoteFactor       float64 // factor on the run time elsewhere
	Starved            bool    // the job has had nothing at work for a while
	HasSlack           bool    // the job has time to wait for a better place
	FailedBefore       bool    // a run of the task failed on the instance
	Interference       float64 // serving tasks that a filling task brings over their targets, or load on a serving task by what fills
}

// Site is what a placement knows of an instance.
type InstanceInfo struct {
	Capacity         resource.Vector
	Free             resource.Vector
	BestEffortCPU    int64 // in use by filling tasks at full speed
	ServingCPU       int64 // reserved by tasks with a latency target
	BestEffortPaused bool  // what fills pauses for the sake of a serving task
}

// SpreadPlacement spreads tasks over the instances, filling tasks by the
// processors that are unused, and away from serving tasks that they would disturb.
// Serving tasks are packed, those of one image together: then many instances have
// no serving task or few images of them, and any filling image finds places where it
// disturbs nobody. It answers noisy filling tasks beside services with a swinging load.
type SpreadPlacement struct{}

// Weights of the ratings, in parts of a whole instance.
const (
	remotePenalty  = 0.6 // for each full run time that the distance to the data costs
	retriedPenalty = 2.0 // a worker on which the task failed is the last choice
	// disturbPenalty makes an instance where one serving task in two gets over its target as bad as a full one.
	disturbPenalty  = 2.0
	strangerPenalty = 0.3  // for each other serving image, against packing by room
	servingUse      = 0.55 // part of their reservation that serving tasks use, with the swing of their load
	minFillerShare  = 0.7  // a filling task that would get less of its processors waits
)

// patientHarm is the number of serving tasks that a patient filling task may bring over their targets.
const patientHarm = 0.2

// idle returns the processors that nothing uses, in mCPU.
func (sit InstanceInfo) idle() float64 {
	return float64(sit.Free.MilliCPU()-sit.BestEffortCPU) + (1-servingUse)*float64(sit.ServingCPU)
}

// Fits implements Placement.
func (SpreadPlacement) Fits(ned Assignment, sit InstanceInfo) bool {
	crowded := ned.BestEffort && (sit.BestEffortPaused || sit.idle() < minFillerShare*float64(ned.MilliCPU))
	return ned.Resources.FitsIn(sit.Free) && (!crowded || ned.Starved)
}

// Worthwhile implements Placement. Filling jobs come with twice the time that they need, and
// on a day without a backlog the time is of use only to the serving tasks beside them.
func (SpreadPlacement) Acceptable(ned Assignment) bool {
	return !ned.BestEffort || !ned.HasSlack || ned.Starved || ned.Interference <= patientHarm
}

// Rate implements Placement.
func (SpreadPlacement) Cost(ned Assignment, sit InstanceInfo) float64 {
	cpu := float64(max(1, sit.Capacity.MilliCPU()))
	rating := 1 - float64(sit.Free.MilliCPU())/cpu
	if ned.BestEffort {
		rating = 1 - sit.idle()/cpu
	}
	if ned.Serving {
		rating = float64(sit.Free.MilliCPU())/cpu + strangerPenalty*float64(ned.OtherServingImages)
	}
	if !ned.Local {
		rating += remotePenalty * (ned.RemoteFactor - 1)
	}
	if ned.FailedBefore {
		rating += retriedPenalty
	}
	return rating + disturbPenalty*ned.Interference
}
