package dispatch

import (
	"jacinthpost/core/place"
	"jacinthpost/core/resource"
)

// padPercent is the part of the declared memory that a class must use before it
// is counted with more than declared. Learned amounts are rounded up by as much as 19%.
const padPercent = 125

// padded is a policy that chooses like P for the size that the agent reserves,
// and for more memory where a class is known to need it.
type padded[P place.Policy] struct {
	policy P
}

// Choose implements place.Policy.
func (pad padded[P]) Choose(can *place.Candidates, tsk *place.Task, knw *place.Knowledge) *place.Host {
	return pad.policy.Choose(can, tsk, knw)
}

// Accepts tells of which instances with room P takes none.
func (pad padded[P]) Accepts(hos *place.Host, tsk *place.Task, need resource.Vector, knw *place.Knowledge) bool {
	acc, limited := any(pad.policy).(interface {
		Accepts(hos *place.Host, tsk *place.Task, need resource.Vector, knw *place.Knowledge) bool
	})
	return !limited || acc.Accepts(hos, tsk, need, knw)
}

// Reserve implements place.Policy.
func (padded[P]) Reserve(tsk *place.Task, knw *place.Knowledge) resource.Vector {
	declared := tsk.Declared()
	learned := knw.Learned(tsk).MemoryMB()
	if learned*100 <= declared.MemoryMB()*padPercent {
		return declared
	}
	return resource.New(declared.MilliCPU(), learned, declared.Accelerators())
}
