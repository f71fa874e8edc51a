package job

import (
	"time"

	"jacinthpost/core/fleet"
	"jacinthpost/core/lease"
)

// group is the set of tasks whose leases an instance can renew in one step: those in state Running,
// which its agent has listed at least once in this epoch and which are not being stopped. A renewal
// that describes exactly this set renews all of them.
type group struct {
	set       lease.Set
	after     uint64        // number of the last record that must be durable before a renewal is released
	renewedAt time.Time     // last renewal of the whole group; zero before the first
	shortest  time.Duration // lower bound of the members' lease durations
	checkFrom time.Time     // no member's lease ends before this time
}

// joinGroup adds a task that is now Running to the group of its instance.
func (par *Partition[P]) joinGroup(tsk *task) {
	ins, dur := tsk.act.holder.Instance(), tsk.entry.spec.Lease()
	grp := par.groups[ins]
	if grp.set.Count() == 0 {
		grp = group{shortest: dur, checkFrom: tsk.act.expiresAt}
	}
	grp.set = grp.set.With(string(tsk.entry.id), int(tsk.index), tsk.assigned)
	grp.after, grp.shortest = max(grp.after, tsk.entry.recorded), min(grp.shortest, dur)
	grp.checkFrom = earlier(grp.checkFrom, tsk.act.expiresAt)
	par.groups[ins] = grp
}

// leaveGroup removes a task from its group. Its lease keeps the end that the last renewal of the group
// gave it.
func (par *Partition[P]) leaveGroup(tsk *task) {
	ins := tsk.act.holder.Instance()
	tsk.act.expiresAt = par.expiry(tsk)
	grp := par.groups[ins]
	grp.set = grp.set.Without(string(tsk.entry.id), int(tsk.index), tsk.assigned)
	if grp.set.Count() == 0 {
		delete(par.groups, ins)
		return
	}
	par.groups[ins] = grp
}

// expiry returns the end of the offer or lease of a task. The lease of a Running task is extended by
// renewals of its group as well as by its own. A group renewal that is later than the task's own last
// grant included the task, so the later of the two ends is the one granted.
func (par *Partition[P]) expiry(tsk *task) time.Time {
	if tsk.state != Running {
		return tsk.act.expiresAt
	}
	grp := par.groups[tsk.act.holder.Instance()]
	if end := lease.GranterEnd(grp.renewedAt, tsk.entry.spec.Lease()); end.After(tsk.act.expiresAt) {
		return end
	}
	return tsk.act.expiresAt
}

// expired reports whether the offer or lease of a task has ended. It caches the end given by a group
// renewal, so most calls need only one comparison.
func (par *Partition[P]) expired(tsk *task, now time.Time) bool {
	if now.Before(tsk.act.expiresAt) {
		return false
	}
	tsk.act.expiresAt = par.expiry(tsk)
	return !now.Before(tsk.act.expiresAt)
}

// renewGroup renews all tasks of an instance if the set that it describes equals its group and none of
// the leases has ended. It returns the number of the last record that must be durable.
func (par *Partition[P]) renewGroup(env Env, ins fleet.InstanceID, held lease.Set) (uint64, bool) {
	grp := par.groups[ins]
	if grp.set.Count() == 0 || grp.set != held {
		return 0, false
	}
	if !env.now.Before(grp.checkFrom) && par.anyExpired(env, ins) {
		return 0, false
	}
	grp.renewedAt = env.now
	grp.checkFrom = lease.GranterEnd(env.now, grp.shortest)
	par.groups[ins] = grp
	return grp.after, true
}

// anyExpired reports whether the lease of a member has ended and Tick has not handled it yet.
func (par *Partition[P]) anyExpired(env Env, ins fleet.InstanceID) bool {
	for _, tsk := range par.active {
		if tsk.act != nil && tsk.state == Running && tsk.act.holder.Instance() == ins && par.expired(tsk, env.now) {
			return true
		}
	}
	return false
}

func earlier(one, two time.Time) time.Time {
	if two.Before(one) {
		return two
	}
	return one
}
