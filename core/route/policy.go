package route

import "math/rand/v2"

// TwoChoices takes the cheaper of two random candidates. It avoids the herd
// that forms on the least loaded endpoint when many processes share stale hints.
type TwoChoices struct{}

// Pick implements Policy.
func (TwoChoices) Pick(rng *rand.Rand, cands []Candidate) Candidate {
	one := cands[rng.IntN(len(cands))]
	two := cands[rng.IntN(len(cands))]
	if two.load.expectedWait() < one.load.expectedWait() {
		return two
	}
	return one
}

// Uniform takes a random candidate. It is the baseline for measurements.
type Uniform struct{}

// Pick implements Policy.
func (Uniform) Pick(rng *rand.Rand, cands []Candidate) Candidate {
	return cands[rng.IntN(len(cands))]
}

// LeastOutstanding takes the candidate with the fewest requests in flight from
// this process and breaks ties at random.
type LeastOutstanding struct{}

// Pick implements Policy.
func (LeastOutstanding) Pick(rng *rand.Rand, cands []Candidate) Candidate {
	start := rng.IntN(len(cands))
	best := cands[start]
	for num := range cands {
		can := cands[(start+num)%len(cands)]
		if can.load.Outstanding() < best.load.Outstanding() {
			best = can
		}
	}
	return best
}
