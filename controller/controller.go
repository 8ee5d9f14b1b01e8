// Package controller runs one node of the service: it wires the packages that decide
// (membership, scheduler, partition, autoscaler) to those that do I/O (statestore, cloud, peer,
// api).
//
// A node is made of parts, each a type with its own file. They are grouped by what they are for,
// and a group depends on those above it only:
//
//   - sharedParts: clients, loggers, the membership, the state that decisions rest on, the cache of
//     live jobs and the catalogue of machine types.
//   - peeringParts: pings between the nodes, and the replication of cancellations by them.
//   - userParts: the users' submissions, status reads and cancellations.
//   - leaderParts: scheduling, scaling and compaction, and serving the owners' calls.
//   - ownerParts: failover, heartbeats and commits of the partition of machines that a node owns,
//     and the calls to the leader.
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

	"junipershelf/internal/httpcall"
	"junipershelf/internal/limits"
	"junipershelf/policy"
	"junipershelf/settings"
)

// Controller is one node.
type Controller struct {
	*sharedParts
	listen func(network, addr string) (net.Listener, error)

	peering  *peeringParts
	users    *userParts
	leader   *leaderParts
	owner    *ownerParts
	reporter *stateReporter
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
	c.peering = newPeeringParts(c.sharedParts)
	c.users = newUserParts(c.sharedParts, c.peering)
	c.leader = newLeaderParts(c.sharedParts, c.users.rateLimiter, c.peering.terminalStates)
	c.owner = newOwnerParts(c.sharedParts, c.peering.tracker, c.leader.syncServer)
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

// Run serves until the context ends or a listener fails.
func (c *Controller) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, server := range c.servers() {
		if err := server.start(ctx, group, c.listen); err != nil {
			return err
		}
	}
	for _, run := range slices.Concat(c.sharedLoops(), c.peering.loops(), c.users.loops(), c.leader.loops(), c.owner.loops()) {
		group.Go(func() error { run(ctx); return ctx.Err() })
	}
	return group.Wait()
}

// servers are the node's two HTTP servers, for users and workers and for the other nodes.
func (c *Controller) servers() []httpServer {
	return []httpServer{
		{
			addr: c.settings.APIAddr, handler: c.APIHandler(), log: c.log,
			maxConns: c.nodeLimits.Connections, onFull: func() { c.limitCounts.record(limits.Connections) },
		},
		{
			addr: c.settings.InternalAddr, handler: c.peerHandler(), log: c.log,
			maxConns: c.nodeLimits.PeerConnections, onFull: func() { c.limitCounts.record(limits.PeerConnections) },
		},
	}
}

// loop is a part's work until the context ends.
type loop func(context.Context)

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
