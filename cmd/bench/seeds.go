package main

import (
	"fmt"
	"strconv"
	"strings"
)

// seedLimit bounds the seeds of a run.
const seedLimit = 1000

// seedRange is the seeds of the scenarios. The constants of the policies were
// chosen on the first five, so other seeds show how far the results carry over.
type seedRange struct {
	first uint64
	count int
}

// set reads a number of seeds or a range.
func (srg *seedRange) set(txt string) error {
	low, high, ranged := strings.Cut(txt, "-")
	if !ranged {
		low, high = "1", txt
	}
	first, err := strconv.ParseUint(low, 10, 32)
	last, other := strconv.ParseUint(high, 10, 32)
	if err != nil || other != nil || first < 1 || last < first || last-first >= seedLimit {
		return fmt.Errorf("%q is no number or range of up to %d seeds", txt, seedLimit)
	}
	srg.first, srg.count = first, int(last-first+1)
	return nil
}

// at returns the seed at a position.
func (srg seedRange) at(pos int) uint64 { return srg.first + uint64(pos) }
