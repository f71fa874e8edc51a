package runner

import (
	"slices"
	"time"

	"jacinthpost/core/lease"
	"jacinthpost/core/worker"
)

// partition is the state of the communication with the owner of one partition.
type partition struct {
	number         int
	epoch          uint64
	address        string
	addressSuspect bool // the last call failed, so the owner may have moved
	sequence       uint64
	renewAt        time.Time
	reportAt       time.Time
	pendingRenewal uint64 // sequence of the unanswered renewal, or zero
	pendingReport  uint64 // sequence of the unanswered report, or zero
	// leaseSetGeneration changes whenever the owner's view may differ from the agent's.
	// Tasks that were granted individually in the current generation are renewed as
	// one set.
	leaseSetGeneration uint64
	pendingLeaseSet    []worker.Ref // set in the unanswered renewal
}

func (run *Runner) partition(num int) *partition {
	pos, found := slices.BinarySearchFunc(run.partitions, num, func(par *partition, oth int) int { return par.number - oth })
	if !found {
		run.partitions = slices.Insert(run.partitions, pos, &partition{number: num, leaseSetGeneration: 1})
	}
	return run.partitions[pos]
}

// setOwner sets the owner, whose epoch must not be lower than the known one.
// Unanswered calls to an owner of a lower epoch are abandoned.
func (par *partition) setOwner(epoch uint64, addr string) {
	if epoch > par.epoch {
		par.epoch = epoch
		par.pendingRenewal, par.pendingReport = 0, 0
		par.leaseSetGeneration++
	}
	par.address, par.addressSuspect = addr, false
}

func (par *partition) renewNoLaterThan(due time.Time) {
	if par.renewAt.IsZero() || due.Before(par.renewAt) {
		par.renewAt = due
	}
}

func (par *partition) reportNoLaterThan(due time.Time) {
	if par.reportAt.IsZero() || due.Before(par.reportAt) {
		par.reportAt = due
	}
}

// newCall returns the identity of a new call to the owner, and whether the owner's address is known.
func (run *Runner) newCall(par *partition) (Call, bool) {
	if par.address == "" || par.addressSuspect {
		if addr, known := run.env.Owner(par.number); known {
			par.address, par.addressSuspect = addr, false
		}
	}
	par.sequence++
	return Call{partition: par.number, address: par.address, sequence: par.sequence}, par.address != ""
}

