// Package control runs the one goroutine that owns all control state of a process.
//
// Other goroutines post typed events to a bounded queue and read immutable
// snapshots. The state is never shared, so it needs no lock. An event must not
// block: slow work runs on other goroutines that post its result as an event.
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

// Loop owns a control state and applies events to it in order.
type Loop[S any] struct {
	state    *S
	queue    chan Event[S]
	after    func(*S, time.Time)
	rejected atomic.Uint64
}

// NewLoop returns a loop over the state with a queue of the given capacity.
// The function after, if set, runs after each event, for example to publish a snapshot.
func NewLoop[S any](sta *S, capacity int, after func(*S, time.Time)) *Loop[S] {
	return &Loop[S]{state: sta, queue: make(chan Event[S], capacity), after: after}
}

// Run applies events until the context ends. It must be called once.
func (lop *Loop[S]) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case evt := <-lop.queue:
			lop.apply(evt)
		}
	}
}

func (lop *Loop[S]) apply(evt Event[S]) {
	now := time.Now()
	evt.Apply(lop.state, now)
	if lop.after != nil {
		lop.after(lop.state, now)
	}
}

// Post queues an event and waits for room until the context ends.
func (lop *Loop[S]) Post(ctx context.Context, evt Event[S]) error {
	select {
	case lop.queue <- evt:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// TryPost queues an event if there is room and reports whether it did.
func (lop *Loop[S]) TryPost(evt Event[S]) bool {
	select {
	case lop.queue <- evt:
		return true
	default:
		lop.rejected.Add(1)
		return false
	}
}

// Rejected returns how many events TryPost refused.
func (lop *Loop[S]) Rejected() uint64 { return lop.rejected.Load() }

// Depth returns the number of queued events.
func (lop *Loop[S]) Depth() int { return len(lop.queue) }

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
