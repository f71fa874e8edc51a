package lease

import (
	"github.com/cespare/xxhash/v2"

	"jacinthpost/core/token"
)

// Set describes a set of assignments by their number and a digest that does not
// depend on their order, so that a holder and a granter can compare their sets
// without listing the members. The digest is a sum of 64-bit hashes: two different
// sets of equal size compare as equal with a probability of about 2^-64, given
// that job IDs are cryptographic hashes that nobody can choose. The zero value is
// the empty set.
type Set struct {
	count  int
	digest uint64
}

// NewSet returns a set received from another process, given its count and its digest.
func NewSet(count int, digest uint64) Set { return Set{count: count, digest: digest} }

// Count returns the number of assignments.
func (set Set) Count() int { return set.count }

// Digest returns the sum of the hashes of the assignments.
func (set Set) Digest() uint64 { return set.digest }

// With returns the set with an assignment added, which must not be in it yet.
func (set Set) With(job string, index int, tok token.Token) Set {
	return Set{count: set.count + 1, digest: set.digest + hash(job, index, tok)}
}

// Without returns the set with an assignment removed, which must be in it.
func (set Set) Without(job string, index int, tok token.Token) Set {
	return Set{count: set.count - 1, digest: set.digest - hash(job, index, tok)}
}

func hash(job string, index int, tok token.Token) uint64 {
	sum := xxhash.Sum64String(job)
	for _, val := range [...]uint64{uint64(index), tok.Epoch(), tok.Sequence()} {
		sum = mix(sum ^ val)
	}
	return sum
}

// mix is the finalizer of SplitMix64. Each bit of the input affects about half of the bits of the output,
// so that the sums of hashes of similar assignments do not coincide.
func mix(val uint64) uint64 {
	val += 0x9e3779b97f4a7c15
	val = (val ^ val>>30) * 0xbf58476d1ce4e5b9
	val = (val ^ val>>27) * 0x94d049bb133111eb
	return val ^ val>>31
}
