// Package simulation simulates deployments with their workers, with callers who submit jobs and
// retry refused ones, and with load patterns such as a burst or a crash of workers. The decisions
// are those of core/batch, core/pacing and core/admission, with any policies, so that tests can
// replay a pattern and compare policies on the same load.
//
// Simplifications: time advances in steps of Step; a transaction of the store takes one step and
// never fails; reports and orders arrive at once, except in the cut before a takeover; the interference of images adds up; the tasks of a
// step of a job have the same duration. All randomness comes from the seed, and the load does not
// depend on the decisions. A Run must be used from one goroutine.
package simulation

import (
	"math"
	"math/rand/v2"
	"time"

	"jacinthpost/core/batch"
	"jacinthpost/core/workload"
)

// Step is the step of simulated time.
const Step = 20 * time.Millisecond

// Deployment describes the workers, images and job classes of a simulated deployment.
type Deployment struct {
	Name              string
	Workers           int
	MilliCPU          int64 // of each worker
	MemoryMB          int64
	DataCentres       []string // workers are assigned to them in rotation
	LongRunningImages int
	BestEffortImages  int
	// Interference is the load that the most disturbing best-effort image adds to a long-running task
	// when it uses a whole worker. A load of 1 saturates a task.
	Interference float64
	// HeavyFraction is the fraction of the pairs of images whose interference is of this order. That
	// of the others is negligible.
	HeavyFraction float64
	Classes       []Class
	// OwnerShare is the share of a core on which the owner decides. Zero makes decisions take no time.
	OwnerShare float64
}

// Processor time of decisions on a whole core, from profiles of an owner (cmd/bench, part jobowner).
// Decoding, encoding and calls of agents are included.
const (
	costEvaluated = 300 * time.Nanosecond
	costWaiting   = 2 * time.Microsecond
	costListed    = 2 * time.Microsecond
	costEvent     = 40 * time.Microsecond
	costRecorded  = 500 * time.Nanosecond
	costReport    = 40 * time.Microsecond
)

// decisionTime returns how long the owner takes for an amount of work.
func (dep Deployment) decisionTime(wrk batch.Work, reports int) time.Duration {
	if dep.OwnerShare <= 0 {
		return 0
	}
	sum := time.Duration(wrk.Evaluated)*costEvaluated + time.Duration(wrk.Waiting)*costWaiting + time.Duration(wrk.Listed)*costListed +
		time.Duration(wrk.Events)*costEvent + time.Duration(wrk.Recorded)*costRecorded + time.Duration(reports)*costReport
	return time.Duration(float64(sum) / dep.OwnerShare)
}

// Class describes the jobs of one queue.
type Class struct {
	Name        string
	PerSecond   float64
	Priority    int
	Stretch     float64
	Allowance   time.Duration // time allowed in addition to the stretched critical path
	Steps       int           // each depends on the one before
	Width       int           // mean number of tasks of a step
	Duration    time.Duration // mean of a task
	MilliCPU    int64
	MemoryMB    int64
	BestEffort  bool
	LongRunning bool
	TailTarget  time.Duration // target tail latency of a long-running task
	Retries     int
	InitialJobs int // jobs submitted at the start
}

// Deployments returns the two simulated deployments. Their figures come from their site pages.
func Deployments() []Deployment {
	return []Deployment{
		{
			Name: "sen-vang", Workers: 11, MilliCPU: 36_000, MemoryMB: 128_000,
			DataCentres:       []string{"bac-hanoi", "bac-haiphong", "nam-saigon"},
			LongRunningImages: 5, BestEffortImages: 9, Interference: 5, HeavyFraction: 0.3,
			Classes: []Class{
				{Name: "check", PerSecond: 5.56, Stretch: 1.5, Allowance: 400 * time.Millisecond, Steps: 2, Width: 5, Duration: 800 * time.Millisecond, MilliCPU: 480, MemoryMB: 960, Retries: 4},
				{Name: "build", PerSecond: 0.977, Priority: 2, Stretch: 2, Allowance: time.Second, Steps: 2, Width: 8, Duration: 2700 * time.Millisecond, MilliCPU: 3500, MemoryMB: 6400, BestEffort: true, Retries: 4},
				{Name: "watch", PerSecond: 0.05, Stretch: 2.2, Width: 6, Steps: 1, MilliCPU: 6400, MemoryMB: 13_000, LongRunning: true, TailTarget: 18 * time.Millisecond, Retries: 4, InitialJobs: 5},
			},
		},
		{
			Name: "bayou-paddle", Workers: 11, MilliCPU: 18_000, MemoryMB: 64_000,
			DataCentres:       []string{"mobile-bay", "pensacola", "greenville"},
			LongRunningImages: 5, BestEffortImages: 9, Interference: 5, HeavyFraction: 0.3,
			Classes: []Class{
				{Name: "check", PerSecond: 5.57, Stretch: 1.5, Allowance: 400 * time.Millisecond, Steps: 2, Width: 5, Duration: 900 * time.Millisecond, MilliCPU: 300, MemoryMB: 600, Retries: 4},
				{Name: "rotation", PerSecond: 1.17, Priority: 2, Stretch: 2, Allowance: time.Second, Steps: 2, Width: 8, Duration: 2200 * time.Millisecond, MilliCPU: 1800, MemoryMB: 3200, BestEffort: true, Retries: 4},
				{Name: "watch", PerSecond: 0.05, Stretch: 2.2, Width: 6, Steps: 1, MilliCPU: 3200, MemoryMB: 6500, LongRunning: true, TailTarget: 18 * time.Millisecond, Retries: 4, InitialJobs: 5},
			},
		},
	}
}

