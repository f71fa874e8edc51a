package entry

import (
	"context"
	"time"

	"jacinthpost/core/attempt"
	"jacinthpost/core/fleet"
	"jacinthpost/core/outcome"
	"jacinthpost/core/route"
	"jacinthpost/core/store"
)

// Limits of keyed requests.
const (
	// rowAnswerLimit is the largest answer body kept in the row; larger ones go to the object store.
	rowAnswerLimit = 64 << 10
	// recordLimit bounds the write of an answer after the caller already has it.
	recordLimit = 30 * time.Second
	recordPause = 200 * time.Millisecond
)

// keyed is one keyed request on its way through this entry.
type keyed struct {
	req      Request
	rowKey   string
	digest   string
	record   attempt.Record
	version  store.Version
	tried    []fleet.InstanceID
	attempts int
}

// serveKeyed runs a keyed request. Every dispatch is preceded by the write of
// its row, so of all entries only the writer of the row's present version dispatches.
func (rqs *Requests[P]) serveKeyed(ctx context.Context, req Request) Answer {
	kyd := &keyed{req: req, rowKey: rowKey(req), digest: digest(req)}
	mine, ans, done := rqs.claim(ctx, kyd, attempt.Record{}, 0)
	for !done {
		if mine {
			mine, ans, done = rqs.dispatch(ctx, kyd)
			continue
		}
		mine, ans, done = rqs.follow(ctx, kyd)
	}
	ans.attempts = kyd.attempts
	return ans
}

// claim writes the row for the first or the next attempt. It reports whether
// this entry may dispatch, or the final answer.
func (rqs *Requests[P]) claim(ctx context.Context, kyd *keyed, prev attempt.Record, ver store.Version) (bool, Answer, bool) {
	can, found := rqs.choose(kyd.req.service, kyd.tried)
	if !found {
		return false, notRun(outcome.ReasonNoEndpoint, "no further endpoint of the service is known"), true
	}
	tgt := attempt.NewTarget(can.Instance(), can.Incarnation(), can.Address())
	requestID := rqs.ports.NextID()
	rec := attempt.Start(kyd.digest, requestID, tgt)
	if ver != 0 {
		rec = prev.Next(requestID, tgt)
	}
	res := rqs.ports.Rows.Set(ctx, kyd.rowKey, ver, encodeRecord(rec))
	if res.Err() != nil {
		// Nothing was dispatched. If the row was written after all, a later
		// caller resolves it: the agent has never seen the request ID.
		return false, notRun(outcome.ReasonStoreUnavailable, "the request could not be recorded"), true
	}
	kyd.version = res.Row().Version()
	if res.Conflict() {
		return rqs.adoptRow(kyd, res.Row())
	}
	kyd.record = rec
	return true, Answer{}, false
}

func (rqs *Requests[P]) adoptRow(kyd *keyed, row store.Row) (bool, Answer, bool) {
	rec, err := decodeRecord(row.Value())
	if err != nil {
		return false, Answer{outcome: outcome.Unknown(outcome.ReasonPeerLost, "the row of the key is unreadable: "+err.Error())}, true
	}
	kyd.record = rec
	kyd.version = row.Version()
	return false, Answer{}, false
}

// dispatch sends the attempt that this entry has recorded.
func (rqs *Requests[P]) dispatch(ctx context.Context, kyd *keyed) (bool, Answer, bool) {
	can := rqs.candidate(kyd.req.service, kyd.record.Target())
	ans := rqs.attempt(ctx, kyd.req, can, kyd.record.RequestID())
	kyd.attempts++
	return rqs.settle(ctx, kyd, ans)
}

// candidate returns the chosen agent with its measurements, or without them when it left meanwhile.
func (rqs *Requests[P]) candidate(svc fleet.Service, tgt attempt.Target) route.Candidate {
	can, found := rqs.ports.Directory().Set(svc).Find(tgt.Instance())
	if found && can.Incarnation() == tgt.Incarnation() {
		return can
	}
	return route.NewCandidate(tgt.Instance(), tgt.Incarnation(), tgt.Address(), new(route.Load))
}

// settle records the end of an attempt and decides whether another one follows.
func (rqs *Requests[P]) settle(ctx context.Context, kyd *keyed, ans Answer) (bool, Answer, bool) {
	switch ans.outcome.Kind() {
	case outcome.KindAnswered:
		rqs.recordAnswer(ctx, kyd, ans)
		return false, ans, true
	case outcome.KindNotRun:
		kyd.tried = append(kyd.tried, kyd.record.Target().Instance())
		return rqs.retry(ctx, kyd, ans)
	default:
		return false, ans, true
	}
}

// retry claims the next attempt after a proved not run, or records the proof and ends.
func (rqs *Requests[P]) retry(ctx context.Context, kyd *keyed, ans Answer) (bool, Answer, bool) {
	proved := kyd.record.NotRun()
	if kyd.attempts < maxAttempts && ctx.Err() == nil && rqs.mayRetry(ans.outcome) {
		mine, end, done := rqs.claim(ctx, kyd, proved, kyd.version)
		if !done || end.outcome.Reason() != outcome.ReasonNoEndpoint {
			return mine, end, done
		}
	}
	rqs.ports.Rows.Set(ctx, kyd.rowKey, kyd.version, encodeRecord(proved))
	return false, ans, true
}

// follow decides on a row that another call has written.
func (rqs *Requests[P]) follow(ctx context.Context, kyd *keyed) (bool, Answer, bool) {
	switch attempt.Decide(kyd.record, kyd.digest) {
	case attempt.StepConflict:
		return false, Answer{conflict: true, outcome: outcome.NotRun(outcome.ReasonAdmission, "the idempotency key was used for another request")}, true
	case attempt.StepReply:
		keyedReplays.Inc()
		return false, rqs.replay(ctx, kyd), true
	case attempt.StepRetry:
		return rqs.claim(ctx, kyd, kyd.record, kyd.version)
	}
	keyedTakeovers.Inc()
	ans := rqs.resolve(ctx, kyd.record.Target(), kyd.record.RequestID())
	ans.requestID = kyd.record.RequestID()
	ans.instance = kyd.record.Target().Instance()
	return rqs.settle(ctx, kyd, ans)
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

// recordAnswer writes the answer to the row without delaying the caller. Until
// it is written the agent still holds the answer.
func (rqs *Requests[P]) recordAnswer(ctx context.Context, kyd *keyed, ans Answer) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordLimit)
	go func() {
		defer cancel()
		for !rqs.tryRecord(ctx, kyd, ans) {
			if !wait(ctx, recordPause) {
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
	rec, _ := attempt.After(kyd.record, ans.outcome, stored)
	res := rqs.ports.Rows.Set(ctx, kyd.rowKey, kyd.version, encodeRecord(rec))
	return res.Err() == nil
}

func notRun(rsn outcome.Reason, detail string) Answer {
	return Answer{outcome: outcome.NotRun(rsn, detail)}
}
