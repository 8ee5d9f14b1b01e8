// Package controller runs one node of the service: it wires the packages that decide
// (membership, scheduler, partition, autoscaler) to those that do I/O (statestore, cloud, peer,
// api).
//
// A node is made of parts, each a type with its own file. They are grouped by what they are for,
// and a group depends on those above it only:
//
//   - sharedParts: clients, loggers, the membership, the state that decisions rest on, the cache of
//     live jobs and the catalogue of machine types.
//   - the users' requests: submissions, status reads and cancellations, and the replication of
//     cancellations between the nodes.
//   - ownerParts: failover, heartbeats and commits of the partition of machines that a node owns.
//   - leaderParts: scheduling, scaling and compaction, and the leader's side of the owners' calls.
//   - syncClient and machineTerminator: an owner's calls of the leader, and the termination of its
//     machines.
//
// All parts share one nodeState and its lock, which comes first in the order of locks.
package controller

import (
	"context"
	"log/slog"
	"net"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"junipershelf/api"
	"junipershelf/internal/httpcall"
	"junipershelf/internal/limits"
	"junipershelf/peer"
	"junipershelf/policy"
	"junipershelf/settings"
)

// Controller is one node.
type Controller struct {
	*sharedParts
	listen func(network, addr string) (net.Listener, error)

	cancellations *cancellationReplication
	statusReads   *statusConfirmer
	userLimits    *userRateLimiter

	reporter   *stateReporter
	owner      *ownerParts
	leader     *leaderParts
	syncClient *syncClient
	terminator *machineTerminator
}

// Network is how a node listens and calls; the zero value is TCP.
type Network struct {
	Listen func(network, addr string) (net.Listener, error)
	Dial   httpcall.Dial
}

// New makes a node. It does nothing before Run.
func New(set *settings.Settings, pol *policy.Policy, log *slog.Logger, nw Network) *Controller {
	if nw.Listen == nil {
		nw.Listen = net.Listen
	}
	c := &Controller{
		sharedParts: newSharedParts(withEffectiveLimits(set), pol, log, nw.Dial),
		listen:      nw.Listen,
	}
	c.wireUserRequests()
	c.owner = newOwnerParts(c.sharedParts, c.cancellations)
	mailbox := newMailboxTransport(c.sharedParts)
	c.leader = newLeaderParts(c.sharedParts, mailbox, c.userLimits, c.cacheTerminalStateLocked)
	c.syncClient = newSyncClient(c.sharedParts, mailbox, c.leader.syncServer)
	c.terminator = newMachineTerminator(c.sharedParts)
	c.reporter = newStateReporter(c.sharedParts)
	return c
}

// withEffectiveLimits returns settings whose limits of the key-value store are those that it
// may fall to without notice: they are never exceeded.
func withEffectiveLimits(set *settings.Settings) *settings.Settings {
	effective := *set
	effective.Facts.State = set.Facts.State.Effective()
	return &effective
}

// wireUserRequests makes the parts that answer users.
func (c *Controller) wireUserRequests() {
	c.userLimits = newUserRateLimiter(c.settings.Facts.State)
	c.cancellations = newCancellationReplication(c.settings.Peers, c.nodeLimits, c.limitCounts)
	c.statusReads = newStatusConfirmer(c.store, c.jobWatcher.revisionOf, c.nodeLimits.StatusReads, func() { c.limitCounts.record(limits.StatusReads) })
}

// Run serves until the context ends or a listener fails.
func (c *Controller) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, server := range c.servers() {
		if err := server.start(ctx, group, c.listen); err != nil {
			return err
		}
	}
	for _, run := range slices.Concat(c.sharedLoops(), c.userRequestLoops(), c.ownerLoops(), c.leader.loops()) {
		group.Go(func() error { run(ctx); return ctx.Err() })
	}
	return group.Wait()
}

// servers are the node's two HTTP servers, for users and workers and for the other nodes.
func (c *Controller) servers() []httpServer {
	return []httpServer{
		{
			addr: c.settings.APIAddr, handler: api.Handler(c), log: c.log,
			maxConns: c.nodeLimits.Connections, onFull: func() { c.limitCounts.record(limits.Connections) },
		},
		{
			addr: c.settings.InternalAddr, handler: peer.Handler(c, c.log, c.nodeLimits.ReplyBytes), log: c.log,
			maxConns: c.nodeLimits.PeerConnections, onFull: func() { c.limitCounts.record(limits.PeerConnections) },
		},
	}
}

// loop is a part's work until the context ends.
type loop func(context.Context)

// userRequestLoops are those that the answers to users rest on.
func (c *Controller) userRequestLoops() []loop {
	return []loop{c.statusReads.run, c.pingLoop, c.replicationLoop}
}

// ownerLoops are those of the owner of a partition, as the leader's client too.
func (c *Controller) ownerLoops() []loop {
	return append(c.owner.loops(), c.syncClient.run, c.terminator.run)
}

// Heartbeat answers a worker's heartbeat, for api.Service.
func (c *Controller) Heartbeat(ctx context.Context, body []byte) api.Response {
	return c.owner.heartbeats.Heartbeat(ctx, body)
}

// Forward answers a heartbeat that another node forwards, for peer.Node.
func (c *Controller) Forward(ctx context.Context, forward peer.Forward) peer.ForwardReply {
	return c.owner.heartbeats.Forward(ctx, forward)
}

// Sync serves an owner's call, for peer.Node.
func (c *Controller) Sync(call peer.Sync) peer.SyncReply { return c.leader.syncServer.Sync(call) }

// Show describes the node, for peer.Node.
func (c *Controller) Show() peer.NodeState { return c.reporter.Show() }

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
