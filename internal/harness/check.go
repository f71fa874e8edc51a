package harness

import (
	"cmp"
	"math"
	"slices"
)

// Overlap returns two runs of one task that overlap in time at different
// workers. All processes run on one machine, so their clocks agree.
func Overlap(runs []Run) (Run, Run, bool) {
	sorted := slices.Clone(runs)
	slices.SortFunc(sorted, func(one, two Run) int {
		return cmp.Or(cmp.Compare(one.Job, two.Job), cmp.Compare(one.Index, two.Index), cmp.Compare(one.Started, two.Started))
	})
	for num := 1; num < len(sorted); num++ {
		prev, next := sorted[num-1], sorted[num]
		sameTask := prev.Job == next.Job && prev.Index == next.Index
		if sameTask && next.Started < end(prev) && prev.Instance != next.Instance {
			return prev, next, true
		}
	}
	return Run{}, Run{}, false
}

func end(run Run) int64 {
	if run.Stopped == 0 {
		return math.MaxInt64
	}
	return run.Stopped
}
