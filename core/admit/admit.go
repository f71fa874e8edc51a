// Package admit queues service requests in front of the slots of an endpoint.
//
// The queue is bounded and knows deadlines. It refuses a request at once, with a
// reason that is true, when it has no room, when a limit is reached or when the
// request would still wait at its deadline, and it gives up queued requests at
// their deadline. All of these were never started, so they are "not run".
//
// The expected wait comes from observed service times: with all slots busy, one
// of them becomes free every (mean service time / slots) on average. A request
// that would start at once is never refused because of an estimate, so a wrong
// estimate corrects itself as soon as a slot is free.
//
// The order and the displacement of requests are a policy. The queue is a
// sorted slice: it holds a few hundred entries at most, and the position of a
// new entry, which the estimate needs, comes for free. It is not safe for
// concurrent use: the control goroutine owns it. The zero value refuses everything.
package admit

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"jacinthpost/core/fleet"
	"jacinthpost/core/outcome"
)

// Request is what admission knows of a service request.
type Request struct {
	service   fleet.Service
	workspace fleet.Workspace
	batch     bool
	deadline  time.Time
}

// NewRequest returns a request that has to start before the deadline.
func NewRequest(svc fleet.Service, wsp fleet.Workspace, batch bool, deadline time.Time) Request {
	return Request{service: svc, workspace: wsp, batch: batch, deadline: deadline}
}

// Service returns the service asked for.
func (req Request) Service() fleet.Service { return req.service }

// Workspace returns the workspace on whose behalf the request runs.
func (req Request) Workspace() fleet.Workspace { return req.workspace }

// Batch reports whether the request is not latency-critical.
func (req Request) Batch() bool { return req.batch }

// Deadline returns when the caller stops waiting.
func (req Request) Deadline() time.Time { return req.deadline }

// Policy orders queued requests.
type Policy interface {
	// Before reports whether a request runs before another one that arrived earlier.
	Before(req, earlier Request) bool
	// Displaces reports whether a request takes the place of a queued one when the queue is full.
	Displaces(req, queued Request) bool
}

// CriticalFirst runs latency-critical requests before batch requests, each in
// order of their deadlines. A latency-critical request displaces a batch request.
type CriticalFirst struct{}

// Before implements Policy.
func (CriticalFirst) Before(req, earlier Request) bool {
	if req.batch != earlier.batch {
		return earlier.batch
	}
	return req.deadline.Before(earlier.deadline)
}

// Displaces implements Policy.
func (CriticalFirst) Displaces(req, queued Request) bool { return !req.batch && queued.batch }

// FIFO is the baseline: requests run in order of arrival.
type FIFO struct{}

// Before implements Policy.
func (FIFO) Before(_, _ Request) bool { return false }

// Displaces implements Policy.
func (FIFO) Displaces(_, _ Request) bool { return false }

// Limits bounds the outstanding requests, queued and running. Zero means no limit.
type Limits struct {
	perService   int
	perWorkspace int
}

// NewLimits returns limits on the outstanding requests of one service and of one workspace.
func NewLimits(perService, perWorkspace int) Limits {
	return Limits{perService: perService, perWorkspace: perWorkspace}
}

// PerService returns the limit on the outstanding requests of one service.
func (lim Limits) PerService() int { return lim.perService }

// PerWorkspace returns the limit on the outstanding requests of one workspace.
func (lim Limits) PerWorkspace() int { return lim.perWorkspace }

// Item is a queued request with the caller's value.
type Item[V any] struct {
	request Request
	value   V
	ticket  uint64
	arrived time.Time
}

// Request returns the request.
func (itm Item[V]) Request() Request { return itm.request }

// Value returns the caller's value.
func (itm Item[V]) Value() V { return itm.value }

// Arrived returns when the request was queued.
func (itm Item[V]) Arrived() time.Time { return itm.arrived }

// Ticket identifies a queued request for Cancel.
type Ticket uint64

// Queue holds the requests that wait for a slot.
type Queue[V any, P Policy] struct {
	policy     P
	capacity   int
	items      []Item[V]
	last       uint64
	services   map[fleet.Service]int
	workspaces map[fleet.Workspace]int
	estimate   WaitEstimator
}

// New returns a queue for at most capacity requests.
func New[V any, P Policy](capacity int, pol P) *Queue[V, P] {
	return &Queue[V, P]{policy: pol, capacity: capacity}
}

// Load is the state of the endpoint's slots at the time of an offer.
type Load struct {
	slots   int
	running int
}

// NewLoad returns the load of an endpoint.
func NewLoad(slots, running int) Load { return Load{slots: slots, running: running} }

// Decision is the answer to an offer.
type Decision[V any] struct {
	ticket    Ticket
	refusal   outcome.Outcome
	accepted  bool
	displaced []Item[V]
}

// Accepted reports whether the request was queued.
func (dec Decision[V]) Accepted() bool { return dec.accepted }

// Ticket returns the identity of the queued request.
func (dec Decision[V]) Ticket() Ticket { return dec.ticket }

