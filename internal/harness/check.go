package harness

import (
	"cmp"
	"math"
	"slices"
)

// Overlap returns two runs of one task that overlap in time on different workers. All
// processes run on one machine, so their timestamps are comparable.
func Overlap(runs []Run) (Run, Run, bool) {
	sorted := slices.Clone(runs)
	slices.SortFunc(sorted, func(one, two Run) int {
		return cmp.Or(cmp.Compare(one.Job, two.Job), cmp.Compare(one.Index, two.Index), cmp.Compare(one.Started, two.Started))
	})
	var last Run // of the current task, the run that ends last
	for _, next := range sorted {
		if last.Job != next.Job || last.Index != next.Index {
			last = next
			continue
		}
		if next.Started < end(last) && last.Instance != next.Instance {
			return last, next, true
		}
		if end(next) > end(last) {
			last = next
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