// LargeDeployment returns a deployment of hundreds of workers, whose owner has the given share of a core.
// Its figures come from the site page of the largest fleet.
func LargeDeployment(ownerShare float64) Deployment {
	return Deployment{
		Name: "large", Workers: 240, MilliCPU: 37_000, MemoryMB: 149_000,
		DataCentres:       []string{"bac-hanoi", "nam-saigon", "bac-haiphong", "nam-cantho", "bac-namdinh", "nam-binhduong"},
		LongRunningImages: 16, BestEffortImages: 30, Interference: 5, HeavyFraction: 0.65, OwnerShare: ownerShare,
		Classes: []Class{
			{Name: "check", PerSecond: 25.9, Stretch: 1.5, Allowance: 400 * time.Millisecond, Steps: 2, Width: 13, Duration: 640 * time.Millisecond, MilliCPU: 1300, MemoryMB: 2600, Retries: 4},
			{Name: "build", PerSecond: 5.24, Priority: 2, Stretch: 2, Allowance: time.Second, Steps: 2, Width: 40, Duration: 2200 * time.Millisecond, MilliCPU: 3500, MemoryMB: 6400, BestEffort: true, Retries: 4},
			{Name: "watch", PerSecond: 0.261, Stretch: 2.2, Width: 24, Steps: 1, MilliCPU: 6400, MemoryMB: 13_000, LongRunning: true, TailTarget: 18 * time.Millisecond, Retries: 4, InitialJobs: 28},
		},
	}
}

// BatchClass returns the name of the best-effort class, whose jobs make up bursts and floods.
func (dep Deployment) BatchClass() string {
	for _, cls := range dep.Classes {
		if cls.BestEffort {
			return cls.Name
		}
	}
	return ""
}

// arrival is a job that a caller submits.
type arrival struct {
	at           time.Duration
	class        int
	params       workload.JobParams
	durations    []time.Duration // duration of the tasks of each step
	retries      int
	firstAttempt time.Duration
}

// estimateError is the largest factor by which declared durations are too long or too short.
const estimateError = 3.0

// drawJob draws a job of a class.
func (dep Deployment) drawJob(rng *rand.Rand, num, class int, at time.Duration) arrival {
	cls := dep.Classes[class]
	arr := arrival{at: at, firstAttempt: at, class: class}
	arr.params = workload.JobParams{
		ID: jobName(num), Queue: cls.Name, Service: serviceName, Priority: cls.Priority, MaxAttempts: 3,
		Stretch: cls.Stretch, TargetLatencyMillis: float64(cls.Allowance.Milliseconds()),
	}
	image := rng.IntN(max(1, dep.BestEffortImages))
	for step := range max(1, cls.Steps) {
		took := time.Duration(float64(cls.Duration) * math.Exp(0.5*rng.NormFloat64()-0.125))
		off := math.Pow(estimateError, 2*rng.Float64()-1)
		stp := workload.StepParams{
			Count: max(1, int(float64(cls.Width)*(0.4+1.2*rng.Float64()))), MilliCPU: cls.MilliCPU, MemoryMB: cls.MemoryMB,
			EstimateMillis: off * float64(took.Milliseconds()), Checkpointing: cls.BestEffort, BestEffort: cls.BestEffort, LongRunning: cls.LongRunning,
		}
		if step > 0 {
			stp.Dependencies = []int{step - 1}
		}
		switch {
		case cls.BestEffort:
			stp.Image = bestEffortImage(image)
		case cls.LongRunning:
			stp.Image = longRunningImage(rng.IntN(max(1, dep.LongRunningImages)))
			stp.TargetMillis = float64(cls.TailTarget.Milliseconds())
		}
		arr.params.Steps = append(arr.params.Steps, stp)
		arr.durations = append(arr.durations, took)
	}
	return arr
}

// minDuration returns the duration of the job if no task has to wait.
func (arr arrival) minDuration() time.Duration {
	var sum time.Duration
	for _, took := range arr.durations {
		sum += took
	}
	return sum
}
