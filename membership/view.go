package membership

import (
	"hash/fnv"
	"slices"
	"strings"
)

// BucketsFor is how many hash buckets machines fall into. Each is one record of the
// state service, or a few, and is written about once a second at the most: so many
// that all of them together leave a third of the changes for the rest, and as many for
// each node.
func BucketsFor(changesPerSecond float64, nodes int) int {
	nodes = max(nodes, 1)
	wanted := bucketsPerTenChanges * min(max(int(changesPerSecond/10), 1), maxChangeTens)
	return nodes * max((wanted+nodes/2)/nodes, 1)
}

const (
	bucketsPerTenChanges = 6
	maxChangeTens        = 100 // more changes a second make no more buckets
)

// Member is one run of a node: its incarnation is the lease's own id.
type Member struct {
	Node        string `cbor:"node" msgpack:"node"`
	Incarnation uint64 `cbor:"inc" msgpack:"inc"`
}

// View is an agreed set of members; the first one is the leader.
type View struct {
	Number  uint64   `cbor:"number" msgpack:"number"`
	Members []Member `cbor:"members" msgpack:"members"`
	// Nodes are the names of all that may be members, sorted, and Buckets how many hash
	// buckets there are: whoever makes the first view writes them down for good.
	Nodes    []string `cbor:"nodes" msgpack:"nodes"`
	Buckets  int      `cbor:"parts" msgpack:"parts"`
	Revision uint64   `cbor:"-" msgpack:"-"`
	// OwnersByBucket is worked out once when a view is taken: each report asks.
	OwnersByBucket []int `cbor:"-" msgpack:"-"`
}

// IndexOf returns a member's place in the view; ok is false for a run of a node that is no
// member.
func (v View) IndexOf(m Member) (index int, ok bool) {
	index = slices.Index(v.Members, m)
	return index, index >= 0
}

// Contains reports whether a run of a node is a member of the view.
func (v View) Contains(m Member) bool { return slices.Contains(v.Members, m) }

// BucketOf is the hash bucket of a machine; it never changes.
func (v View) BucketOf(machine string) int {
	h := fnv.New32a()
	h.Write([]byte(machine))
	return int(h.Sum32() % uint32(max(v.Buckets, 1)))
}

// OwnerOfBucket is the member that owns a bucket.
func (v View) OwnerOfBucket(bucket int) int {
	owners := v.OwnersByBucket
	if owners == nil {
		owners = v.BucketOwners()
	}
	return owners[bucket%len(owners)]
}

// BucketOwners gives the owners of all buckets. Each has a node that it falls to by its number;
// those of nodes that are away go one by one to the member that has the fewest. So they
// fall evenly on any members, one more or less, and with one node away only its own move.
func (v View) BucketOwners() []int {
	out := make([]int, max(v.Buckets, 1))
	if len(v.Members) == 0 {
		return out
	}
	names := slices.Clone(v.Nodes)
	for _, m := range v.Members {
		if !slices.Contains(names, m.Node) {
			names = append(names, m.Node)
		}
	}
	at := map[string]int{}
	for i, m := range v.Members {
		at[m.Node] = i
	}
	has := make([]int, len(v.Members))
	for p := range out {
		out[p] = -1
		if i, ok := at[names[p%len(names)]]; ok {
			out[p] = i
			has[i]++
		}
	}
	// By name, not by place among the members, which changes with the views.
	order := make([]int, len(v.Members))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return strings.Compare(v.Members[a].Node, v.Members[b].Node) })
	for p := range out {
		if out[p] >= 0 {
			continue
		}
		best := order[0]
		for _, i := range order {
			if has[i] < has[best] {
				best = i
			}
		}
		out[p] = best
		has[best]++
	}
	return out
}

// NextView is the view that live members call for: old members keep their order,
// new ones follow. It returns false when the view fits as it is.
func (v View) NextView(live []Member) (View, bool) {
	alive := map[Member]bool{}
	for _, m := range live {
		alive[m] = true
	}
	n := View{Number: v.Number + 1, Nodes: v.Nodes, Buckets: v.Buckets}
	for _, m := range v.Members {
		if alive[m] {
			n.Members = append(n.Members, m)
			delete(alive, m)
		}
	}
	if len(alive) == 0 && len(n.Members) == len(v.Members) {
		return v, false
	}
	for _, m := range live {
		if alive[m] {
			n.Members = append(n.Members, m)
		}
	}
	return n, true
}
