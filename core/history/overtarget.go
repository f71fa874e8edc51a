package history

import (
	"slices"
	"time"

	"jacinthpost/core/decision"
)

// OverCause is what best explains why a serving task was over its target.
type OverCause string

// Causes of the time over target, in the order in which they are looked for. A cause of a run that was
// placed beside the task applies if one of the runs beside the task has it.
const (
	OverAlone      OverCause = "alone"      // no best-effort run was beside the task
	OverPaused     OverCause = "paused"     // all best-effort runs on the instance were paused
	OverUnmeasured OverCause = "unmeasured" // a run was placed before the effect of its image was measured
	OverStarved    OverCause = "starved"    // a run was placed knowingly, because its job had no run
	OverUnexpected OverCause = "unexpected" // all runs were expected to be harmless
)

// OverTarget is the time in which serving tasks were over their latency targets, as seen by the agents.
// Violations without a last line count to the end of the log.
type OverTarget struct {
	total      time.Duration
	jobs       time.Duration
	instances  time.Duration
	repeated   time.Duration
	causes     map[OverCause]time.Duration
	urgencies  map[string]time.Duration
	byJob      map[string]time.Duration
	byInstance map[string]time.Duration
	byPair     map[ImagePair]time.Duration
}

// ImagePair is the image of a serving task and that of a best-effort task beside it.
type ImagePair struct{ Serving, BestEffort string }

// Total returns the time added up over the tasks.
func (ovr OverTarget) Total() time.Duration { return ovr.total }

// Jobs returns the time in which any task of a job was over its target, added up over the jobs.
func (ovr OverTarget) Jobs() time.Duration { return ovr.jobs }

// Instances returns the time in which any task of an instance was over its target, added up over the
// instances.
func (ovr OverTarget) Instances() time.Duration { return ovr.instances }

// Repeated returns the part of Total in violations that began within repeatWindow after the end of
// the last one of the same task.
func (ovr OverTarget) Repeated() time.Duration { return ovr.repeated }

// Causes returns Total by cause.
func (ovr OverTarget) Causes() map[OverCause]time.Duration { return ovr.causes }

// Urgencies returns the part of Total beside best-effort runs that were not paused, by the highest
// urgency that the jobs of these runs had when the runs were placed.
func (ovr OverTarget) Urgencies() map[string]time.Duration { return ovr.urgencies }

// ByJob returns Total by serving job.
func (ovr OverTarget) ByJob() map[string]time.Duration { return ovr.byJob }

// ByInstance returns Total by instance.
func (ovr OverTarget) ByInstance() map[string]time.Duration { return ovr.byInstance }

// ByPair returns the part of Total beside best-effort runs that were not paused. It is divided evenly
// between the best-effort images beside a task.
func (ovr OverTarget) ByPair() map[ImagePair]time.Duration { return ovr.byPair }

// repeatWindow is the time after a violation within which another one counts as its repetition. It
// covers a pause and the time in which paused runs take effect again.
const repeatWindow = 3 * time.Second

// Placed is what was known when a best-effort run was placed.
type Placed struct {
	Reason       string
	Urgency      string
	Interference float64 // expected number of serving tasks over their targets because of the run
	Unmeasured   int     // serving images for which the effect of the run's image was never measured
}

// violatingTask is a serving task that is over its target.
type violatingTask struct {
	job, image string
	repeated   bool
}

// instanceState is what happens on an instance at a point of the timeline.
type instanceState struct {
	beside    map[runID]Line // assignments of best-effort runs that have not ended
	paused    bool
	violating map[string]violatingTask // by task
	endedAt   map[string]time.Time     // of the last violation, by task
}

// overTargetBuilder adds up the time over target while it goes through the lines in order.
type overTargetBuilder struct {
	OverTarget
	at     time.Time
	states map[string]*instanceState // by instance
}

func (tml Timeline) overTarget() OverTarget {
	bld := overTargetBuilder{states: make(map[string]*instanceState)}
	bld.causes, bld.urgencies = make(map[OverCause]time.Duration), make(map[string]time.Duration)
	bld.byJob, bld.byInstance = make(map[string]time.Duration), make(map[string]time.Duration)
	bld.byPair = make(map[ImagePair]time.Duration)
	for _, lin := range tml.lines {
		bld.advance(lin.At)
		bld.apply(lin)
	}
	return bld.OverTarget
}

