package batch

import (
	"fmt"
	"slices"
	"time"

	"jacinthpost/core/decision"
	"jacinthpost/core/fleet"
)

// pendingOrder is a start order that must not be sent before its run is stored.
type pendingOrder struct {
	instance fleet.InstanceID
	session  uint64
	order    Order
}

// WriteBatch is a set of job records to store in one transaction.
type WriteBatch struct {
	records []JobRecord
	jobs    []*jobState
	orders  [][]pendingOrder
	acks    [][]ack
}

// Records returns the records to store.
func (wrb *WriteBatch) Records() []JobRecord { return wrb.records }

// Singles returns a batch for each job of the batch. Each of them must be passed to Committed, Abandoned or SetAside
// in place of the batch.
func (wrb *WriteBatch) Singles() []*WriteBatch {
	out := make([]*WriteBatch, len(wrb.jobs))
	for num := range wrb.jobs {
		out[num] = &WriteBatch{records: wrb.records[num : num+1], jobs: wrb.jobs[num : num+1], orders: wrb.orders[num : num+1], acks: wrb.acks[num : num+1]}
	}
	return out
}

// Alone reports whether the batch must be stored in a transaction without anything else, because its job could not be
// stored before.
func (wrb *WriteBatch) Alone() bool { return len(wrb.jobs) == 1 && wrb.jobs[0].suspect }

// Empty reports whether there is nothing to store.
func (wrb *WriteBatch) Empty() bool { return len(wrb.records) == 0 }

// NextBatch returns the next records to store, at most limit and as many as fit in a transaction. A job that was set
// aside is in a batch of its own. The caller must pass each batch to Committed, Abandoned or SetAside before it calls NextBatch again.
func (sch *Scheduler[O, P]) NextBatch(limit int) *WriteBatch {
	num, size := 0, 0
	for num < min(limit, len(sch.dirty)) {
		job := sch.dirty[num]
		if size += job.size(); num > 0 && (job.suspect || size > maxStateBytes) {
			break
		}
		num++
		if job.suspect {
			break
		}
	}
	wrb := &WriteBatch{}
	for _, job := range sch.dirty[:num] {
		job.dirty = false
		sch.work.Recorded += job.tasks()
		wrb.records = append(wrb.records, job.record())
		wrb.jobs = append(wrb.jobs, job)
		wrb.orders = append(wrb.orders, job.orders)
		wrb.acks = append(wrb.acks, job.acks)
		job.orders, job.acks = nil, nil
	}
	sch.dirty = append([]*jobState(nil), sch.dirty[num:]...)
	return wrb
}

// setAsideTime is the time after which a job that could not be stored is tried again. It may be storable then,
// because runs have ended.
const setAsideTime = 5 * time.Second

// SetAside is called when the store does not accept the record of a job, alone in a batch. The job gets no further
// runs and the agents keep its events, until a later try, in a batch of its own, succeeds.
func (sch *Scheduler[O, P]) SetAside(wrb *WriteBatch, now time.Time) {
	for num, job := range wrb.jobs {
		job.orders = append(append([]pendingOrder(nil), wrb.orders[num]...), job.orders...)
		job.acks = append(append([]ack(nil), wrb.acks[num]...), job.acks...)
		job.unstored, job.suspect = true, true
		if job.dirty {
			job.dirty = false
			sch.dirty = slices.DeleteFunc(sch.dirty, func(oth *jobState) bool { return oth == job })
		}
		job.setAsideUntil = now.Add(setAsideTime)
		sch.setAside = append(sch.setAside, job)
		sch.note(now, decision.JobSetAside, job.spec.ID(), RunID{}, "", fmt.Sprintf("tasks=%d", job.tasks()))
	}
}

// retrySetAside queues the jobs to be stored again whose time has come.
func (sch *Scheduler[O, P]) retrySetAside(now time.Time) {
	sch.setAside = slices.DeleteFunc(sch.setAside, func(job *jobState) bool {
		if now.Before(job.setAsideUntil) {
			return false
		}
		job.setAsideUntil = time.Time{}
		sch.markDirty(job)
		return true
	})
}

// Committed releases the orders of a stored batch, and lets the agents discard its events.
func (sch *Scheduler[O, P]) Committed(wrb *WriteBatch, now time.Time) {
	for num, job := range wrb.jobs {
		job.suspect = false
		job.unstored = job.dirty
		for _, pnd := range wrb.orders[num] {
			sch.release(job, pnd, now)
		}
		job.compact()
		for _, evt := range wrb.acks[num] {
			if ins := sch.instance(evt.instance); ins.session == evt.session && ins.markStored(evt.seq) {
				sch.eventsStored(ins)
			}
		}
	}
}

// release sends a start order whose run is stored. If the attempt no longer exists it sends
// nothing, and if the instance is no longer usable, the attempt counts as lost.
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
	if ins.session != pnd.session || !ins.usable(sch.excluded) {
		sch.endLost(att, now)
		return
	}
	att.released = true
	att.orderedAt = now
	sch.push(ins, pnd.order)
}

// Abandoned marks the jobs of a batch to be stored again. It is called when storing the batch
// failed or its outcome is unknown.
func (sch *Scheduler[O, P]) Abandoned(wrb *WriteBatch) {
	for num, job := range wrb.jobs {
		job.orders = append(append([]pendingOrder(nil), wrb.orders[num]...), job.orders...)
		job.acks = append(append([]ack(nil), wrb.acks[num]...), job.acks...)
		sch.markDirty(job)
	}
}

// dropOrders removes the pending start orders of tasks.
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

// Outbox is the content of the next message to an agent.
type Outbox struct {
	Orders   []Order
	Acked    uint64
	NoStarts bool // the instance gets no new work now, so that starts of earlier orders must not be repeated either
}

// Outbox returns the orders that an agent has not received yet, and the sequence number up to which
// it may discard events. Seen is the last order that the agent has received. The second result is
// false when session is not the current session of the instance.
func (sch *Scheduler[O, P]) Outbox(id fleet.InstanceID, session, seen uint64) (Outbox, bool) {
	ins := sch.instances[id]
	if ins == nil || ins.session != session {
		return Outbox{}, false
	}
	ins.ackOrders(seen)
	return Outbox{Orders: append([]Order(nil), ins.orders...), Acked: ins.storedEvents(), NoStarts: !ins.usable(sch.excluded)}, true
}

// StoredEvents returns the sequence number up to which an agent may discard events. It returns zero if
// session is not the current session of the instance.
func (sch *Scheduler[O, P]) StoredEvents(id fleet.InstanceID, session uint64) uint64 {
	ins := sch.instances[id]
	if ins == nil || ins.session != session {
		return 0
	}
	return ins.storedEvents()
}

// Ordered returns the instances that have got orders since the last call.
func (sch *Scheduler[O, P]) Ordered() []fleet.InstanceID {
	ids := make([]fleet.InstanceID, len(sch.ordered))
	for num, ins := range sch.ordered {
		ins.ordered = false
		ids[num] = ins.id
	}
	sch.ordered = sch.ordered[:0]
	return ids
}

// Stored returns the instances whose agents may discard events that they could not at the last call.
func (sch *Scheduler[O, P]) Stored() []fleet.InstanceID {
	ids := make([]fleet.InstanceID, len(sch.stored))
	for num, ins := range sch.stored {
		ins.stored = false
		ids[num] = ins.id
	}
	sch.stored = sch.stored[:0]
	return ids
}

// UnstoredJobs returns the number of jobs that wait to be stored.
func (sch *Scheduler[O, P]) UnstoredJobs() int { return len(sch.dirty) }
