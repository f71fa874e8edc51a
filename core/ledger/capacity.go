package ledger

import "jacinthpost/core/resource"

// Capacity is what an instance can hold: its resources, and the part of them
// that its endpoint needs to serve requests in all of its slots.
type Capacity struct {
	total         resource.Vector
	reserve       resource.Vector
	slots         int
	connections   int
	criticalSlots int
}

// NewCapacity returns the capacity of an instance without an endpoint.
func NewCapacity(total resource.Vector) Capacity { return Capacity{total: total} }

// WithTotal returns the capacity with other resources and the same endpoint.
func (cpy Capacity) WithTotal(total resource.Vector) Capacity {
	cpy.total = total
	return cpy
}

// WithEndpoint returns the capacity with an endpoint that needs the reserve when
// all of its slots are in use.
func (cpy Capacity) WithEndpoint(reserve resource.Vector, slots, connections int) Capacity {
	cpy.reserve, cpy.slots, cpy.connections = reserve, slots, connections
	return cpy
}

// WithCriticalSlots returns the capacity with a number of slots that batch requests may not use.
func (cpy Capacity) WithCriticalSlots(slots int) Capacity {
	cpy.criticalSlots = slots
	return cpy
}

// Total returns the resources of the instance.
func (cpy Capacity) Total() resource.Vector { return cpy.total }

// Reserve returns the resources set aside for requests.
func (cpy Capacity) Reserve() resource.Vector { return cpy.reserve }

// Slots returns the number of requests that the endpoint serves at a time.
func (cpy Capacity) Slots() int { return cpy.slots }

// Connections returns the number of connections that the endpoint accepts.
func (cpy Capacity) Connections() int { return cpy.connections }

// CriticalSlots returns the number of slots that batch requests may not use.
func (cpy Capacity) CriticalSlots() int { return cpy.criticalSlots }

// Share returns the resources of one slot. Rounding down keeps the sum of all
// shares within the reserve.
func (cpy Capacity) Share() resource.Vector {
	if cpy.slots <= 0 {
		return resource.Vector{}
	}
	num := int64(cpy.slots)
	return resource.New(cpy.reserve.MilliCPU()/num, cpy.reserve.MemoryMB()/num, cpy.reserve.Accelerators()/num)
}
