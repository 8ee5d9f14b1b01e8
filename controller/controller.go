// Package controller runs one node of the service. It connects the packages that make decisions
// (membership, scheduler, partition, autoscaler) to those that do I/O (statestore, cloud, peer,
// api).
//
// A node consists of components, each a type in its own file. The components are grouped by
// purpose, and each group depends only on the groups listed before it:
//
//   - sharedComponents: clients, loggers, membership, the node state, the job cache and the
//     catalogue of machine types.
//   - peeringComponents: pings between nodes, which also replicate cancellations.
//   - userComponents: submissions, status reads and cancellations by users.
//   - leaderComponents: scheduling, scaling, compaction, and serving sync calls from owners.
//   - ownerComponents: failover, heartbeats and commits for the partition of machines that the
//     node owns, and sync calls to the leader.
//
// All components share one nodeState. Its lock is acquired before any other lock.
package controller

import (
	"context"
	"log/slog"
	"net"
	"slices"

	"golang.org/x/sync/errgroup"

	"junipershelf/internal/httpcall"
	"junipershelf/internal/limits"
	"junipershelf/policy"
	"junipershelf/settings"
)

// Controller is one node.
type Controller struct {
	*sharedComponents
	listen func(network, addr string) (net.Listener, error)

	peering  *peeringComponents
	users    *userComponents
	leader   *leaderComponents
	owner    *ownerComponents
	reporter *stateReporter
}

// Network provides a node's listen and dial functions; the zero value uses TCP.
type Network struct {
	Listen func(network, addr string) (net.Listener, error)
	Dial   httpcall.Dial
}

// New creates a node. It does not listen or make calls until Run.
func New(cfg *settings.Settings, pol *policy.Policy, log *slog.Logger, nw Network) *Controller {
	if nw.Listen == nil {
		nw.Listen = net.Listen
	}
	c := &Controller{
		sharedComponents: newSharedComponents(withEffectiveLimits(cfg), pol, log, nw.Dial),
		listen:           nw.Listen,
	}
	c.peering = newPeeringComponents(c.sharedComponents)
	c.users = newUserComponents(c.sharedComponents, c.peering)
	c.leader = newLeaderComponents(c.sharedComponents, c.users.rateLimiter, c.peering.terminalStates)
	c.owner = newOwnerComponents(c.sharedComponents, c.peering.tracker, c.leader.syncServer)
	c.reporter = newStateReporter(c.sharedComponents)
	return c
}

// withEffectiveLimits returns a copy of the settings with the key-value store's limits replaced by
// the ones that the store may reduce them to without notice, so that they are never exceeded.
func withEffectiveLimits(cfg *settings.Settings) *settings.Settings {
	effective := *cfg
	effective.Facts.Store = cfg.Facts.Store.Effective()
	return &effective
}

// Run serves until the context is cancelled or a listener fails.
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

// servers returns the node's HTTP servers: one for users and agents, one for the other nodes.
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

// loop is a component's background work, which runs until the context is cancelled.
type loop func(context.Context)

// signal sends to a channel of capacity one without blocking; if the channel is full, a signal is
// already pending.
func signal(ch chan<- struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}
