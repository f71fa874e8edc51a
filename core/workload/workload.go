// Package workload models the jobs that queues accept. A job consists of steps of identical tasks
// with dependencies, resource requests and placement constraints, and runs once or on a schedule.
//
// The types hold what callers requested and never change after acceptance. The parameter structs
// carry the values between packages and encodings; New validates them and builds a Job. All types
// are safe for concurrent reads.
package workload

import (
	"fmt"
	"time"

	"jacinthpost/core/resource"
)

// Limits of accepted jobs.
const (
	MaxPayloadBytes = 4000 // documented in the API for callers
	MaxSteps        = 64
	MaxStepTasks    = 1500 // keeps the stored state of a job below the store's row size limit
	MaxTasks        = 1500 // in one occurrence, for the same reason
	MaxOccurrences  = 1000
	// maxMillis bounds durations, about 31 years, so that sums of them don't overflow. MaxAmount bounds the
	// resources of a task for the same reason.
	maxMillis  = 1e12
	maxAmount  = 1 << 40
	maxStretch = 1e6
)

// StepParams are the parameters of a step. A zero value means unset.
type StepParams struct {
	Count          int     `json:"count"`
	MilliCPU       int64   `json:"milliCpu,omitempty"`
	MemoryMB       int64   `json:"memoryMb,omitempty"`
	Accelerators   int64   `json:"accelerators,omitempty"`
	EstimateMillis float64 `json:"estimateMillis,omitempty"`
	Dependencies   []int   `json:"after,omitempty"`
	Checkpointing  bool    `json:"checkpointing,omitempty"`
	Gang           bool    `json:"gang,omitempty"`
	TightlyCoupled bool    `json:"tightlyCoupled,omitempty"`
	Label          string  `json:"label,omitempty"`
	Rack           string  `json:"rack,omitempty"`
	PerInstance    int     `json:"perInstance,omitempty"`
	Speculative    bool    `json:"speculative,omitempty"`
	LongRunning    bool    `json:"lasting,omitempty"`
	Image          string  `json:"image,omitempty"`
	TargetMillis   float64 `json:"targetMillis,omitempty"`
	BestEffort     bool    `json:"fills,omitempty"`
	MaxUnavailable int     `json:"mayMiss,omitempty"`
}

// JobParams are the parameters of an accepted job, including the policy that its queue had at the
// time of acceptance.
type JobParams struct {
	ID                  string       `json:"id"`
	Queue               string       `json:"queue"`
	Service             string       `json:"service"`
	Payload             string       `json:"payload,omitempty"`
	Steps               []StepParams `json:"steps"`
	Priority            int          `json:"priority,omitempty"`
	MaxAttempts         int          `json:"maxAttempts,omitempty"`
	Stretch             float64      `json:"stretch,omitempty"`
	TargetLatencyMillis float64      `json:"targetLatencyMillis,omitempty"`
	Occurrences         int          `json:"occurrences,omitempty"`
	FirstRunMillis      int64        `json:"firstRunMillis,omitempty"`
	IntervalMillis      int64        `json:"intervalMillis,omitempty"`
	AcceptedMillis      int64        `json:"acceptedMillis"`
	NeedsPermission     bool         `json:"advised,omitempty"`
}

// Step is one step of a job.
type Step struct{ par StepParams }

// Count returns the number of tasks.
func (stp Step) Count() int { return stp.par.Count }

// Need returns the resources that one task reserves on an instance. A best-effort task reserves no
// CPU.
func (stp Step) Need() resource.Vector {
	cpu := stp.par.MilliCPU
	if stp.par.BestEffort {
		cpu = 0
	}
	return resource.New(cpu, stp.par.MemoryMB, stp.par.Accelerators)
}

// MilliCPU returns the CPU that a task uses at full speed, whether it reserves it or not.
func (stp Step) MilliCPU() int64 { return stp.par.MilliCPU }

// Estimate returns the duration of a task that the caller declared. It may be far off.
func (stp Step) Estimate() time.Duration {
	return time.Duration(stp.par.EstimateMillis * float64(time.Millisecond))
}

// Dependencies returns the indices of the steps that must complete first.
func (stp Step) Dependencies() []int { return stp.par.Dependencies }

