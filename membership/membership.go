// Package membership keeps a node's lease in the state service, the view that the members
// agree on, and the authority that follows from it. view.go has the view and its division of
// machines, authority.go what authority rests on.
package membership

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"time"

	"junipershelf/protocol"
	"junipershelf/statestore"
)

// prefix is common to the view and the members, so that one read confirms the view and shows
// who is there.
const prefix = "roster/"

// ViewKey is the view's key in the state service.
const ViewKey = prefix + "view"

// memberKey is the prefix of the members' keys.
const memberKey = prefix + "members/"

// Config holds what the membership is told of the deployment, and its times.
type Config struct {
	// Nodes and Buckets are what the first view says of the deployment.
	Nodes   []string
	Buckets int

	MemberLease    time.Duration // of a member's record
	OwnershipLease time.Duration // after what it rests on was true
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
	viewFirstSeenAt      time.Time // when this view was first seen
	viewConfirmedAt      time.Time // when the last good reading of the view was sent
	cancellationsKnownAt time.Time // all cancellations from before this are known, as the state service shows them
	peersConfirmedAt     time.Time // when all other nodes were asked that confirmed the view and told their cancellations
	highestView          uint64    // a view number that a peer has seen
	changed              chan struct{}
	renewedAt            time.Time
	differsSince         time.Time

	lastError string // the last unreadable record that was logged; of Run alone
}

// New makes a membership.
func New(node string, store *statestore.Client, cfg Config, log *slog.Logger) *Membership {
	return &Membership{node: node, store: store, cfg: cfg, log: log,
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
	return r.view, r.self, r.viewFirstSeenAt
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
		r.wakeUp()
	}
}

// Rejoin gives this node's incarnation up and takes a new one: for whoever sees the old one
// replaced it is as if the process had started again.
func (r *Membership) Rejoin() {
	r.leave()
	r.wakeUp()
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
		r.log.Debug("membership round failed", "err", err)
	}
}

// round renews this node's lease, reads who is there, and makes the next view if there is to
// be one.
func (r *Membership) round(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 3*statestore.CallTimeout)
	defer cancel()
	self, err := r.ensureLease(ctx)
	if err != nil {
		return err
	}
	sent := time.Now()
	entries, _, err := r.store.List(ctx, statestore.PriorityMembership, prefix)
	if err != nil {
		return err
	}
	view, live, err := decodeMembership(entries)
	if err != nil {
		return err
	}
	r.observe(view, sent)
	if !slices.Contains(live, self) {
		// The lease ran out, or a later start of this node took the name.
		r.leave()
		return errNotMember
	}
	if view.Buckets == 0 {
		view.Nodes, view.Buckets = r.cfg.Nodes, max(r.cfg.Buckets, 1)
	}
	next, differs := view.NextView(live)
	if !differs {
		r.differsSince = time.Time{}
		return nil
	}
	if r.differsSince.IsZero() {
		r.differsSince = sent
	}
	// The first live member writes at once, the others only if it does not.
	if next.Members[0] != self && time.Since(r.differsSince) < 2*r.cfg.Interval {
		return nil
	}
	return r.propose(ctx, view, next)
}

var errNotMember = errors.New("not among the members")

// renewalsPerLease is the part of its lease after which a member renews it.
const renewalsPerLease = 4

// ensureLease renews this node's lease, or joins if it has none.
func (r *Membership) ensureLease(ctx context.Context) (Member, error) {
	r.mu.Lock()
	self, renewedAt := r.self, r.renewedAt
	r.mu.Unlock()
	sent := time.Now()
	if self.Incarnation != 0 && sent.Sub(renewedAt) >= r.cfg.MemberLease/renewalsPerLease {
		switch err := r.store.RenewLease(ctx, self.Incarnation); {
		case errors.Is(err, statestore.ErrLeaseExpired):
			self.Incarnation = 0
		case err != nil:
			return self, err
		default:
			r.mu.Lock()
			r.renewedAt = sent
			r.mu.Unlock()
		}
	}
	if self.Incarnation == 0 {
		return r.join(ctx)
	}
	return self, nil
}

// leave forgets this node's incarnation; the next round takes a new one.
func (r *Membership) leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.self.Incarnation = 0
}

// decodeMembership reads the view and the members from their records. One that cannot be read
// may be a member: no view is made without knowing.
func decodeMembership(entries []protocol.Entry) (view View, live []Member, err error) {
	for _, e := range entries {
		switch {
		case e.Key == ViewKey:
			if err := protocol.DecodeRecord(e.Key, e.Data, &view); err != nil {
				return view, nil, err
			}
			if view.Number == 0 {
				return view, nil, &protocol.DecodeError{Source: e.Key, Err: errors.New("no view number")}
			}
			view.Revision = e.Revision
		case strings.HasPrefix(e.Key, memberKey):
			var m Member
			if err := protocol.DecodeRecord(e.Key, e.Data, &m); err != nil {
				return view, nil, err
			}
			if m.Node == "" || m.Incarnation == 0 {
				return view, nil, &protocol.DecodeError{Source: e.Key, Err: errors.New("no name or no incarnation")}
			}
			live = append(live, m)
		}
	}
	return view, live, nil
}

// propose writes the next view, guarded on the present one.
func (r *Membership) propose(ctx context.Context, view, next View) error {
	t := protocol.Transaction{Guards: []protocol.Guard{{Key: ViewKey, Revision: view.Revision}}}
	if err := t.Put(ViewKey, next); err != nil {
		return err
	}
	_, err := r.store.Commit(ctx, statestore.PriorityMembership, t)
	r.wakeUp()
	return err
}

// wakeUp lets the next round begin at once.
func (r *Membership) wakeUp() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// join takes out a lease and writes this node's member record, attached to it.
func (r *Membership) join(ctx context.Context) (Member, error) {
	sent := time.Now()
	lease, err := r.store.GrantLease(ctx, r.cfg.MemberLease)
	if err != nil {
		return Member{}, err
	}
	key := memberKey + r.node
	self := Member{Node: r.node, Incarnation: lease}
	// Guarded on what stands there now: the late write of an earlier run, whose lease may
	// still live, must not take the place of this one.
	old, err := r.store.Get(ctx, statestore.PriorityMembership, key)
	if err != nil {
		return Member{}, err
	}
	t := protocol.Transaction{Guards: []protocol.Guard{{Key: key, Revision: old.Revision}}}
	if err := t.Put(key, self); err != nil {
		return Member{}, err
	}
	t.Changes[0].LeaseID = lease
	if _, err := r.store.Commit(ctx, statestore.PriorityMembership, t); err != nil {
		return Member{}, err
	}
	r.mu.Lock()
	r.self, r.renewedAt = self, sent
	r.mu.Unlock()
	r.log.Info("joined", "incarnation", lease)
	return self, nil
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
		r.view, r.viewFirstSeenAt, r.peersConfirmedAt = v, time.Now(), time.Time{}
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
