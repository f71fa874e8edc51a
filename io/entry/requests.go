package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"jacinthpost/core/fleet"
	"jacinthpost/core/outcome"
	"jacinthpost/core/route"
	"jacinthpost/core/store"
	"jacinthpost/io/control"
	"jacinthpost/io/groupcommit"
	"jacinthpost/io/message"
	"jacinthpost/io/peer"
)

// Limits of one request.
const (
	maxAttempts = 4
	// replyMargin, or a tenth of the remaining time if that is less, is subtracted from the time
	// that the agent gets, so that its answer arrives in time over the regional link (12 ms).
	replyMargin = 30 * time.Millisecond
	// Pauses between Resolve calls for a request that is still running.
	resolveFirstPause   = 20 * time.Millisecond
	resolveLongestPause = 250 * time.Millisecond
)

// Caller calls net/rpc methods of other processes.
type Caller interface {
	Call(ctx context.Context, addr, method string, args, reply any) error
}

// Committer writes single rows by compare-and-set.
type Committer interface {
	Set(ctx context.Context, key string, ver store.Version, value []byte) groupcommit.Result
}

// Ports are the dependencies of Requests.
type Ports struct {
	// Caller reaches the agents.
	Caller Caller
	// Rows writes the rows of keyed requests.
	Rows Committer
	// Objects holds answers too large for a row.
	Objects store.Objects
	// Directory returns the current endpoints.
	Directory func() *Directory
	// NextID returns a request ID that is unique across calls and processes.
	NextID func() string
}

// Requests serves service requests with a routing policy. Serve may be called from any goroutine.
type Requests[P route.Policy] struct {
	ports      Ports
	router     route.Router[P]
	budget     route.Budget
	recordings recordings
}

// NewRequests returns a Requests that uses the ports.
func NewRequests[P route.Policy](prt Ports) *Requests[P] {
	return &Requests[P]{ports: prt}
}

// Serve runs a request and returns its result, at its deadline at the latest.
func (rqs *Requests[P]) Serve(ctx context.Context, req Request) Answer {
	ctx, cancel := context.WithDeadline(ctx, req.deadline)
	defer cancel()
	rqs.budget.Earn()
	begun := time.Now()
	var ans Answer
	if req.key == "" {
		ans = rqs.serveUnkeyed(ctx, req)
	} else {
		ans = rqs.serveKeyed(ctx, req)
	}
	countRequest(req.service, ans.outcome, time.Since(begun))
	return ans
}

// Drain waits until the answers to the keyed requests that were served are recorded. A process that ends
// before would leave them to be resolved from the agents, which may be replaced next.
func (rqs *Requests[P]) Drain(ctx context.Context) error { return rqs.recordings.wait(ctx) }

// serveUnkeyed tries agents until one answers. After an attempt with an unknown outcome it never returns
// "not run", because that attempt may have run even if later attempts are proved not run.
func (rqs *Requests[P]) serveUnkeyed(ctx context.Context, req Request) Answer {
	var tried []fleet.InstanceID
	var unknown *Answer
	last := Answer{outcome: outcome.NotRun(outcome.ReasonNoEndpoint, "no endpoint of the service is known")}
	for num := range maxAttempts {
		can, found := rqs.choose(req.service, tried)
		if !found {
			break
		}
		if num > 0 && !rqs.mayRetry(last.outcome) {
			break
		}
		last = rqs.attempt(ctx, req, can, rqs.ports.NextID())
		last.attempts = num + 1
		if last.outcome.Kind() == outcome.KindUnknown {
			keep := last
			unknown = &keep
		}
		if !last.outcome.Retryable(req.idempotent) || ctx.Err() != nil {
			break
		}
		tried = append(tried, can.Instance())
	}
	if unknown != nil && last.outcome.Kind() == outcome.KindNotRun {
		unknown.attempts = last.attempts
		return *unknown
	}
	return last
}

// mayRetry reports whether the retry budget allows another attempt after an outcome.
func (rqs *Requests[P]) mayRetry(out outcome.Outcome) bool {
	if !route.RetryCostsBudget(out) || rqs.budget.Spend() {
		return true
	}
	retriesRefused.Inc()
	return false
}

func (rqs *Requests[P]) choose(svc fleet.Service, tried []fleet.InstanceID) (route.Candidate, bool) {
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	can, tier, found := rqs.router.Next(rqs.ports.Directory().Set(svc), tried, time.Now(), rng)
	if found {
		countTier(tier)
	}
	return can, found
}

