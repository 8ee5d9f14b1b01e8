package membership

import "slices"

// Member is one run of a node. Its incarnation is the id of its member lease, so that a
// restarted node is another member.
type Member struct {
	Node        string `cbor:"node" msgpack:"node"`
	Incarnation uint64 `cbor:"inc" msgpack:"inc"`
}

// View is a numbered set of members that the nodes agree on through the key-value store. The
// first member is the leader. A view's number is also the fencing token of all that is decided
// in it.
type View struct {
	Number  uint64   `cbor:"number" msgpack:"number"`
	Members []Member `cbor:"members" msgpack:"members"`
	// Nodes are the names of all that may be members, sorted, and Buckets is the number of
	// hash buckets. The first view records them for good: a machine's bucket never changes.
	Nodes   []string `cbor:"nodes" msgpack:"nodes"`
	Buckets int      `cbor:"parts" msgpack:"parts"`
	// Revision is that of the view's record, which transactions are guarded on.
	Revision uint64 `cbor:"-" msgpack:"-"`
	// OwnersByBucket is what BucketOwners returns, computed once when a node enters the view:
	// each heartbeat asks for an owner. It is nil in a view that was merely decoded.
	OwnersByBucket []int `cbor:"-" msgpack:"-"`
}

// IndexOf returns a member's place in the view; ok is false, and the place 0, for a run of a
// node that is no member.
func (v View) IndexOf(m Member) (index int, ok bool) {
	index = slices.Index(v.Members, m)
	if index < 0 {
		return 0, false
	}
	return index, true
}

// Contains reports whether a run of a node is a member of the view.
func (v View) Contains(m Member) bool { return slices.Contains(v.Members, m) }

// nodeNames returns the names of the members, the leader's first.
func (v View) nodeNames() []string {
	names := make([]string, len(v.Members))
	for i, m := range v.Members {
		names[i] = m.Node
	}
	return names
}

// NextView returns the view that the live members call for: members that are still alive keep
// their order, so that the leader stays as long as it lives, and new ones follow. Changed is
// false, and the view is returned as it is, where its members are just the live ones.
func (v View) NextView(live []Member) (next View, changed bool) {
	unplaced := make(map[Member]bool, len(live))
	for _, m := range live {
		unplaced[m] = true
	}
	next = View{Number: v.Number + 1, Nodes: v.Nodes, Buckets: v.Buckets}
	for _, m := range v.Members {
		if unplaced[m] {
			next.Members = append(next.Members, m)
			delete(unplaced, m)
		}
	}
	if len(unplaced) == 0 && len(next.Members) == len(v.Members) {
		return v, false
	}
	for _, m := range live {
		if unplaced[m] {
			next.Members = append(next.Members, m)
		}
	}
	return next, true
}
