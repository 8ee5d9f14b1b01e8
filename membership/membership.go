// Package membership keeps a node's lease, the view and the authority that follows
// from it.
package membership

import (
	"context"
	"errors"
	"hash/fnv"
	"log/slog"
	"slices"
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

// BucketsFor is how many hash buckets machines fall into. Each is one record of the
// state service, or a few, and is written about once a second at the most: so many
// that all of them together leave a third of the changes for the rest, and as many for
// each node.
func BucketsFor(changes float64, nodes int) int {
	nodes = max(nodes, 1)
	return nodes * max((6*min(max(int(changes/10), 1), 100)+nodes/2)/nodes, 1)
}

// Member is one run of a node: its incarnation is the lease's own id.
type Member struct {
	Node        string `cbor:"node" msgpack:"node"`
	Incarnation uint64 `cbor:"inc" msgpack:"inc"`
}

// View is an agreed set of members; the first one is the leader.
type View struct {
	Number  uint64   `cbor:"number" msgpack:"number"`
	Members []Member `cbor:"members" msgpack:"members"`
	// Nodes are the names of all that may be members, sorted, and Parts how many
	// parts there are: whoever makes the first view writes them down for good.
	Nodes    []string `cbor:"nodes" msgpack:"nodes"`
	Buckets  int      `cbor:"parts" msgpack:"parts"`
	Revision uint64   `cbor:"-" msgpack:"-"`
	// By are the owners of the parts, worked out once when a view is taken: each
	// report asks.
	OwnersByBucket []int `cbor:"-" msgpack:"-"`
}

// IndexOf is a node's place in the view, -1 if it has none.
func (v View) IndexOf(m Member) int {
	for i, o := range v.Members {
		if o == m {
			return i
		}
	}
	return -1
}

// BucketOf is the part of a machine; it never changes.
func (v View) BucketOf(machine string) int {
	h := fnv.New32a()
	h.Write([]byte(machine))
	return int(h.Sum32() % uint32(max(v.Buckets, 1)))
}

// OwnerOfBucket picks the member that owns a part.
func (v View) OwnerOfBucket(part int) int {
	by := v.OwnersByBucket
	if by == nil {
		by = v.BucketOwners()
	}
	return by[part%len(by)]
}

// BucketOwners gives the owners of all parts. Each has a node that it falls to by its number;
// those of nodes that are away go one by one to the member that has the fewest. So parts
// fall evenly on any members, one more or less, and with one node away only its own move.
func (v View) BucketOwners() []int {
	out := make([]int, max(v.Buckets, 1))
	if len(v.Members) == 0 {
		return out
	}
	names := slices.Clone(v.Nodes)
	for _, m := range v.Members {
		if !slices.Contains(names, m.Node) {
			names = append(names, m.Node)
		}
	}
	at := map[string]int{}
	for i, m := range v.Members {
		at[m.Node] = i
	}
	has := make([]int, len(v.Members))
	for p := range out {
		out[p] = -1
		if i, ok := at[names[p%len(names)]]; ok {
			out[p] = i
			has[i]++
		}
	}
	// By name, not by place among the members, which changes with the views.
	order := make([]int, len(v.Members))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return strings.Compare(v.Members[a].Node, v.Members[b].Node) })
	for p := range out {
		if out[p] >= 0 {
			continue
		}
		best := order[0]
		for _, i := range order {
			if has[i] < has[best] {
				best = i
			}
		}
		out[p] = best
		has[best]++
	}
	return out
}

// Successor is the view that live members call for: old members keep their order,
// new ones follow. It returns false when the view fits as it is.
func (v View) Successor(live []Member) (View, bool) {
	alive := map[Member]bool{}
	for _, m := range live {
		alive[m] = true
	}
	n := View{Number: v.Number + 1, Nodes: v.Nodes, Buckets: v.Buckets}
	for _, m := range v.Members {
		if alive[m] {
			n.Members = append(n.Members, m)
			delete(alive, m)
		}
	}
	if len(alive) == 0 && len(n.Members) == len(v.Members) {
		return v, false
	}
	for _, m := range live {
		if alive[m] {
			n.Members = append(n.Members, m)
		}
	}
	return n, true
}

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

// AuthorityLeaseFor is how long authority may last after the evidence that it rests on. A job
// whose end was confirmed just after that may run on for this time and a lease, which
// together must stay below what a cancellation has, with a margin for drift and for
// answers under way. Ok is false where the times leave no room for that.
func AuthorityLeaseFor(wanted, lease, cancel time.Duration) (d time.Duration, ok bool) {
	const least, margin = time.Second, 2 * time.Second
	d = min(wanted, cancel-lease-margin)
	return max(d, least), d >= least
}

// HasAuthority tells whether this node may act for a view: it is a member, and the evidence
// for its authority is younger than the authority time.
func (r *Membership) HasAuthority(number uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.view.Number == number && r.highestView <= number && r.view.IndexOf(r.self) >= 0 &&
		time.Since(r.authorityAsOf()) < r.cfg.AuthorityLease
}

// authorityAsOf is the time up to which this node knows both that its view is the last one
// and which jobs users were told to be over. To know the view alone is not enough: a
// leader that only the state service refused was once confirmed for by its peers through
// an outage, and let jobs run on that one of them had confirmed as cancelled.
func (r *Membership) authorityAsOf() time.Time {
	at := r.viewConfirmedAt
	if r.cancellationsKnownAt.Before(at) {
		at = r.cancellationsKnownAt
	}
	if r.quorumConfirmedAt.After(at) {
		at = r.quorumConfirmedAt
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

// QuorumConfirmed takes that every other node, asked at a time or later, had seen no view
// beyond this one, and that all cancellations that any of them had told a user are known
// here. That is worth as much as a confirmation by the state service: what a later
// view's owners wait for (invariant 3) counts from when they see it.
func (r *Membership) QuorumConfirmed(number uint64, asked time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if number == r.view.Number && asked.After(r.quorumConfirmedAt) {
		r.quorumConfirmedAt = asked
	}
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
