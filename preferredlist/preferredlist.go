// Package preferredlist makes the preferred lists of the paper's Definition 2.
package preferredlist

import (
	"iter"
	"math/bits"
	"slices"
)

// Masks gives the XOR masks of an n-cube in the order of Definition 2: groups
// of growing weight, and in each the first index runs 1..n-k and then 0.
func Masks(n int) []uint32 {
	var out []uint32
	for k := 1; k <= n; k++ {
		var rest func(from, left int, mask uint32)
		rest = func(from, left int, mask uint32) {
			if left == 0 {
				out = append(out, mask)
				return
			}
			for j := from; j <= n-left; j++ {
				rest(j+1, left-1, mask|1<<j)
			}
		}
		if k == 1 {
			rest(0, 1, 0)
			continue
		}
		for j := 1; j <= n-k; j++ {
			rest(j+1, k-1, 1<<j)
		}
		low := len(out)
		rest(1, k-1, 1)
		if k > 2 {
			// The paper's Fig. 4 runs these downwards (14 13 11 7), which the
			// formula of Definition 2 does not; the figure is followed, see
			// docs/questions.md.
			slices.Reverse(out[low:])
		}
	}
	return out
}

// Dimension is the n of the smallest cube that holds count nodes.
func Dimension(count int) int {
	if count < 2 {
		return 0
	}
	return bits.Len(uint(count - 1))
}

// List gives the first most entries of node i's list among count nodes; the
// numbers that no node has are skipped.
func List(i, count, most int) []int {
	if count < 2 || most < 1 {
		return nil
	}
	return slices.Collect(Walk(Masks(Dimension(count)), i, count, most))
}

// Walk gives the first most entries of node i's list among count nodes, one after the other.
func Walk(masks []uint32, i, count, most int) iter.Seq[int] {
	return func(yield func(int) bool) {
		given := 0
		for _, m := range masks {
			j := i ^ int(m)
			if j >= count {
				continue
			}
			if given == most || !yield(j) {
				return
			}
			given++
		}
	}
}

// Ranks gives the place of each mask among masks; that of 0, the node itself, comes last.
func Ranks(masks []uint32) []uint32 {
	ranks := make([]uint32, len(masks)+1)
	ranks[0] = uint32(len(masks))
	for place, m := range masks {
		ranks[m] = uint32(place)
	}
	return ranks
}
