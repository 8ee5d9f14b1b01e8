package preferredlist_test

import (
	"slices"
	"testing"

	"junipershelf/preferredlist"
)

// fig4 has the preferred lists of all nodes in a 4-cube, from Fig. 4 of the paper.
var fig4 = [16][15]int{
	{1, 2, 4, 8, 6, 10, 12, 3, 5, 9, 14, 13, 11, 7, 15},
	{0, 3, 5, 9, 7, 11, 13, 2, 4, 8, 15, 12, 10, 6, 14},
	{3, 0, 6, 10, 4, 8, 14, 1, 7, 11, 12, 15, 9, 5, 13},
	{2, 1, 7, 11, 5, 9, 15, 0, 6, 10, 13, 14, 8, 4, 12},
	{5, 6, 0, 12, 2, 14, 8, 7, 1, 13, 10, 9, 15, 3, 11},
	{4, 7, 1, 13, 3, 15, 9, 6, 0, 12, 11, 8, 14, 2, 10},
	{7, 4, 2, 14, 0, 12, 10, 5, 3, 15, 8, 11, 13, 1, 9},
	{6, 5, 3, 15, 1, 13, 11, 4, 2, 14, 9, 10, 12, 0, 8},
	{9, 10, 12, 0, 14, 2, 4, 11, 13, 1, 6, 5, 3, 15, 7},
	{8, 11, 13, 1, 15, 3, 5, 10, 12, 0, 7, 4, 2, 14, 6},
	{11, 8, 14, 2, 12, 0, 6, 9, 15, 3, 4, 7, 1, 13, 5},
	{10, 9, 15, 3, 13, 1, 7, 8, 14, 2, 5, 6, 0, 12, 4},
	{13, 14, 8, 4, 10, 6, 0, 15, 9, 5, 2, 1, 7, 11, 3},
	{12, 15, 9, 5, 11, 7, 1, 14, 8, 4, 3, 0, 6, 10, 2},
	{15, 12, 10, 6, 8, 4, 2, 13, 11, 7, 0, 3, 5, 9, 1},
	{14, 13, 11, 7, 9, 5, 3, 12, 10, 6, 1, 2, 4, 8, 0},
}

func TestListsMatchFig4(t *testing.T) {
	for node, want := range fig4 {
		if got := preferredlist.List(node, 16, 15); !slices.Equal(got, want[:]) {
			t.Errorf("node %d: %v, want %v", node, got, want)
		}
	}
}

// maxNodes is the largest number of nodes that these tests try.
const maxNodes = 70

func TestListsContainEveryOtherNodeOnce(t *testing.T) {
	for nodes := 1; nodes <= maxNodes; nodes++ {
		for node := range nodes {
			list := preferredlist.List(node, nodes, nodes)
			if len(list) != nodes-1 {
				t.Fatalf("%d nodes, node %d: %d entries, want %d", nodes, node, len(list), nodes-1)
			}
			seen := map[int]bool{node: true}
			for _, preferred := range list {
				if seen[preferred] || preferred < 0 || preferred >= nodes {
					t.Fatalf("%d nodes, node %d: list %v has a repeated or invalid entry %d", nodes, node, list, preferred)
				}
				seen[preferred] = true
			}
		}
	}
}

// Theorem 1 of the paper holds in every complete cube.
func TestEachNodeIsKthPreferredOfExactlyOneOther(t *testing.T) {
	for nodes := 1; nodes <= maxNodes; nodes *= 2 {
		type choice struct{ rank, preferred int }
		chosen := map[choice]bool{}
		for node := range nodes {
			for rank, preferred := range preferredlist.List(node, nodes, nodes) {
				if chosen[choice{rank, preferred}] {
					t.Fatalf("%d nodes: node %d has rank %d in the lists of two nodes", nodes, preferred, rank)
				}
				chosen[choice{rank, preferred}] = true
			}
		}
	}
}

// Walk yields the entries of List, and their ranks ascend.
func TestWalkAndRanksAgreeWithLists(t *testing.T) {
	for nodes := 2; nodes <= maxNodes; nodes++ {
		masks := preferredlist.Masks(preferredlist.Dimension(nodes))
		ranks := preferredlist.Ranks(masks)
		for node := range nodes {
			list := preferredlist.List(node, nodes, nodes)
			if walked := slices.Collect(preferredlist.Walk(masks, node, nodes, nodes)); !slices.Equal(walked, list) {
				t.Fatalf("node %d of %d: Walk yields %v, want %v", node, nodes, walked, list)
			}
			if first := slices.Collect(preferredlist.Walk(masks, node, nodes, 3)); !slices.Equal(first, preferredlist.List(node, nodes, 3)) {
				t.Fatalf("node %d of %d: Walk yields %v with limit 3, want %v", node, nodes, first, preferredlist.List(node, nodes, 3))
			}
			if !slices.IsSortedFunc(list, func(a, b int) int { return int(ranks[node^a]) - int(ranks[node^b]) }) {
				t.Fatalf("node %d of %d: ranks of list %v are not in ascending order", node, nodes, list)
			}
		}
	}
}
