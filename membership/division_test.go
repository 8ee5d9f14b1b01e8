package membership_test

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"

	"junipershelf/membership"
)

// divisionCase is a view whose division is pinned.
type divisionCase struct {
	nodes   []string // that may be members
	members []string // that are, in the view's order
	buckets int
}

// divisionCases has every set of members of up to four nodes in two orders, and views that
// only an unusual history makes: a member that the first view did not name, no bucket, nobody.
func divisionCases() []divisionCase {
	names := []string{"a", "b", "c", "d"}
	cases := []divisionCase{
		{nodes: names[:2], members: []string{"z", "a"}, buckets: 12},
		{nodes: nil, members: []string{"b", "a"}, buckets: 5},
		{nodes: names[:2], members: []string{"b"}, buckets: 0},
		{nodes: names[:2], members: nil, buckets: 6},
	}
	for nodes := 1; nodes <= len(names); nodes++ {
		buckets := membership.BucketsFor(20, nodes)
		for set := 1; set < 1<<nodes; set++ {
			var members []string
			for i := range nodes {
				if set>>i&1 > 0 {
					members = append(members, names[i])
				}
			}
			cases = append(cases, divisionCase{names[:nodes], members, buckets})
			if len(members) > 1 {
				turned := slices.Clone(members)
				slices.Reverse(turned)
				cases = append(cases, divisionCase{names[:nodes], turned, buckets})
			}
		}
	}
	return cases
}

// A partition's owner follows from the view alone, on every node and in every version that
// runs beside this one: the division of testdata/division.golden, which an earlier version
// wrote, must never change.
func TestDivisionIsThatOfEarlierVersions(t *testing.T) {
	var lines []string
	for _, c := range divisionCases() {
		view := membership.View{Nodes: c.nodes, Buckets: c.buckets}
		for i, node := range c.members {
			view.Members = append(view.Members, membership.Member{Node: node, Incarnation: uint64(i + 1)})
		}
		lines = append(lines, fmt.Sprintf("nodes %v members %v buckets %d: owners %v", c.nodes, c.members, c.buckets, view.BucketOwners()))
	}
	golden, err := os.ReadFile("testdata/division.golden")
	if err != nil {
		t.Fatal(err)
	}
	want := strings.Split(strings.TrimSuffix(string(golden), "\n"), "\n")
	if len(lines) != len(want) {
		t.Fatalf("%d views divided, %d in the golden file", len(lines), len(want))
	}
	for i := range want {
		if lines[i] != want[i] {
			t.Errorf("got  %s\nwant %s", lines[i], want[i])
		}
	}
}
