// Package resource models the divisible resources of an instance.
//
// A Vector counts processors in thousandths of a core, memory in mebibytes and
// accelerators in whole devices. Slots and connections are not part of it:
// package ledger counts them separately because only requests use them.
package resource

import "fmt"

// Vector is an amount of each resource.
type Vector struct {
	milliCPU     int64
	memoryMB     int64
	accelerators int64
}

// New returns a vector of the given amounts.
func New(milliCPU, memoryMB, accelerators int64) Vector {
	return Vector{milliCPU: milliCPU, memoryMB: memoryMB, accelerators: accelerators}
}

// MilliCPU returns the processors in thousandths of a core.
func (vec Vector) MilliCPU() int64 { return vec.milliCPU }

// MemoryMB returns the memory in mebibytes.
func (vec Vector) MemoryMB() int64 { return vec.memoryMB }

// Accelerators returns the number of accelerator devices.
func (vec Vector) Accelerators() int64 { return vec.accelerators }

// Plus returns the sum of two vectors.
func (vec Vector) Plus(oth Vector) Vector {
	return New(vec.milliCPU+oth.milliCPU, vec.memoryMB+oth.memoryMB, vec.accelerators+oth.accelerators)
}

// Minus returns the difference of two vectors. Amounts may become negative.
func (vec Vector) Minus(oth Vector) Vector {
	return New(vec.milliCPU-oth.milliCPU, vec.memoryMB-oth.memoryMB, vec.accelerators-oth.accelerators)
}

// FitsIn reports whether every amount is at most that of the other vector.
func (vec Vector) FitsIn(oth Vector) bool {
	return vec.milliCPU <= oth.milliCPU && vec.memoryMB <= oth.memoryMB && vec.accelerators <= oth.accelerators
}

// Valid reports whether no amount is negative.
func (vec Vector) Valid() bool {
	return vec.milliCPU >= 0 && vec.memoryMB >= 0 && vec.accelerators >= 0
}

// Max returns the larger amount of each resource.
func (vec Vector) Max(oth Vector) Vector {
	return New(max(vec.milliCPU, oth.milliCPU), max(vec.memoryMB, oth.memoryMB), max(vec.accelerators, oth.accelerators))
}

// String formats the vector for explanations and logs.
func (vec Vector) String() string {
	return fmt.Sprintf("%d mCPU, %d MB, %d accelerators", vec.milliCPU, vec.memoryMB, vec.accelerators)
}

// Dominant returns the largest amount in units of the total of its resource:
// unit stands for all of it. A resource without a total counts as one.
func (vec Vector) DominantShare(total Vector, unit int64) int64 {
	return max(vec.milliCPU*unit/max(1, total.milliCPU), vec.memoryMB*unit/max(1, total.memoryMB),
		vec.accelerators*unit/max(1, total.accelerators))
}

// Min returns the smaller amount of each resource.
func (vec Vector) Min(oth Vector) Vector {
	return New(min(vec.milliCPU, oth.milliCPU), min(vec.memoryMB, oth.memoryMB), min(vec.accelerators, oth.accelerators))
}

// Times returns the amounts multiplied by a number.
func (vec Vector) Times(num int64) Vector {
	return New(vec.milliCPU*num, vec.memoryMB*num, vec.accelerators*num)
}

// Over returns the amounts divided by a number, rounded towards zero; a number below one counts as one.
func (vec Vector) DividedBy(num int64) Vector {
	num = max(1, num)
	return New(vec.milliCPU/num, vec.memoryMB/num, vec.accelerators/num)
}
