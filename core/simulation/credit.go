package simulation

import (
	"math"
	"slices"
	"time"
)

const (
	// creditPeriod is the period for which a long-running job earns credit.
	creditPeriod = 2 * time.Second
	// overPenalty is the number of tasks within their targets that a task over its target cancels.
	overPenalty = 4
)

// credit is what a long-running job earns: in each period the share of its tasks that are at work,
// less overPenalty times the share that is over its target, but not less than nothing. A few tasks over
// their targets spoil a job.
type credit struct {
	within, over time.Duration // task time of the current period
	earned, owed float64       // in periods
}

// endPeriod adds the credit of the current period for a job with a number of tasks.
func (crd *credit) endPeriod(tasks int) {
	atWork, over := (crd.within + crd.over).Seconds(), crd.over.Seconds()
	crd.earned += max(0, atWork-overPenalty*over) / (float64(tasks) * creditPeriod.Seconds())
	crd.owed++
	crd.within, crd.over = 0, 0
}

// jobCredit is the credit of a job, weighed by its size.
type jobCredit struct{ size, earned, owed float64 }

func (jb *job) weighedCredit() jobCredit {
	stp := jb.params.Steps[0]
	size := float64(stp.Count) * float64(stp.MilliCPU)
	return jobCredit{size: size, earned: size * jb.credit.earned, owed: size * jb.credit.owed}
}

// earnedFraction returns the fraction of their credit that jobs earned, or 1 if none is owed.
func earnedFraction(jobs []jobCredit) float64 {
	var earned, owed float64
	for _, jb := range jobs {
		earned += jb.earned
		owed += jb.owed
	}
	if owed == 0 {
		return 1
	}
	return earned / owed
}

// largestEarnedFraction returns the lower one of the fractions that the largest tenth of the jobs and
// the next fifth earned.
func largestEarnedFraction(jobs []jobCredit) float64 {
	sorted := slices.SortedStableFunc(slices.Values(jobs), func(one, two jobCredit) int { return int(two.size - one.size) })
	tenth := int(math.Ceil(0.1 * float64(len(sorted))))
	fifth := tenth + int(math.Ceil(0.2*float64(len(sorted))))
	return min(earnedFraction(sorted[:tenth]), earnedFraction(sorted[tenth:min(fifth, len(sorted))]))
}
