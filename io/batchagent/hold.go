package batchagent

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"jacinthpost/core/batchhost"
	"jacinthpost/core/decision"
	"jacinthpost/core/pacing"
	"jacinthpost/io/control"
)

// hold renews the worker's lease and receives the ends of its runs, with one hold request at a time.
func (agt *Agent) hold(ctx context.Context) {
	answers := true
	for ctx.Err() == nil {
		req, ok := agt.holdRequest(ctx)
		if !ok {
			agt.sleep(ctx, holdRetryDelay)
			continue
		}
		sent := agt.clock()
		lst, res := agt.worker.Hold(ctx, req)
		if ctx.Err() != nil {
			return
		}
		good := res.Outcome == batchhost.Accepted
		if good != answers {
			agt.log.Info(string(decision.WorkerAnswersChanged), zap.Bool("answers", good), zap.String("reason", res.Reason), zap.String("life", string(req.Incarnation)))
			answers = good
		}
		if !good {
			agt.change(ctx, func(sta *state, now time.Time) {
				sta.applyResult(req.Incarnation, req.Token, res, now)
				sta.host.CallFailed(req.Incarnation)
			})
			agt.sleep(ctx, holdRetryDelay)
			continue
		}
		lst.SentAt, lst.ReceivedAt, lst.Forgot = sent, agt.clock(), req.Forgettable
		switch {
		case agt.applyListing(ctx, lst) > 0:
			signal(agt.reportNeeded)
			agt.awaitStored(ctx)
		case len(lst.Ended) > 0:
			// The worker answers at once while it lists an end that is not stored.
			agt.sleep(ctx, holdRetryDelay)
		}
	}
}

func (agt *Agent) holdRequest(ctx context.Context) (HoldRequest, bool) {
	type answer struct {
		req HoldRequest
		ok  bool
	}
	ans, err := control.Query(ctx, agt.loop, func(sta *state, now time.Time) answer {
		hst := sta.host
		if !hst.Announced() || hst.Incarnation() == "" || sta.departed[hst.Incarnation()] {
			return answer{}
		}
		req := HoldRequest{Incarnation: hst.Incarnation(), Token: sta.fence.Token(), Forgettable: hst.Forgettable(), Wait: holdWait}
		if hst.LifeCertain() {
			req.LeaseEnd, _ = hst.LeaseEnd(now)
		}
		if hst.Sharing() {
			req.Wait = sharedWait
		}
		switch {
		case !hst.LifeCertain():
			req.Wait = 0 // the answer tells which incarnation the worker has, and its clock
		case req.Forgettable > 0:
			req.Wait = 0 // see Forgettable
		case req.LeaseEnd == 0:
			req.Wait = min(req.Wait, sharedWait) // the grant has expired and may be renewed
		}
		return answer{req: req, ok: true}
	})
	return ans.req, err == nil && ans.ok
}

func (agt *Agent) applyListing(ctx context.Context, lst batchhost.Listing) int {
	return changeFor(ctx, agt, func(sta *state, _ time.Time) int {
		num := sta.host.ApplyListing(lst)
		vios := sta.host.Violations()
		agt.logViolations(vios)
		if slices.ContainsFunc(vios, func(chg pacing.Change) bool { return chg.Began }) {
			agt.reportSoon(sta)
		}
		if pausing := sta.host.Pausing(); pausing != sta.pausing {
			sta.pausing = pausing
			agt.reportSoon(sta)
			knd := decision.FillingResumed
			if pausing {
				knd = decision.FillingPaused
			}
			agt.log.Info(string(knd), zap.String(decision.KeyInstance, string(agt.id)), zap.Int("runs", len(lst.Runs)))
		}
		return num
	})
}

// reportSoon makes the next message to the owner a report, and sends it at once. The owner places no
// best-effort tasks where they pause, and learns from violations.
func (agt *Agent) reportSoon(sta *state) {
	sta.reports.due = true
	signal(agt.reportNeeded)
}

func (agt *Agent) logViolations(changes []pacing.Change) {
	for _, chg := range changes {
		knd := decision.TargetMet
		if chg.Began {
			knd = decision.TargetExceeded
		}
		agt.log.Info(string(knd), zap.String(decision.KeyJob, chg.Task.Group), zap.String(decision.KeyTask, chg.Task.ID),
			zap.String(decision.KeyInstance, string(agt.id)), zap.String(decision.KeyImage, chg.Task.Image))
	}
}

// awaitStored waits up to storeTimeout until the owner has stored all ends. The worker would list ends
// that are not stored again at once.
func (agt *Agent) awaitStored(ctx context.Context) {
	deadline := time.NewTimer(storeTimeout)
	defer deadline.Stop()
	for {
		open, err := control.Query(ctx, agt.loop, func(sta *state, _ time.Time) int { return sta.host.Unconfirmed() })
		if err != nil || open == 0 {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-deadline.C:
			return
		case <-agt.holdNeeded:
		}
	}
}

// sleep waits for dur or for holdNeeded.
func (agt *Agent) sleep(ctx context.Context, dur time.Duration) {
	tmr := time.NewTimer(dur)
	defer tmr.Stop()
	select {
	case <-ctx.Done():
	case <-tmr.C:
	case <-agt.holdNeeded:
	}
}
