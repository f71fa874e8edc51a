package tasks

import (
	"encoding/json"
	"math"
	"time"

	"jacinthpost/core/worker"
)

// Faults are the faults of the worker that are switched while it runs.
type Faults struct {
	FailAll           bool `json:"failAll"`           // every task fails soon after its start
	FreezeMillis      int  `json:"freezeMillis"`      // nothing progresses and nothing is answered
	SlowPercent       int  `json:"slowPercent"`       // how much slower everything is, 0 to 99
	LoseAnswerPercent int  `json:"loseAnswerPercent"` // worker calls that take effect without an answer
	IgnoreThrottle    bool `json:"ignoreThrottle"`    // throttle orders have no effect
}

func (flt Faults) freeze() time.Duration { return time.Duration(flt.FreezeMillis) * time.Millisecond }

// never is later than every event.
const never = worker.Instant(math.MaxInt64)

// Weights of running tasks in the interference with the endpoint, for a task
// that uses all processors of the worker.
const (
	noisyWeight = 3.0
	quietWeight = 0.3
)

// Next returns when the machine next changes by itself.
func (mac *Machine) Next() worker.Instant {
	at, _ := mac.nextEvent()
	return at
}

// Interference returns by how much the running tasks slow the endpoint down; zero is not at all.
func (mac *Machine) Interference() float64 {
	sum := 0.0
	for _, tsk := range mac.records {
		sum += tsk.payload.weight() * float64(tsk.using().MilliCPU())
	}
	return sum / float64(max(mac.config.capacity.MilliCPU(), 1))
}

// weight returns the weight of a task in the interference.
func (pay Payload) weight() float64 {
	switch {
	case pay.NoisePercent > 0:
		return float64(pay.NoisePercent) / 100
	case pay.Noisy:
		return noisyWeight
	}
	return quietWeight
}

// advance brings the tasks forward to now, one event after another. The clock never goes back.
func (mac *Machine) advance(now worker.Instant) {
	for {
		at, tsk := mac.nextEvent()
		if tsk == nil || at > now {
			break
		}
		mac.progress(at)
		mac.fire(tsk)
	}
	mac.progress(now)
}

// nextEvent returns the earliest event and its task; of events at the same time, that of the lowest Ref.
func (mac *Machine) nextEvent() (worker.Instant, *task) {
	at, first := never, (*task)(nil)
	speed := mac.speed()
	for _, tsk := range mac.records {
		if tsk.state.Ended() {
			continue
		}
		if due := max(mac.due(tsk, speed), mac.clock); due < at {
			at, first = due, tsk
		}
	}
	return at, first
}

// due returns the next event of a running task: its end, its deadline or its next checkpoint.
func (mac *Machine) due(tsk *task, speed float64) worker.Instant {
	at := tsk.deadline
	if rate := speed * float64(tsk.throttle) / 100; rate > 0 {
		left := float64(tsk.remaining()) / rate
		if left < float64(math.MaxInt64/4) {
			at = min(at, max(mac.clock, mac.frozen).Add(time.Duration(math.Ceil(left))))
		}
	}
	if mac.config.checkpointPeriod > 0 {
		at = min(at, tsk.lastSaved.Add(mac.config.checkpointPeriod))
	}
	return at
}

// remaining returns the work until the task ends by itself.
func (tsk *task) remaining() time.Duration {
	switch {
	case tsk.failAt >= 0:
		return max(tsk.failAt-tsk.done, 0)
	case tsk.endless():
		return math.MaxInt64 / 2
	default:
		return max(tsk.work-tsk.done, 0)
	}
}

// speed returns the work per time of a task that is not throttled.
func (mac *Machine) speed() float64 {
	used := int64(0)
	for _, tsk := range mac.records {
		used += tsk.using().MilliCPU()
	}
	speed := float64(100-min(max(mac.faults.SlowPercent, 0), 99)) / 100
	if capacity := mac.config.capacity.MilliCPU(); used > capacity && capacity > 0 {
		speed *= float64(capacity) / float64(used)
	}
	return speed
}

// progress adds the work done since the clock's reading.
func (mac *Machine) progress(now worker.Instant) {
	elapsed := now.Sub(max(mac.clock, min(mac.frozen, now)))
	if elapsed > 0 {
		speed := mac.speed()
		for _, tsk := range mac.records {
			if !tsk.state.Ended() {
				tsk.done += time.Duration(math.Ceil(float64(elapsed) * speed * float64(tsk.throttle) / 100))
			}
		}
	}
	mac.clock = max(mac.clock, now)
}

// fire applies the events of a task that are due at the clock's reading. The
// deadline comes first: a task that would finish at its deadline has lost its lease.
func (mac *Machine) fire(tsk *task) {
	switch {
	case tsk.deadline <= mac.clock:
		mac.end(tsk, worker.Expired, "the lease ended")
	case mac.clock < mac.frozen:
		tsk.lastSaved = mac.frozen
	case tsk.remaining() == 0 && tsk.failAt >= 0:
		mac.end(tsk, worker.Failed, tsk.detail)
	case tsk.remaining() == 0:
		tsk.result, _ = json.Marshal(struct {
			Job        string `json:"job"`
			Index      int    `json:"index"`
			WorkMillis int64  `json:"workMillis"`
		}{tsk.ref().Job(), tsk.ref().Index(), tsk.work.Milliseconds()})
		mac.end(tsk, worker.Finished, "")
	default:
		tsk.takeCheckpoint()
		tsk.lastSaved = mac.clock
	}
}

func (mac *Machine) end(tsk *task, sta worker.State, detail string) {
	if sta == worker.Failed && detail == "" {
		detail = "the task failed"
	}
	tsk.state, tsk.detail = sta, detail
	mac.history.stop(tsk.entry, mac.clock, sta)
	mac.sampleUsage()
}

func (mac *Machine) sampleUsage() {
	for _, tsk := range mac.records {
		tsk.usage.add(mac.clock, tsk.using())
	}
}
