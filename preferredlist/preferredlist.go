// Package preferredlist makes preferred lists after Definition 2 of the paper "A Coordinated Location Policy
// for Load Sharing in Hypercube-Connected Multicomputers" (section II). A preferred list orders all other
// nodes of a cluster by how much a node prefers them as receivers of its overflow tasks; its first entries
// are the node's buddy set. By Theorem 1, in a whole cube each node is the k-th preferred node of one and
// only one other node, so that overloaded nodes seldom choose the same receiver.
//
// Nodes have the addresses 0 to n-1. A number of nodes that is no power of two is taken as a part of the
// smallest cube that holds them, of which the addresses without a node are skipped.
package preferredlist

import (
	"iter"
	"math/bits"
	"slices"
)

// Dimension is that of the smallest cube that holds a number of nodes.
func Dimension(nodes int) int {
	if nodes < 2 {
		return 0
	}
	return bits.Len(uint(nodes - 1))
}

// Masks returns the masks that make the preferred lists of a cube: the address of a node XOR the k-th mask is
// that of its k-th preferred node. They are ordered as Definition 2 says, by component groups: the first
// has the nodes one hop away, the second those two hops away, and so on.
func Masks(dimension int) []uint32 {
	var masks []uint32
	for hops := 1; hops <= dimension; hops++ {
		masks = appendComponentGroup(masks, dimension, hops)
	}
	return masks
}

// appendComponentGroup appends the masks of a component group: of the first in the order of their bits
// (item 1 of Definition 2), of any other those without bit 0 and then those with it, since the first index
// runs 1, ..., n-k, 0 (items 2 to 4).
func appendComponentGroup(masks []uint32, dimension, hops int) []uint32 {
	if hops == 1 {
		return appendCombinations(masks, 0, 0, dimension, 1)
	}
	masks = appendCombinations(masks, 0, 1, dimension, hops)
	withBit0 := len(masks)
	masks = appendCombinations(masks, 1, 1, dimension, hops-1)
	if hops > 2 {
		// From the third group on, Fig. 4 has these in the opposite order (14 13 11 7) to that of
		// Definition 2. The figure is followed; see docs/questions.md.
		slices.Reverse(masks[withBit0:])
	}
	return masks
}

// appendCombinations appends a mask with a number of further bits, from bit first on, in all ways and in the
// order of their indices.
func appendCombinations(masks []uint32, mask uint32, first, dimension, further int) []uint32 {
	if further == 0 {
		return append(masks, mask)
	}
	for bit := first; bit <= dimension-further; bit++ {
		masks = appendCombinations(masks, mask|1<<bit, bit+1, dimension, further-1)
	}
	return masks
}

// Ranks returns for each mask its place among masks, from 0 on. That of mask 0, the node itself, is the last.
func Ranks(masks []uint32) []uint32 {
	ranks := make([]uint32, len(masks)+1)
	ranks[0] = uint32(len(masks))
	for rank, mask := range masks {
		ranks[mask] = uint32(rank)
	}
	return ranks
}

// List returns the preferred list of a node among a number of nodes, up to a limit of entries.
func List(node, nodes, limit int) []int {
	if nodes < 2 || limit < 1 {
		return nil
	}
	return slices.Collect(Walk(Masks(Dimension(nodes)), node, nodes, limit))
}

// Walk yields the preferred list of a node among a number of nodes, up to a limit of entries, in order. The
// masks are those of the nodes' dimension.
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
