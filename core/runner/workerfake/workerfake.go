// Package workerfake is an in-memory double of a worker for tests.
//
// It enforces deadlines, tokens and incarnations like a real worker, and starts
// whatever it is given, whether or not it fits. Its clock is a function, so that
// a test can let it drift. Faults are switched on and off by SetFault. It is safe
// for concurrent use.
package workerfake

import (
	"context"
	"slices"
	"sync"

	"jacinthpost/core/fleet"
	"jacinthpost/core/resource"
	"jacinthpost/core/token"
	"jacinthpost/core/worker"
)

// Fault is what goes wrong with every call.
type Fault int

// Faults.
const (
	None        Fault = iota
	Unavailable       // calls have no effect
	LostReplies       // calls take effect and their answers are lost
)

// assignment is a task at the worker.
type assignment struct {
	ref     worker.Ref
	state   worker.State
	order   worker.StartOrder
	expires worker.Instant
	result  []byte
	cpt     string
	used    resource.Vector // zero for what was ordered
}

// taskKey names a task without its token.
type taskKey struct {
	job   string
	index int
}

// Worker is the double.
type Worker struct {
	mu          sync.Mutex
	clock       func() worker.Instant
	incarnation fleet.Incarnation
	capacity    resource.Vector
	tasks       []*assignment
	highest     map[taskKey]token.Token
	fault       Fault
	peak        resource.Vector
	starts      []worker.Ref
}

// New returns a worker without tasks.
func New(capacity resource.Vector, clock func() worker.Instant) *Worker {
	return &Worker{clock: clock, incarnation: 1, capacity: capacity, highest: make(map[taskKey]token.Token)}
}

// SetFault switches a fault on, or off with None.
func (wkr *Worker) SetFault(flt Fault) {
	wkr.mu.Lock()
	defer wkr.mu.Unlock()
	wkr.fault = flt
}

// Restart replaces the worker process: all tasks are lost.
func (wkr *Worker) Restart() {
	wkr.mu.Lock()
	defer wkr.mu.Unlock()
	wkr.incarnation++
	wkr.tasks = nil
	clear(wkr.highest)
}

// Finish lets a running assignment finish with a result and reports whether it ran.
func (wkr *Worker) Finish(ref worker.Ref, result string) bool {
	wkr.mu.Lock()
	defer wkr.mu.Unlock()
	wkr.expire()
	asg := wkr.find(ref)
	if asg == nil || asg.state != worker.Running {
		return false
	}
	asg.state, asg.result = worker.Finished, []byte(result)
	return true
}

// Peak returns the largest amounts that were ever running at the same time.
func (wkr *Worker) PeakOrdered() resource.Vector {
	wkr.mu.Lock()
	defer wkr.mu.Unlock()
	return wkr.peak
}

// Running returns the running assignments and the sum of their resources.
func (wkr *Worker) Running() ([]worker.Ref, resource.Vector) {
	wkr.mu.Lock()
	defer wkr.mu.Unlock()
	wkr.expire()
	return wkr.running()
}

// Starts returns the assignments in the order in which they were started.
func (wkr *Worker) Starts() []worker.Ref {
	wkr.mu.Lock()
	defer wkr.mu.Unlock()
	return slices.Clone(wkr.starts)
}

func (wkr *Worker) running() ([]worker.Ref, resource.Vector) {
	var refs []worker.Ref
	var sum resource.Vector
	for _, asg := range wkr.tasks {
		if asg.state == worker.Running {
			refs = append(refs, asg.ref)
			sum = sum.Plus(asg.order.Resources())
		}
	}
	return refs, sum
}

// Use sets what a task uses; it uses what was ordered before.
func (wkr *Worker) SetUsage(ref worker.Ref, vec resource.Vector) {
	wkr.mu.Lock()
	defer wkr.mu.Unlock()
	if asg := wkr.find(ref); asg != nil {
		asg.used = vec
	}
}

func (asg *assignment) usage() resource.Vector {
	if asg.used == (resource.Vector{}) {
		return asg.order.Resources()
	}
	return asg.used
}

// expire ends the tasks whose deadline has passed.
func (wkr *Worker) expire() {
	now := wkr.clock()
	for _, asg := range wkr.tasks {
		if asg.state == worker.Running && now >= asg.expires {
			asg.state, asg.cpt = worker.Expired, "cpt-"+asg.ref.Job()
		}
	}
}

func (wkr *Worker) find(ref worker.Ref) *assignment {
	ind := slices.IndexFunc(wkr.tasks, func(asg *assignment) bool { return asg.ref == ref })
	if ind < 0 {
		return nil
	}
	return wkr.tasks[ind]
}

