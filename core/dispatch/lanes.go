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

// The first letter of a lane tells whether its tasks are urgent; the rest is the team.
const (
	urgentPrefix   = "u/"
	ordinaryPrefix = "o/"
)

// weightUnit turns a share between 0 and 1 into a weight.
const weightUnit = 1000

// Share is the part of the fleet to which a team is entitled.
type Share struct {
	team      fleet.Team
	part      float64 // of the processors
	memory    float64
	devices   float64 // accelerators
	mayBorrow bool
}

// NewShare returns the share of a team, between 0 and 1. A team that may not
// borrow gets no more than its share even when nobody else has work.
func NewShare(tea fleet.Team, part float64, mayBorrow bool) Share {
	return Share{team: tea, part: part, memory: part, devices: part, mayBorrow: mayBorrow}
}

// WithOthers returns the share with other parts of the memory and of the
// accelerators. Zero leaves the part that was given for the processors.
func (sha Share) WithMemoryAndAccelerators(memory, accelerators float64) Share {
	if memory > 0 {
		sha.memory = memory
	}
	if accelerators > 0 {
		sha.devices = accelerators
	}
	return sha
}

// of returns the amounts of the share in a fleet.
func (sha Share) of(capacity resource.Vector) resource.Vector {
	return resource.New(int64(sha.part*float64(capacity.MilliCPU())), int64(sha.memory*float64(capacity.MemoryMB())),
		int64(sha.devices*float64(capacity.Accelerators())))
}

// Team returns the team.
func (sha Share) Team() fleet.Team { return sha.team }

// Part returns the share.
func (sha Share) Fraction() float64 { return sha.part }

// MayBorrow reports whether the team may use more than its share.
func (sha Share) MayBorrow() bool { return sha.mayBorrow }

// weight returns the share as a weight; teams without a share have the weight one.
func (sha Share) weight() int64 { return max(1, int64(sha.part*weightUnit)) }

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
		dsp.sched.SetTeam(dsp.teams.bound(sha.team, teamLimit), sha.weight())
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

// compareLanes orders lanes: those that still may find an instance in this
// pass, then by urgency, then by the use of the team for its share.
func (dsp *Dispatcher[P]) compareLanes(one, two job.Lane) int {
	if left, right := dsp.exhausted(one), dsp.exhausted(two); left != right {
		return order(right)
	}
	urgent := isUrgent(one)
	if urgent != isUrgent(two) {
		return order(urgent == (dsp.row < quota.UrgentStreakLimit))
	}
	return cmp.Or(cmp.Compare(dsp.relative(one, urgent), dsp.relative(two, urgent)), cmp.Compare(one, two))
}

// order returns the comparison in which the first of two goes first or last.
func order(first bool) int {
	if first {
		return -1
	}
	return 1
}

func (dsp *Dispatcher[P]) relative(lan job.Lane, urgent bool) float64 {
	return dsp.sched.RelativeUse(dsp.teams.bound(teamOf(lan), teamLimit), urgent)
}

// exhausted reports whether several tasks of a lane have found no instance in
// the present pass. All calls of one pass have the same time.
func (dsp *Dispatcher[P]) exhausted(lan job.Lane) bool {
	return dsp.missAt.Equal(dsp.now) && dsp.misses[lan] >= quota.DeferLimit
}

// tried notes the result of a choice. An ordinary task that was tried ends the
// row of urgent ones even if it found no instance, because urgent ones would wait for it otherwise.
func (dsp *Dispatcher[P]) tried(spc job.Spec, found bool) {
	switch {
	case !spc.Urgent():
		dsp.row = 0
	case found:
		dsp.row++
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
