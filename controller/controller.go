// Package controller runs one node of the service. It connects the packages that decide
// (membership, scheduler, partition, fleet) with those that do I/O (statestore, cloud, peer,
// api): its loops compare what is wanted with what is and act on the difference.
package controller

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"junipershelf/api"
	"junipershelf/autoscaler"
	"junipershelf/cloud"
	"junipershelf/internal/httpcall"
	"junipershelf/internal/limits"
	"junipershelf/membership"
	"junipershelf/peer"
	"junipershelf/policy"
	"junipershelf/settings"
	"junipershelf/sizing"
	"junipershelf/statestore"
)

// Controller is one node.
type Controller struct {
	settings    *settings.Settings
	policy      *policy.Policy
	log         *slog.Logger
	net         Network
	store       *statestore.Client
	cloud       *cloud.Client
	membership  *membership.Membership
	peers       map[string]*peer.Client
	teams       map[string]int // dense index of each team
	workerLease time.Duration  // with clock drift and a margin

	catalogue     *catalogue
	cancellations *cancellationReplication
	statusReads   *statusConfirmer
	userLimits    *userRateLimiter
	redirects     *redirectTracker
	metrics       *nodeMetrics
	logDedup      *logDeduplicator
	failures      *failureLogger
	limitCounts   *limitCounter
	nodeLimits    sizing.Limits

	commitWanted chan struct{} // has a value when something may be to commit

	state *nodeState // what decisions rest on; see its lock
}

// Network is how a node listens and calls; the zero value is TCP.
type Network struct {
	Listen func(network, addr string) (net.Listener, error)
	Dial   httpcall.Dial
}

const (
	// maxClockDrift and lateTimers widen a worker's lease as seen from here: steady clocks
	// drift apart by up to 0.05 % each way, and timers may fire late.
	maxClockDrift = 0.002
	lateTimers    = 500 * time.Millisecond
	// minMemberLease is the shortest lease of a member, whatever the workers' lease.
	minMemberLease = time.Second
	// confirmInterval is how often the view is confirmed.
	confirmInterval = 500 * time.Millisecond
)

// New makes a node.
func New(set *settings.Settings, pol *policy.Policy, log *slog.Logger, nw Network) *Controller {
	if nw.Listen == nil {
		nw.Listen = net.Listen
	}
	// What the state service may fall to without notice is never exceeded.
	own := *set
	own.Facts.State = set.Facts.State.Effective()
	set = &own
	nodeLimits, counter := sizing.LimitsFor(set.Facts), newLimitCounter(log)
	c := &Controller{
		settings: set, policy: pol, log: log, net: nw,
		store:        statestore.New(nw.Dial, set.Outside.State, set.Facts.State, nodeLimits.ReplyBytes),
		cloud:        cloud.New(nw.Dial, set.Outside.Cloud, set.Facts.Cloud, nodeLimits.Machines),
		peers:        map[string]*peer.Client{},
		teams:        map[string]int{},
		catalogue:    newCatalogue(),
		userLimits:   newUserRateLimiter(set.Facts.State),
		redirects:    newRedirectTracker(nodeLimits.Machines, func() { counter.record(limits.Redirects) }),
		metrics:      &nodeMetrics{},
		logDedup:     newLogDeduplicator(nodeLimits.Machines*loggedPerMachine, counter.record),
		limitCounts:  counter,
		nodeLimits:   nodeLimits,
		commitWanted: make(chan struct{}, 1),
	}
	for i, t := range set.Facts.Teams {
		c.teams[t.Name] = i
	}
	names := []string{set.NodeName}
	for _, p := range set.Peers {
		c.peers[p.NodeName] = peer.NewClient(nw.Dial, p.Addr, peer.ClientLimits{Connections: nodeLimits.ConnectionsPerPeer, ReplyBytes: nodeLimits.ReplyBytes})
		names = append(names, p.NodeName)
	}
	slices.Sort(names)
	c.failures = &failureLogger{log: log, dedup: c.logDedup}
	c.state = newNodeState(c.teams, counter)
	c.cancellations = newCancellationReplication(set.Peers, nodeLimits, counter)
	c.statusReads = newStatusConfirmer(c.store, c.revisionOf, nodeLimits.StatusReads, func() { counter.record(limits.StatusReads) })
	// Until a view tells who is there.
	c.store.SetShare(statestore.Share{Nodes: len(names)})
	c.cloud.SetShare(cloud.Share{Nodes: len(names)})
	c.workerLease = settings.Seconds(set.Facts.Workers.LeaseS*(1+maxClockDrift)) + lateTimers
	c.membership = membership.New(set.NodeName, c.store, c.membershipConfig(names), log)
	c.state.leader.autoscaler = c.newAutoscaler()
	return c
}

