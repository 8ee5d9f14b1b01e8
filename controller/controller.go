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
	settings   *settings.Settings
	policy     *policy.Policy
	log        *slog.Logger
	net        Network
	store      *statestore.Client
	cloud      *cloud.Client
	membership *membership.Membership
	peers      map[string]*peer.Client
	teams      map[string]int // dense index of each team
	configs    *configurations

	catalogue     *catalogue
	refresher     *catalogueRefresher
	cancellations *cancellationReplication
	statusReads   *statusConfirmer
	userLimits    *userRateLimiter
	jobWatcher    *jobWatcher
	failover      *failover
	committer     *committer
	ticker        *partitionTicker
	heartbeats    *heartbeatRouter
	syncClient    *syncClient
	terminator    *machineTerminator
	leader        *leaderParts
	reporter      *stateReporter
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

// What the HTTP servers bound for each connection.
const (
	readHeaderTimeout = 10 * time.Second
	readTimeout       = 15 * time.Second
	writeTimeout      = 15 * time.Second
	idleTimeout       = 60 * time.Second
	maxHeaderBytes    = 8 << 10
)

// New makes a node.
func New(set *settings.Settings, pol *policy.Policy, log *slog.Logger, nw Network) *Controller {
	if nw.Listen == nil {
		nw.Listen = net.Listen
	}
	set = withEffectiveLimits(set)
	c := &Controller{
		settings:   set,
		policy:     pol,
		log:        log,
		net:        nw,
		nodeLimits: sizing.LimitsFor(set.Facts),
		teams:      teamIndexes(set.Facts.Teams),
	}
	c.wireLogging()
	c.wireClients()
	c.wireState()
	c.wireMembership()
	c.wireJobWatcher()
	c.wireUserRequests()
	c.wireOwner()
	c.wireLeader()
	c.wireScaleIn()
	c.wireCatalogue()
	c.wireReporter()
	return c
}

// withEffectiveLimits returns settings whose limits of the key-value store are those that it
// may fall to without notice: they are never exceeded.
func withEffectiveLimits(set *settings.Settings) *settings.Settings {
	effective := *set
	effective.Facts.State = set.Facts.State.Effective()
	return &effective
}

// teamIndexes returns the dense index of each team.
func teamIndexes(teams []settings.Team) map[string]int {
	indexes := make(map[string]int, len(teams))
	for i, t := range teams {
		indexes[t.Name] = i
	}
	return indexes
}

// wireLogging makes the counters and loggers that all parts share.
func (c *Controller) wireLogging() {
	c.limitCounts = newLimitCounter(c.log)
	c.metrics = &nodeMetrics{}
	c.logDedup = newLogDeduplicator(c.nodeLimits.Machines*loggedPerMachine, c.limitCounts.record)
	c.failures = &failureLogger{log: c.log, dedup: c.logDedup}
}

// wireClients makes the clients of the key-value store, the cloud and the other nodes.
func (c *Controller) wireClients() {
	facts := c.settings.Facts
	c.store = statestore.New(c.net.Dial, c.settings.Outside.State, facts.State, c.nodeLimits.ReplyBytes)
	c.cloud = cloud.New(c.net.Dial, c.settings.Outside.Cloud, facts.Cloud, c.nodeLimits.Machines)
	c.peers = map[string]*peer.Client{}
	peerLimits := peer.ClientLimits{Connections: c.nodeLimits.PeerCalls, ReplyBytes: c.nodeLimits.ReplyBytes}
	for _, p := range c.settings.Peers {
		c.peers[p.NodeName] = peer.NewClient(c.net.Dial, p.Addr, peerLimits)
	}
	// Until a view shows which nodes there are, all of them may be calling.
	c.store.SetShare(len(c.nodeNames()), false)
	c.cloud.SetShare(len(c.nodeNames()), false)
}

// nodeNames returns the names of all nodes of the deployment, sorted.
func (c *Controller) nodeNames() []string {
	names := []string{c.settings.NodeName}
	for _, p := range c.settings.Peers {
		names = append(names, p.NodeName)
	}
	slices.Sort(names)
	return names
}

// wireState makes the state that decisions rest on, the catalogue of machine types, and what
// derives the configurations of the packages that decide.
func (c *Controller) wireState() {
	c.catalogue = newCatalogue()
	c.configs = &configurations{settings: c.settings, policy: c.policy, nodeLimits: c.nodeLimits, catalogue: c.catalogue, store: c.store}
	c.state = newNodeState(c.teams, c.limitCounts)
	c.state.leader.autoscaler = c.configs.newAutoscaler()
}

// wireMembership makes the node's membership and its leases.
func (c *Controller) wireMembership() {
	if _, fits := c.configs.ownershipLease(); !fits {
		workers := c.settings.Facts.Workers
		c.log.Warn("cancel_s is too short for the lease: a job may outlive its cancellation when controllers are cut off",
			"cancel_s", workers.CancelS, "lease_s", workers.LeaseS)
	}
	c.membership = membership.New(c.settings.NodeName, c.store, c.configs.membershipConfig(c.nodeNames()), c.log)
}

