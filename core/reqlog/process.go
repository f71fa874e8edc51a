package reqlog

import (
	"slices"

	"jacinthpost/core/fleet"
)

// process returns the process with an incarnation, or nil.
func (ent *entry[A]) process(inc fleet.Incarnation) *process[A] {
	for _, prc := range slices.Backward(ent.processes) {
		if prc.incarnation == inc {
			return prc
		}
	}
	return nil
}

func (ent *entry[A]) addProcess(inc fleet.Incarnation) *process[A] {
	prc := &process[A]{entry: ent, incarnation: inc, records: make(map[uint64]*record[A])}
	pos := 0
	for pos < len(ent.processes) && ent.processes[pos].incarnation < inc {
		pos++
	}
	ent.processes = slices.Insert(ent.processes, pos, prc)
	ent.closeOldProcesses()
	return prc
}

// closeOldProcesses removes processes that have no records any more, other than the
// newest, and raises closedUpTo to their incarnations.
func (ent *entry[A]) closeOldProcesses() {
	newest := ent.processes[len(ent.processes)-1]
	ent.processes = slices.DeleteFunc(ent.processes, func(prc *process[A]) bool {
		if prc == newest || len(prc.records) > 0 || prc.lowWaterMark == 0 {
			return false
		}
		ent.closedUpTo = max(ent.closedUpTo, prc.incarnation)
		return true
	})
}

// hasNoRecords reports whether no process of the entry has a record.
func (ent *entry[A]) hasNoRecords() bool {
	return !slices.ContainsFunc(ent.processes, func(prc *process[A]) bool { return len(prc.records) > 0 })
}

// dropRecord removes a record and raises the low-water mark to its counter.
func (prc *process[A]) dropRecord(counter uint64) {
	delete(prc.records, counter)
	prc.lowWaterMark = max(prc.lowWaterMark, counter)
	prc.entry.closeOldProcesses()
}

// fifo is a first-in, first-out queue with operations in amortised constant time.
type fifo[T any] struct {
	items []T
	head  int
}

func (ffo *fifo[T]) len() int { return len(ffo.items) - ffo.head }

func (ffo *fifo[T]) front() T { return ffo.items[ffo.head] }

func (ffo *fifo[T]) push(item T) {
	if ffo.head > 64 && ffo.head > len(ffo.items)/2 {
		ffo.items = slices.Delete(ffo.items, 0, ffo.head)
		ffo.head = 0
	}
	ffo.items = append(ffo.items, item)
}

func (ffo *fifo[T]) pop() {
	var zero T
	ffo.items[ffo.head] = zero
	ffo.head++
}