func (run *Runner) tickPartition(par *partition, now time.Time) []Effect {
	var efs []Effect
	if par.pendingReport == 0 && !par.reportAt.IsZero() && !now.Before(par.reportAt) {
		efs = append(efs, run.report(par, now)...)
	}
	if par.pendingRenewal == 0 && !par.renewAt.IsZero() && !now.Before(par.renewAt) {
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
	cal, known := run.newCall(par)
	if !known || now.Sub(run.clock.receivedAt) > MaxReportAgeToRenew {
		par.renewAt = now.Add(RetryPeriod)
		return nil
	}
	par.pendingRenewal, par.pendingLeaseSet = cal.sequence, held
	return []Effect{Renew{call: cal, set: set, tasks: tasks}}
}

// renewable returns the set of assignments that the owner has granted individually
// in the current generation, and the status of those that are not in the set or
// whose status has changed. A task that is being stopped is never in the set.
func (run *Runner) renewable(par *partition) (set lease.Set, held []worker.Ref, tasks []Status) {
	for _, tsk := range run.tasks {
		if tsk.partition != par.number || tsk.phase != Running && (tsk.phase != Stopping || tsk.runningSince.IsZero()) {
			continue
		}
		member := tsk.phase == Running && tsk.leaseSetGeneration == par.leaseSetGeneration && tsk.lease > 0
		if member {
			set = set.With(tsk.ref.Job(), tsk.ref.Index(), tsk.ref.Token())
			held = append(held, tsk.ref)
		}
		sta := tsk.status()
		sta.longRunning = run.clock.receivedAt.Sub(tsk.runningSince) >= longRunTime
		if !member || sta.changed(tsk.lastSent) {
			tsk.lastSent = sta
			tasks = append(tasks, sta)
		}
	}
	return set, held, tasks
}

// Renewed handles the answer to a renewal.
func (run *Runner) Renewed(cal Call, ans RenewAnswer, now time.Time) []Effect {
	par := run.partition(cal.partition)
	if par.pendingRenewal != cal.sequence {
		return nil
	}
	par.pendingRenewal = 0
	if !ans.answered {
		par.addressSuspect, par.renewAt = true, now.Add(RetryPeriod)
		par.leaseSetGeneration++ // the owner may not have received the statuses
		return nil
	}
	par.renewAt = ans.renewAt(now)
	if ans.empty() {
		// A process that does not own the partition answers without tasks. A process of
		// a version without sets ignores the set and needs a list of all tasks.
		par.addressSuspect, par.renewAt = true, now.Add(RetryPeriod)
		par.leaseSetGeneration++
	}
	if ans.leaseSetRenewed {
		run.applyLeaseSetGrant(par.pendingLeaseSet, ans.sent)
	}
	if ans.leaseSetRejected {
		par.leaseSetGeneration++
		par.renewAt = now
	}
	for _, grt := range ans.grants {
		run.applyGrant(grt, par.leaseSetGeneration, ans.sent)
	}
	par.pendingLeaseSet = nil
	efs := run.extendDeadlines(now)
	for _, ord := range ans.stops {
		efs = append(efs, run.Stop(cal.partition, ord, now)...)
	}
	return efs
}

// renewAt returns when to send the next renewal: when the owner requested, but at
// most RenewWindow earlier than, and not later than, RenewPeriod after the last one.
func (ans RenewAnswer) renewAt(now time.Time) time.Time {
	due := ans.sent.Add(RenewPeriod)
	if requested := now.Add(max(ans.next, RenewPeriod-RenewWindow)); ans.next > 0 && requested.Before(due) {
		return requested
	}
	return due
}

// applyLeaseSetGrant renews the assignments that a renewal described as a set. The
// length of a lease is fixed at submission, so that of the last individual grant
// still holds.
func (run *Runner) applyLeaseSetGrant(refs []worker.Ref, sent time.Time) {
	for _, ref := range refs {
		if tsk := run.find(ref); tsk != nil {
			run.applyGrant(Grant{ref: ref, lease: tsk.lease}, tsk.leaseSetGeneration, sent)
		}
	}
}

func (run *Runner) applyGrant(grt Grant, generation uint64, sent time.Time) {
	tsk := run.find(grt.ref)
	if tsk == nil || tsk.phase != Running && tsk.phase != Stopping {
		return
	}
	tsk.leaseSetGeneration = generation
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
	cal, known := run.newCall(par)
	if !known {
		return nil
	}
	par.pendingReport = cal.sequence
	return []Effect{Report{call: cal, ends: ends}}
}

// Reported handles the answer to a report: the assignments whose end the owner has
// recorded. Ends that are not recorded are reported again.
func (run *Runner) Reported(cal Call, recorded []worker.Ref, answered bool, now time.Time) []Effect {
	par := run.partition(cal.partition)
	if par.pendingReport == cal.sequence {
		par.pendingReport = 0
		par.reportAt = now.Add(RetryPeriod)
		// A process that does not own the partition records nothing.
		par.addressSuspect = !answered || len(recorded) == 0
	}
	var efs []Effect
	for _, ref := range recorded {
		tsk := run.find(ref)
		if tsk == nil || tsk.phase != Ended {
			continue
		}
		if !tsk.mayBeAtWorker {
			run.remove(tsk)
			continue
		}
		tsk.phase = Recorded
		efs = append(efs, Forget{ref: ref})
	}
	return efs
}

// Adopt sets a new owner of a partition and returns the assignments that it must
// not place on another instance yet: those that may run, those that may have been
// granted, and those whose end is not recorded. It refuses an owner whose epoch is
// lower than the known one.
func (run *Runner) Adopt(num int, epoch uint64, addr string, now time.Time) ([]Status, bool) {
	par := run.partition(num)
	if epoch < par.epoch {
		return nil, false
	}
	par.setOwner(epoch, addr)
	par.renewNoLaterThan(now)
	par.reportNoLaterThan(now)
	var held []Status
	for _, tsk := range run.tasks {
		if tsk.partition == num && tsk.phase < Recorded && (tsk.phase > Offered || tsk.claimSent) {
			held = append(held, tsk.status())
		}
	}
	return held, true
}
