package controller

import (
	"log/slog"

	"junipershelf/membership"
	"junipershelf/partition"
)

// ownership ends this node's ownership of its partition, and its leadership, in two cases:
//
//   - handleViewSuperseded: a later view exists, so another node may own the machines.
//   - release: the records of the partition cannot be decoded, so the tasks on its machines are
//     unknown.
//
// Two other cases are handled elsewhere. failover.beginView drops the partition when the membership
// reports a new view. A node that cannot renew its ownership lease keeps its partition but may not
// act on it: membership.HoldsLease is checked before each reply to a heartbeat, each scheduling
// cycle and each machine termination.
//
// It is stateless and acquires nodeState.mu.
type ownership struct {
	state      *nodeState
	membership *membership.Membership
	log        *slog.Logger
}

// handleViewSuperseded drops a partition after the view guard of a commit failed, which means that
// a later view exists.
func (o *ownership) handleViewSuperseded(p *partition.Partition) {
	o.membership.ObserveView(p.View() + 1)
	o.state.mu.Lock()
	defer o.state.mu.Unlock()
	if o.state.current.partition == p {
		o.state.dropPartition(o.log, dropCommitRefused)
	}
	o.state.notifyCommitSettled()
}

// release drops a partition after one of its records could not be decoded, so that the outcome of a
// commit is unknown. The node rejoins the membership, so that it loads its partition in a later view:
// reloading it in the same view would lose track of which machines have been answered and which
// start commands are in flight.
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

// ownsPartition reports whether a partition is still this node's current one. It acquires the lock.
func (s *nodeState) ownsPartition(p *partition.Partition) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current.partition == p
}

// leadsWith reports whether a partition is this node's current one and the node is the leader of
// its view. The caller holds the lock.
func (s *nodeState) leadsWith(p *partition.Partition) bool {
	return s.current.partition == p && s.leader.scheduler != nil
}

// dropReason is the logged reason for dropping a partition.
type dropReason string

const (
	dropCommitRefused dropReason = "a commit was refused: a later view exists"
	dropNextView      dropReason = "the next view has begun"
)

// dropPartition clears the node's partition and scheduler, and logs the view of the dropped
// partition, if there was one. The caller holds the lock.
func (s *nodeState) dropPartition(log *slog.Logger, reason dropReason) {
	if p := s.current.partition; p != nil {
		log.Info("partition dropped", "view", p.View(), "leader", s.leadsWith(p), "reason", reason)
	}
	s.clearPartition()
}

// clearPartition clears the node's partition, scheduler and plan, so that it is neither an owner nor the
// leader. The caller holds the lock.
func (s *nodeState) clearPartition() {
	s.current.partition = nil
	s.leader = leaderState{autoscaler: s.leader.autoscaler} // the machine types outlive the view
}

// led reports whether the node was the leader of the view.
func (v viewState) led() bool { return v.view.Number > 0 && v.index == 0 && !v.nonMember }

// logDeposed logs that the node, the leader of the current view, is not the leader of the next one.
// The caller holds the lock.
func (s *nodeState) logDeposed(log *slog.Logger, next uint64) {
	log.Info("deposed", "view", s.current.view.Number, "next", next)
}

// notifyCommitSettled wakes the heartbeats that wait for the outcome of a commit. The caller holds
// the lock.
func (s *nodeState) notifyCommitSettled() {
	close(s.commitSettled)
	s.commitSettled = make(chan struct{})
}

// ownerOf returns the index of the member that owns a machine. It reports false before the first
// view. The caller holds the lock.
func (s *nodeState) ownerOf(machine string) (index int, known bool) {
	if len(s.current.bucketOwners) == 0 {
		return 0, false
	}
	return s.current.bucketOwners[s.current.view.BucketOf(machine)], true
}
