package controller

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"junipershelf/internal/ctxtime"
	"junipershelf/membership"
)

// cancellationCheckInterval is the interval at which a waiting reply checks whether its cancellation
// has taken effect.
const cancellationCheckInterval = 50 * time.Millisecond

// loggedCancellationWait is the shortest wait that is logged.
const loggedCancellationWait = time.Second

// cancellationConfirmer decides when a user may be told that a job is cancelled. From then on no task of
// the job may be started, so the cancellation must have taken effect on each node that may own machines.
// It has on a node once one of these holds:
//
//   - The node has acknowledged the cancellation.
//   - A start lease has expired since this node logged the cancellation. An owner that has not heard of it
//     by then has lost its start lease; it regains the lease only with evidence that includes the
//     cancellation.
//   - The node was removed from the view and its start lease has expired since, see
//     membership.StartLeaseEnded.
//
// It is used for every reply that calls a job cancelled: to a cancellation, a status read, and a repeated
// submission. A node that reads the terminal state of a job that another node has cancelled logs it like
// a cancellation of its own, since the other node may have failed before it told anybody.
//
// It is stateless and acquires nodeState.mu.
type cancellationConfirmer struct {
	nodeName   string
	state      *nodeState
	membership *membership.Membership
	tracker    *peerTracker
	replicator *cancellationReplicator
	metrics    *nodeMetrics
	log        *slog.Logger
}

// newCancellationConfirmer creates the confirmer of a node.
func newCancellationConfirmer(shared *sharedComponents, peering *peeringComponents) *cancellationConfirmer {
	return &cancellationConfirmer{
		nodeName:   shared.settings.NodeName,
		state:      shared.state,
		membership: shared.membership,
		tracker:    peering.tracker,
		replicator: peering.replicator,
		metrics:    shared.metrics,
		log:        shared.log,
	}
}

// await waits until a job's cancellation has taken effect on all nodes. It reports false if it has not
// by the deadline, or if the context ends first.
func (c *cancellationConfirmer) await(ctx context.Context, uid string, deadline time.Time) (confirmed bool) {
	cancellation, logged := c.state.loggedCancellation(uid)
	if !logged {
		return false // dropped from the full cache; the next request reads it again
	}
	if c.hasTakenEffect(cancellation) {
		return true
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	began := time.Now()
	confirmed = c.replicate(ctx, cancellation)
	waited := time.Since(began)
	c.metrics.recordCancellation(waited)
	if !confirmed {
		c.metrics.recordCancellationTimeout()
	}
	if waited >= loggedCancellationWait {
		c.log.Info("cancellation waited for start leases", "job", uid, "waited_ms", waited.Milliseconds(),
			"unacknowledged", c.unacknowledged(cancellation.position), "confirmed", confirmed)
	}
	return confirmed
}

// replicate sends a cancellation to the peers and waits until it has taken effect. It reports false if
// the context ends first.
func (c *cancellationConfirmer) replicate(ctx context.Context, cancellation loggedCancellation) bool {
	c.replicator.replicate(ctx)
	for !c.hasTakenEffect(cancellation) {
		if !ctxtime.Sleep(ctx, cancellationCheckInterval) {
			return false
		}
	}
	return true
}

// hasTakenEffect reports whether no node will send a start command for the cancelled job any more.
func (c *cancellationConfirmer) hasTakenEffect(cancellation loggedCancellation) bool {
	if time.Since(cancellation.loggedAt) >= membership.StartLeaseExpiry {
		return true
	}
	for _, node := range c.unacknowledged(cancellation.position) {
		if !c.membership.StartLeaseEnded(node, cancellation.loggedAt) {
			return false
		}
	}
	return true
}

// unacknowledged returns the names of the other nodes that have not acknowledged this node's
// cancellation log up to a position: peers, and members of the view that are not among the peers in
// the settings and so cannot acknowledge anything.
func (c *cancellationConfirmer) unacknowledged(position logPosition) []string {
	names := c.tracker.unacknowledged(position)
	view, _, _ := c.membership.Current()
	for _, member := range view.Members {
		if member.Node != c.nodeName && !c.tracker.isPeer(member.Node) && !slices.Contains(names, member.Node) {
			names = append(names, member.Node)
		}
	}
	return names
}

// loggedCancellation returns where a cancelled job's cancellation is logged. It reports false if the
// terminal-state cache does not hold the job. It acquires the lock.
func (s *nodeState) loggedCancellation(uid string) (cancellation loggedCancellation, logged bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.terminalStates.cancellation(uid)
}
