package membership_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"junipershelf/membership"
)

func TestNextView(t *testing.T) {
	a, b, c := membership.Member{Node: "a", Incarnation: 1}, membership.Member{Node: "b", Incarnation: 2}, membership.Member{Node: "c", Incarnation: 3}
	restartedB := membership.Member{Node: "b", Incarnation: 9}
	for _, test := range []struct {
		name          string
		members, live []membership.Member
		want          []membership.Member // nil: no new view
	}{
		{"no new view for the same members in another order", []membership.Member{b, a}, []membership.Member{a, b}, nil},
		{"a restarted node is a new member and no longer the leader", []membership.Member{b, a}, []membership.Member{a, restartedB, c}, []membership.Member{a, restartedB, c}},
		{"old members keep their order before new ones", []membership.Member{b, a}, []membership.Member{c, a, b}, []membership.Member{b, a, c}},
		{"a member that is no longer live is left out", []membership.Member{b, a}, []membership.Member{a}, []membership.Member{a}},
	} {
		t.Run(test.name, func(t *testing.T) {
			view := membership.View{Number: 4, Members: test.members, Nodes: []string{"a", "b", "c"}, Buckets: 12}
			want, wantChanged := view, false
			if test.want != nil {
				want = membership.View{Number: 5, Members: test.want, Nodes: view.Nodes, Buckets: view.Buckets}
				wantChanged = true
			}
			next, changed := view.NextView(test.live)
			if changed != wantChanged || !cmp.Equal(next, want) {
				t.Errorf("changed %v, next %+v, want %+v", changed, next, want)
			}
		})
	}
}

// Later views copy the nodes and buckets of the first one, so that a machine's bucket never changes.
func TestNextViewKeepsNodesAndBuckets(t *testing.T) {
	view := membership.View{Nodes: []string{"a", "b", "c"}, Buckets: 12, Members: []membership.Member{{Node: "a", Incarnation: 1}}}
	next, _ := view.NextView([]membership.Member{{Node: "a", Incarnation: 2}})
	if next.Buckets != view.Buckets || len(next.Nodes) != 3 {
		t.Errorf("the next view has %d buckets and nodes %v, want %d buckets and 3 nodes", next.Buckets, next.Nodes, view.Buckets)
	}
}

func TestIndexOfDistinguishesIncarnations(t *testing.T) {
	view := membership.View{Members: []membership.Member{{Node: "b", Incarnation: 2}, {Node: "a", Incarnation: 1}}}
	if index, ok := view.IndexOf(membership.Member{Node: "a", Incarnation: 1}); index != 1 || !ok {
		t.Errorf("got index %d, %v; want 1, true", index, ok)
	}
	earlierRun := membership.Member{Node: "a", Incarnation: 7}
	if _, ok := view.IndexOf(earlierRun); ok || view.Contains(earlierRun) {
		t.Error("another incarnation of a node is found in the view")
	}
}
