package job

import (
	"time"

	"jacinthpost/core/fleet"
	"jacinthpost/core/lease"
)

// group is what one instance holds of the partition by agreement: the tasks that
// run there, are not to stop, and that its agent has listed under the present
// epoch. A renewal that describes exactly this set renews all of them in one step.
type group struct {
	set       lease.Set
	after     uint64        // number of the last record that the members' assignments rest on
	renewedAt time.Time     // last renewal of the whole group
	shortest  time.Duration // lease no longer than that of any member
	checkAt   time.Time     // no member's lease ends before
}

// join takes a task that now runs into the group of its instance.
func (par *Partition[P]) join(tsk *task) {
	ins, dur := tsk.act.holder.Instance(), tsk.entry.spec.Lease()
	grp := par.groups[ins]
	if grp.set.Count() == 0 {
		grp = group{shortest: dur, checkAt: tsk.act.until}
	}
	grp.set = grp.set.With(string(tsk.entry.id), int(tsk.index), tsk.assigned)
	grp.after, grp.shortest = max(grp.after, tsk.entry.recorded), min(grp.shortest, dur)
	grp.checkAt = earlier(grp.checkAt, tsk.act.until)
	par.groups[ins] = grp
}

// leave takes a task out of its group. Its lease keeps the end that the last
// renewal of the group gave it.
func (par *Partition[P]) leave(tsk *task) {
	ins := tsk.act.holder.Instance()
	tsk.act.until = par.until(tsk)
	grp := par.groups[ins]
	grp.set = grp.set.Without(string(tsk.entry.id), int(tsk.index), tsk.assigned)
	if grp.set.Count() == 0 {
		delete(par.groups, ins)
		return
	}
	par.groups[ins] = grp
}

// until returns the end of the offer or lease of a task. A member of a group was
// renewed with it. The group was not renewed after the member's own last grant
// unless the member was in it, so the later of both ends is the one granted.
func (par *Partition[P]) until(tsk *task) time.Time {
	if tsk.state != Running {
		return tsk.act.until
	}
	grp := par.groups[tsk.act.holder.Instance()]
	if end := lease.GranterEnd(grp.renewedAt, tsk.entry.spec.Lease()); end.After(tsk.act.until) {
		return end
	}
	return tsk.act.until
}

// over reports whether the offer or lease of a task has ended. It notes the end
// that a group renewal gave, so that most calls need one comparison.
func (par *Partition[P]) over(tsk *task, now time.Time) bool {
	if now.Before(tsk.act.until) {
		return false
	}
	tsk.act.until = par.until(tsk)
	return !now.Before(tsk.act.until)
}

// renewGroup renews all tasks of an instance if it holds exactly those that this
// owner believes it to hold, and none of their leases has ended.
func (par *Partition[P]) renewGroup(env Env, ins fleet.InstanceID, held lease.Set) (uint64, bool) {
	grp := par.groups[ins]
	if grp.set.Count() == 0 || grp.set != held {
		return 0, false
	}
	if !env.now.Before(grp.checkAt) && par.lapsed(env, ins) {
		return 0, false
	}
	grp.renewedAt = env.now
	grp.checkAt = lease.GranterEnd(env.now, grp.shortest)
	par.groups[ins] = grp
	return grp.after, true
}

// lapsed reports whether the lease of a member has ended and Tick has not seen it yet.
func (par *Partition[P]) lapsed(env Env, ins fleet.InstanceID) bool {
	for _, tsk := range par.active {
		if tsk.act != nil && tsk.state == Running && tsk.act.holder.Instance() == ins && par.over(tsk, env.now) {
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