// wireJobWatcher makes the part that feeds the cache of the live jobs.
func (c *Controller) wireJobWatcher() {
	c.jobWatcher = &jobWatcher{state: c.state, store: c.store, membership: c.membership, failures: c.failures, limitCounts: c.limitCounts}
}

// wireUserRequests makes the parts that answer users.
func (c *Controller) wireUserRequests() {
	c.userLimits = newUserRateLimiter(c.settings.Facts.State)
	c.cancellations = newCancellationReplication(c.settings.Peers, c.nodeLimits, c.limitCounts)
	c.statusReads = newStatusConfirmer(c.store, c.jobWatcher.revisionOf, c.nodeLimits.StatusReads, func() { c.limitCounts.record(limits.StatusReads) })
}

// wireOwner makes the parts of the owner of a partition.
func (c *Controller) wireOwner() {
	c.commitWanted = make(chan struct{}, 1)
	c.failover = &failover{
		state: c.state, store: c.store, cloud: c.cloud, membership: c.membership, catalogue: c.catalogue,
		configs: c.configs, jobs: c.jobWatcher, failures: c.failures, log: c.log,
	}
	c.committer = &committer{
		state: c.state, store: c.store, metrics: c.metrics, failures: c.failures, log: c.log, wanted: c.commitWanted,
		ownership: &ownership{state: c.state, membership: c.membership, log: c.log},
	}
	c.ticker = &partitionTicker{state: c.state, commitWanted: c.commitWanted}
	responder := &heartbeatResponder{
		state: c.state, membership: c.membership, metrics: c.metrics, logDedup: c.logDedup, log: c.log,
		commitWanted: c.commitWanted, maxHold: replyHold(c.settings.Facts.Workers),
	}
	c.heartbeats = &heartbeatRouter{
		membership: c.membership, responder: responder, reachability: c.cancellations, peers: c.peers, failures: c.failures,
		redirects: newRedirectTracker(c.nodeLimits.Machines, func() { c.limitCounts.record(limits.Redirects) }),
	}
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
	for _, s := range c.servers() {
		if err := c.serve(ctx, g, s); err != nil {
			return err
		}
	}
	for _, run := range slices.Concat(c.sharedLoops(), c.userRequestLoops(), c.ownerLoops(), c.leaderLoops()) {
		g.Go(func() error { run(ctx); return ctx.Err() })
	}
	return g.Wait()
}

// loop is a part's work until the context ends.
type loop func(context.Context)

// sharedLoops are those that all parts rest on.
func (c *Controller) sharedLoops() []loop {
	return []loop{c.membership.Run, c.jobWatcher.run, c.refresher.run}
}

// userRequestLoops are those that the answers to users rest on.
func (c *Controller) userRequestLoops() []loop {
	return []loop{c.statusReads.run, c.pingLoop, c.replicationLoop}
}

// ownerLoops are those of the owner of a partition.
func (c *Controller) ownerLoops() []loop {
	return []loop{c.failover.run, c.ticker.run, c.committer.run, c.syncClient.run, c.terminator.run}
}

// leaderLoops run on each node and act only while it leads.
func (c *Controller) leaderLoops() []loop {
	return []loop{c.leader.scheduling.run, c.leader.compactor.run, c.leader.mailboxServer.run, c.leader.lister.run}
}

// servers are the node's two HTTP servers, for users and workers and for the other nodes.
func (c *Controller) servers() []server {
	return []server{
		{c.settings.APIAddr, api.Handler(c), c.nodeLimits.Connections, limits.Connections},
		{c.settings.InternalAddr, peer.Handler(c, c.log, c.nodeLimits.ReplyBytes), c.nodeLimits.PeerConnections, limits.PeerConnections},
	}
}

// serve opens a server's address and serves it in the group.
func (c *Controller) serve(ctx context.Context, g *errgroup.Group, s server) error {
	l, err := c.net.Listen("tcp4", s.addr)
	if err != nil {
		return err
	}
	limited := newLimitedListener(l, s.maxConns, func() { c.limitCounts.record(s.limit) })
	srv := &http.Server{
		Handler:           limited.shareSlots(s.handler),
		ConnState:         limited.track,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(c.log.Handler(), slog.LevelDebug),
	}
	g.Go(func() error { return srv.Serve(limited) })
	g.Go(func() error { <-ctx.Done(); return srv.Close() })
	return nil
}

// Heartbeat answers a worker's heartbeat.
func (c *Controller) Heartbeat(ctx context.Context, body []byte) api.Response {
	return c.heartbeats.Heartbeat(ctx, body)
}

// Forward answers a heartbeat that another node forwards.
func (c *Controller) Forward(ctx context.Context, forward peer.Forward) peer.ForwardReply {
	return c.heartbeats.Forward(ctx, forward)
}

// sleep waits, and reports whether the context has not ended by then.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// signal puts a value into a channel of size one, unless it has one.
func signal(ch chan<- struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}
