package taskhost

import (
	"context"
	"time"

	"jacinthpost/core/runner"
	"jacinthpost/core/worker"
	"jacinthpost/io/message"
)

// perform executes one effect and posts its result to the loop.
func (hst *Host) perform(eff runner.Effect) {
	switch eff := eff.(type) {
	case runner.Claim:
		hst.claim(eff)
	case runner.Start:
		hst.start(eff)
	case runner.Extend:
		hst.extend(eff)
	case runner.Stop:
		hst.stop(eff)
	case runner.Renew:
		hst.renew(eff)
	case runner.Report:
		hst.report(eff)
	case runner.Forget:
		hst.forget(eff)
	case runner.Throttle:
		hst.throttle(eff)
	}
}

// forget posts no result: its outcome appears in a later state of the worker.
func (hst *Host) forget(fgt runner.Forget) {
	ctx, cancel := context.WithTimeout(hst.base, workerTimeout)
	defer cancel()
	if err := hst.worker.Forget(ctx, fgt.Ref()); err != nil {
		failedCalls("forget").Inc()
	}
}

// throttle posts the confirmation only. Orders without one are repeated.
func (hst *Host) throttle(thr runner.Throttle) {
	ctx, cancel := context.WithTimeout(hst.base, workerTimeout)
	defer cancel()
	if err := hst.worker.Throttle(ctx, thr.Ref(), thr.Percent()); err != nil {
		failedCalls("throttle").Inc()
		return
	}
	hst.post(func(run *runner.Runner, _ time.Time) []runner.Effect {
		run.Throttled(thr.Ref(), thr.Percent())
		return nil
	})
}

func (hst *Host) claim(clm runner.Claim) {
	ctx, cancel := context.WithTimeout(hst.base, claimTimeout)
	defer cancel()
	args := message.ClaimArgs{
		Partition: clm.Partition(), Ref: refMessage(clm.Ref()),
		Instance: string(hst.identity.instance), Incarnation: uint64(hst.identity.incarnation),
	}
	var rep message.ClaimReply
	sent := time.Now()
	err := hst.owners.Call(ctx, clm.Address(), "Owner.Claim", &args, &rep)
	ans := runner.ClaimRefused()
	switch {
	case err != nil:
		failedCalls("claim").Inc()
		ans = runner.ClaimFailed()
	case rep.Granted:
		ans = runner.ClaimGranted(sent, millis(rep.LeaseMillis))
	}
	hst.post(func(run *runner.Runner, now time.Time) []runner.Effect { return run.Claimed(clm.Ref(), ans, now) })
}

func (hst *Host) start(str runner.Start) {
	ctx, cancel := context.WithTimeout(hst.base, startTimeout)
	defer cancel()
	res, err := hst.worker.Start(ctx, str.Order())
	ans := runner.StartAnswered(res)
	if err != nil {
		failedCalls("start").Inc()
		ans = runner.StartFailed()
	}
	hst.post(func(run *runner.Runner, now time.Time) []runner.Effect {
		return run.Started(str.Order().Ref(), ans, now)
	})
}

func (hst *Host) extend(ext runner.Extend) {
	ctx, cancel := context.WithTimeout(hst.base, workerTimeout)
	defer cancel()
	held, err := hst.worker.Renew(ctx, ext.Leases())
	if err != nil {
		failedCalls("renew").Inc()
		return
	}
	hst.post(func(run *runner.Runner, _ time.Time) []runner.Effect {
		run.Extended(ext.Leases(), held)
		return nil
	})
}

func (hst *Host) stop(stp runner.Stop) {
	ctx, cancel := context.WithTimeout(hst.base, stopTimeout)
	defer cancel()
	rep, err := hst.worker.Stop(ctx, stp.Ref(), stp.Checkpoint())
	if err != nil {
		failedCalls("stop").Inc()
	}
	hst.post(func(run *runner.Runner, now time.Time) []runner.Effect {
		run.Stopped(stp.Ref(), rep, err != nil, now)
		return run.Tick(now)
	})
}

func (hst *Host) renew(ren runner.Renew) {
	ctx, cancel := context.WithTimeout(hst.base, ownerTimeout)
	defer cancel()
	args := message.RenewArgs{
		Partition: ren.Call().Partition(), Tasks: statusMessages(ren.Tasks()),
		HeldCount: ren.LeaseSet().Count(), HeldDigest: ren.LeaseSet().Digest(),
		Instance: string(hst.identity.instance), Incarnation: uint64(hst.identity.incarnation),
	}
	var rep message.RenewReply
	var ans runner.RenewAnswer
	sent := time.Now()
	if err := hst.owners.Call(ctx, ren.Call().Address(), "Owner.Renew", &args, &rep); err != nil {
		failedCalls("ownerRenew").Inc()
	} else {
		ans = runner.RenewAnswered(sent, grants(rep), stopOrders(rep.Stop)).
			WithLeaseSetResult(rep.Agreed, rep.Disagreed).WithNext(millis(rep.NextMillis))
	}
	hst.post(func(run *runner.Runner, now time.Time) []runner.Effect { return run.Renewed(ren.Call(), ans, now) })
}

func (hst *Host) report(rpt runner.Report) {
	ctx, cancel := context.WithTimeout(hst.base, ownerTimeout)
	defer cancel()
	args := message.ReportArgs{
		Partition: rpt.Call().Partition(), Ends: endMessages(rpt.Ends()),
		Instance: string(hst.identity.instance), Incarnation: uint64(hst.identity.incarnation),
	}
	var rep message.ReportReply
	err := hst.owners.Call(ctx, rpt.Call().Address(), "Owner.Report", &args, &rep)
	if err != nil {
		failedCalls("report").Inc()
		rep.Recorded = nil
	}
	recorded := make([]worker.Ref, 0, len(rep.Recorded))
	for _, ref := range rep.Recorded {
		recorded = append(recorded, refFrom(ref))
	}
	countEnds(rpt.Ends(), recorded)
	hst.post(func(run *runner.Runner, now time.Time) []runner.Effect {
		return run.Reported(rpt.Call(), recorded, err == nil, now)
	})
}
