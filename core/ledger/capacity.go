package ledger

import "jacinthpost/core/resource"

// DefaultReservePercent is the part of an instance that requests can use when
// the settings name none.
const DefaultReservePercent = 25

// Capacity is what an instance can hold: its resources, the part of them that is
// set aside for requests, and the slots and connections of its endpoint. The
// part is a percentage, so that it is known as soon as the worker has reported
// its resources, also while the endpoint has not announced itself.
type Capacity struct {
	total          resource.Vector
	reservePercent int
	slots          int
	connections    int
	criticalSlots  int
}

// NewCapacity returns the capacity of an instance that has not heard from its worker and its endpoint.
func NewCapacity(reservePercent int) Capacity { return Capacity{reservePercent: reservePercent} }

// WithTotal returns the capacity with other resources.
func (cpy Capacity) WithTotal(total resource.Vector) Capacity {
	cpy.total = total
	return cpy
}

// WithEndpoint returns the capacity with the slots and connections of an endpoint.
func (cpy Capacity) WithEndpoint(slots, connections int) Capacity {
	cpy.slots, cpy.connections = slots, connections
	return cpy
}

// WithCriticalSlots returns the capacity with a number of slots that batch requests may not use.
func (cpy Capacity) WithCriticalSlots(slots int) Capacity {
	cpy.criticalSlots = slots
	return cpy
}

// Total returns the resources of the instance.
func (cpy Capacity) Total() resource.Vector { return cpy.total }

// Reserve returns the resources set aside for requests. Accelerators are not
// among them: a slot's part of a few whole ones is none, so a reserve would lie idle.
func (cpy Capacity) RequestReserve() resource.Vector {
	return scale(cpy.total, int64(cpy.reservePercent), 100)
}

// Tasks returns the resources that tasks can use.
func (cpy Capacity) TaskTotal() resource.Vector { return cpy.total.Minus(cpy.RequestReserve()) }

// Slots returns the number of requests that the endpoint serves at a time.
func (cpy Capacity) Slots() int { return cpy.slots }

// Connections returns the number of connections that the endpoint accepts.
func (cpy Capacity) Connections() int { return cpy.connections }

// CriticalSlots returns the number of slots that batch requests may not use.
func (cpy Capacity) CriticalSlots() int { return cpy.criticalSlots }

// Share returns the resources of one slot. Rounding down keeps the sum of all
// shares within the reserve.
func (cpy Capacity) SlotShare() resource.Vector {
	if cpy.slots <= 0 {
		return resource.Vector{}
	}
	return scale(cpy.RequestReserve(), 1, int64(cpy.slots))
}

// scale returns a fraction of the processors and the memory, without accelerators.
func scale(vec resource.Vector, mul, div int64) resource.Vector {
	return resource.New(vec.MilliCPU()*mul/div, vec.MemoryMB()*mul/div, 0)
}
