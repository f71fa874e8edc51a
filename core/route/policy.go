package route

import "math/rand/v2"

// TwoChoices picks the candidate with the shorter expected wait of two random ones. With stale
// measurements, picking the best of all makes many processes send their requests to the same
// endpoint.
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

// Uniform picks a random candidate. It is the baseline for benchmarks.
type Uniform struct{}

// Pick implements Policy.
func (Uniform) Pick(rng *rand.Rand, cands []Candidate) Candidate {
	return cands[rng.IntN(len(cands))]
}

// LeastOutstanding picks the candidate with the fewest requests in flight from this process. It
// breaks ties by a random start.
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
