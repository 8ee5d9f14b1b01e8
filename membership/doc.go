// Package membership keeps a node among the members of the cluster. It holds the node's member
// lease in the key-value store, agrees on views (numbered sets of members) with the other
// nodes, divides the machines among the members of a view, and decides how long the node may
// act in a view.
//
// A node acts, as the owner of a partition or as the leader, only while
// [Membership.HoldsLease] returns true. That method, in ownershiplease.go, is the code that
// makes an owner stop acting; what it rests on is recorded by [Membership.ObserveView],
// [Membership.CancellationsKnownAsOf], [Membership.ConfirmedByAllPeers] and the rounds of
// [Membership.Run].
//
// The files by concern:
//
//   - membership.go: the node's membership as others see it, and the loop that keeps it.
//   - reconcile.go: one round of that loop, from the lease to the proposal of the next view.
//   - memberlease.go: the lease that shows that this run of the node is alive.
//   - view.go: views and how the next one follows from the live members.
//   - buckets.go: the hash buckets of machines and their owners in a view.
//   - ownershiplease.go: until when a node may act in its view.
//   - records.go: the records in the key-value store.
package membership