// attempt sends a request to one agent, determines its outcome and records it in the load.
func (rqs *Requests[P]) attempt(ctx context.Context, req Request, can route.Candidate, requestID string) Answer {
	loa := can.Load()
	loa.Begin()
	begun := time.Now()
	ans := rqs.send(ctx, req, can, requestID)
	loa.End()
	ans.requestID = requestID
	ans.instance = can.Instance()
	loa.Record(ans.outcome, time.Since(begun), time.Now())
	return ans
}

func (rqs *Requests[P]) send(ctx context.Context, req Request, can route.Candidate, requestID string) Answer {
	deadline, _ := ctx.Deadline()
	remaining := time.Until(deadline)
	remaining -= min(replyMargin, remaining/10)
	if remaining <= 0 {
		return Answer{outcome: outcome.NotRun(outcome.ReasonDeadline, "the deadline passed before the request was sent")}
	}
	args := message.ServeArgs{
		RequestID:       requestID,
		Service:         string(req.service),
		Workspace:       string(req.workspace),
		Path:            req.path,
		Method:          "POST",
		Body:            req.body,
		RemainingMillis: max(1, remaining.Milliseconds()),
		Batch:           req.batch,
	}
	var reply message.ServeReply
	err := rqs.ports.Caller.Call(ctx, can.Address(), "Agent.Serve", args, &reply)
	switch {
	case err == nil:
		return checkedAnswer(requestID, reply)
	case errors.Is(err, peer.ErrNotSent):
		return Answer{outcome: outcome.NotRun(outcome.ReasonPeerLost, err.Error())}
	case ctx.Err() != nil:
		return Answer{outcome: outcome.Unknown(outcome.ReasonTimeout, "no answer before the deadline")}
	case req.idempotent && req.key == "":
		// Another agent can run the request at once. Resolve calls to an agent that does not
		// answer take another second.
		return Answer{outcome: outcome.Unknown(outcome.ReasonPeerLost, err.Error())}
	}
	return rqs.resolve(ctx, fleet.NewPeer(can.Instance(), can.Incarnation(), can.Address()), requestID)
}

// checkedAnswer returns the answer in a reply. Its outcome is unknown if the reply belongs to another
// request or its body is incomplete.
func checkedAnswer(requestID string, reply message.ServeReply) Answer {
	if reply.RequestID != requestID {
		mismatchedReplies.Inc()
		return Answer{outcome: outcome.Unknown(outcome.ReasonBrokenBody, "the reply belongs to another request")}
	}
	if reply.BodyLength != len(reply.Body) {
		return Answer{outcome: outcome.Unknown(outcome.ReasonBrokenBody, "the answer is truncated")}
	}
	return Answer{outcome: outcomeOf(reply), status: reply.Status, body: reply.Body}
}

func outcomeOf(reply message.ServeReply) outcome.Outcome {
	switch reply.Outcome {
	case outcome.KindAnswered.String():
		return outcome.Answered()
	case outcome.KindNotRun.String():
		return outcome.NotRun(outcome.Reason(reply.Reason), reply.Detail)
	default:
		return outcome.Unknown(outcome.Reason(reply.Reason), reply.Detail)
	}
}

// resolve calls Agent.Resolve until the request is no longer running.
func (rqs *Requests[P]) resolve(ctx context.Context, tgt fleet.Peer, requestID string) Answer {
	resolves.Inc()
	args := message.ResolveArgs{RequestID: requestID, Incarnation: uint64(tgt.Incarnation())}
	pause := resolveFirstPause
	for {
		var reply message.ResolveReply
		err := rqs.ports.Caller.Call(ctx, tgt.Address(), "Agent.Resolve", args, &reply)
		switch {
		case err != nil:
			return Answer{outcome: outcome.Unknown(outcome.ReasonPeerLost, "the agent cannot be asked: "+err.Error())}
		case reply.State == message.ResolvedAnswered:
			return checkedAnswer(requestID, reply.Answer)
		case reply.State == message.ResolvedNotRun:
			return Answer{outcome: outcome.NotRun(outcome.ReasonFenced, "the agent never started the request and refuses it from now on")}
		case reply.State != message.ResolvedRunning:
			return Answer{outcome: outcome.Unknown(outcome.ReasonPeerLost, "the agent no longer knows the request")}
		}
		if control.Pause(ctx, pause) != nil {
			return Answer{outcome: outcome.Unknown(outcome.ReasonTimeout, "the request is still running")}
		}
		pause = min(2*pause, resolveLongestPause)
	}
}
