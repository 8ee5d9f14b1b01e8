package membership

import "time"

const (
	// minOwnershipLease is the shortest ownership lease with which a node can act.
	minOwnershipLease = time.Second
	// cancelMargin allows for clock drift and for replies in flight.
	cancelMargin = 2 * time.Second
)

// OwnershipLeaseFor returns the duration of the ownership lease, which is at most wanted. The lease
// begins at the last time when the node knew both that its view was the latest and all
// cancellations. A job whose cancellation is confirmed just after that time may keep running for
// the ownership lease plus an agent's lease, so their sum must stay below cancel, the time limit of
// a cancellation. If the ownership lease would be shorter than minOwnershipLease, minOwnershipLease
// is returned and ok is false.
func OwnershipLeaseFor(wanted, agentLease, cancel time.Duration) (lease time.Duration, ok bool) {
	lease = min(wanted, cancel-agentLease-cancelMargin)
	return max(lease, minOwnershipLease), lease >= minOwnershipLease
}

// leaseEvidence is what a node's ownership lease is based on: what the node knew, and as of when.
// Knowing that the view is the latest is not enough; the node must also know the cancellations.
// Otherwise, if a leader could reach its peers but not the key-value store, the peers would confirm
// its view throughout the outage, and the leader would keep jobs running whose cancellation a peer has
// confirmed to a user.
type leaseEvidence struct {
	// viewConfirmedAt is when the last read that returned the current view was sent.
	viewConfirmedAt time.Time
	// cancellationsSyncedAt is the latest time for which this node knows all cancellations that were
	// in the key-value store then.
	cancellationsSyncedAt time.Time
	// peersConfirmedAt is when the last pings were sent to which all other nodes replied with a
	// confirmation of the view and their cancellations. It is reset to zero when the view changes.
	peersConfirmedAt time.Time
	// latestView is the highest view number learned from a peer or a refused transaction.
	latestView uint64
}

// validAsOf returns the last time when this node knew both that its view was the latest and all
// cancellations. It learns the two from separate reads of the key-value store, of which the older
// one counts; a confirmation by all peers covers both.
func (e *leaseEvidence) validAsOf() time.Time {
	fromStore := earlier(e.viewConfirmedAt, e.cancellationsSyncedAt)
	return later(fromStore, e.peersConfirmedAt)
}

// HoldsLease reports whether this node holds the ownership lease of a view and may therefore act as
// an owner or as the leader: answer heartbeats, assign tasks, scale the fleet. The lease ends as
// soon as one of the four conditions fails, without a call to another process.
func (m *Membership) HoldsLease(view uint64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	current := m.view.Number == view
	deposed := m.evidence.latestView > view
	member := m.view.Contains(m.lease.member())
	expired := time.Since(m.evidence.validAsOf()) >= m.cfg.OwnershipLease
	return current && !deposed && member && !expired
}

// EvidenceAge returns the time since the ownership lease's evidence was valid: when this node last
// knew both that its view was the latest and all cancellations.
func (m *Membership) EvidenceAge() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Since(m.evidence.validAsOf())
}

// ObserveView records that a view with this number exists or may exist, according to a peer or a
// refused transaction. This node stops acting in earlier views immediately, without waiting for
// its lease to expire, and reads the current view.
func (m *Membership) ObserveView(number uint64) {
	if m.recordLatestView(number) {
		m.wakeUp()
	}
}

// recordLatestView records a view number, and reports whether it is higher than all numbers recorded
// before and than the number of this node's current view.
func (m *Membership) recordLatestView(number uint64) (isNew bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if number <= m.evidence.latestView {
		return false
	}
	m.evidence.latestView = number
	return number > m.view.Number
}

// RecordCancellationsKnown records that this node knows all cancellations that were in the key-value
// store at the given time.
func (m *Membership) RecordCancellationsKnown(at time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.evidence.cancellationsSyncedAt = later(m.evidence.cancellationsSyncedAt, at)
}

// RecordPeerConfirmation records that all other nodes have confirmed a view. Each has replied, to a
// request sent at the time asked or later, that it has seen no later view, and this node knows all
// cancellations that any of them has confirmed to a user. Replies of a majority are not enough: a node
// that did not reply may have seen a later view, or confirmed a cancellation.
//
// A confirmation by all nodes is as strong as one by the key-value store. At the time asked, no other
// node had seen a later view. The owners of a later view therefore see it first after that time, and only
// from then on count how long they must wait for leases of the former owners (invariant 3 of docs/design.md).
func (m *Membership) RecordPeerConfirmation(view uint64, asked time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if view == m.view.Number {
		m.evidence.peersConfirmedAt = later(m.evidence.peersConfirmedAt, asked)
	}
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
