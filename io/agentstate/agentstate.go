// Package agentstate composes the control state from which an agent decides what runs on
// its instance: the ledger, the requests and the tasks.
//
// One control loop owns a State. Packages io/serve and io/taskhost post their
// events to it, and other parts of the agent read the View that is published
// after every event that changes it. The loop shares the control thread of the process.
package agentstate

import (
	"context"
	"time"

	"jacinthpost/core/admit"
	"jacinthpost/core/intake"
	"jacinthpost/core/ledger"
	"jacinthpost/core/outcome"
	"jacinthpost/core/reqlog"
	"jacinthpost/core/resource"
	"jacinthpost/core/runner"
	"jacinthpost/core/worker"
	"jacinthpost/io/control"
)

// Answer is the HTTP answer of the endpoint.
type Answer struct {
	status int
	body   []byte
}

// NewAnswer returns an answer. The body must not change afterwards.
func NewAnswer(status int, body []byte) Answer { return Answer{status: status, body: body} }

// Status returns the HTTP status of the endpoint.
func (ans Answer) Status() int { return ans.status }

// Body returns the body of the answer.
func (ans Answer) Body() []byte { return ans.body }

type (
	// Decision is the decision about one request.
	Decision = intake.Decision[Answer]
	// Waiter receives exactly one decision. It must be buffered, so that the control loop never blocks.
	Waiter chan Decision
	// Verdict is the decision about the request of a waiter.
	Verdict = intake.RequestDecision[Waiter, Answer]
	// Ledger is the ledger of the instance.
	Ledger = ledger.Ledger[worker.Ref, reqlog.ID]
	// Intake is the state of the requests.
	Intake = intake.Intake[Waiter, Answer]
)

// Refused returns the decision about a request that was not started.
func Refused(out outcome.Outcome) Decision { return intake.Refused[Answer](out) }

// Site provides the decisions with the state of other parts of the process.
type Site interface {
	intake.Environment
	runner.Environment
}

// State is the control state of one instance. Only the control goroutine may use it.
type State struct {
	ledger *Ledger
	intake *Intake
	runner *runner.Runner
	demand demand
	view   control.Snapshot[View]
}

// New returns the state of an agent that has not heard from its worker. The
// capacity holds the reserve for requests; the reports fill in the rest.
func New(sit Site, cpy ledger.Capacity, opt intake.Options) *State {
	led := &Ledger{}
	led.SetCapacity(cpy)
	sta := &State{
		ledger: led,
		intake: intake.New[Waiter, Answer](led, sit, opt),
		runner: runner.New(led, sit),
	}
	sta.Publish()
	return sta
}

// Ledger returns the ledger.
func (sta *State) Ledger() *Ledger { return sta.ledger }

// Intake returns the state of the requests.
func (sta *State) Intake() *Intake { return sta.intake }

// Runner returns the state of the tasks.
func (sta *State) Runner() *runner.Runner { return sta.runner }

// Deliver sends each decision to its waiter.
func (sta *State) Deliver(vers []Verdict) {
	for _, ver := range vers {
		ver.Value() <- ver.Decision()
	}
}

// View is an immutable snapshot of a State.
type View struct {
	ready    bool
	capacity ledger.Capacity
	free     resource.Vector
	deficit  resource.Vector
	requests int
	queued   int
	endpoint admit.Endpoint
	tasks    []runner.Status
}

// Ready reports whether the worker has reported.
func (vie *View) Ready() bool { return vie.ready }

// Capacity returns the capacity of the instance.
func (vie *View) Capacity() ledger.Capacity { return vie.capacity }

// Free returns the resources that a task could take.
func (vie *View) Free() resource.Vector { return vie.free }

// Deficit returns by how much the commitments exceed the capacity.
func (vie *View) Deficit() resource.Vector { return vie.deficit }

// Requests returns the number of running requests.
func (vie *View) Requests() int { return vie.requests }

// Queued returns the number of queued requests.
func (vie *View) Queued() int { return vie.queued }

// Endpoint returns the state of the endpoint.
func (vie *View) Endpoint() admit.Endpoint { return vie.endpoint }

// Tasks returns the tasks, which must not be changed.
func (vie *View) Tasks() []runner.Status { return vie.tasks }

// Publish makes the present state visible to View. Only the control goroutine may call it.
func (sta *State) Publish() {
	sta.view.Publish(&View{
		ready: sta.ledger.Ready(), capacity: sta.ledger.Capacity(), free: sta.ledger.Free(), deficit: sta.ledger.Deficit(),
		requests: sta.ledger.RequestCount(), queued: sta.intake.Queued(), endpoint: sta.intake.Endpoint(), tasks: sta.runner.Tasks(),
	})
}

// View returns the last published snapshot. Any goroutine may call it.
func (sta *State) View() *View { return sta.view.Load() }

// Loop is the port to the control loop that owns a State.
type Loop interface {
	Post(ctx context.Context, evt control.Event[State]) error
	TryPost(evt control.Event[State]) bool
}

// Ask runs a function on the control goroutine and returns its result.
func Ask[R any](ctx context.Context, lop Loop, ask func(sta *State, now time.Time) R) (R, error) {
	res := make(chan R, 1)
	var zero R
	if err := lop.Post(ctx, control.Func[State](func(sta *State, now time.Time) { res <- ask(sta, now) })); err != nil {
		return zero, err
	}
	select {
	case val := <-res:
		return val, nil
	case <-ctx.Done():
		return zero, ctx.Err()
	}
}
