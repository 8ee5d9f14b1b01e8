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

// Config describes the deployment and holds the times of a membership.
type Config struct {
	// Nodes are the sorted names of all nodes, and Buckets is the number of hash buckets. The
	// first view records both permanently; later views copy them.
	Nodes   []string
	Buckets int

	MemberLease    time.Duration // how long a member record outlives the last renewal
	OwnershipLease time.Duration // duration of the ownership lease, see OwnershipLeaseFor
	Interval       time.Duration // between rounds of Run
}

// Membership is a node's membership in the cluster. Run maintains it. All other methods are safe
// for concurrent use.
type Membership struct {
	store   *statestore.Client
	cfg     Config
	log     *slog.Logger
	lease   *memberLease
	wake    chan struct{} // holds a value when the next round must begin immediately
	changed chan struct{} // holds a value when the view has changed

	mu              sync.Mutex // guards the fields below; the lease's lock is taken after it
	view            View
	viewFirstSeenAt time.Time
	evidence        leaseEvidence

	// Used by Run alone.
	viewDiffersSince time.Time // since when the live members have differed from the view; zero: they do not
	lastDecodeError  string    // the last logged error about a record that cannot be decoded
}

// New returns the membership of a node. It makes no calls before Run.
func New(node string, store *statestore.Client, cfg Config, log *slog.Logger) *Membership {
	return &Membership{
		store:   store,
		cfg:     cfg,
		log:     log,
		lease:   newMemberLease(node, store, cfg.MemberLease, log),
		wake:    make(chan struct{}, 1),
		changed: make(chan struct{}, 1),
	}
}

// Changed returns the channel that holds a value when the view has changed. It is for one reader.
func (m *Membership) Changed() <-chan struct{} { return m.changed }

// Config returns the configuration passed to New.
func (m *Membership) Config() Config { return m.cfg }

// Current returns the view, the member of this node, and when this node first saw the view. The
// member has incarnation 0 while the node holds no member lease.
func (m *Membership) Current() (view View, self Member, firstSeen time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view, m.lease.member(), m.viewFirstSeenAt
}

// Rejoin abandons this node's incarnation, and makes Run acquire a new one. To the other nodes this
// is the same as a restart of the process.
func (m *Membership) Rejoin() {
	m.lease.abandon()
	m.wakeUp()
}

// Run maintains the membership until the context ends. It runs a round in each interval, and
// another one immediately after wakeUp.
func (m *Membership) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := m.reconcile(ctx)
		m.logFailure(err)
		select {
		case <-ctx.Done():
		case <-m.wake:
		case <-time.After(m.cfg.Interval):
		}
	}
}

// wakeUp makes the next round of Run begin immediately.
func (m *Membership) wakeUp() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// logFailure logs why a round failed. A record that cannot be decoded stays so until an operator
// repairs it, so it is logged as an error once and not in each round.
func (m *Membership) logFailure(err error) {
	var decodeErr *protocol.DecodeError
	switch {
	case err == nil:
		m.lastDecodeError = ""
	case errors.As(err, &decodeErr) && err.Error() != m.lastDecodeError:
		m.lastDecodeError = err.Error()
		m.log.Error("membership record cannot be decoded", "key", decodeErr.Source, "err", err)
	default:
		m.log.Debug("membership round failed", "err", err)
	}
}

// applyView records a view returned by a read of the key-value store that was sent at sentAt. A view
// older than the current one changes nothing.
func (m *Membership) applyView(view View, sentAt time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if view.Number < m.view.Number {
		return
	}
	if view.Number > m.view.Number {
		m.changeView(view)
	}
	m.evidence.viewConfirmedAt = later(m.evidence.viewConfirmedAt, sentAt)
}

// changeView makes a view the current one of this node. The caller must hold the lock.
func (m *Membership) changeView(view View) {
	view.OwnersByBucket = view.BucketOwners()
	m.view = view
	m.viewFirstSeenAt = time.Now()
	// The peers' confirmation was for the previous view.
	m.evidence.peersConfirmedAt = time.Time{}
	m.log.Info("view changed", "view", view.Number, "members", strings.Join(view.nodeNames(), " "))
	select {
	case m.changed <- struct{}{}:
	default:
	}
}
