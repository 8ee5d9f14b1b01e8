// Package membership keeps a node's lease, the view and the authority that follows
// from it.
package membership

import (
	"context"
	"errors"
	"log/slog"
	"strings"
	"sync"
	"time"

	"junipershelf/protocol"
	"junipershelf/statestore"
)

// Keys of the state service. They share a prefix so that one read confirms the
// view and shows who is there.
const (
	prefix    = "roster/"
	ViewKey   = "roster/view"
	memberKey = "roster/members/"
)

// Config are the membership's own.
type Config struct {
	// Nodes and Parts are what the first view says of the deployment.
	Nodes   []string
	Buckets int

	MemberLease    time.Duration // of the lease
	AuthorityLease time.Duration // after the evidence that it rests on
	Interval       time.Duration // between confirmations
}

// Membership runs a node's membership.
type Membership struct {
	node  string
	store *statestore.Client
	cfg   Config
	log   *slog.Logger
	wake  chan struct{}

	mu                   sync.Mutex
	self                 Member
	view                 View
	viewSeenAt           time.Time // when this view was first seen
	viewConfirmedAt      time.Time // when the last good reading of the view was sent
	cancellationsKnownAt time.Time // all cancellations from before this are known, as the state service shows them
	quorumConfirmedAt    time.Time // when all other nodes were asked that confirmed for the view and told their ends
	highestView          uint64    // a view number that a peer has seen
	changed              chan struct{}
	renewedAt            time.Time
	differsSince         time.Time

	lastError string // the last unreadable record that was logged; of Run alone
}

// New makes a membership.
func New(node string, store *statestore.Client, times Config, log *slog.Logger) *Membership {
	return &Membership{node: node, store: store, cfg: times, log: log,
		wake: make(chan struct{}, 1), changed: make(chan struct{}, 1)}
}

// Changed gets a value when the view has changed.
func (r *Membership) Changed() <-chan struct{} { return r.changed }

// Config gives the membership's times.
func (r *Membership) Config() Config { return r.cfg }

// Current gives the view, this node's member and when the view was first seen.
func (r *Membership) Current() (View, Member, time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.view, r.self, r.viewSeenAt
}

// ObserveView takes a view number that a peer knows of. An older view has no
// authority from then on, long before its time runs out.
func (r *Membership) ObserveView(number uint64) {
	r.mu.Lock()
	up := number > r.highestView
	r.highestView = max(r.highestView, number)
	behind := r.highestView > r.view.Number
	r.mu.Unlock()
	if up && behind {
		select {
		case r.wake <- struct{}{}:
		default:
		}
	}
}

// Rejoin gives this node's incarnation up and takes a new one: for whoever sees the old one
// replaced it is as if the process had started again.
func (r *Membership) Rejoin() {
	r.mu.Lock()
	r.self.Incarnation = 0
	r.mu.Unlock()
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Run keeps the membership until the context ends.
func (r *Membership) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := r.round(ctx)
		r.logFailure(err)
		select {
		case <-ctx.Done():
		case <-r.wake:
		case <-time.After(r.cfg.Interval):
		}
	}
}

// logFailure logs why a round failed; a record that cannot be read once, not each round.
func (r *Membership) logFailure(err error) {
	var undecodable *protocol.DecodeError
	switch {
	case err == nil:
		r.lastError = ""
	case errors.As(err, &undecodable) && err.Error() != r.lastError:
		r.lastError = err.Error()
		r.log.Error("membership cannot be read", "key", undecodable.Source, "err", err)
	default:
		r.log.Debug("roster round failed", "err", err)
	}
}

