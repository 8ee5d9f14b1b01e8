package controller

import (
	"log/slog"

	"junipershelf/membership"
	"junipershelf/partition"
)

// ownership makes this node stop acting as the owner of its partition, and as the leader, when
// it learns that it no longer is or cannot be:
//
//   - handleViewEnded: a later view exists, so another node may own the machines.
//   - release: the records of the partition cannot be decoded, so what the machines hold is not
//     known.
//
// Two other ways do not pass here. A new view that the membership reports ends the last one in
// failover.beginView. And a node that cannot renew its ownership lease holds its partition, but
// may do nothing with it: each reply with a start, each scheduling cycle and each termination
// asks membership.HoldsLease first.
//
// It has no state of its own; it takes the lock of nodeState.
type ownership struct {
	state      *nodeState
	membership *membership.Membership
	log        *slog.Logger
}

// handleViewEnded drops a partition after a commit was refused by its guard on the view: a later
// view exists.
func (o *ownership) handleViewEnded(p *partition.Partition) {
	o.membership.ObserveView(p.View() + 1)
	o.state.mu.Lock()
	defer o.state.mu.Unlock()
	if o.state.current.partition == p {
		o.state.dropPartition(o.log, dropCommitRefused)
	}
	o.state.notifyCommitSettled()
}

// release drops a partition whose records could not be reconciled: what they hold is not known.
// The node rejoins, so that it loads its partition in a later view. Within the same view it
// would forget which machines it has answered and which starts are on their way.
func (o *ownership) release(p *partition.Partition) {
	o.state.mu.Lock()
	defer o.state.mu.Unlock()
	if o.state.current.partition != p {
		return
	}
	o.log.Warn("partition released", "view", p.View(), "leader", o.state.leadsWith(p))
	o.state.clearPartition()
	o.state.notifyCommitSettled()
	o.membership.Rejoin()
}

// ownsPartition reports whether this node still acts for a partition. It takes the lock.
func (s *nodeState) ownsPartition(p *partition.Partition) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current.partition == p
}

// leadsWith reports whether this node acts for a partition and as the leader of its view. The
// caller holds the lock.
func (s *nodeState) leadsWith(p *partition.Partition) bool {
	return s.current.partition == p && s.leader.scheduler != nil
}

// dropReason is why a node no longer acts for its partition of a view, for the log.
type dropReason string

const (
	dropCommitRefused dropReason = "a commit was refused: a later view exists"
	dropNextView      dropReason = "the next view has begun"
)

// dropPartition makes the node the owner of nothing, and not the leader, and logs the view that
// it acted for, if any. The caller holds the lock.
func (s *nodeState) dropPartition(log *slog.Logger, reason dropReason) {
	if p := s.current.partition; p != nil {
		log.Info("partition dropped", "view", p.View(), "leader", s.leadsWith(p), "reason", reason)
	}
	s.clearPartition()
}

// clearPartition makes the node the owner of nothing, and not the leader. The caller holds the
// lock.
func (s *nodeState) clearPartition() {
	s.current.partition, s.leader.scheduler = nil, nil
}

// led reports whether the node led the view.
func (v viewState) led() bool { return v.view.Number > 0 && v.index == 0 && !v.outside }

// logDeposed logs that the node led the view that ends, and does not lead the next one. The caller
// holds the lock.
func (s *nodeState) logDeposed(log *slog.Logger, next uint64) {
	log.Info("deposed", "view", s.current.view.Number, "next", next)
}

// notifyCommitSettled wakes the heartbeats that wait for a commit. The caller holds the lock.
func (s *nodeState) notifyCommitSettled() {
	close(s.commitSettled)
	s.commitSettled = make(chan struct{})
}

// ownerOf returns the index of the member that owns a machine; it is not known before there is
// a view. The caller holds the lock.
func (s *nodeState) ownerOf(machine string) (index int, known bool) {
	if len(s.current.bucketOwners) == 0 {
		return 0, false
	}
	return s.current.bucketOwners[s.current.view.BucketOf(machine)], true
}
