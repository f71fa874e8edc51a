// Package resource models the processors, memory and accelerators of instances and tasks.
//
// A Vector counts processors in thousandths of a core, memory in mebibytes and accelerators in
// whole devices. It doesn't contain the slots and connections of an instance, which only requests
// use; package ledger counts them separately.
package resource

import "fmt"

// Vector is an amount of each resource. Differences of vectors may have negative amounts.
type Vector struct {
	milliCPU     int64
	memoryMB     int64
	accelerators int64
}

// New returns a vector of the given amounts.
func New(milliCPU, memoryMB, accelerators int64) Vector {
	return Vector{milliCPU: milliCPU, memoryMB: memoryMB, accelerators: accelerators}
}

// MilliCPU returns the processor time in thousandths of a core.
func (vec Vector) MilliCPU() int64 { return vec.milliCPU }

// MemoryMB returns the memory in mebibytes.
func (vec Vector) MemoryMB() int64 { return vec.memoryMB }

// Accelerators returns the number of accelerator devices.
func (vec Vector) Accelerators() int64 { return vec.accelerators }

// Plus returns the sum of two vectors, resource by resource.
func (vec Vector) Plus(oth Vector) Vector {
	return New(vec.milliCPU+oth.milliCPU, vec.memoryMB+oth.memoryMB, vec.accelerators+oth.accelerators)
}

// Minus returns the difference of two vectors. Amounts may become negative.
func (vec Vector) Minus(oth Vector) Vector {
	return New(vec.milliCPU-oth.milliCPU, vec.memoryMB-oth.memoryMB, vec.accelerators-oth.accelerators)
}

// FitsIn reports whether no amount is greater than that of the other vector.
func (vec Vector) FitsIn(oth Vector) bool {
	return vec.milliCPU <= oth.milliCPU && vec.memoryMB <= oth.memoryMB && vec.accelerators <= oth.accelerators
}

// Valid reports whether no amount is negative.
func (vec Vector) Valid() bool {
	return vec.milliCPU >= 0 && vec.memoryMB >= 0 && vec.accelerators >= 0
}

// Max returns the larger of the two amounts of each resource.
func (vec Vector) Max(oth Vector) Vector {
	return New(max(vec.milliCPU, oth.milliCPU), max(vec.memoryMB, oth.memoryMB), max(vec.accelerators, oth.accelerators))
}

// String formats the vector with its units for messages and logs.
func (vec Vector) String() string {
	return fmt.Sprintf("%d mCPU, %d MB, %d accelerators", vec.milliCPU, vec.memoryMB, vec.accelerators)
}

// DominantShare returns the largest of the vector's shares of the totals of the resources, as in
// dominant resource fairness. A share is scaled so that unit stands for the whole total. A total
// below one counts as one.
func (vec Vector) DominantShare(total Vector, unit int64) int64 {
	return max(vec.milliCPU*unit/max(1, total.milliCPU), vec.memoryMB*unit/max(1, total.memoryMB),
		vec.accelerators*unit/max(1, total.accelerators))
}

// Min returns the smaller of the two amounts of each resource.
func (vec Vector) Min(oth Vector) Vector {
	return New(min(vec.milliCPU, oth.milliCPU), min(vec.memoryMB, oth.memoryMB), min(vec.accelerators, oth.accelerators))
}

// Times returns the vector with each amount multiplied by a number.
func (vec Vector) Times(num int64) Vector {
	return New(vec.milliCPU*num, vec.memoryMB*num, vec.accelerators*num)
}

// DividedBy returns the vector with each amount divided by a number and rounded towards zero. A
// number below one counts as one.
func (vec Vector) DividedBy(num int64) Vector {
	num = max(1, num)
	return New(vec.milliCPU/num, vec.memoryMB/num, vec.accelerators/num)
}
