package entry

import (
	"context"
	"time"

	"jacinthpost/core/attempt"
	"jacinthpost/core/fleet"
	"jacinthpost/core/outcome"
	"jacinthpost/core/route"
	"jacinthpost/core/store"
	"jacinthpost/io/control"
)

// Limits of keyed requests.
const (
	// rowAnswerLimit is the largest answer body, in bytes, that is kept in the row. Larger bodies
	// are written to the object store.
	rowAnswerLimit = 64 << 10
	// recordTimeout bounds the attempts to write an outcome, which go on after the caller has it.
	recordTimeout    = 30 * time.Second
	recordRetryPause = 200 * time.Millisecond
)

// step is the next step in serving a keyed request.
type step int

const (
	stepDispatch   step = iota // send the attempt that this entry has recorded
	stepInspectRow             // decide on a row that another call has written
	stepDone                   // return the answer
)

// keyed is the state of a keyed request while this entry serves it.
type keyed struct {
	req      Request
	rowKey   string
	digest   string
	record   attempt.Record
	version  store.Version
	tried    []fleet.InstanceID
	attempts int
}

// serveKeyed runs a keyed request. The row is written before each dispatch, so that of all entries only
// the writer of the current version of the row dispatches.
func (rqs *Requests[P]) serveKeyed(ctx context.Context, req Request) Answer {
	kyd := &keyed{req: req, rowKey: rowKey(req), digest: digest(req)}
	stp, ans := rqs.claim(ctx, kyd, attempt.Record{}, 0)
	for stp != stepDone {
		if stp == stepDispatch {
			stp, ans = rqs.dispatch(ctx, kyd)
		} else {
			stp, ans = rqs.inspectRow(ctx, kyd)
		}
	}
	ans.attempts = kyd.attempts
	return ans
}

// claim writes the row for the first or the next attempt.
func (rqs *Requests[P]) claim(ctx context.Context, kyd *keyed, prev attempt.Record, ver store.Version) (step, Answer) {
	can, found := rqs.choose(kyd.req.service, kyd.tried)
	if !found {
		return stepDone, notRun(outcome.ReasonNoEndpoint, "no further endpoint of the service is known")
	}
	tgt := fleet.NewPeer(can.Instance(), can.Incarnation(), can.Address())
	requestID := rqs.ports.NextID()
	rec := attempt.Start(kyd.digest, requestID, tgt)
	if ver != 0 {
		rec = prev.Next(requestID, tgt)
	}
	res := rqs.ports.Rows.Set(ctx, kyd.rowKey, ver, encodeRecord(rec))
	if res.Err() != nil {
		// Nothing was dispatched. If the row was written in spite of the error, a later request
		// with the key resolves the attempt as not run: the agent has never got the request ID.
		return stepDone, notRun(outcome.ReasonStoreUnavailable, "the request could not be recorded")
	}
	kyd.version = res.Row().Version()
	if res.Conflict() {
		return rqs.adoptRow(kyd, res.Row())
	}
	kyd.record = rec
	return stepDispatch, Answer{}
}

func (rqs *Requests[P]) adoptRow(kyd *keyed, row store.Row) (step, Answer) {
	rec, err := decodeRecord(row.Value())
	if err != nil {
		return stepDone, Answer{outcome: outcome.Unknown(outcome.ReasonPeerLost, "the row of the key is unreadable: "+err.Error())}
	}
	kyd.record = rec
	kyd.version = row.Version()
	return stepInspectRow, Answer{}
}

// dispatch sends the attempt that this entry has recorded.
func (rqs *Requests[P]) dispatch(ctx context.Context, kyd *keyed) (step, Answer) {
	can := rqs.candidate(kyd.req.service, kyd.record.Target())
	ans := rqs.attempt(ctx, kyd.req, can, kyd.record.RequestID())
	kyd.attempts++
	return rqs.handleOutcome(ctx, kyd, ans)
}

// candidate returns the target with its load, or with an empty load if it has left the directory.
func (rqs *Requests[P]) candidate(svc fleet.Service, tgt fleet.Peer) route.Candidate {
	can, found := rqs.ports.Directory().Set(svc).Find(tgt.Instance())
	if found && can.Incarnation() == tgt.Incarnation() {
		return can
	}
	return route.NewCandidate(tgt.Instance(), tgt.Incarnation(), tgt.Address(), new(route.Load))
}

// handleOutcome records the outcome of an attempt and decides whether another attempt follows.
func (rqs *Requests[P]) handleOutcome(ctx context.Context, kyd *keyed, ans Answer) (step, Answer) {
	switch ans.outcome.Kind() {
	case outcome.KindAnswered:
		rqs.recordAnswer(ctx, kyd, ans)
		return stepDone, ans
	case outcome.KindNotRun:
		kyd.tried = append(kyd.tried, kyd.record.Target().Instance())
		return rqs.retry(ctx, kyd, ans)
	default:
		return stepDone, ans
	}
}