func (r *Membership) round(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 3*statestore.CallTimeout)
	defer cancel()
	r.mu.Lock()
	me, touched := r.self, r.renewedAt
	r.mu.Unlock()
	sent := time.Now()
	if me.Incarnation != 0 && sent.Sub(touched) >= r.cfg.MemberLease/4 {
		switch err := r.store.RenewLease(ctx, me.Incarnation); {
		case errors.Is(err, statestore.ErrLeaseExpired):
			me.Incarnation = 0
		case err != nil:
			return err
		default:
			r.mu.Lock()
			r.renewedAt = sent
			r.mu.Unlock()
		}
	}
	if me.Incarnation == 0 {
		var err error
		if me, err = r.join(ctx); err != nil {
			return err
		}
	}
	sent = time.Now()
	entries, _, err := r.store.List(ctx, statestore.PriorityMembership, prefix)
	if err != nil {
		return err
	}
	var view View
	var live []Member
	for _, e := range entries {
		switch {
		case e.Key == ViewKey:
			if err := protocol.DecodeRecord(e.Key, e.Data, &view); err != nil {
				return err
			}
			if view.Number == 0 {
				return &protocol.DecodeError{Source: e.Key, Err: errors.New("no view number")}
			}
			view.Revision = e.Revision
		case strings.HasPrefix(e.Key, memberKey):
			var m Member
			if err := protocol.DecodeRecord(e.Key, e.Data, &m); err != nil {
				return err // who it is may be a member: no view is made without knowing
			}
			if m.Node == "" || m.Incarnation == 0 {
				return &protocol.DecodeError{Source: e.Key, Err: errors.New("no name or no incarnation")}
			}
			live = append(live, m)
		}
	}
	here := false
	for _, m := range live {
		here = here || m == me
	}
	if !here {
		// The lease ran out, or a later start of this node took the name.
		r.mu.Lock()
		r.self.Incarnation = 0
		r.mu.Unlock()
		r.observe(view, sent)
		return errors.New("not among the members")
	}
	if view.Buckets == 0 {
		view.Nodes, view.Buckets = r.cfg.Nodes, max(r.cfg.Buckets, 1)
	}
	next, differs := view.Successor(live)
	if !differs {
		r.observe(view, sent)
		r.differsSince = time.Time{}
		return nil
	}
	r.observe(view, sent)
	if r.differsSince.IsZero() {
		r.differsSince = sent
	}
	// The first live member writes at once, the others only if it does not.
	if next.Members[0] != me && time.Since(r.differsSince) < 2*r.cfg.Interval {
		return nil
	}
	data, err := protocol.Marshal(next)
	if err != nil {
		return err
	}
	_, err = r.store.Commit(ctx, statestore.PriorityMembership, protocol.Transaction{
		Guards:  []protocol.Guard{{Key: ViewKey, Revision: view.Revision}},
		Changes: []protocol.Change{{Set: ViewKey, Data: data}},
	})
	select {
	case r.wake <- struct{}{}:
	default:
	}
	return err
}

func (r *Membership) join(ctx context.Context) (Member, error) {
	sent := time.Now()
	permit, err := r.store.GrantLease(ctx, r.cfg.MemberLease)
	if err != nil {
		return Member{}, err
	}
	m := Member{Node: r.node, Incarnation: permit}
	data, err := protocol.Marshal(m)
	if err != nil {
		return Member{}, err
	}
	// Guarded on what stands there now: the late write of an earlier run, whose lease
	// may still live, must not take the place of this one.
	old, err := r.store.Get(ctx, statestore.PriorityMembership, memberKey+r.node)
	if err != nil {
		return Member{}, err
	}
	if _, err := r.store.Commit(ctx, statestore.PriorityMembership, protocol.Transaction{
		Guards:  []protocol.Guard{{Key: memberKey + r.node, Revision: old.Revision}},
		Changes: []protocol.Change{{Set: memberKey + r.node, Data: data, LeaseID: permit}},
	}); err != nil {
		return Member{}, err
	}
	r.mu.Lock()
	r.self, r.renewedAt = m, sent
	r.mu.Unlock()
	r.log.Info("joined", "incarnation", permit)
	return m, nil
}

// observe notes what a confirmation showed; a list may be older than one before.
func (r *Membership) observe(v View, sent time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if v.Number < r.view.Number {
		return
	}
	if v.Number > r.view.Number {
		v.OwnersByBucket = v.BucketOwners()
		r.view, r.viewSeenAt, r.quorumConfirmedAt = v, time.Now(), time.Time{}
		names := make([]string, len(v.Members))
		for i, m := range v.Members {
			names[i] = m.Node
		}
		r.log.Info("view", "number", v.Number, "members", strings.Join(names, " "))
		select {
		case r.changed <- struct{}{}:
		default:
		}
	}
	if sent.After(r.viewConfirmedAt) {
		r.viewConfirmedAt = sent
	}
}
