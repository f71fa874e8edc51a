package quota

import "jacinthpost/core/fleet"

// DuplicateFilter detects reports that arrive twice or out of order. A process that
// repeats a report has not received the answer to the first copy, so the second copy
// must not count as a confirmation of that answer. The zero value works.
type DuplicateFilter struct {
	last map[fleet.InstanceID]newestReport
}

// newestReport identifies the newest report from an instance.
type newestReport struct {
	process  fleet.Process
	sequence uint64
}

// Accept reports whether to pass a report on to the Allocator. Processes number their
// reports from one; zero comes from a version that does not number them and is always
// accepted. A complete report may be repeated, because it confirms nothing.
func (flt *DuplicateFilter) Accept(from fleet.Process, sequence uint64, complete bool) bool {
	if flt.last == nil {
		flt.last = make(map[fleet.InstanceID]newestReport)
	}
	old, found := flt.last[from.Instance()]
	if found && old.process == from && sequence > 0 && (sequence < old.sequence || sequence == old.sequence && !complete) {
		return false
	}
	flt.last[from.Instance()] = newestReport{process: from, sequence: sequence}
	return true
}
