// Package tasks models the worker of the stand-in: it runs simulated tasks
// under leases and enforces the fences of the worker interface.
//
// The machine holds no clock and starts no goroutine. Every method takes the
// reading of the worker's monotonic clock and first brings the tasks forward to
// it, event by event, so that a task that reaches its deadline ends exactly
// there even if the machine is called later. It starts whatever it is given,
// whether or not it fits; work slows down when more processors are committed
// than there are. One goroutine at a time may call it.
package tasks

import (
	"fmt"
	"slices"

	"jacinthpost/core/resource"
	"jacinthpost/core/token"
	"jacinthpost/core/worker"
)

// Machine is the state of one worker process.
type Machine struct {
	config  Config
	clock   worker.Instant
	records []*task // in the order of worker.Ref
	fences  map[taskKey]token.Token
	peak    resource.Vector
	faults  Faults
	frozen  worker.Instant // the tasks make no progress before this instant
	history history
}

// taskKey names a task without its assignment.
type taskKey struct {
	job   string
	index int
}

func keyOf(ref worker.Ref) taskKey { return taskKey{job: ref.Job(), index: ref.Index()} }

// New returns a worker without tasks whose clock reads zero.
func New(cfg Config) *Machine {
	return &Machine{config: cfg, fences: make(map[taskKey]token.Token)}
}

// Report returns the state of the worker.
func (mac *Machine) Report(now worker.Instant) worker.Report {
	mac.advance(now)
	tasks := make([]worker.TaskReport, 0, len(mac.records))
	for _, tsk := range mac.records {
		tasks = append(tasks, mac.report(tsk))
	}
	return worker.NewReport(mac.config.incarnation, mac.clock, mac.config.capacity).WithTasks(tasks)
}

// Start starts an assignment unless a fence forbids it.
func (mac *Machine) Start(now worker.Instant, ord worker.StartOrder) worker.StartResult {
	mac.advance(now)
	if ord.Incarnation() != mac.config.incarnation {
		return worker.Refused(worker.RefusedIncarnation, fmt.Sprintf("this is incarnation %d", mac.config.incarnation))
	}
	if mac.find(ord.Ref()) != nil {
		return worker.Started()
	}
	if ord.Deadline() <= mac.clock {
		return worker.Refused(worker.RefusedDeadline, fmt.Sprintf("passed %s ago", mac.clock.Sub(ord.Deadline())))
	}
	key, tok := keyOf(ord.Ref()), ord.Ref().Token()
	if seen := mac.fences[key]; !seen.Less(tok) {
		return worker.Refused(worker.RefusedToken, fmt.Sprintf("token %s was seen", seen))
	}
	// The token of an order refused as running is fenced too: the refusal promises that it never starts.
	mac.fences[key] = tok
	if old := mac.running(ord.Ref()); old != nil {
		return worker.Refused(worker.RefusedRunning, fmt.Sprintf("token %s still runs", old.ref().Token()))
	}
	mac.add(ord)
	return worker.Started()
}

func (mac *Machine) add(ord worker.StartOrder) {
	tsk := newTask(ord, mac.clock, mac.faults.FailAll)
	pos, _ := mac.search(ord.Ref())
	mac.records = slices.Insert(mac.records, pos, tsk)
	mac.peak = mac.peak.Max(mac.committed())
	tsk.entry = mac.history.start(ord.Ref(), mac.clock)
	mac.sampleUsage()
	mac.advance(mac.clock)
}

// Renew moves the deadlines of running assignments later and never earlier.
func (mac *Machine) Renew(now worker.Instant, leases []worker.Lease) []worker.Ref {
	mac.advance(now)
	var renewed []worker.Ref
	for _, lea := range leases {
		tsk := mac.find(lea.Ref())
		if tsk == nil || tsk.state.Ended() {
			continue
		}
		tsk.deadline = max(tsk.deadline, lea.Deadline())
		renewed = append(renewed, lea.Ref())
	}
	return renewed
}

