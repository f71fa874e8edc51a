// Package workload models the jobs that queues accept: steps of equal tasks with
// dependencies, resources and rules of placement, run once or at set times.
//
// The types hold what callers asked for and never change after acceptance.
// Parameter structs carry the values between packages and encodings; a Job is
// built from them and checked once. All types are safe to read from any goroutine.
package workload

import (
	"fmt"
	"time"

	"jacinthpost/core/resource"
)

// Limits of accepted jobs.
const (
	MaxPayloadBytes = 4000 // of a spec, stated by the callers' interface
	MaxSteps        = 64
	MaxStepTasks    = 1500 // keeps the state of a job below the row limit of the store
	MaxTasks        = 1500 // of one occurrence, for the same reason
	MaxOccurrences  = 1000
)

// StepParams are the values of a step. Zero values mean unset.
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

// JobParams are the values of a job as accepted, with the policy of its queue at that moment.
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

// Need returns what one task reserves on an instance. A filling task reserves no processor.
func (stp Step) Need() resource.Vector {
	cpu := stp.par.MilliCPU
	if stp.par.BestEffort {
		cpu = 0
	}
	return resource.New(cpu, stp.par.MemoryMB, stp.par.Accelerators)
}

// MilliCPU returns the processors that a task uses when it runs at full speed, reserved or not.
func (stp Step) MilliCPU() int64 { return stp.par.MilliCPU }

// Estimate returns the declared duration of a task, which may be far off.
func (stp Step) Estimate() time.Duration {
	return time.Duration(stp.par.EstimateMillis * float64(time.Millisecond))
}

// After returns the steps that must be done first.
func (stp Step) Dependencies() []int { return stp.par.Dependencies }

// Checkpointing reports whether tasks save their progress.
func (stp Step) Checkpointing() bool { return stp.par.Checkpointing }

// Gang reports whether the tasks run only together.
func (stp Step) Gang() bool { return stp.par.Gang }

// TightlyCoupled reports whether the tasks slow down on more than one rack.
func (stp Step) TightlyCoupled() bool { return stp.par.TightlyCoupled }

// Label returns the label that the instance must have, empty when any will do.
func (stp Step) Label() string { return stp.par.Label }

// Rack returns the rack of the data, empty when there is none.
func (stp Step) Rack() string { return stp.par.Rack }

// PerInstance returns how many tasks of the step may share an instance, zero when any number.
func (stp Step) PerInstance() int { return stp.par.PerInstance }

// Speculative reports whether copies of a task may run in parallel.
func (stp Step) Speculative() bool { return stp.par.Speculative }

// Lasting reports whether tasks run until the job is cancelled.
func (stp Step) LongRunning() bool { return stp.par.LongRunning }

// Image returns the name of what the tasks run.
func (stp Step) Image() string { return stp.par.Image }

// Target returns the tail latency that a serving task must keep below, zero when it serves nobody.
func (stp Step) Target() time.Duration {
	return time.Duration(stp.par.TargetMillis * float64(time.Millisecond))
}

// Fills reports whether tasks use only the processors that other tasks leave.
func (stp Step) BestEffort() bool { return stp.par.BestEffort }

// MayMiss returns how many lasting tasks the system may take down at once.
func (stp Step) MaxUnavailable() int { return stp.par.MaxUnavailable }

// Job is an accepted job.
type Job struct {
	par   JobParams
	steps []Step
}

// New checks the values and returns the job.
func New(par JobParams) (Job, error) {
	if par.ID == "" {
		return Job{}, fmt.Errorf("id: missing")
	}
	if len(par.Payload) > MaxPayloadBytes {
		return Job{}, fmt.Errorf("payload: %d bytes, at most %d", len(par.Payload), MaxPayloadBytes)
	}
	if len(par.Steps) == 0 || len(par.Steps) > MaxSteps {
		return Job{}, fmt.Errorf("steps: %d given, expected 1 to %d", len(par.Steps), MaxSteps)
	}
	if par.Occurrences < 0 || par.Occurrences > MaxOccurrences {
		return Job{}, fmt.Errorf("occurrences: %d, expected 0 to %d", par.Occurrences, MaxOccurrences)
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
		return Job{}, fmt.Errorf("steps: %d tasks in all, at most %d", total, MaxTasks)
	}
	return job, nil
}

func (par StepParams) check(num int) error {
	if par.Count < 1 || par.Count > MaxStepTasks {
		return fmt.Errorf("count: %d, expected 1 to %d", par.Count, MaxStepTasks)
	}
	if !resource.New(par.MilliCPU, par.MemoryMB, par.Accelerators).Valid() {
		return fmt.Errorf("resources: negative amount")
	}
	for _, prv := range par.Dependencies {
		if prv < 0 || prv >= num {
			return fmt.Errorf("after: %d is not an earlier step", prv)
		}
	}
	return nil
}

// ID returns the identity that the caller chose.
func (job Job) ID() string { return job.par.ID }

// Params returns the values that the job was built from.
func (job Job) Params() JobParams { return job.par }

// Queue returns the queue that accepted the job.
func (job Job) Queue() string { return job.par.Queue }

// Service returns the service whose instances run the tasks.
func (job Job) Service() string { return job.par.Service }

// Payload returns the caller's opaque description, passed to each task.
func (job Job) Payload() string { return job.par.Payload }

// Steps returns the steps in order.
func (job Job) Steps() []Step { return job.steps }

// Priority returns the priority of the queue; zero comes first.
func (job Job) Priority() int { return job.par.Priority }

// MaxAttempts returns how many failed runs a task has before the job fails; at least one.
func (job Job) MaxAttempts() int { return max(1, job.par.MaxAttempts) }

// Accepted returns the wall time of the acceptance.
func (job Job) Accepted() time.Time { return time.UnixMilli(job.par.AcceptedMillis) }

// Occurrences returns how often the steps run, at least once.
func (job Job) Occurrences() int { return max(1, job.par.Occurrences) }

// Advised reports whether a policy service decides which instances may run a step.
func (job Job) NeedsPermission() bool { return job.par.NeedsPermission }

// Timed reports whether occurrences are due at set times.
func (job Job) Timed() bool { return job.par.Occurrences > 0 }

// Due returns the wall time at which an occurrence may start.
func (job Job) Due(occ int) time.Time {
	if !job.Timed() {
		return job.Accepted()
	}
	return time.UnixMilli(job.par.FirstRunMillis + int64(occ)*job.par.IntervalMillis)
}

// Lasting reports whether a step of the job lasts.
func (job Job) LongRunning() bool {
	for _, stp := range job.steps {
		if stp.LongRunning() {
			return true
		}
	}
	return false
}

// Stretch returns the factor on the longest chain within which the job is on time.
func (job Job) Stretch() float64 { return max(1, job.par.Stretch) }

// TargetLatency returns the allowance on top of the stretched chain.
func (job Job) TargetLatency() time.Duration {
	return time.Duration(job.par.TargetLatencyMillis * float64(time.Millisecond))
}

// Chain returns the longest chain of durations from a step's start to the end of the job.
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
