package membership_test

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"

	"junipershelf/membership"
)

// ownersCase is a view whose bucket owners are compared with the golden file.
type ownersCase struct {
	nodes   []string // all nodes that may be members
	members []string // the members, in the view's order
	buckets int
}

// ownersCases returns every set of members of up to four nodes in two orders, and unusual views:
// with a member that the first view did not list, without buckets, and without members.
func ownersCases() []ownersCase {
	names := []string{"a", "b", "c", "d"}
	cases := []ownersCase{
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
			cases = append(cases, ownersCase{names[:nodes], members, buckets})
			if len(members) > 1 {
				reversed := slices.Clone(members)
				slices.Reverse(reversed)
				cases = append(cases, ownersCase{names[:nodes], reversed, buckets})
			}
		}
	}
	return cases
}

// All nodes compute bucket owners from the view alone, also while different versions run side by
// side. The owners in testdata/division.golden, which an earlier version wrote, must never change.
func TestBucketOwnersMatchEarlierVersions(t *testing.T) {
	var lines []string
	for _, test := range ownersCases() {
		view := membership.View{Nodes: test.nodes, Buckets: test.buckets}
		for i, node := range test.members {
			view.Members = append(view.Members, membership.Member{Node: node, Incarnation: uint64(i + 1)})
		}
		lines = append(lines, fmt.Sprintf("nodes %v members %v buckets %d: owners %v", test.nodes, test.members, test.buckets, view.BucketOwners()))
	}
	golden, err := os.ReadFile("testdata/division.golden")
	if err != nil {
		t.Fatal(err)
	}
	want := strings.Split(strings.TrimSuffix(string(golden), "\n"), "\n")
	if len(lines) != len(want) {
		t.Fatalf("got %d views, want the %d of the golden file", len(lines), len(want))
	}
	for i := range want {
		if lines[i] != want[i] {
			t.Errorf("got  %s\nwant %s", lines[i], want[i])
		}
	}
}

// nodeNames are the names of the nodes in the largest deployment of these tests.
var nodeNames = []string{"a", "b", "c", "d", "e", "f", "g"}

// fullView returns a view of a deployment in which all nodes are members.
func fullView(nodes int, changesPerSecond float64) membership.View {
	view := membership.View{Nodes: nodeNames[:nodes], Buckets: membership.BucketsFor(changesPerSecond, nodes)}
	for _, name := range view.Nodes {
		view.Members = append(view.Members, membership.Member{Node: name, Incarnation: 1})
	}
	return view
}

// subset returns a view of the members whose bits are set, in reverse order.
func subset(full membership.View, bits int) membership.View {
	view := membership.View{Nodes: full.Nodes, Buckets: full.Buckets}
	for i, m := range slices.Backward(full.Members) {
		if bits>>i&1 > 0 {
			view.Members = append(view.Members, m)
		}
	}
	return view
}

// eachView calls check for every non-empty set of members of up to seven nodes, at several rates of
// changes.
func eachView(t *testing.T, check func(t *testing.T, full, view membership.View)) {
	t.Helper()
	for nodes := 1; nodes <= len(nodeNames); nodes++ {
		for _, changes := range []float64{5, 20, 40, 70} {
			full := fullView(nodes, changes)
			for bits := 1; bits < 1<<nodes; bits++ {
				check(t, full, subset(full, bits))
			}
		}
	}
}

func TestBucketCountIsAMultipleOfTheNodes(t *testing.T) {
	for nodes := 1; nodes <= len(nodeNames); nodes++ {
		for _, changes := range []float64{5, 20, 40, 70} {
			buckets := membership.BucketsFor(changes, nodes)
			if buckets%nodes != 0 || buckets > max(6, nodes, int(changes))+nodes/2 {
				t.Errorf("%d nodes, %v changes per second: %d buckets", nodes, changes, buckets)
			}
		}
	}
}

func TestBucketsAreBalancedAmongMembers(t *testing.T) {
	eachView(t, func(t *testing.T, full, view membership.View) {
		t.Helper()
		counts := make([]int, len(view.Members))
		for _, owner := range view.BucketOwners() {
			counts[owner]++
		}
		if slices.Max(counts)-slices.Min(counts) > 1 {
			t.Errorf("%d of %d nodes are members: bucket counts %v, want counts that differ by at most 1", len(view.Members), len(full.Nodes), counts)
		}
	})
}

func TestBucketOwnersDoNotDependOnMemberOrder(t *testing.T) {
	eachView(t, func(t *testing.T, _, view membership.View) {
		t.Helper()
		rotated := view
		rotated.Members = append(slices.Clone(view.Members[1:]), view.Members[0])
		rotatedOwners := rotated.BucketOwners()
		for bucket, owner := range view.BucketOwners() {
			if rotated.Members[rotatedOwners[bucket]] != view.Members[owner] {
				t.Fatalf("owner of bucket %d depends on the order of the members", bucket)
			}
		}
	})
}

func TestOnlyBucketsOfASingleAbsentNodeMove(t *testing.T) {
	eachView(t, func(t *testing.T, full, view membership.View) {
		t.Helper()
		if len(view.Members) != len(full.Members)-1 {
			return
		}
		ownersBefore := full.BucketOwners()
		for bucket, owner := range view.BucketOwners() {
			before, now := full.Members[ownersBefore[bucket]], view.Members[owner]
			if now != before && view.Contains(before) {
				t.Errorf("bucket %d moved from %s, which is a member, to %s", bucket, before.Node, now.Node)
			}
		}
	})
}

// OwnerOfBucket gives the same owners whether or not the view has OwnersByBucket set.
func TestOwnerOfBucketMatchesBucketOwners(t *testing.T) {
	view := fullView(3, 20)
	cached := view
	cached.OwnersByBucket = view.BucketOwners()
	for bucket, owner := range cached.OwnersByBucket {
		if view.OwnerOfBucket(bucket) != owner || cached.OwnerOfBucket(bucket) != owner {
			t.Errorf("bucket %d: owners %d and %d, want %d", bucket, view.OwnerOfBucket(bucket), cached.OwnerOfBucket(bucket), owner)
		}
	}
}
