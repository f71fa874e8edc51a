package quota

import "jacinthpost/core/fleet"

// Inbox recognises reports that arrive twice or late. A caller that repeats a
// report has not read the answer to the first copy, so the second one must not
// count as a confirmation of that answer. The zero value works.
type DuplicateFilter struct {
	last map[fleet.InstanceID]arrival
}

// arrival is the newest report of an instance.
type arrival struct {
	process  fleet.Process
	sequence uint64
}

// Accept reports whether the census may take in a report. Reports of a process
// are numbered from one; zero is a report of a version that does not number them.
// A complete report may be repeated, because it confirms nothing.
func (ibx *DuplicateFilter) Accept(from fleet.Process, sequence uint64, complete bool) bool {
	if ibx.last == nil {
		ibx.last = make(map[fleet.InstanceID]arrival)
	}
	old, found := ibx.last[from.Instance()]
	if found && old.process == from && sequence > 0 && (sequence < old.sequence || sequence == old.sequence && !complete) {
		return false
	}
	ibx.last[from.Instance()] = arrival{process: from, sequence: sequence}
	return true
}
