// Package preferredlist computes preferred lists according to Definition 2 of the paper "A Coordinated
// Location Policy for Load Sharing in Hypercube-Connected Multicomputers" (section II). A preferred list
// orders all other nodes of a cluster by a node's preference for them as receivers of its overflow tasks. Its
// first entries are the node's buddy set. By Theorem 1, in a complete cube each node is the k-th preferred
// node of exactly one other node, so overloaded nodes seldom choose the same receiver.
//
// Nodes have the addresses 0 to n-1. A cube of dimension d has all addresses of d bits, and the number of
// hops between two nodes is the number of bits in which their addresses differ. If the number of nodes is not
// a power of two, they are in the smallest cube that holds them, and addresses without a node are skipped.
package preferredlist

import (
	"iter"
	"math/bits"
	"slices"
)

// Dimension returns the dimension of the smallest cube that holds the given number of nodes.
func Dimension(nodes int) int {
	if nodes < 2 {
		return 0
	}
	return bits.Len(uint(nodes - 1))
}

// Masks returns the masks from which the preferred lists of a cube are computed: a node's address XOR the
// k-th mask is the address of its k-th preferred node. The masks are in the order of Definition 2: first those
// of the nodes one hop away, then those of the nodes two hops away, and so on.
func Masks(dimension int) []uint32 {
	var masks []uint32
	for hops := 1; hops <= dimension; hops++ {
		masks = appendMasksAtHops(masks, dimension, hops)
	}
	return masks
}

// appendMasksAtHops appends the masks of the nodes that are the given number of hops away, which are the masks
// with that number of bits set (a component group in Definition 2). Masks with one bit are in the order of
// their bits (item 1 of Definition 2). Of masks with more bits, those without bit 0 come before those with
// it, since the first index runs 1, ..., n-k, 0 (items 2 to 4).
func appendMasksAtHops(masks []uint32, dimension, hops int) []uint32 {
	if hops == 1 {
		return appendCombinations(masks, 0, 0, dimension, 1)
	}
	masks = appendCombinations(masks, 0, 1, dimension, hops)
	withBit0 := len(masks)
	masks = appendCombinations(masks, 1, 1, dimension, hops-1)
	if hops > 2 {
		// From three hops on, Fig. 4 has the masks with bit 0 in the reverse (14 13 11 7) of the order
		// in Definition 2. This package follows the figure; see docs/questions.md.
		slices.Reverse(masks[withBit0:])
	}
	return masks
}

// appendCombinations appends mask with remaining more bits set, in all combinations of bits from index first on,
// ordered by the indices.
func appendCombinations(masks []uint32, mask uint32, first, dimension, remaining int) []uint32 {
	if remaining == 0 {
		return append(masks, mask)
	}
	for bit := first; bit <= dimension-remaining; bit++ {
		masks = appendCombinations(masks, mask|1<<bit, bit+1, dimension, remaining-1)
	}
	return masks
}

// Ranks returns a slice that is indexed by mask and has the position of each mask in masks. Mask 0, which leads
// to the node itself, is not in masks and ranks last.
func Ranks(masks []uint32) []uint32 {
	ranks := make([]uint32, len(masks)+1)
	ranks[0] = uint32(len(masks))
	for rank, mask := range masks {
		ranks[mask] = uint32(rank)
	}
	return ranks
}

// List returns the first entries, at most limit, of the preferred list of a node in a cluster of the given
// number of nodes.
func List(node, nodes, limit int) []int {
	if nodes < 2 || limit < 1 {
		return nil
	}
	return slices.Collect(Walk(Masks(Dimension(nodes)), node, nodes, limit))
}

// Walk yields the entries that List returns, in order. The masks must be Masks(Dimension(nodes)).
func Walk(masks []uint32, node, nodes, limit int) iter.Seq[int] {
	return func(yield func(int) bool) {
		yielded := 0
		for _, mask := range masks {
			preferred := node ^ int(mask)
			if preferred >= nodes {
				continue
			}
			if yielded == limit || !yield(preferred) {
				return
			}
			yielded++
		}
	}
}
