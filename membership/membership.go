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

// Config holds what a membership knows of the deployment, and its times.
type Config struct {
	// Nodes are the names of all nodes, sorted, and Buckets the number of hash buckets. The
	// first view records both for good; later views keep what the first one says.
	Nodes   []string
	Buckets int

	MemberLease    time.Duration // how long a member record outlives the last renewal
	OwnershipLease time.Duration // how long a node may act after its evidence was true
	Interval       time.Duration // between rounds of Run
}

// Membership is a node's membership. Run keeps it; all other methods may be called from any
// goroutine.
type Membership struct {
	store   *statestore.Client
	cfg     Config
	log     *slog.Logger
	lease   *memberLease
	wake    chan struct{} // holds a value when the next round is to begin at once
	changed chan struct{} // holds a value when the view has changed

	mu              sync.Mutex // guards the fields below; the lease's lock is taken after it
	view            View
	viewFirstSeenAt time.Time
	evidence        leaseEvidence

	// Used by Run alone.
	viewDiffersSince time.Time // since when the members have called for another view; zero: they don't
	lastUndecodable  string    // the last error logged about a record that cannot be decoded
}

// New returns the membership of a node. Nothing happens before Run.
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

// Changed returns the channel that holds a value when the view has changed. It has one reader.
func (m *Membership) Changed() <-chan struct{} { return m.changed }

// Config returns the configuration that the membership was made with.
func (m *Membership) Config() Config { return m.cfg }

// Current returns the view, this node's own member, and when this node first saw the view. The
// member has no incarnation while the node holds no lease.
func (m *Membership) Current() (view View, self Member, firstSeen time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view, m.lease.member(), m.viewFirstSeenAt
}

// Rejoin abandons this node's incarnation and acquires a new one. To all who see the old one
// replaced it is as if the process had been restarted.
func (m *Membership) Rejoin() {
	m.lease.abandon()
	m.wakeUp()
}

// Run keeps the membership until the context ends: a round each interval, or at once when
// something calls for it.
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

// wakeUp lets the next round begin at once.
func (m *Membership) wakeUp() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// logFailure logs why a round failed. A record that cannot be decoded stays so until somebody
// mends it: it is an error once, not in each round.
func (m *Membership) logFailure(err error) {
	var undecodable *protocol.DecodeError
	switch {
	case err == nil:
		m.lastUndecodable = ""
	case errors.As(err, &undecodable) && err.Error() != m.lastUndecodable:
		m.lastUndecodable = err.Error()
		m.log.Error("membership record cannot be decoded", "key", undecodable.Source, "err", err)
	default:
		m.log.Debug("membership round failed", "err", err)
	}
}

// applyReading records a view as read from the key-value store by a call sent at a time. A
// reading may be older than one before it and then changes nothing.
func (m *Membership) applyReading(view View, sentAt time.Time) {
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

// changeView makes a view this node's present one. The caller holds the lock.
func (m *Membership) changeView(view View) {
	view.OwnersByBucket = view.BucketOwners()
	m.view = view
	m.viewFirstSeenAt = time.Now()
	// The peers confirmed the view before.
	m.evidence.peersConfirmedAt = time.Time{}
	m.log.Info("view changed", "view", view.Number, "members", strings.Join(view.nodeNames(), " "))
	select {
	case m.changed <- struct{}{}:
	default:
	}
}
