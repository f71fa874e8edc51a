package place

import "jacinthpost/core/resource"

// Policy chooses an instance among the fitting ones. A nil result leaves the
// task waiting.
type Policy interface {
	// Choose returns an instance that fits, or nil.
	Choose(can *Candidates, tsk *Task, knw *Knowledge) *InstanceView
	// Reserve returns the amounts to reserve for a task.
	Reserve(tsk *Task, knw *Knowledge) resource.Vector
}

// Weights of the terms of the score, in units of one whole instance in use.
const (
	pressureWeight = 40.0 // by the square of the slowdown: 0.1 counts 0.4
	rackWeight     = 0.4  // by the fraction of the job in the rack
	siteWeight     = 0.3  // by the fraction of the job in the data centre
	regionWeight   = 0.5  // for moving the payload to another region
	siteMoveWeight = 0.05 // for moving the payload to another data centre
	failedWeight   = 2.0  // for an instance on which the job failed before
)

// DefaultCandidates is the number of sampled instances. In trials of two-year
// size more than eight did not improve the result visibly.
const DefaultCandidates = 8

// Scored samples instances and takes the one with the lowest score of load,
// slowdown of the services, spread and distance. It reserves learned sizes.
type Scored struct {
	candidates int
}

// NewScored returns the policy with a number of sampled instances.
func NewScored(candidates int) Scored { return Scored{candidates: candidates} }

// Candidates returns the number of instances sampled for one placement.
func (sco Scored) Candidates() int {
	if sco.candidates == 0 {
		return DefaultCandidates
	}
	return sco.candidates
}

// Reserve returns the learned size.
func (sco Scored) Reserve(tsk *Task, knw *Knowledge) resource.Vector { return knw.LearnedSize(tsk) }

// Choose implements Policy.
func (sco Scored) Choose(can *Candidates, tsk *Task, knw *Knowledge) *InstanceView {
	var best *InstanceView
	var lowest float64
	for pos := range sco.Candidates() {
		viw := sco.sample(can, tsk, pos)
		if viw == nil {
			return nil
		}
		prr := knw.Slowdown(viw, tsk, can.need)
		if !knw.Admissible(viw, tsk, can.need, prr) {
			continue
		}
		score := pressureWeight*prr.total*prr.total + sco.score(can, viw, tsk, knw)
		if best == nil || score < lowest {
			best, lowest = viw, score
		}
	}
	return best
}

// sample takes half of the candidates from the region of the payload.
func (sco Scored) sample(can *Candidates, tsk *Task, pos int) *InstanceView {
	if reg := tsk.origin.Region(); reg != "" && pos%2 == 0 {
		return can.SampleIn(reg)
	}
	return can.Sample()
}

// score returns the terms other than the slowdown of the services.
func (Scored) score(can *Candidates, viw *InstanceView, tsk *Task, knw *Knowledge) float64 {
	score := load(viw, can.need)
	rck, sit := knw.Concentration(viw, tsk)
	score += rackWeight*rck + siteWeight*sit
	if tsk.origin.Region() != "" {
		score += [...]float64{0, siteMoveWeight, regionWeight}[tsk.origin.TierTo(viw.instance.location)]
	}
	if knw.FailedOn(viw, tsk) {
		score += failedWeight
	}
	return score
}

// load returns the larger fraction of processors and memory in use after the placement.
func load(viw *InstanceView, need resource.Vector) float64 {
	left := viw.Free().Minus(need)
	total := viw.instance.capacity
	processors := 1 - float64(left.MilliCPU())/float64(max(1, total.MilliCPU()))
	memory := 1 - float64(left.MemoryMB())/float64(max(1, total.MemoryMB()))
	return max(processors, memory)
}

// Uniform is the baseline that takes a random fitting instance for the declared size.
type Uniform struct{}

// Choose implements Policy.
func (Uniform) Choose(can *Candidates, _ *Task, _ *Knowledge) *InstanceView { return can.Sample() }

// Reserve returns the declared size.
func (Uniform) Reserve(tsk *Task, _ *Knowledge) resource.Vector { return tsk.declared }

// FirstFit is the baseline that takes the first fitting instance for the declared size.
type FirstFit struct{}

// Choose implements Policy.
func (FirstFit) Choose(can *Candidates, _ *Task, _ *Knowledge) *InstanceView { return can.First() }

// Reserve returns the declared size.
func (FirstFit) Reserve(tsk *Task, _ *Knowledge) resource.Vector { return tsk.declared }

// LeastLoaded is the baseline that takes the least loaded of the sampled
// instances for the declared size, without regard to the services on it.
type LeastLoaded struct{}

// Choose implements Policy.
func (LeastLoaded) Choose(can *Candidates, _ *Task, _ *Knowledge) *InstanceView {
	var best *InstanceView
	for range DefaultCandidates {
		viw := can.Sample()
		if viw == nil {
			return nil
		}
		if best == nil || load(viw, can.need) < load(best, can.need) {
			best = viw
		}
	}
	return best
}

// Reserve returns the declared size.
func (LeastLoaded) Reserve(tsk *Task, _ *Knowledge) resource.Vector { return tsk.declared }

// LeastLoadedLearned is LeastLoaded with learned sizes. It shows which part of
// the gain of Scored comes from the sizes alone.
type LeastLoadedLearned struct{ LeastLoaded }

// Reserve returns the learned size.
func (LeastLoadedLearned) Reserve(tsk *Task, knw *Knowledge) resource.Vector {
	return knw.LearnedSize(tsk)
}
