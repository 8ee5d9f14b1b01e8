package membership

import "slices"

// Member is one run of a node. Its incarnation is the id of its member lease, so a restarted node
// is a different member.
type Member struct {
	Node        string `cbor:"node" msgpack:"node"`
	Incarnation uint64 `cbor:"inc" msgpack:"inc"`
}

// View is a numbered set of members that the nodes agree on through the key-value store. The first
// member is the leader. The view's number is also the fencing token of all decisions made in it.
type View struct {
	Number  uint64   `cbor:"number" msgpack:"number"`
	Members []Member `cbor:"members" msgpack:"members"`
	// Nodes are the sorted names of all nodes that may be members, and Buckets is the number of
	// hash buckets. The first view records them permanently, so that a machine's bucket never
	// changes.
	Nodes   []string `cbor:"nodes" msgpack:"nodes"`
	Buckets int      `cbor:"parts" msgpack:"parts"`
	// Revision is the revision of the view's record, on which transactions are guarded.
	Revision uint64 `cbor:"-" msgpack:"-"`
	// OwnersByBucket is the result of BucketOwners, computed once when a node enters the view
	// because each heartbeat looks up an owner. It is nil in a view that was only decoded.
	OwnersByBucket []int `cbor:"-" msgpack:"-"`
}

// IndexOf returns a member's index in the view, or 0 and false if it is not a member.
func (v View) IndexOf(m Member) (index int, ok bool) {
	index = slices.Index(v.Members, m)
	if index < 0 {
		return 0, false
	}
	return index, true
}

// Contains reports whether m, including its incarnation, is a member of the view.
func (v View) Contains(m Member) bool { return slices.Contains(v.Members, m) }

// ContainsNode reports whether any run of a node is a member of the view.
func (v View) ContainsNode(node string) bool {
	return slices.ContainsFunc(v.Members, func(m Member) bool { return m.Node == node })
}

// nodeNames returns the names of the members, the leader's first.
func (v View) nodeNames() []string {
	names := make([]string, len(v.Members))
	for i, m := range v.Members {
		names[i] = m.Node
	}
	return names
}

// NextView returns the view that follows v when the given members are live. Members of v that are
// still live keep their order, so that the leader stays the same as long as it is live, and new
// members follow. If the live members are those of v, it returns v and changed is false.
func (v View) NextView(live []Member) (next View, changed bool) {
	remaining := make(map[Member]bool, len(live))
	for _, m := range live {
		remaining[m] = true
	}
	next = View{Number: v.Number + 1, Nodes: v.Nodes, Buckets: v.Buckets}
	for _, m := range v.Members {
		if remaining[m] {
			next.Members = append(next.Members, m)
			delete(remaining, m)
		}
	}
	if len(remaining) == 0 && len(next.Members) == len(v.Members) {
		return v, false
	}
	for _, m := range live {
		if remaining[m] {
			next.Members = append(next.Members, m)
		}
	}
	return next, true
}
