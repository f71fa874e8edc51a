package batch

import (
	"time"

	"jacinthpost/core/fleet"
)

// pendingOrder is a start order that waits for its run to be stored.
type pendingOrder struct {
	instance fleet.InstanceID
	session  uint64
	order    Order
}

// Batch is a set of job records to be stored in one transaction.
type WriteBatch struct {
	records []JobRecord
	jobs    []*jobState
	orders  [][]pendingOrder
	acks    [][]ack
}

// Records returns the records to store.
func (bat *WriteBatch) Records() []JobRecord { return bat.records }

// Empty reports whether there is nothing to store.
func (bat *WriteBatch) Empty() bool { return len(bat.records) == 0 }

// Take returns the next records to store, at most limit. Each batch is followed by
// Committed or Abandoned before the next one is taken.
func (sch *Scheduler[O, P]) NextBatch(limit int) *WriteBatch {
	num := min(limit, len(sch.dirty))
	bat := &WriteBatch{}
	for _, job := range sch.dirty[:num] {
		job.dirty = false
		bat.records = append(bat.records, job.record())
		bat.jobs = append(bat.jobs, job)
		bat.orders = append(bat.orders, job.orders)
		bat.acks = append(bat.acks, job.acks)
		job.orders, job.acks = nil, nil
	}
	sch.dirty = append([]*jobState(nil), sch.dirty[num:]...)
	return bat
}

// Committed releases the orders and events of a stored batch.
func (sch *Scheduler[O, P]) Committed(bat *WriteBatch, now time.Time) {
	for num, job := range bat.jobs {
		job.unsettled = job.dirty
		for _, pnd := range bat.orders[num] {
			sch.release(job, pnd, now)
		}
		for _, ackd := range bat.acks[num] {
			if ins := sch.instance(ackd.instance); ins.session == ackd.session {
				ins.settle(ackd.seq)
			}
		}
	}
}

// release hands a stored start to its agent, unless it became pointless meanwhile.
func (sch *Scheduler[O, P]) release(job *jobState, pnd pendingOrder, now time.Time) {
	_, tsk := job.task(pnd.order.ID.Task)
	if tsk == nil {
		return
	}
	att := tsk.find(pnd.order.ID.Run)
	if att == nil {
		return
	}
	ins := sch.instance(pnd.instance)
	if ins.session != pnd.session || !ins.usable(sch.out) {
		sch.lose(job, pnd.order.ID.Task, tsk, att, now)
		return
	}
	att.released = true
	att.orderedAt = now
	ins.push(pnd.order)
}

// Abandoned returns a batch whose outcome is not known, or that was not stored.
func (sch *Scheduler[O, P]) Abandoned(bat *WriteBatch) {
	for num, job := range bat.jobs {
		job.orders = append(append([]pendingOrder(nil), bat.orders[num]...), job.orders...)
		job.acks = append(append([]ack(nil), bat.acks[num]...), job.acks...)
		sch.mark(job)
	}
}

// dropOrders removes the pending starts of tasks.
func (job *jobState) dropOrders(tids []TaskID) {
	kept := job.orders[:0]
	for _, pnd := range job.orders {
		drop := false
		for _, tid := range tids {
			drop = drop || pnd.order.ID.Task == tid
		}
		if !drop {
			kept = append(kept, pnd)
		}
	}
	job.orders = kept
}

// Outbox is what an agent is to be told.
type Outbox struct {
	Orders []Order
	Acked  uint64
}

// Outbox returns the orders that an agent has not taken over and the events that
// it may forget. The second result is false for another session than the present one.
func (sch *Scheduler[O, P]) Outbox(id fleet.InstanceID, session, seen uint64) (Outbox, bool) {
	ins := sch.instances[id]
	if ins == nil || ins.session != session {
		return Outbox{}, false
	}
	ins.seen(seen)
	return Outbox{Orders: append([]Order(nil), ins.orders...), Acked: ins.acked()}, true
}

// Changed returns the instances that have something new to be told since the last call.
func (sch *Scheduler[O, P]) Changed() []fleet.InstanceID {
	var ids []fleet.InstanceID
	for id, ins := range sch.instances {
		if ins.changed {
			ins.changed = false
			ids = append(ids, id)
		}
	}
	return ids
}

// Unsettled returns the number of records that wait to be stored.
func (sch *Scheduler[O, P]) UnstoredJobs() int { return len(sch.dirty) }