// membershipConfig derives the leases from the workers' lease and the cancellation time.
func (c *Controller) membershipConfig(names []string) membership.Config {
	f := c.settings.Facts
	lease := f.Workers.LeaseS
	authority, ok := membership.OwnershipLeaseFor(settings.Seconds(lease*c.policy.OwnershipLeaseShare), c.workerLease, settings.Seconds(f.Workers.CancelS))
	if !ok {
		c.log.Warn("cancel_s is too short for the lease: a job may outlive its cancellation when controllers are cut off",
			"cancel_s", f.Workers.CancelS, "lease_s", lease)
	}
	return membership.Config{
		Nodes: names, Buckets: membership.BucketsFor(f.State.WriteRPS, len(names)),
		MemberLease:    max(settings.Seconds(lease*c.policy.MemberLeaseShare), minMemberLease),
		OwnershipLease: authority,
		Interval:       confirmInterval,
	}
}

func (c *Controller) newAutoscaler() *autoscaler.Autoscaler {
	p := autoscaler.New(autoscaler.Config{
		IdleFactor:       c.policy.IdleFactor,
		BootFactor:       c.policy.BootFactor,
		BootSlack:        settings.Seconds(c.policy.BootSlackS),
		NoCapacityPause:  settings.Seconds(c.policy.RefusalPauseS),
		OnDemandRank:     c.policy.OnDemandRank,
		OnDemandWait:     settings.Seconds(c.policy.OnDemandWaitS),
		ListLag:          settings.Seconds(c.settings.Facts.Cloud.ListLagS),
		UnreportedLimit:  2 * c.workerLease,
		MinRunBeforeStop: settings.Seconds(c.policy.MinRunBeforeStopS),
		EvictionHeadroom: c.policy.EvictionHeadroom,
		MaxMachines:      c.nodeLimits.Machines,
	})
	p.Catalogue = c.catalogue.list()
	return p
}

// server is one of the node's two HTTP servers.
type server struct {
	addr     string
	handler  http.Handler
	maxConns int
	limit    limits.Name
}

// Run serves until the context ends or a listener fails.
func (c *Controller) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for _, s := range []server{
		{c.settings.APIAddr, api.Handler(c), c.nodeLimits.Connections, limits.Connections},
		{c.settings.InternalAddr, peer.Handler(c, c.log, c.nodeLimits.ReplyBytes), c.nodeLimits.PeerConnections, limits.PeerConnections},
	} {
		if err := c.serve(ctx, g, s); err != nil {
			return err
		}
	}
	for _, loop := range []func(context.Context){
		c.membership.Run, c.viewLoop, c.jobWatchLoop, c.tickLoop, c.commitLoop, c.compactionLoop, c.syncLoop, c.mailboxLoop,
		c.scheduleLoop, c.scaleInLoop, c.catalogueLoop, c.listLoop, c.pingLoop, c.replicationLoop, c.statusReads.run,
	} {
		g.Go(func() error { loop(ctx); return ctx.Err() })
	}
	return g.Wait()
}

// serve opens a server's address and serves it in the group.
func (c *Controller) serve(ctx context.Context, g *errgroup.Group, s server) error {
	l, err := c.net.Listen("tcp4", s.addr)
	if err != nil {
		return err
	}
	limited := newLimitedListener(l, s.maxConns, func() { c.limitCounts.record(s.limit) })
	srv := &http.Server{
		Handler: limited.shareSlots(s.handler), ConnState: limited.track, ReadHeaderTimeout: 10 * time.Second, ReadTimeout: 15 * time.Second,
		WriteTimeout: 15 * time.Second, IdleTimeout: 60 * time.Second, MaxHeaderBytes: 8 << 10,
		ErrorLog: slog.NewLogLogger(c.log.Handler(), slog.LevelDebug),
	}
	g.Go(func() error { return srv.Serve(limited) })
	g.Go(func() error { <-ctx.Done(); return srv.Close() })
	return nil
}

// sleep waits and tells whether the context still lives.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// signal puts a value into a channel of size one, unless it has one.
func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}