// Stop ends an assignment and fences its token. An assignment of the same task
// with a lower token is outdated and ends too.
func (mac *Machine) Stop(now worker.Instant, ref worker.Ref, checkpoint bool) worker.TaskReport {
	mac.advance(now)
	key := keyOf(ref)
	if mac.fences[key].Less(ref.Token()) {
		mac.fences[key] = ref.Token()
	}
	if tsk := mac.running(ref); tsk != nil && !ref.Token().Less(tsk.ref().Token()) {
		mac.interrupt(tsk, checkpoint)
	}
	if tsk := mac.find(ref); tsk != nil {
		return mac.report(tsk)
	}
	return worker.NewTaskReport(ref, worker.NotStarted)
}

func (mac *Machine) interrupt(tsk *task, checkpoint bool) {
	if checkpoint {
		tsk.takeCheckpoint()
		mac.end(tsk, worker.Checkpointed, "stopped by an order after a checkpoint")
		return
	}
	mac.end(tsk, worker.Stopped, "stopped by an order")
}

// Throttle limits a running assignment to a percentage of its full speed.
func (mac *Machine) Throttle(now worker.Instant, ref worker.Ref, percent int) {
	mac.advance(now)
	if tsk := mac.find(ref); tsk != nil && !mac.faults.IgnoreThrottle {
		tsk.throttle = min(max(percent, 0), 100)
		mac.sampleUsage()
	}
}

// Forget drops the record of an ended assignment. Its token stays fenced.
func (mac *Machine) Forget(now worker.Instant, ref worker.Ref) {
	mac.advance(now)
	pos, found := mac.search(ref)
	if found && mac.records[pos].state.Ended() {
		mac.records = slices.Delete(mac.records, pos, pos+1)
	}
}

// SetFaults replaces the faults; a freeze begins now.
func (mac *Machine) SetFaults(now worker.Instant, flt Faults) {
	mac.advance(now)
	mac.faults = flt
	mac.frozen = mac.clock.Add(flt.freeze())
	if flt.FailAll {
		for _, tsk := range mac.records {
			tsk.failNow()
		}
	}
}

// Faults returns the faults in force.
func (mac *Machine) Faults() Faults { return mac.faults }

// Frozen returns when the last freeze ends.
func (mac *Machine) Frozen() worker.Instant { return mac.frozen }

// Peak returns the largest amount of each resource that was ever committed.
func (mac *Machine) Peak() resource.Vector { return mac.peak }

// History returns the record of every start, oldest first.
func (mac *Machine) History(now worker.Instant) []Entry {
	mac.advance(now)
	return mac.history.list()
}

func (mac *Machine) search(ref worker.Ref) (int, bool) {
	return slices.BinarySearchFunc(mac.records, ref, func(tsk *task, ref worker.Ref) int { return tsk.ref().Compare(ref) })
}

func (mac *Machine) find(ref worker.Ref) *task {
	pos, found := mac.search(ref)
	if !found {
		return nil
	}
	return mac.records[pos]
}

// running returns the running assignment of the same task, of which there is at most one.
func (mac *Machine) running(ref worker.Ref) *task {
	for _, tsk := range mac.records {
		if !tsk.state.Ended() && tsk.ref().SameTask(ref) {
			return tsk
		}
	}
	return nil
}

// committed returns the declared resources of the running tasks.
func (mac *Machine) committed() resource.Vector {
	var sum resource.Vector
	for _, tsk := range mac.records {
		if !tsk.state.Ended() {
			sum = sum.Plus(tsk.order.Resources())
		}
	}
	return sum
}

func (mac *Machine) report(tsk *task) worker.TaskReport {
	return worker.NewTaskReport(tsk.ref(), tsk.state).
		WithClass(tsk.order.Class()).
		WithResources(tsk.order.Resources(), tsk.usage.at(mac.clock.Add(-mac.config.usageLag))).
		WithDeadline(tsk.deadline).
		WithProgress(tsk.progress(), tsk.checkpoint).
		WithResult(tsk.result, tsk.detail)
}
