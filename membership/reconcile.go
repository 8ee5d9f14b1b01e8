package membership

import (
	"context"
	"errors"
	"slices"
	"time"

	"junipershelf/protocol"
	"junipershelf/statestore"
)

// errNotMember is returned if this node's member record is missing or was replaced although its
// lease seemed valid.
var errNotMember = errors.New("member record is missing or has another incarnation")

const (
	// callsPerRound is the number of call time-outs after which a round is cancelled: one each for
	// the lease, the read and the proposal.
	callsPerRound = 3
	// proposalDelayIntervals is the number of intervals for which the other members of the next view
	// leave its proposal to the first member.
	proposalDelayIntervals = 2
)

// readResult is the result of one read of the key-value store.
type readResult struct {
	sentAt time.Time // when the read was sent; its result is no older
	view   View
	live   []Member // members whose lease is valid
}

// reconcile runs one round: it renews this node's lease, reads the view and the live members, and
// proposes the next view if the live members differ from the view and it is this node's turn.
func (m *Membership) reconcile(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callsPerRound*statestore.CallTimeout)
	defer cancel()
	self, err := m.lease.ensure(ctx)
	if err != nil {
		return err
	}
	read, err := m.read(ctx)
	if err != nil {
		return err
	}
	m.applyView(read.view, read.sentAt)
	if !slices.Contains(read.live, self) {
		// The lease has expired, or a later run of this node has replaced the record.
		m.lease.abandon()
		return errNotMember
	}
	next, changed := m.withDeployment(read.view).NextView(read.live)
	if !changed {
		m.viewDiffersSince = time.Time{}
		return nil
	}
	if !m.mayPropose(next, self, read.sentAt) {
		return nil
	}
	return m.propose(ctx, read.view, next)
}

// read reads the view and the live members in one call.
func (m *Membership) read(ctx context.Context) (readResult, error) {
	sentAt := time.Now()
	entries, _, err := m.store.List(ctx, statestore.PriorityMembership, prefix)
	if err != nil {
		return readResult{}, err
	}
	view, live, err := decodeRecords(entries)
	if err != nil {
		return readResult{}, err
	}
	return readResult{sentAt: sentAt, view: view, live: live}, nil
}

// withDeployment adds the configured nodes and buckets to a view that has none, which is the empty
// view before the first one.
func (m *Membership) withDeployment(view View) View {
	if view.Buckets == 0 {
		view.Nodes = m.cfg.Nodes
		view.Buckets = max(m.cfg.Buckets, 1)
	}
	return view
}

// mayPropose reports whether it is this node's turn to propose the next view. The first member of
// that view proposes it immediately, any other only if the live members still differ from the view
// after proposalDelayIntervals.
func (m *Membership) mayPropose(next View, self Member, now time.Time) bool {
	if m.viewDiffersSince.IsZero() {
		m.viewDiffersSince = now
	}
	return next.Members[0] == self || time.Since(m.viewDiffersSince) >= proposalDelayIntervals*m.cfg.Interval
}

// propose writes the next view, guarded on the revision of the current one, so that only one of
// several proposals is committed.
func (m *Membership) propose(ctx context.Context, current, next View) error {
	t := protocol.Transaction{Guards: []protocol.Guard{{Key: ViewKey, Revision: current.Revision}}}
	if err := t.Put(ViewKey, next); err != nil {
		return err
	}
	_, err := m.store.Commit(ctx, statestore.PriorityMembership, t)
	m.wakeUp()
	return err
}