// call runs a method under the present fault.
func call[R any](ctx context.Context, wkr *Worker, act func() R) (R, error) {
	wkr.mu.Lock()
	defer wkr.mu.Unlock()
	var zero R
	if ctx.Err() != nil || wkr.fault == Unavailable {
		return zero, worker.ErrUnavailable
	}
	wkr.expire()
	res := act()
	if wkr.fault == LostReplies {
		return zero, worker.ErrUncertain
	}
	return res, nil
}

// State implements worker.Worker.
func (wkr *Worker) State(ctx context.Context) (worker.Report, error) {
	return call(ctx, wkr, func() worker.Report {
		var reps []worker.TaskReport
		for _, asg := range wkr.tasks {
			reps = append(reps, asg.report())
		}
		slices.SortFunc(reps, func(one, oth worker.TaskReport) int { return one.Ref().Compare(oth.Ref()) })
		return worker.NewReport(wkr.incarnation, wkr.clock(), wkr.capacity).WithTasks(reps)
	})
}

func (asg *assignment) report() worker.TaskReport {
	return worker.NewTaskReport(asg.ref, asg.state).
		WithClass(asg.order.Class()).
		WithResources(asg.order.Resources(), asg.usage()).
		WithDeadline(asg.expires).
		WithProgress(50, asg.cpt).
		WithResult(asg.result, "")
}

// Start implements worker.Worker.
func (wkr *Worker) Start(ctx context.Context, ord worker.StartOrder) (worker.StartResult, error) {
	return call(ctx, wkr, func() worker.StartResult { return wkr.start(ord) })
}

func (wkr *Worker) start(ord worker.StartOrder) worker.StartResult {
	key := taskKey{job: ord.Ref().Job(), index: ord.Ref().Index()}
	switch {
	case ord.Incarnation() != wkr.incarnation:
		return worker.Refused(worker.RefusedIncarnation, "")
	case wkr.find(ord.Ref()) != nil:
		return worker.Started()
	case wkr.clock() >= ord.Deadline():
		return worker.Refused(worker.RefusedDeadline, "")
	case !wkr.highest[key].Less(ord.Ref().Token()):
		return worker.Refused(worker.RefusedToken, "")
	}
	wkr.highest[key] = ord.Ref().Token()
	for _, asg := range wkr.tasks {
		if asg.state == worker.Running && asg.ref.SameTask(ord.Ref()) {
			return worker.Refused(worker.RefusedRunning, "")
		}
	}
	wkr.tasks = append(wkr.tasks, &assignment{ref: ord.Ref(), state: worker.Running, order: ord, expires: ord.Deadline(), cpt: ord.Checkpoint()})
	wkr.starts = append(wkr.starts, ord.Ref())
	_, sum := wkr.running()
	wkr.peak = wkr.peak.Max(sum)
	return worker.Started()
}

// Renew implements worker.Worker.
func (wkr *Worker) Renew(ctx context.Context, leases []worker.Lease) ([]worker.Ref, error) {
	return call(ctx, wkr, func() []worker.Ref {
		var held []worker.Ref
		for _, lea := range leases {
			if asg := wkr.find(lea.Ref()); asg != nil && asg.state == worker.Running {
				asg.expires = max(asg.expires, lea.Deadline())
				held = append(held, lea.Ref())
			}
		}
		return held
	})
}

// Stop implements worker.Worker.
func (wkr *Worker) Stop(ctx context.Context, ref worker.Ref, checkpoint bool) (worker.TaskReport, error) {
	return call(ctx, wkr, func() worker.TaskReport {
		key := taskKey{job: ref.Job(), index: ref.Index()}
		if wkr.highest[key].Less(ref.Token()) {
			wkr.highest[key] = ref.Token()
		}
		asg := wkr.find(ref)
		if asg == nil {
			return worker.NewTaskReport(ref, worker.NotStarted)
		}
		if asg.state == worker.Running {
			asg.state = worker.Stopped
			if checkpoint {
				asg.state, asg.cpt = worker.Checkpointed, "cpt-"+ref.Job()
			}
		}
		return asg.report()
	})
}

// Throttle implements worker.Worker.
func (wkr *Worker) Throttle(ctx context.Context, _ worker.Ref, _ int) error {
	_, err := call(ctx, wkr, func() struct{} { return struct{}{} })
	return err
}

// Forget implements worker.Worker.
func (wkr *Worker) Forget(ctx context.Context, ref worker.Ref) error {
	_, err := call(ctx, wkr, func() struct{} {
		wkr.tasks = slices.DeleteFunc(wkr.tasks, func(asg *assignment) bool { return asg.ref == ref && asg.state.Ended() })
		return struct{}{}
	})
	return err
}
