package quota

import "jacinthpost/core/fleet"

// Inbox recognises reports that arrive twice or late. A caller that repeats a
// report has not read the answer to the first copy, so the second one must not
// count as a confirmation of that answer. The zero value works.
type DuplicateFilter struct {
	last map[fleet.InstanceID]newestReport
}

// arrival is the newest report of an instance.
type newestReport struct {
	process  fleet.Process
	sequence uint64
}

// Accept reports whether the census may take in a report. Reports of a process
// are numbered from one; zero is a report of a version that does not number them.
// A complete report may be repeated, because it confirms nothing.
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