// Checkpointing reports whether the tasks save checkpoints, so that a stopped task can resume.
func (stp Step) Checkpointing() bool { return stp.par.Checkpointing }

// Gang reports whether the tasks must all run at the same time.
func (stp Step) Gang() bool { return stp.par.Gang }

// TightlyCoupled reports whether the tasks slow down when they are spread over several racks.
func (stp Step) TightlyCoupled() bool { return stp.par.TightlyCoupled }

// Label returns the label that an instance must have, or an empty string when any instance is
// suitable.
func (stp Step) Label() string { return stp.par.Label }

// Rack returns the rack that holds the input data, or an empty string when there is none.
func (stp Step) Rack() string { return stp.par.Rack }

// PerInstance returns the maximum number of tasks of the step on one instance. Zero means no limit.
func (stp Step) PerInstance() int { return stp.par.PerInstance }

// Speculative reports whether a second copy of a slow task may run in parallel.
func (stp Step) Speculative() bool { return stp.par.Speculative }

// LongRunning reports whether the tasks run until the job is cancelled.
func (stp Step) LongRunning() bool { return stp.par.LongRunning }

// Image returns the name of the program that the tasks run. Tasks with the same image are expected
// to use resources alike.
func (stp Step) Image() string { return stp.par.Image }

// Target returns the upper limit of the tail latency of a serving task. It is zero for a task that
// serves no requests.
func (stp Step) Target() time.Duration {
	return time.Duration(stp.par.TargetMillis * float64(time.Millisecond))
}

// BestEffort reports whether the tasks use only CPU that other tasks leave idle.
func (stp Step) BestEffort() bool { return stp.par.BestEffort }

// MaxUnavailable returns how many long-running tasks of the step may be down at the same time
// because the system stops them. Zero means no limit.
func (stp Step) MaxUnavailable() int { return stp.par.MaxUnavailable }

// Job is an accepted job.
type Job struct {
	par   JobParams
	steps []Step
}

// New validates the parameters and returns the job.
func New(par JobParams) (Job, error) {
	if par.ID == "" {
		return Job{}, fmt.Errorf("id: empty, expected a job ID")
	}
	if len(par.Payload) > MaxPayloadBytes {
		return Job{}, fmt.Errorf("payload: got %d bytes, expected at most %d", len(par.Payload), MaxPayloadBytes)
	}
	if len(par.Steps) == 0 || len(par.Steps) > MaxSteps {
		return Job{}, fmt.Errorf("steps: got %d, expected 1 to %d", len(par.Steps), MaxSteps)
	}
	if !(par.TargetLatencyMillis >= 0 && par.TargetLatencyMillis <= maxMillis) || !(par.Stretch >= 0 && par.Stretch <= maxStretch) {
		return Job{}, fmt.Errorf("targetLatencyMillis, stretch: got %g and %g, expected 0 to %g and 0 to %g", par.TargetLatencyMillis, par.Stretch, maxMillis, maxStretch)
	}
	if par.Occurrences < 0 || par.Occurrences > MaxOccurrences {
		return Job{}, fmt.Errorf("occurrences: got %d, expected 0 to %d", par.Occurrences, MaxOccurrences)
	}
	total := 0
	job := Job{par: par, steps: make([]Step, len(par.Steps))}
	for num, stp := range par.Steps {
		if err := stp.check(num); err != nil {
			return Job{}, fmt.Errorf("steps[%d].%w", num, err)
		}
		job.steps[num] = Step{par: stp}
		total += stp.Count
	}
	if total > MaxTasks {
		return Job{}, fmt.Errorf("steps: got %d tasks in total, expected at most %d", total, MaxTasks)
	}
	return job, nil
}

