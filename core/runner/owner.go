package runner

import (
	"slices"
	"time"

	"jacinthpost/core/lease"
	"jacinthpost/core/worker"
)

// partition is what the agent knows of the owner of one partition.
type partition struct {
	number    int
	epoch     uint64
	address   string
	doubtful  bool // the last call failed, so the address may be outdated
	sequence  uint64
	renewAt   time.Time
	reportAt  time.Time
	renewing  uint64 // sequence of the renewal that is not answered, or zero
	reporting uint64 // sequence of the report that is not answered, or zero
	// round changes whenever the owner may believe something else than the agent.
	// The tasks that were granted one by one in the present round make up the set
	// that is renewed in one step.
	round uint64
	held  []worker.Ref // set of the renewal that is not answered
}

func (run *Runner) partition(num int) *partition {
	pos, found := slices.BinarySearchFunc(run.partitions, num, func(par *partition, oth int) int { return par.number - oth })
	if !found {
		run.partitions = slices.Insert(run.partitions, pos, &partition{number: num, round: 1})
	}
	return run.partitions[pos]
}

// follow turns to an owner whose epoch is not lower than the known one. Exchanges
// with an owner of a lower epoch are abandoned.
func (par *partition) follow(epoch uint64, addr string) {
	if epoch > par.epoch {
		par.epoch = epoch
		par.renewing, par.reporting = 0, 0
		par.round++
	}
	par.address, par.doubtful = addr, false
}

func (par *partition) renewBy(due time.Time) {
	if par.renewAt.IsZero() || due.Before(par.renewAt) {
		par.renewAt = due
	}
}

func (par *partition) reportBy(due time.Time) {
	if par.reportAt.IsZero() || due.Before(par.reportAt) {
		par.reportAt = due
	}
}

// call starts an exchange with the owner, if it is known.
func (run *Runner) call(par *partition) (Call, bool) {
	if par.address == "" || par.doubtful {
		if addr, known := run.site.Owner(par.number); known {
			par.address, par.doubtful = addr, false
		}
	}
	par.sequence++
	return Call{partition: par.number, address: par.address, sequence: par.sequence}, par.address != ""
}

func (run *Runner) tickPartition(par *partition, now time.Time) []Effect {
	var efs []Effect
	if par.reporting == 0 && !par.reportAt.IsZero() && !now.Before(par.reportAt) {
		efs = append(efs, run.report(par, now)...)
	}
	if par.renewing == 0 && !par.renewAt.IsZero() && !now.Before(par.renewAt) {
		efs = append(efs, run.renew(par, now)...)
	}
	return efs
}

func (run *Runner) renew(par *partition, now time.Time) []Effect {
	set, held, tasks := run.renewable(par)
	if set.Count()+len(tasks) == 0 {
		par.renewAt = time.Time{}
		return nil
	}
	cal, known := run.call(par)
	if !known || now.Sub(run.clock.received) > MaxReportAgeToRenew {
		par.renewAt = now.Add(RetryPeriod)
		return nil
	}
	par.renewing, par.held = cal.sequence, held
	return []Effect{Renew{call: cal, held: set, tasks: tasks}}
}

// renewable returns the set of assignments that the owner has granted one by one
// in the present round, and the status of the others and of those in the set that
// have something new to tell. A task that is being stopped is never in the set.
func (run *Runner) renewable(par *partition) (set lease.Set, held []worker.Ref, tasks []Status) {
	for _, tsk := range run.tasks {
		if tsk.partition != par.number || tsk.phase != Running && (tsk.phase != Stopping || tsk.confirmed.IsZero()) {
			continue
		}
		member := tsk.phase == Running && tsk.round == par.round && tsk.lease > 0
		if member {
			set = set.With(tsk.ref.Job(), tsk.ref.Index(), tsk.ref.Token())
			held = append(held, tsk.ref)
		}
		sta := tsk.status()
		sta.settled = run.clock.received.Sub(tsk.confirmed) >= newsSettled
		if !member || sta.news(tsk.told) {
			tsk.told = sta
			tasks = append(tasks, sta)
		}
	}
	return set, held, tasks
}

