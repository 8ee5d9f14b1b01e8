package membership

import (
	"context"
	"errors"
	"slices"
	"time"

	"junipershelf/protocol"
	"junipershelf/statestore"
)

// errNotMember says that this node's member record is gone although its lease seemed to hold.
var errNotMember = errors.New("not among the members")

const (
	// callsPerRound bounds a round: the lease, the reading and the proposal, a call each.
	callsPerRound = 3
	// proposalPatience is for how many intervals a node that does not come first leaves the
	// proposal of the next view to the one that does.
	proposalPatience = 2
)

// reading is what one read of the key-value store shows.
type reading struct {
	sentAt time.Time // when the read was sent: what it shows is no older
	view   View
	live   []Member // those whose lease holds
}

// reconcile is one round: it keeps this node's lease, reads the view and the live members, and
// proposes the next view where the members call for one and it is this node's turn.
func (m *Membership) reconcile(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callsPerRound*statestore.CallTimeout)
	defer cancel()
	self, err := m.lease.ensure(ctx)
	if err != nil {
		return err
	}
	seen, err := m.read(ctx)
	if err != nil {
		return err
	}
	m.applyReading(seen.view, seen.sentAt)
	if !slices.Contains(seen.live, self) {
		// The lease expired, or a later run of this node has its name.
		m.lease.abandon()
		return errNotMember
	}
	next, changed := m.withDeployment(seen.view).NextView(seen.live)
	if !changed {
		m.viewDiffersSince = time.Time{}
		return nil
	}
	if !m.mayPropose(next, self, seen.sentAt) {
		return nil
	}
	return m.propose(ctx, seen.view, next)
}

// read reads the view and the live members, both by one call.
func (m *Membership) read(ctx context.Context) (reading, error) {
	sentAt := time.Now()
	entries, _, err := m.store.List(ctx, statestore.PriorityMembership, prefix)
	if err != nil {
		return reading{}, err
	}
	view, live, err := decodeRecords(entries)
	if err != nil {
		return reading{}, err
	}
	return reading{sentAt: sentAt, view: view, live: live}, nil
}

// withDeployment returns the view with the deployment's nodes and buckets where it names none:
// the one before the first.
func (m *Membership) withDeployment(view View) View {
	if view.Buckets == 0 {
		view.Nodes = m.cfg.Nodes
		view.Buckets = max(m.cfg.Buckets, 1)
	}
	return view
}

// mayPropose reports whether it is this node's turn to propose the next view. The first member
// of it proposes at once, the others only if the first one does not.
func (m *Membership) mayPropose(next View, self Member, now time.Time) bool {
	if m.viewDiffersSince.IsZero() {
		m.viewDiffersSince = now
	}
	return next.Members[0] == self || time.Since(m.viewDiffersSince) >= proposalPatience*m.cfg.Interval
}

// propose writes the next view, guarded on the present one: of several proposals one is
// committed.
func (m *Membership) propose(ctx context.Context, present, next View) error {
	t := protocol.Transaction{Guards: []protocol.Guard{{Key: ViewKey, Revision: present.Revision}}}
	if err := t.Put(ViewKey, next); err != nil {
		return err
	}
	_, err := m.store.Commit(ctx, statestore.PriorityMembership, t)
	m.wakeUp()
	return err
}