// retry claims the next attempt after one that is proved not run. If none is possible, it records the
// attempt as not run.
func (rqs *Requests[P]) retry(ctx context.Context, kyd *keyed, ans Answer) (step, Answer) {
	proved := kyd.record.NotRun()
	if kyd.attempts < maxAttempts && ctx.Err() == nil && rqs.mayRetry(ans.outcome) {
		stp, end := rqs.claim(ctx, kyd, proved, kyd.version)
		if stp != stepDone {
			return stp, end
		}
		if end.outcome.Reason() != outcome.ReasonNoEndpoint {
			rqs.recordNotRun(ctx, kyd, proved)
			return stepDone, end
		}
	}
	if !rqs.trySet(ctx, kyd, proved) {
		rqs.recordNotRun(ctx, kyd, proved)
	}
	return stepDone, ans
}

// recordNotRun writes a record that the store has not taken without delaying the caller.
func (rqs *Requests[P]) recordNotRun(ctx context.Context, kyd *keyed, proved attempt.Record) {
	rqs.inBackground(ctx, func(ctx context.Context) bool { return rqs.trySet(ctx, kyd, proved) })
}

// trySet writes a record and reports whether the row has it or was changed by another call.
func (rqs *Requests[P]) trySet(ctx context.Context, kyd *keyed, rec attempt.Record) bool {
	return rqs.ports.Rows.Set(ctx, kyd.rowKey, kyd.version, encodeRecord(rec)).Err() == nil
}

// inspectRow decides on a row that another call has written.
func (rqs *Requests[P]) inspectRow(ctx context.Context, kyd *keyed) (step, Answer) {
	switch attempt.Decide(kyd.record, kyd.digest) {
	case attempt.StepConflict:
		return stepDone, Answer{conflict: true, outcome: outcome.NotRun(outcome.ReasonAdmission, "the idempotency key was used for another request")}
	case attempt.StepReply:
		keyedReplays.Inc()
		return stepDone, rqs.replay(ctx, kyd)
	case attempt.StepRetry:
		return rqs.claim(ctx, kyd, kyd.record, kyd.version)
	}
	keyedTakeovers.Inc()
	ans := rqs.resolve(ctx, kyd.record.Target(), kyd.record.RequestID())
	ans.requestID = kyd.record.RequestID()
	ans.instance = kyd.record.Target().Instance()
	return rqs.handleOutcome(ctx, kyd, ans)
}

func (rqs *Requests[P]) replay(ctx context.Context, kyd *keyed) Answer {
	rec := kyd.record
	ans := Answer{
		outcome:   outcome.Answered(),
		requestID: rec.RequestID(),
		instance:  rec.Target().Instance(),
		status:    rec.Answer().Status(),
		body:      rec.Answer().Body(),
		replayed:  true,
	}
	if rec.Answer().Object() == "" {
		return ans
	}
	body, err := rqs.ports.Objects.Get(ctx, rec.Answer().Object())
	if err != nil {
		ans.outcome = outcome.Unknown(outcome.ReasonStoreUnavailable, "the request ran; its recorded answer cannot be read now")
		return ans
	}
	ans.body = body
	return ans
}

// recordAnswer writes the answer to the row without delaying the caller. Until then the answer can be
// resolved from the agent.
func (rqs *Requests[P]) recordAnswer(ctx context.Context, kyd *keyed, ans Answer) {
	rqs.inBackground(ctx, func(ctx context.Context) bool { return rqs.tryRecord(ctx, kyd, ans) })
}

// inBackground repeats a write until it succeeds, for recordTimeout at the most. An outcome that is not
// recorded is known to the agent only, and lost when that is replaced.
func (rqs *Requests[P]) inBackground(ctx context.Context, try func(ctx context.Context) bool) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTimeout)
	rqs.recordings.begin()
	go func() {
		defer rqs.recordings.end()
		defer cancel()
		for !try(ctx) {
			if control.Pause(ctx, recordRetryPause) != nil {
				return
			}
		}
	}()
}

func (rqs *Requests[P]) tryRecord(ctx context.Context, kyd *keyed, ans Answer) bool {
	stored := attempt.NewAnswer(ans.status, ans.body)
	if len(ans.body) > rowAnswerLimit {
		object := "answer/" + kyd.record.RequestID()
		if rqs.ports.Objects.Put(ctx, object, ans.body) != nil {
			return false
		}
		stored = attempt.NewStoredAnswer(ans.status, object)
	}
	rec, _ := attempt.ApplyOutcome(kyd.record, ans.outcome, stored)
	return rqs.trySet(ctx, kyd, rec)
}

func notRun(rsn outcome.Reason, detail string) Answer {
	return Answer{outcome: outcome.NotRun(rsn, detail)}
}