// Renewed takes the answer to a renewal.
func (run *Runner) Renewed(cal Call, ans RenewAnswer, now time.Time) []Effect {
	par := run.partition(cal.partition)
	if par.renewing != cal.sequence {
		return nil
	}
	par.renewing = 0
	if !ans.answered {
		par.doubtful, par.renewAt = true, now.Add(RetryPeriod)
		par.round++ // the owner may not have heard what was told
		return nil
	}
	par.renewAt = ans.renewAt(now)
	if ans.empty() {
		// A process that does not own the partition has nothing to say about its tasks,
		// and one that knows no sets answers lists only.
		par.doubtful, par.renewAt = true, now.Add(RetryPeriod)
		par.round++
	}
	if ans.agreed {
		run.prolongHeld(par.held, ans.sent)
	}
	if ans.disagreed {
		par.round++
		par.renewAt = now
	}
	for _, grt := range ans.grants {
		run.prolong(grt, par.round, ans.sent)
	}
	par.held = nil
	efs := run.extend(now)
	for _, ord := range ans.stops {
		efs = append(efs, run.Stop(cal.partition, ord, now)...)
	}
	return efs
}

// renewAt returns when the next renewal is sent: when the owner wishes, but no
// later than a period after the last one and not much earlier.
func (ans RenewAnswer) renewAt(now time.Time) time.Time {
	due := ans.sent.Add(RenewPeriod)
	if wish := now.Add(max(ans.next, RenewPeriod-RenewWindow)); ans.next > 0 && wish.Before(due) {
		return wish
	}
	return due
}

// prolongHeld renews the assignments that a renewal described as a set. A lease's
// length is fixed at submission, so it is the one of the last single grant.
func (run *Runner) prolongHeld(held []worker.Ref, sent time.Time) {
	for _, ref := range held {
		if tsk := run.find(ref); tsk != nil {
			run.prolong(Grant{ref: ref, lease: tsk.lease}, tsk.round, sent)
		}
	}
}

func (run *Runner) prolong(grt Grant, round uint64, sent time.Time) {
	tsk := run.find(grt.ref)
	if tsk == nil || tsk.phase != Running && tsk.phase != Stopping {
		return
	}
	tsk.round = round
	if end := lease.HolderEnd(sent, grt.lease); end.After(tsk.leaseEnd) {
		tsk.lease, tsk.leaseEnd, tsk.extendAt = grt.lease, end, time.Time{}
	}
}

func (run *Runner) report(par *partition, now time.Time) []Effect {
	var ends []End
	for _, tsk := range run.tasks {
		if tsk.partition == par.number && tsk.phase == Ended {
			ends = append(ends, tsk.end)
		}
	}
	if len(ends) == 0 {
		par.reportAt = time.Time{}
		return nil
	}
	par.reportAt = now.Add(RetryPeriod)
	cal, known := run.call(par)
	if !known {
		return nil
	}
	par.reporting = cal.sequence
	return []Effect{Report{call: cal, ends: ends}}
}

// Reported takes the assignments whose end the owner has recorded. Ends that are
// not recorded are reported again.
func (run *Runner) Reported(cal Call, recorded []worker.Ref, answered bool, now time.Time) []Effect {
	par := run.partition(cal.partition)
	if par.reporting == cal.sequence {
		par.reporting = 0
		par.reportAt = now.Add(RetryPeriod)
		// A process that does not own the partition records nothing.
		par.doubtful = !answered || len(recorded) == 0
	}
	var efs []Effect
	for _, ref := range recorded {
		tsk := run.find(ref)
		if tsk == nil || tsk.phase != Ended {
			continue
		}
		if !tsk.touched {
			run.remove(tsk)
			continue
		}
		tsk.phase = Recorded
		efs = append(efs, Forget{ref: ref})
	}
	return efs
}

// Adopt turns to a new owner of a partition and returns the assignments that the
// owner must not give to another instance yet: those that may run, those whose
// grant may be under way, and those whose end is not recorded. It refuses an
// owner whose epoch is lower than the known one.
func (run *Runner) Adopt(num int, epoch uint64, addr string, now time.Time) ([]Status, bool) {
	par := run.partition(num)
	if epoch < par.epoch {
		return nil, false
	}
	par.follow(epoch, addr)
	par.renewBy(now)
	par.reportBy(now)
	var held []Status
	for _, tsk := range run.tasks {
		if tsk.partition == num && tsk.phase < Recorded && (tsk.phase > Offered || tsk.claimed) {
			held = append(held, tsk.status())
		}
	}
	return held, true
}
