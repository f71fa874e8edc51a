package place

import "jacinthpost/core/resource"

// visitLimit bounds the nodes visited by one search. A node holds the maximum of each resource
// separately, so the need may fit into a node but into none of its leaves. The bound keeps such
// searches cheap. Most searches start at a random leaf, so a repeated one visits other nodes.
const visitLimit = 256

// closed is the free amount of a leaf into which nothing fits.
var closed = resource.New(-1, -1, -1)

// tree is a complete binary tree over the free amounts of the instances of a site.
// Each inner node holds the largest amount of each resource below it.
type tree struct {
	leaves int
	nodes  []resource.Vector
}

// set changes the free amounts of a leaf, in O(log n).
func (tre *tree) set(leaf int, free resource.Vector) {
	if leaf >= tre.leaves {
		tre.grow(leaf)
	}
	pos := leaf + tre.leaves
	tre.nodes[pos] = free
	for pos >>= 1; pos >= 1; pos >>= 1 {
		largest := tre.nodes[2*pos].Max(tre.nodes[2*pos+1])
		if largest == tre.nodes[pos] {
			return
		}
		tre.nodes[pos] = largest
	}
}

func (tre *tree) grow(leaf int) {
	old := tre.nodes
	count := tre.leaves
	tre.leaves = max(tre.leaves, 8)
	for tre.leaves <= leaf {
		tre.leaves *= 2
	}
	tre.nodes = make([]resource.Vector, 2*tre.leaves)
	for pos := range tre.nodes {
		tre.nodes[pos] = closed
	}
	for pos := range count {
		tre.set(pos, old[count+pos])
	}
}

// largest returns the largest free amount of each resource over all leaves.
func (tre *tree) largest() resource.Vector {
	if tre.leaves == 0 {
		return closed
	}
	return tre.nodes[1]
}

// next returns the first fitting leaf at or after from, or -1.
func (tre *tree) next(need resource.Vector, from int) int {
	if from < tre.leaves && need.FitsIn(tre.nodes[tre.leaves+from]) {
		return from // without a descent from the root, which reads one cache line for each level
	}
	if tre.leaves == 0 || !need.FitsIn(tre.nodes[1]) {
		return -1
	}
	visits := visitLimit
	return tre.search(need, from, 1, 0, tre.leaves, &visits)
}

func (tre *tree) search(need resource.Vector, from, node, low, high int, visits *int) int {
	if high <= from || *visits <= 0 || !need.FitsIn(tre.nodes[node]) {
		return -1
	}
	*visits--
	if high-low == 1 {
		return low
	}
	middle := (low + high) / 2
	if leaf := tre.search(need, from, 2*node, low, middle, visits); leaf >= 0 {
		return leaf
	}
	return tre.search(need, from, 2*node+1, middle, high, visits)
}

// cyclic returns the first fitting leaf at or after from, wrapping around after the last one, or -1.
func (tre *tree) cyclic(need resource.Vector, from int) int {
	if leaf := tre.next(need, from); leaf >= 0 {
		return leaf
	}
	return tre.next(need, 0)
}
