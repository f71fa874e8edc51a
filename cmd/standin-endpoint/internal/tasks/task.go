package tasks

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"jacinthpost/core/resource"
	"jacinthpost/core/worker"
)

const (
	// checkpointPrefix begins every checkpoint; the work done in milliseconds follows.
	checkpointPrefix = "work:"
	// kindWatch is the kind of task that never completes by itself.
	kindWatch = "watch"
	// failDelay is how long a task that must fail runs on a worker that fails all tasks.
	failDelay = 20 * time.Millisecond
)

// Payload is the work of a simulated task.
type Payload struct {
	WorkMillis     int64 `json:"workMillis"`     // at full speed
	FailPercent    int   `json:"failPercent"`    // chance that an assignment fails halfway; 100 always fails
	NeverFinishes  bool  `json:"neverFinishes"`  // runs until it is stopped
	MemoryMB       int64 `json:"memoryMB"`       // memory in use, the ordered amount when 0
	MilliCPU       int64 `json:"milliCPU"`       // processors in use at full speed, the ordered amount when 0
	Noisy          bool  `json:"noisy"`          // disturbs the endpoint and uses half as much processor again
	NoisePercent   int64 `json:"noisePercent"`   // slowdown of the endpoint by such tasks on all processors, that of Noisy when 0
	CheckpointFree bool  `json:"checkpointFree"` // cannot take checkpoints
}

// task is one assignment.
type task struct {
	order      worker.StartOrder
	payload    Payload
	state      worker.State
	deadline   worker.Instant
	throttle   int // percent of full speed
	done       time.Duration
	work       time.Duration
	failAt     time.Duration // work done at which it fails, negative when it does not
	checkpoint string
	lastSaved  worker.Instant
	result     []byte
	detail     string
	usage      samples
	entry      int
}

func newTask(ord worker.StartOrder, now worker.Instant, failAll bool) *task {
	tsk := &task{
		order: ord, state: worker.Running, deadline: ord.Deadline(),
		throttle: 100, failAt: -1, checkpoint: ord.Checkpoint(), lastSaved: now,
	}
	tsk.done = workDone(ord.Checkpoint())
	if len(ord.Payload()) > 0 {
		if err := json.Unmarshal(ord.Payload(), &tsk.payload); err != nil {
			tsk.failAt, tsk.detail = 0, "payload: "+err.Error()
		}
	}
	tsk.work = time.Duration(tsk.payload.WorkMillis) * time.Millisecond
	if tsk.drawsFailure() {
		tsk.failAt = max(tsk.work/2, tsk.done)
	}
	if failAll {
		tsk.failNow()
	}
	return tsk
}

// drawsFailure decides by a hash of the assignment, so that runs repeat.
func (tsk *task) drawsFailure() bool {
	ref := tsk.ref()
	sum := xxhash.Sum64String(fmt.Sprintf("%s/%d/%s", ref.Job(), ref.Index(), ref.Token()))
	return int(sum%100) < tsk.payload.FailPercent
}

func (tsk *task) failNow() {
	if !tsk.state.Ended() {
		tsk.failAt = tsk.done + failDelay
	}
}

func (tsk *task) ref() worker.Ref { return tsk.order.Ref() }

func (tsk *task) endless() bool {
	return tsk.payload.NeverFinishes || tsk.order.Kind() == kindWatch
}

// takeCheckpoint saves the work done, for any worker to resume from.
func (tsk *task) takeCheckpoint() {
	if !tsk.payload.CheckpointFree {
		tsk.checkpoint = checkpointPrefix + strconv.FormatInt(tsk.done.Milliseconds(), 10)
	}
}

// workDone returns the work that a checkpoint stands for. An unreadable one stands for none.
func workDone(checkpoint string) time.Duration {
	text, found := strings.CutPrefix(checkpoint, checkpointPrefix)
	millis, err := strconv.ParseInt(text, 10, 64)
	if !found || err != nil || millis < 0 {
		return 0
	}
	return time.Duration(millis) * time.Millisecond
}

func (tsk *task) progress() int {
	if tsk.work <= 0 || tsk.endless() {
		return 0
	}
	return int(min(tsk.done, tsk.work) * 100 / tsk.work)
}

// using returns the resources in use now.
func (tsk *task) using() resource.Vector {
	if tsk.state.Ended() {
		return resource.Vector{}
	}
	ordered := tsk.order.Resources()
	processor := ordered.MilliCPU()
	if tsk.payload.MilliCPU > 0 {
		processor = tsk.payload.MilliCPU
	}
	processor = processor * int64(tsk.throttle) / 100
	if tsk.payload.Noisy {
		processor += processor / 2
	}
	memory := ordered.MemoryMB()
	if tsk.payload.MemoryMB > 0 {
		memory = tsk.payload.MemoryMB
	}
	return resource.New(processor, memory, ordered.Accelerators())
}

// samples remembers usage over time, because a worker reports it with a delay.
type samples struct {
	times  []worker.Instant
	values []resource.Vector
}

// sampleLimit bounds the samples of a task; older ones are dropped.
const sampleLimit = 64

func (smp *samples) add(now worker.Instant, vec resource.Vector) {
	if num := len(smp.values); num > 0 && smp.values[num-1] == vec {
		return
	}
	if len(smp.times) == sampleLimit {
		smp.times, smp.values = smp.times[1:], smp.values[1:]
	}
	smp.times, smp.values = append(smp.times, now), append(smp.values, vec)
}

// at returns the usage at an instant, zero before the first sample.
func (smp *samples) at(ins worker.Instant) resource.Vector {
	for idx := len(smp.times) - 1; idx >= 0; idx-- {
		if smp.times[idx] <= ins {
			return smp.values[idx]
		}
	}
	return resource.Vector{}
}
