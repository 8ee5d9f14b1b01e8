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

// someNodes are the names of the largest deployment that the division is tested with.
var someNodes = []string{"a", "b", "c", "d", "e", "f", "g"}

// fullView returns a view of a deployment in which all nodes are members.
func fullView(nodes int, changesPerSecond float64) membership.View {
	view := membership.View{Nodes: someNodes[:nodes], Buckets: membership.BucketsFor(changesPerSecond, nodes)}
	for _, name := range view.Nodes {
		view.Members = append(view.Members, membership.Member{Node: name, Incarnation: 1})
	}
	return view
}

// subset returns a view of the members whose bits are set, the last one first.
func subset(full membership.View, bits int) membership.View {
	view := membership.View{Nodes: full.Nodes, Buckets: full.Buckets}
	for i, m := range slices.Backward(full.Members) {
		if bits>>i&1 > 0 {
			view.Members = append(view.Members, m)
		}
	}
	return view
}

// eachView calls a test for views of up to seven nodes, at several rates of changes, and for
// every set of members of them.
func eachView(t *testing.T, check func(t *testing.T, full, view membership.View)) {
	t.Helper()
	for nodes := 1; nodes <= len(someNodes); nodes++ {
		for _, changes := range []float64{5, 20, 40, 70} {
			full := fullView(nodes, changes)
			for bits := 1; bits < 1<<nodes; bits++ {
				check(t, full, subset(full, bits))
			}
		}
	}
}

func TestBucketCountIsAMultipleOfTheNodes(t *testing.T) {
	for nodes := 1; nodes <= len(someNodes); nodes++ {
		for _, changes := range []float64{5, 20, 40, 70} {
			buckets := membership.BucketsFor(changes, nodes)
			if buckets%nodes != 0 || buckets > max(6, nodes, int(changes))+nodes/2 {
				t.Errorf("%d nodes, %v changes a second: %d buckets", nodes, changes, buckets)
			}
		}
	}
}

func TestBucketsFallEvenlyOnAnyMembers(t *testing.T) {
	eachView(t, func(t *testing.T, full, view membership.View) {
		t.Helper()
		counts := make([]int, len(view.Members))
		for _, owner := range view.BucketOwners() {
			counts[owner]++
		}
		if slices.Max(counts)-slices.Min(counts) > 1 {
			t.Errorf("%d of %d nodes: buckets by owner %v", len(view.Members), len(full.Nodes), counts)
		}
	})
}

func TestDivisionIgnoresTheOrderOfMembers(t *testing.T) {
	eachView(t, func(t *testing.T, _, view membership.View) {
		t.Helper()
		turned := view
		turned.Members = append(slices.Clone(view.Members[1:]), view.Members[0])
		turnedOwners := turned.BucketOwners()
		for bucket, owner := range view.BucketOwners() {
			if turned.Members[turnedOwners[bucket]] != view.Members[owner] {
				t.Fatalf("bucket %d depends on the members' order", bucket)
			}
		}
	})
}

func TestOnlyTheBucketsOfASingleAbsentNodeMove(t *testing.T) {
	eachView(t, func(t *testing.T, full, view membership.View) {
		t.Helper()
		if len(view.Members) != len(full.Members)-1 {
			return
		}
		ownersBefore := full.BucketOwners()
		for bucket, owner := range view.BucketOwners() {
			before, now := full.Members[ownersBefore[bucket]], view.Members[owner]
			if now != before && view.Contains(before) {
				t.Errorf("bucket %d moved from %s to %s", bucket, before.Node, now.Node)
			}
		}
	})
}

// OwnersByBucket is computed once; without it the division is computed for each question.
func TestOwnerOfBucketIsThatOfTheDivision(t *testing.T) {
	view := fullView(3, 20)
	cached := view
	cached.OwnersByBucket = view.BucketOwners()
	for bucket, owner := range cached.OwnersByBucket {
		if view.OwnerOfBucket(bucket) != owner || cached.OwnerOfBucket(bucket) != owner {
			t.Errorf("bucket %d: owners %d and %d, want %d", bucket, view.OwnerOfBucket(bucket), cached.OwnerOfBucket(bucket), owner)
		}
	}
}