func (bld *overTargetBuilder) state(id string) *instanceState {
	sta := bld.states[id]
	if sta == nil {
		sta = &instanceState{beside: make(map[runID]Line), violating: make(map[string]violatingTask), endedAt: make(map[string]time.Time)}
		bld.states[id] = sta
	}
	return sta
}

func (bld *overTargetBuilder) apply(lin Line) {
	switch lin.Kind {
	case decision.RunAssigned:
		if lin.Placed.Reason != "" {
			bld.state(lin.Instance).beside[lin.runID()] = lin
		}
	case decision.RunEnded:
		sta := bld.state(lin.Instance)
		delete(sta.beside, lin.runID())
		sta.endViolation(lin)
	case decision.FillingPaused:
		bld.state(lin.Instance).paused = true
	case decision.FillingResumed:
		bld.state(lin.Instance).paused = false
	case decision.TargetExceeded:
		bld.state(lin.Instance).beginViolation(lin)
	case decision.TargetMet:
		bld.state(lin.Instance).endViolation(lin)
	case decision.ProcessStarted:
		// A new process of the agent reports the violations that continue.
		sta := bld.state(lin.Node)
		sta.paused = false
		clear(sta.violating)
	}
}

func (sta *instanceState) beginViolation(lin Line) {
	last, found := sta.endedAt[lin.Task]
	sta.violating[lin.Task] = violatingTask{job: lin.Job, image: lin.Image, repeated: found && lin.At.Sub(last) < repeatWindow}
}

func (sta *instanceState) endViolation(lin Line) {
	if _, found := sta.violating[lin.Task]; found {
		delete(sta.violating, lin.Task)
		sta.endedAt[lin.Task] = lin.At
	}
}

// advance adds the time since the last line.
func (bld *overTargetBuilder) advance(now time.Time) {
	took := now.Sub(bld.at)
	bld.at = now
	jobs := make(map[string]bool)
	for id, sta := range bld.states {
		if len(sta.violating) == 0 {
			continue
		}
		bld.instances += took
		cause := sta.cause()
		for _, vio := range sta.violating {
			jobs[vio.job] = true
			bld.add(id, sta, vio, cause, took)
		}
	}
	bld.jobs += time.Duration(len(jobs)) * took
}

func (bld *overTargetBuilder) add(id string, sta *instanceState, vio violatingTask, cause OverCause, took time.Duration) {
	bld.total += took
	bld.causes[cause] += took
	bld.byJob[vio.job] += took
	bld.byInstance[id] += took
	if vio.repeated {
		bld.repeated += took
	}
	if cause == OverAlone || cause == OverPaused {
		return
	}
	bld.urgencies[sta.highestUrgency()] += took
	images := sta.bestEffortImages()
	for _, img := range images {
		bld.byPair[ImagePair{Serving: vio.image, BestEffort: img}] += took / time.Duration(len(images))
	}
}

func (sta *instanceState) cause() OverCause {
	switch {
	case len(sta.beside) == 0:
		return OverAlone
	case sta.paused:
		return OverPaused
	}
	cause := OverUnexpected
	for _, lin := range sta.beside {
		switch {
		case lin.Placed.Unmeasured > 0:
			return OverUnmeasured
		case lin.Placed.Reason == string(OverStarved):
			cause = OverStarved
		}
	}
	return cause
}

// urgencies are the urgencies of jobs, the highest first.
var urgencies = []string{"onTime", "late", "worthless"}

func (sta *instanceState) highestUrgency() string {
	best := len(urgencies) - 1
	for _, lin := range sta.beside {
		if num := slices.Index(urgencies, lin.Placed.Urgency); num >= 0 {
			best = min(best, num)
		}
	}
	return urgencies[best]
}

func (sta *instanceState) bestEffortImages() []string {
	var out []string
	for _, lin := range sta.beside {
		out = append(out, lin.Image)
	}
	slices.Sort(out)
	return slices.Compact(out)
}
