// Package simulation is a model of the deployments that jacinthpost serves: workers that
// run what they are told, serving tasks that share them with filling ones, callers who hand
// in jobs and come back when they are refused, and load patterns such as a burst or the loss
// of workers. It runs the product's own decisions (core/batch, core/pacing,
// core/admission) with any policies, so that a pattern can be replayed in a test and
// two policies be compared on the same load.
//
// Limits of the model: time goes in steps of Step; a transaction of the store takes one step and
// never fails; reports and orders take no time of their own; the effects of
// filling images add up; durations are drawn once for each task. All randomness comes from the seed,
// and the load does not depend on the decisions. A Run must be used from one goroutine.
package simulation

import (
	"math"
	"math/rand/v2"
	"time"

	"jacinthpost/core/workload"
)

// Step is the length of a step of time.
const Step = 20 * time.Millisecond

// Deployment is what callers and operators find.
type Deployment struct {
	Name          string
	Workers       int
	MilliCPU      int64 // of a worker
	MemoryMB      int64
	DataCentres   []string // workers are spread over them in turn
	ServingImages int
	FillingImages int
	// Effect is the load on a serving task, in parts of what it bears, by the worst filling image that uses a whole worker.
	// HeavyPart of the pairs of images have effects of that size, the others next to none.
	Interference  float64
	HeavyFraction float64
	Classes       []Class
}

// Class is a kind of job that callers hand in.
type Class struct {
	Name        string
	PerSecond   float64
	Priority    int
	Stretch     float64
	Allowance   time.Duration // allowance on top of the stretched chain
	Steps       int           // each after the one before
	Width       int           // mean number of tasks of a step
	Duration    time.Duration // mean of a task
	MilliCPU    int64
	MemoryMB    int64
	BestEffort  bool
	LongRunning bool
	TailTarget  time.Duration // target of the tail latency of a lasting task
	Retries     int
	InitialJobs int // jobs that are there from the start
}

// Deployments returns the models of the two deployments, with the figures of their pages.
func Deployments() []Deployment {
	return []Deployment{
		{
			Name: "sen-vang", Workers: 11, MilliCPU: 36_000, MemoryMB: 128_000,
			DataCentres:   []string{"bac-hanoi", "bac-haiphong", "nam-saigon"},
			ServingImages: 5, FillingImages: 9, Interference: 5, HeavyFraction: 0.3,
			Classes: []Class{
				{Name: "check", PerSecond: 5.56, Stretch: 1.5, Allowance: 400 * time.Millisecond, Steps: 2, Width: 5, Duration: 800 * time.Millisecond, MilliCPU: 480, MemoryMB: 960, Retries: 4},
				{Name: "build", PerSecond: 0.977, Priority: 2, Stretch: 2, Allowance: time.Second, Steps: 2, Width: 8, Duration: 2700 * time.Millisecond, MilliCPU: 3500, MemoryMB: 6400, BestEffort: true, Retries: 4},
				{Name: "watch", PerSecond: 0.05, Stretch: 2.2, Width: 6, Steps: 1, MilliCPU: 6400, MemoryMB: 13_000, LongRunning: true, TailTarget: 18 * time.Millisecond, Retries: 4, InitialJobs: 5},
			},
		},
		{
			Name: "bayou-paddle", Workers: 11, MilliCPU: 18_000, MemoryMB: 64_000,
			DataCentres:   []string{"mobile-bay", "pensacola", "greenville"},
			ServingImages: 5, FillingImages: 9, Interference: 5, HeavyFraction: 0.3,
			Classes: []Class{
				{Name: "check", PerSecond: 5.57, Stretch: 1.5, Allowance: 400 * time.Millisecond, Steps: 2, Width: 5, Duration: 900 * time.Millisecond, MilliCPU: 300, MemoryMB: 600, Retries: 4},
				{Name: "rotation", PerSecond: 1.17, Priority: 2, Stretch: 2, Allowance: time.Second, Steps: 2, Width: 8, Duration: 2200 * time.Millisecond, MilliCPU: 1800, MemoryMB: 3200, BestEffort: true, Retries: 4},
				{Name: "watch", PerSecond: 0.05, Stretch: 2.2, Width: 6, Steps: 1, MilliCPU: 3200, MemoryMB: 6500, LongRunning: true, TailTarget: 18 * time.Millisecond, Retries: 4, InitialJobs: 5},
			},
		},
	}
}

// BatchClass returns the name of the class that bursts and floods are made of.
func (dep Deployment) BatchClass() string {
	for _, cls := range dep.Classes {
		if cls.BestEffort {
			return cls.Name
		}
	}
	return ""
}

// arrival is a job that a caller hands in.
type arrival struct {
	at        time.Duration
	class     int
	params    workload.JobParams
	durations []time.Duration // of the tasks of each step
	tries     int
	first     time.Duration
}

// estimateError bounds how far declared durations are off, as a factor either way.
const estimateError = 3.0

// draw returns a job of a class.
func (dep Deployment) draw(rng *rand.Rand, num, class int, at time.Duration) arrival {
	cls := dep.Classes[class]
	arr := arrival{at: at, first: at, class: class}
	arr.params = workload.JobParams{
		ID: jobName(num), Queue: cls.Name, Service: serviceName, Priority: cls.Priority, MaxAttempts: 3,
		Stretch: cls.Stretch, TargetLatencyMillis: float64(cls.Allowance.Milliseconds()),
	}
	image := rng.IntN(max(1, dep.FillingImages))
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
			stp.Image = fillingImage(image)
		case cls.LongRunning:
			stp.Image = servingImage(rng.IntN(max(1, dep.ServingImages)))
			stp.TargetMillis = float64(cls.TailTarget.Milliseconds())
		}
		arr.params.Steps = append(arr.params.Steps, stp)
		arr.durations = append(arr.durations, took)
	}
	return arr
}

// chain is the time that the job takes when nothing waits.
func (arr arrival) chain() time.Duration {
	var sum time.Duration
	for _, took := range arr.durations {
		sum += took
	}
	return sum
}