func (par StepParams) check(num int) error {
	if par.Count < 1 || par.Count > MaxStepTasks {
		return fmt.Errorf("count: got %d, expected 1 to %d", par.Count, MaxStepTasks)
	}
	need := resource.New(par.MilliCPU, par.MemoryMB, par.Accelerators)
	if !need.Valid() || !need.FitsIn(resource.New(maxAmount, maxAmount, maxAmount)) {
		return fmt.Errorf("resources: got %v, expected amounts from 0 to %d", need, maxAmount)
	}
	for name, val := range map[string]float64{"estimateMillis": par.EstimateMillis, "targetMillis": par.TargetMillis} {
		if !(val >= 0 && val <= maxMillis) {
			return fmt.Errorf("%s: got %g, expected 0 to %g", name, val, maxMillis)
		}
	}
	if par.PerInstance < 0 || par.MaxUnavailable < 0 {
		return fmt.Errorf("perInstance, mayMiss: got %d and %d, expected zero or more", par.PerInstance, par.MaxUnavailable)
	}
	for _, prv := range par.Dependencies {
		if prv < 0 || prv >= num {
			return fmt.Errorf("after: %d is not an earlier step", prv)
		}
	}
	return nil
}

// ID returns the identifier that the caller chose.
func (job Job) ID() string { return job.par.ID }

// Params returns the parameters from which the job was built.
func (job Job) Params() JobParams { return job.par }

// Outline returns the job with its ID and queue only, for a job that has ended.
func (job Job) Outline() Job { return Job{par: JobParams{ID: job.par.ID, Queue: job.par.Queue}} }

// stepBytes is the memory of a step without its texts and dependencies, and of its part of an encoded job.
const stepBytes = 512

// Bytes returns about how much memory the job takes.
func (job Job) Bytes() int {
	const wordBytes = 8
	num := len(job.par.ID) + len(job.par.Queue) + len(job.par.Service) + len(job.par.Payload)
	for _, stp := range job.steps {
		num += stepBytes + len(stp.par.Label) + len(stp.par.Rack) + len(stp.par.Image) + wordBytes*len(stp.par.Dependencies)
	}
	return num
}

// Queue returns the name of the queue that accepted the job.
func (job Job) Queue() string { return job.par.Queue }

// Service returns the name of the service whose instances run the tasks.
func (job Job) Service() string { return job.par.Service }

// Payload returns the caller's opaque data, which is passed to each task.
func (job Job) Payload() string { return job.par.Payload }

// Steps returns the steps in the caller's order, in which a step follows its dependencies.
func (job Job) Steps() []Step { return job.steps }

// Priority returns the priority of the queue. Zero is the highest.
func (job Job) Priority() int { return job.par.Priority }

// MaxAttempts returns the number of failed runs of a task that fail the job. It is at least one.
func (job Job) MaxAttempts() int { return max(1, job.par.MaxAttempts) }

// Accepted returns the wall-clock time at which the job was accepted.
func (job Job) Accepted() time.Time { return time.UnixMilli(job.par.AcceptedMillis) }

// Occurrences returns how many times the steps run. It is at least one.
func (job Job) Occurrences() int { return max(1, job.par.Occurrences) }

// NeedsPermission reports whether a policy service decides which instances may run a step.
func (job Job) NeedsPermission() bool { return job.par.NeedsPermission }

// Timed reports whether the occurrences start on a schedule.
func (job Job) Timed() bool { return job.par.Occurrences > 0 }

// Due returns the wall-clock time at which an occurrence may start.
func (job Job) Due(occ int) time.Time {
	if !job.Timed() {
		return job.Accepted()
	}
	return time.UnixMilli(job.par.FirstRunMillis + int64(occ)*job.par.IntervalMillis)
}

// LongRunning reports whether the job has a long-running step.
func (job Job) LongRunning() bool {
	for _, stp := range job.steps {
		if stp.LongRunning() {
			return true
		}
	}
	return false
}

// Stretch returns the slowdown relative to the critical path up to which the job is on time. It is
// at least one.
func (job Job) Stretch() float64 { return max(1, job.par.Stretch) }

// TargetLatency returns the time that is allowed in addition to the stretched critical path.
func (job Job) TargetLatency() time.Duration {
	return time.Duration(job.par.TargetLatencyMillis * float64(time.Millisecond))
}

// CriticalPath returns the length of the longest path through the steps, given the duration of
// each.
func (job Job) CriticalPath(duration func(step int) time.Duration) time.Duration {
	ends := make([]time.Duration, len(job.steps))
	var longest time.Duration
	for num, stp := range job.steps {
		var start time.Duration
		for _, prv := range stp.Dependencies() {
			start = max(start, ends[prv])
		}
		ends[num] = start + duration(num)
		longest = max(longest, ends[num])
	}
	return longest
}
