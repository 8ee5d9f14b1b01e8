// Package membership maintains a node's membership in the cluster. It holds the node's member
// lease in the key-value store, agrees on views (numbered sets of members) with the other nodes,
// assigns the machines to the members of a view, and decides how long the node may act in a view.
//
// A node acts, as the owner of a partition or as the leader, only while
// [Membership.HoldsLease] returns true. That method, in ownershiplease.go, is what makes an owner
// stop acting. Its evidence is recorded by [Membership.ObserveView],
// [Membership.RecordCancellationsKnown], [Membership.RecordPeerConfirmation] and the rounds of
// [Membership.Run].
//
// The files by concern:
//
//   - membership.go: the public state of a node's membership, and the loop that maintains it.
//   - reconcile.go: one round of that loop, from the lease to the proposal of the next view.
//   - memberlease.go: the lease that shows that this run of the node is alive.
//   - view.go: views, and the next view for a set of live members.
//   - buckets.go: the hash buckets of machines and their owners in a view.
//   - ownershiplease.go: how long a node may act in its view.
//   - records.go: the records in the key-value store.
package membership
