// Package control runs the one goroutine that owns all control state of a process.
//
// Other goroutines post typed events to a bounded queue and read immutable
// snapshots. The state is never shared, so it needs no lock. An event must not
// block: slow work runs on other goroutines that post its result as an event.
// The components of a process share one Thread; each has a Loop over its own
// part of the state.
package control

import (
	"context"
	"sync/atomic"
	"time"
)

// Event is one typed change to the control state S.
type Event[S any] interface {
	Apply(sta *S, now time.Time)
}

// Func adapts a function to Event.
type Func[S any] func(sta *S, now time.Time)

// Apply calls the function.
func (fun Func[S]) Apply(sta *S, now time.Time) { fun(sta, now) }

// Thread is the goroutine and the bounded queue that the loops of a process share.
type Thread struct {
	queue    chan func(now time.Time)
	rejected atomic.Uint64
	clock    func() time.Time
}

// NewThread returns a thread with a queue of the given capacity.
func NewThread(capacity int) *Thread {
	return &Thread{queue: make(chan func(time.Time), capacity)}
}

// SetClock replaces the clock that times the events. It must be called before Run.
func (thr *Thread) SetClock(clk func() time.Time) { thr.clock = clk }

// Run applies events until the context ends. It must be called once.
func (thr *Thread) Run(ctx context.Context) {
	now := time.Now
	if thr.clock != nil {
		now = thr.clock
	}
	for {
		select {
		case <-ctx.Done():
			return
		case run := <-thr.queue:
			run(now())
		}
	}
}

// Execute implements Executor.
func (thr *Thread) Execute(ctx context.Context, work func(now time.Time)) error {
	select {
	case thr.queue <- work:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// TryExecute implements Executor.
func (thr *Thread) TryExecute(work func(now time.Time)) bool {
	select {
	case thr.queue <- work:
		return true
	default:
		thr.rejected.Add(1)
		return false
	}
}

// Rejected returns how many events were refused because the queue was full.
func (thr *Thread) Rejected() uint64 { return thr.rejected.Load() }

// Depth returns the number of queued events.
func (thr *Thread) Depth() int { return len(thr.queue) }

// Loop applies events to one part of the control state, in order.
type Loop[S any] struct {
	thread *Thread
	state  *S
	after  func(*S, time.Time)
}

// NewLoop returns a loop over the state with a thread of its own. The function
// after, if set, runs after each event, for example to publish a snapshot.
func NewLoop[S any](sta *S, capacity int, after func(*S, time.Time)) *Loop[S] {
	return NewLoopOn(NewThread(capacity), sta, after)
}

// NewLoopOn returns a loop over the state on a shared thread.
func NewLoopOn[S any](thr *Thread, sta *S, after func(*S, time.Time)) *Loop[S] {
	return &Loop[S]{thread: thr, state: sta, after: after}
}

// Run runs the thread of the loop. Loops on a shared thread are run through the thread.
func (lop *Loop[S]) Run(ctx context.Context) { lop.thread.Run(ctx) }

func (lop *Loop[S]) bind(evt Event[S]) func(time.Time) {
	return func(now time.Time) {
		evt.Apply(lop.state, now)
		if lop.after != nil {
			lop.after(lop.state, now)
		}
	}
}

// Post queues an event and waits for room until the context ends.
func (lop *Loop[S]) Post(ctx context.Context, evt Event[S]) error {
	return lop.thread.Execute(ctx, lop.bind(evt))
}

// TryPost queues an event if there is room and reports whether it did.
func (lop *Loop[S]) TryPost(evt Event[S]) bool { return lop.thread.TryExecute(lop.bind(evt)) }

// Rejected returns how many events TryPost refused on the thread.
func (lop *Loop[S]) Rejected() uint64 { return lop.thread.Rejected() }

// Depth returns the number of events queued on the thread.
func (lop *Loop[S]) Depth() int { return lop.thread.Depth() }

// Tick posts the event made by next at each period until the context ends.
// A tick that finds the queue full is dropped: the next one does its work.
func Tick[S any](ctx context.Context, lop *Loop[S], period time.Duration, next func() Event[S]) {
	tkr := time.NewTicker(period)
	defer tkr.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tkr.C:
			lop.TryPost(next())
		}
	}
}

// Query runs a function on the control goroutine and returns its result.
func Query[S, R any](ctx context.Context, lop *Loop[S], ask func(sta *S, now time.Time) R) (R, error) {
	res := make(chan R, 1)
	err := lop.Post(ctx, Func[S](func(sta *S, now time.Time) { res <- ask(sta, now) }))
	if err != nil {
		var zero R
		return zero, err
	}
	select {
	case val := <-res:
		return val, nil
	case <-ctx.Done():
		var zero R
		return zero, ctx.Err()
	}
}

// Snapshot publishes immutable values from the control goroutine to traffic goroutines.
type Snapshot[T any] struct {
	current atomic.Pointer[T]
}

// Publish replaces the value. The value must not change afterwards.
func (snp *Snapshot[T]) Publish(val *T) { snp.current.Store(val) }

// Load returns the latest value, or nil before the first Publish.
func (snp *Snapshot[T]) Load() *T { return snp.current.Load() }

// Executor runs functions on a control goroutine. Components that keep their
// state on the loop of their process depend on it and not on the type of that loop.
type Executor interface {
	// Execute queues a function and waits for room until the context ends.
	Execute(ctx context.Context, work func(now time.Time)) error
	// TryExecute queues a function if there is room and reports whether it did.
	TryExecute(work func(now time.Time)) bool
}

// Execute implements Executor.
func (lop *Loop[S]) Execute(ctx context.Context, work func(now time.Time)) error {
	return lop.Post(ctx, Func[S](func(_ *S, now time.Time) { work(now) }))
}

// TryExecute implements Executor.
func (lop *Loop[S]) TryExecute(work func(now time.Time)) bool {
	return lop.TryPost(Func[S](func(_ *S, now time.Time) { work(now) }))
}