// Refusal returns why the request was not queued.
func (dec Decision[V]) Refusal() outcome.Outcome { return dec.refusal }

// Displaced returns the requests that lost their place; they were not run.
func (dec Decision[V]) Displaced() []Item[V] { return dec.displaced }

// Offer queues a request or refuses it. Each accepted request counts towards the
// limits until Next, Cancel or an expiry returned it and Done was called.
func (que *Queue[V, P]) Offer(req Request, val V, now time.Time, loa Load, lim Limits) Decision[V] {
	pos := sort.Search(len(que.items), func(ind int) bool { return que.policy.Before(req, que.items[ind].request) })
	if out, refused := que.refuse(req, pos, now, loa, lim); refused {
		return Decision[V]{refusal: out}
	}
	var displaced []Item[V]
	if len(que.items) >= que.capacity {
		lst := len(que.items) - 1
		if lst < 0 || !que.policy.Displaces(req, que.items[lst].request) {
			return Decision[V]{refusal: outcome.NotRun(outcome.ReasonQueueFull, fmt.Sprintf("%d requests wait", len(que.items)))}
		}
		displaced = []Item[V]{que.items[lst]}
		que.items = que.items[:lst]
		que.Done(displaced[0].request)
	}
	que.last++
	que.items = slices.Insert(que.items, pos, Item[V]{request: req, value: val, ticket: que.last, arrived: now})
	que.count(req, 1)
	return Decision[V]{accepted: true, ticket: Ticket(que.last), displaced: displaced}
}

func (que *Queue[V, P]) refuse(req Request, pos int, now time.Time, loa Load, lim Limits) (outcome.Outcome, bool) {
	switch {
	case !now.Before(req.deadline):
		return outcome.NotRun(outcome.ReasonDeadline, "the deadline has passed"), true
	case lim.perService > 0 && que.services[req.service] >= lim.perService:
		return outcome.NotRun(outcome.ReasonAdmission, "the limit of the service is reached"), true
	case lim.perWorkspace > 0 && que.workspaces[req.workspace] >= lim.perWorkspace:
		return outcome.NotRun(outcome.ReasonAdmission, "the limit of the workspace is reached"), true
	}
	if wait := que.estimate.Wait(pos, loa); now.Add(wait).After(req.deadline) {
		return outcome.NotRun(outcome.ReasonDeadline, fmt.Sprintf("expected to wait %v", wait)), true
	}
	return outcome.Outcome{}, false
}

// Next removes the first request that can still start before its deadline.
// fits tells whether there is room for a request; the requests that passed
// their deadline are returned as given up.
func (que *Queue[V, P]) Next(now time.Time, fits func(Request) bool) (nxt Item[V], found bool, expired []Item[V]) {
	for ind := 0; ind < len(que.items); {
		itm := que.items[ind]
		switch {
		case !now.Before(itm.request.deadline):
			expired = append(expired, itm)
			que.items = slices.Delete(que.items, ind, ind+1)
			que.Done(itm.request)
		case fits(itm.request):
			que.items = slices.Delete(que.items, ind, ind+1)
			return itm, true, expired
		default:
			ind++
		}
	}
	return Item[V]{}, false, expired
}

// Cancel removes a queued request and reports whether it was still queued.
func (que *Queue[V, P]) Cancel(tic Ticket) bool {
	ind := slices.IndexFunc(que.items, func(itm Item[V]) bool { return itm.ticket == uint64(tic) })
	if ind < 0 {
		return false
	}
	que.Done(que.items[ind].request)
	que.items = slices.Delete(que.items, ind, ind+1)
	return true
}

// Clear removes and returns all queued requests.
func (que *Queue[V, P]) Clear() []Item[V] {
	items := que.items
	que.items = nil
	for _, itm := range items {
		que.Done(itm.request)
	}
	return items
}

// Done ends the count of a request returned by Next.
func (que *Queue[V, P]) Done(req Request) { que.count(req, -1) }

// Observe adds the service time of a request that ran.
func (que *Queue[V, P]) Observe(took time.Duration) { que.estimate.Observe(took) }

// Len returns the number of queued requests.
func (que *Queue[V, P]) Len() int { return len(que.items) }

// Mean returns the mean of the observed service times.
func (que *Queue[V, P]) MeanServiceTime() time.Duration { return que.estimate.Mean() }

func (que *Queue[V, P]) count(req Request, dlt int) {
	if que.services == nil {
		que.services = make(map[fleet.Service]int)
		que.workspaces = make(map[fleet.Workspace]int)
	}
	addOrDelete(que.services, req.service, dlt)
	addOrDelete(que.workspaces, req.workspace, dlt)
}

// addOrDelete keeps the map as small as the set of keys with outstanding requests.
func addOrDelete[K comparable](counts map[K]int, key K, dlt int) {
	num := counts[key] + dlt
	if num < 0 {
		panic(fmt.Sprintf("admit: %v has %d outstanding requests", key, num))
	}
	if num == 0 {
		delete(counts, key)
		return
	}
	counts[key] = num
}
