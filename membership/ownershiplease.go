package membership

import "time"

const (
	// minOwnershipLease is the shortest lease that lets a node act at all.
	minOwnershipLease = time.Second
	// cancelMargin is for clock drift and for answers under way.
	cancelMargin = 2 * time.Second
)

// OwnershipLeaseFor is how long authority may last after what it rests on was true. A job
// whose cancellation was confirmed just after that may run on for this time and a worker's
// lease, which together must stay below what a cancellation has. Ok is false where the times
// leave no room for that.
func OwnershipLeaseFor(wanted, workerLease, cancel time.Duration) (d time.Duration, ok bool) {
	d = min(wanted, cancel-workerLease-cancelMargin)
	return max(d, minOwnershipLease), d >= minOwnershipLease
}

// HoldsLease tells whether this node may act for a view: it is a member, and its
// authority rests on what was true less than an authority lease ago.
func (r *Membership) HoldsLease(number uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.view.Number == number && r.highestView <= number && r.view.Contains(r.self) &&
		time.Since(r.leaseValidAsOf()) < r.cfg.OwnershipLease
}

// leaseValidAsOf is the time up to which this node knows both that its view is the last one
// and which jobs users were told to be over. To know the view alone is not enough: a
// leader that only the state service refused was once confirmed by its peers through
// an outage, and let jobs run on that one of them had confirmed as cancelled.
func (r *Membership) leaseValidAsOf() time.Time {
	at := r.viewConfirmedAt
	if r.cancellationsKnownAt.Before(at) {
		at = r.cancellationsKnownAt
	}
	if r.peersConfirmedAt.After(at) {
		at = r.peersConfirmedAt
	}
	return at
}

// CancellationsKnownAsOf notes that all cancellations that stood in the state service at a time are known.
func (r *Membership) CancellationsKnownAsOf(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if at.After(r.cancellationsKnownAt) {
		r.cancellationsKnownAt = at
	}
}

// ConfirmedByAllPeers takes that every other node, asked at a time or later, had seen no view
// beyond this one, and that all cancellations that any of them had told a user are known
// here. That is worth as much as a confirmation by the state service: what a later
// view's owners wait for (invariant 3) counts from when they see it.
func (r *Membership) ConfirmedByAllPeers(number uint64, asked time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if number == r.view.Number && asked.After(r.peersConfirmedAt) {
		r.peersConfirmedAt = asked
	}
}
