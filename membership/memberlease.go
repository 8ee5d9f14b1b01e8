package membership

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"junipershelf/protocol"
	"junipershelf/statestore"
)

// renewalsPerLease is how many times a member renews its lease before it would expire.
const renewalsPerLease = 4

// memberLease is the lease that shows that this run of the node is alive. The node's member
// record is attached to it: when the lease expires, the store deletes the record and the other
// nodes propose a view without this node.
type memberLease struct {
	node     string
	store    *statestore.Client
	duration time.Duration
	log      *slog.Logger

	mu        sync.Mutex // guards the fields below; not held during calls to the store
	self      Member     // incarnation 0 while no lease is held
	renewedAt time.Time  // when the last successful grant or renewal was sent
}

func newMemberLease(node string, store *statestore.Client, duration time.Duration, log *slog.Logger) *memberLease {
	return &memberLease{node: node, store: store, duration: duration, log: log}
}

// member returns the member of this run of the node, with incarnation 0 while no lease is held.
func (l *memberLease) member() Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.self
}

// abandon drops this node's incarnation. The next call of ensure acquires a new one.
func (l *memberLease) abandon() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.self.Incarnation = 0
}

// ensure renews the lease if a renewal is due, or acquires a new one if none is held or it has
// expired.
func (l *memberLease) ensure(ctx context.Context) (Member, error) {
	l.mu.Lock()
	self, renewedAt := l.self, l.renewedAt
	l.mu.Unlock()
	if self.Incarnation == 0 {
		return l.acquire(ctx)
	}
	if time.Since(renewedAt) < l.duration/renewalsPerLease {
		return self, nil
	}
	err := l.renew(ctx, self.Incarnation)
	if errors.Is(err, statestore.ErrLeaseExpired) {
		return l.acquire(ctx)
	}
	return self, err
}

// renew extends the lease of an incarnation.
func (l *memberLease) renew(ctx context.Context, incarnation uint64) error {
	sentAt := time.Now()
	if err := l.store.RenewLease(ctx, incarnation); err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.renewedAt = sentAt
	return nil
}

// acquire grants a new lease and writes this node's member record, attached to it.
func (l *memberLease) acquire(ctx context.Context) (Member, error) {
	sentAt := time.Now()
	leaseID, err := l.store.GrantLease(ctx, l.duration)
	if err != nil {
		return Member{}, err
	}
	self := Member{Node: l.node, Incarnation: leaseID}
	if err := l.writeMember(ctx, self); err != nil {
		return Member{}, err
	}
	l.mu.Lock()
	l.self, l.renewedAt = self, sentAt
	l.mu.Unlock()
	l.log.Info("lease acquired", "incarnation", leaseID)
	return self, nil
}

// writeMember writes this node's member record. The transaction is guarded on the revision of the
// current record, so that a delayed write of an earlier run, whose lease may still be valid, does
// not replace the record of a later run.
func (l *memberLease) writeMember(ctx context.Context, self Member) error {
	key := memberPrefix + l.node
	current, err := l.store.Get(ctx, statestore.PriorityMembership, key)
	if err != nil {
		return err
	}
	t := protocol.Transaction{Guards: []protocol.Guard{{Key: key, Revision: current.Revision}}}
	if err := t.Put(key, self); err != nil {
		return err
	}
	t.Changes[0].LeaseID = self.Incarnation
	_, err = l.store.Commit(ctx, statestore.PriorityMembership, t)
	return err
}
