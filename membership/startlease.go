package membership

import "time"

const (
	// StartLease is the duration of the start lease: an owner sends start commands only while it knows
	// all cancellations as of a time that is less than this ago. The nodes rely on each other's start
	// lease, so it depends neither on the settings nor on the policy, which may differ between nodes.
	//
	// It is shorter than the 5 s for which a user waits for the reply to a cancellation.
	StartLease = 3 * time.Second
	// StartLeaseExpiry is the time after which a start lease that another node may hold has certainly
	// expired, as measured by this node. It includes the drift between two clocks, and the time
	// in which a reply with a start command is written after the lease was checked.
	StartLeaseExpiry = StartLease + 250*time.Millisecond
)

// HoldsStartLease reports whether this node, as an owner in a view, may send start commands. It must
// hold the ownership lease of the view, and its evidence must be younger than StartLease.
//
// A cancellation that any node has logged at some time is thus known to each owner that sends a start
// command StartLeaseExpiry later or after that, whatever messages were lost: evidence as of a time
// includes all cancellations that were in the key-value store, or logged by any node, at that time.
func (m *Membership) HoldsStartLease(view uint64) bool {
	if !m.HoldsLease(view) {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.Number == view && time.Since(m.evidence.startsValidAsOf(m.viewFirstSeenAt)) < StartLease
}

// startsValidAsOf is validAsOf for start commands in a view that was first seen at viewFirstSeenAt.
// Cancellations that were read before that time are no evidence. Otherwise a node that joins a view
// could start tasks on what it knew before, while the other nodes rely on it having been absent from
// the previous view (see StartLeaseEnded). Confirmations by the peers are always of the current view.
func (e *leaseEvidence) startsValidAsOf(viewFirstSeenAt time.Time) time.Time {
	if e.cancellationsSyncedAt.Before(viewFirstSeenAt) {
		return e.peersConfirmedAt
	}
	return e.validAsOf()
}

// StartLeaseEnded reports whether it is certain, without having heard from another node, that it knows
// each cancellation that was logged by the given time whenever it sends a start command from now on.
// This is so if, at that time or later, the node was not a member of the latest view, and the view has
// existed for longer than a start lease: evidence for an earlier view is older than the view, and
// evidence for a later view, of which the node may become a member, is newer than loggedAt.
func (m *Membership) StartLeaseEnded(node string, loggedAt time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.view.Number == 0 || m.view.ContainsNode(node) || m.evidence.viewConfirmedAt.Before(loggedAt) {
		return false
	}
	return time.Since(m.viewFirstSeenAt) >= StartLeaseExpiry
}
