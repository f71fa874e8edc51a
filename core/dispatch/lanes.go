package dispatch

import (
	"cmp"
	"slices"
	"strings"

	"jacinthpost/core/fleet"
	"jacinthpost/core/job"
	"jacinthpost/core/quota"
	"jacinthpost/core/resource"
)

// A lane is one of these prefixes and the name of the team.
const (
	urgentPrefix   = "u/"
	ordinaryPrefix = "o/"
)

// weightUnit is the weight of a team whose share is the whole fleet.
const weightUnit = 1000

// Share is the part of the fleet to which a team is entitled.
type Share struct {
	team         fleet.Team
	processors   float64
	memory       float64
	accelerators float64
	mayBorrow    bool
}

// NewShare returns a share of the processors, memory and accelerators of the fleet,
// between 0 and 1. A team that may not borrow gets no more than its share even when
// no other team has work.
func NewShare(tea fleet.Team, fraction float64, mayBorrow bool) Share {
	return Share{team: tea, processors: fraction, memory: fraction, accelerators: fraction, mayBorrow: mayBorrow}
}

// WithMemoryAndAccelerators returns the share with different fractions of the memory
// and the accelerators. A fraction of zero leaves that of NewShare.
func (sha Share) WithMemoryAndAccelerators(memory, accelerators float64) Share {
	if memory > 0 {
		sha.memory = memory
	}
	if accelerators > 0 {
		sha.accelerators = accelerators
	}
	return sha
}

// amounts returns what the share amounts to in a fleet of the given capacity.
func (sha Share) amounts(capacity resource.Vector) resource.Vector {
	return resource.New(int64(sha.processors*float64(capacity.MilliCPU())), int64(sha.memory*float64(capacity.MemoryMB())),
		int64(sha.accelerators*float64(capacity.Accelerators())))
}

// Team returns the team that is entitled to the share.
func (sha Share) Team() fleet.Team { return sha.team }

// Fraction returns the share of the processors, between 0 and 1.
func (sha Share) Fraction() float64 { return sha.processors }

// MayBorrow reports whether the team may use more than its share.
func (sha Share) MayBorrow() bool { return sha.mayBorrow }

// weight returns the weight of the team in core/quota, at least the one of teams
// without a share.
func (sha Share) weight() int64 { return max(1, int64(sha.processors*weightUnit)) }

func compareShare(sha Share, name fleet.Team) int { return cmp.Compare(sha.team, name) }

// SetShares replaces the shares of all teams. Teams that are not listed have
// the smallest weight and may borrow.
func (dsp *Dispatcher[P]) SetShares(shares []Share) {
	for _, old := range dsp.shares {
		dsp.sched.SetTeam(old.team, 1)
	}
	dsp.shares = slices.Clone(shares)
	slices.SortFunc(dsp.shares, func(one, two Share) int { return cmp.Compare(one.team, two.team) })
	for _, sha := range dsp.shares {
		dsp.sched.SetTeam(dsp.teams.canonical(sha.team, teamLimit), sha.weight())
	}
}

func (dsp *Dispatcher[P]) share(name fleet.Team) (Share, bool) {
	pos, found := slices.BinarySearchFunc(dsp.shares, name, compareShare)
	if !found {
		return Share{}, false
	}
	return dsp.shares[pos], true
}

func laneOf(spc job.Spec) job.Lane {
	if spc.Urgent() {
		return job.Lane(urgentPrefix + string(spc.Team()))
	}
	return job.Lane(ordinaryPrefix + string(spc.Team()))
}

func isUrgent(lan job.Lane) bool { return strings.HasPrefix(string(lan), urgentPrefix) }

func teamOf(lan job.Lane) fleet.Team { return fleet.Team(lan[len(urgentPrefix):]) }

// compareLanes orders lanes that are not exhausted before exhausted ones, then by
// urgency, then by the use of the team relative to its share.
func (dsp *Dispatcher[P]) compareLanes(one, two job.Lane) int {
	if left, right := dsp.exhausted(one), dsp.exhausted(two); left != right {
		return beforeIf(right)
	}
	urgent := isUrgent(one)
	if urgent != isUrgent(two) {
		return beforeIf(urgent == (dsp.urgentStreak < quota.UrgentStreakLimit))
	}
	return cmp.Or(cmp.Compare(dsp.relativeUse(one, urgent), dsp.relativeUse(two, urgent)), cmp.Compare(one, two))
}

// beforeIf returns the result of a comparison: the first operand precedes the second
// if first is set, and follows it otherwise.
func beforeIf(first bool) int {
	if first {
		return -1
	}
	return 1
}

func (dsp *Dispatcher[P]) relativeUse(lan job.Lane, urgent bool) float64 {
	return dsp.sched.RelativeUse(dsp.teams.canonical(teamOf(lan), teamLimit), urgent)
}

// exhausted reports whether quota.DeferLimit tasks of a lane have found no instance
// in the current pass. All calls of one pass have the same time.
func (dsp *Dispatcher[P]) exhausted(lan job.Lane) bool {
	return dsp.missAt.Equal(dsp.now) && dsp.misses[lan] >= quota.DeferLimit
}

// recordChoice records whether a task found an instance. An attempt for an ordinary
// task ends the streak of urgent ones even if it fails; otherwise urgent tasks would
// wait until an ordinary one fits.
func (dsp *Dispatcher[P]) recordChoice(spc job.Spec, found bool) {
	switch {
	case !spc.Urgent():
		dsp.urgentStreak = 0
	case found:
		dsp.urgentStreak++
	}
	if found {
		return
	}
	if !dsp.missAt.Equal(dsp.now) {
		clear(dsp.misses)
		dsp.missAt = dsp.now
	}
	dsp.misses[laneOf(spc)]++
}
