package membership

import "time"

const (
	// minOwnershipLease is the shortest lease that lets a node act at all.
	minOwnershipLease = time.Second
	// cancelMargin allows for clock drift and for answers under way.
	cancelMargin = 2 * time.Second
)

// OwnershipLeaseFor returns how long a node may act after its evidence was true, at most the
// wanted time. A job whose cancellation was confirmed just after that may run on for this time
// and a worker's lease, which together must stay below the time that a cancellation has. Ok is
// false, and the shortest lease is returned, where the times leave no room for that.
func OwnershipLeaseFor(wanted, workerLease, cancel time.Duration) (lease time.Duration, ok bool) {
	lease = min(wanted, cancel-workerLease-cancelMargin)
	return max(lease, minOwnershipLease), lease >= minOwnershipLease
}

// leaseEvidence is what a node's ownership lease rests on: what it knew, and as of when. To know
// that the view is the last one is not enough, it must know the cancellations as well: a
// leader that only the key-value store refused was once confirmed by its peers through an
// outage, and let jobs run on that one of them had confirmed as cancelled.
type leaseEvidence struct {
	// viewConfirmedAt is when the last read was sent that showed the view as the last one.
	viewConfirmedAt time.Time
	// cancellationsKnownAt is the time before which all cancellations in the key-value store
	// are known.
	cancellationsKnownAt time.Time
	// peersConfirmedAt is when all other nodes were asked that confirmed the view and sent
	// their cancellations. It is zero when a view is entered.
	peersConfirmedAt time.Time
	// latestView is the highest view number that a peer or a refused transaction has shown.
	latestView uint64
}

// validAsOf returns the last time as of which this node knew both that its view was the last
// one and all cancellations. The key-value store shows them by two reads, of which the older
// counts; all peers together confirm both.
func (e *leaseEvidence) validAsOf() time.Time {
	fromStore := earlier(e.viewConfirmedAt, e.cancellationsKnownAt)
	return later(fromStore, e.peersConfirmedAt)
}

// HoldsLease reports whether this node holds the ownership lease of a view, so that it may act
// as an owner or as the leader: answer heartbeats, order starts, admit work, scale. It stops
// acting, without any call, as soon as one of the four conditions fails.
func (m *Membership) HoldsLease(view uint64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	current := m.view.Number == view
	deposed := m.evidence.latestView > view
	member := m.view.Contains(m.lease.member())
	expired := time.Since(m.evidence.validAsOf()) >= m.cfg.OwnershipLease
	return current && !deposed && member && !expired
}

// ObserveView records that a view of this number exists or may exist, as a peer or a refused
// transaction shows. This node stops acting in earlier views at once, long before its lease
// expires, and reads the present view.
func (m *Membership) ObserveView(number uint64) {
	if m.recordLatestView(number) {
		m.wakeUp()
	}
}

// recordLatestView records a view number, and reports whether it is news of a view that this
// node has not entered.
func (m *Membership) recordLatestView(number uint64) (news bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if number <= m.evidence.latestView {
		return false
	}
	m.evidence.latestView = number
	return number > m.view.Number
}

// CancellationsKnownAsOf records that this node knows all cancellations that the key-value
// store held at a time.
func (m *Membership) CancellationsKnownAsOf(at time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.evidence.cancellationsKnownAt = later(m.evidence.cancellationsKnownAt, at)
}

// ConfirmedByAllPeers records that every other node, asked at a time or later, had seen no view
// beyond this one, and that all cancellations that any of them has reported to a user are known
// here. It takes all of them, not a majority. That is worth as much as a confirmation by the
// key-value store: the owners of a later view count the time that they wait (invariant 3 of
// docs/design.md) from when they see it.
func (m *Membership) ConfirmedByAllPeers(view uint64, asked time.Time) {
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
