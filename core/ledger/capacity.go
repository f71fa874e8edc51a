package ledger

import "jacinthpost/core/resource"

// DefaultReservePercent is the percentage of an instance's resources that is
// reserved for requests if the settings do not specify one.
const DefaultReservePercent = 25

// Capacity is the capacity of an instance: its resources, the part of them that is
// reserved for requests, and the slots and connections of its endpoint. The reserve
// is a percentage, so that it is known once the worker has reported its resources,
// even before the endpoint has announced itself.
type Capacity struct {
	total          resource.Vector
	reservePercent int
	slots          int
	connections    int
	criticalSlots  int
}

// NewCapacity returns the capacity of an instance whose worker and endpoint have
// not reported. It consists of the percentage reserved for requests.
func NewCapacity(reservePercent int) Capacity { return Capacity{reservePercent: reservePercent} }

// WithTotal returns the capacity with the total resources that the worker reported.
func (cpy Capacity) WithTotal(total resource.Vector) Capacity {
	cpy.total = total
	return cpy
}

// WithEndpoint returns the capacity with the slots and connections that the endpoint announced.
func (cpy Capacity) WithEndpoint(slots, connections int) Capacity {
	cpy.slots, cpy.connections = slots, connections
	return cpy
}

// WithCriticalSlots returns the capacity with a number of slots that batch requests may not use.
func (cpy Capacity) WithCriticalSlots(slots int) Capacity {
	cpy.criticalSlots = slots
	return cpy
}

// Total returns all resources of the instance.
func (cpy Capacity) Total() resource.Vector { return cpy.total }

// RequestReserve returns the resources reserved for requests. It contains no
// accelerators: divided among the slots, a few accelerators round down to zero each,
// so reserved ones would never be used.
func (cpy Capacity) RequestReserve() resource.Vector {
	return fraction(cpy.total, int64(cpy.reservePercent), 100)
}

// TaskTotal returns the resources that tasks can use.
func (cpy Capacity) TaskTotal() resource.Vector { return cpy.total.Minus(cpy.RequestReserve()) }

// Slots returns the number of requests that the endpoint serves concurrently.
func (cpy Capacity) Slots() int { return cpy.slots }

// Connections returns the number of connections that the endpoint accepts.
func (cpy Capacity) Connections() int { return cpy.connections }

// CriticalSlots returns the number of slots that batch requests may not use.
func (cpy Capacity) CriticalSlots() int { return cpy.criticalSlots }

// SlotShare returns the resources reserved for one slot. They are rounded down, so
// that the sum over all slots does not exceed the reserve.
func (cpy Capacity) SlotShare() resource.Vector {
	if cpy.slots <= 0 {
		return resource.Vector{}
	}
	return fraction(cpy.RequestReserve(), 1, int64(cpy.slots))
}

// fraction returns mul/div of the processors and the memory, without accelerators.
func fraction(vec resource.Vector, mul, div int64) resource.Vector {
	return resource.New(vec.MilliCPU()*mul/div, vec.MemoryMB()*mul/div, 0)
}
