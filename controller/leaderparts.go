package controller

import (
	"context"

	"junipershelf/peer"
	"junipershelf/settings"
)

// leaderParts are the parts that make a node the leader's client and, while it leads, the
// leader; and those that scale the fleet and log the metrics.
type leaderParts struct {
	syncServer    *syncServer
	syncClient    *syncClient
	mailboxServer *mailboxServer[peer.Sync, peer.SyncReply]
	scheduling    *schedulingLoop
	compactor     *compactor
	lister        *machineLister
	terminator    *machineTerminator
	refresher     *catalogueRefresher
	reporter      *stateReporter
}

// newLeaderParts makes the parts of a node whose clients, membership and state are made.
func newLeaderParts(c *Controller) *leaderParts {
	cycle := &schedulingCycle{state: c.state, metrics: c.metrics}
	server := &syncServer{state: c.state, membership: c.membership, cycle: cycle}
	mailbox := &mailboxTransport{
		store: c.store, membership: c.membership, failures: c.failures, limitCounts: c.limitCounts,
		callers: len(c.peers), writeRate: c.settings.Facts.State.WriteRPS,
	}
	return &leaderParts{
		syncServer: server,
		syncClient: &syncClient{
			state: c.state, membership: c.membership, peers: c.peers, mailbox: mailbox, server: server,
			metrics: c.metrics, failures: c.failures, commitWanted: c.commitWanted,
		},
		mailboxServer: &mailboxServer[peer.Sync, peer.SyncReply]{
			transport: mailbox, state: c.state, log: c.log, handle: server.Sync,
		},
		scheduling: &schedulingLoop{
			state: c.state, membership: c.membership, cycle: cycle,
			scaler: &fleetScaler{
				nodeName: c.settings.NodeName, state: c.state, cloud: c.cloud, logDedup: c.logDedup, log: c.log,
			},
			metricsLog: &metricsLogger{
				state: c.state, store: c.store, peers: c.peers, metrics: c.metrics,
				userLimits: c.userLimits, limitCounts: c.limitCounts, log: c.log,
			},
		},
		compactor: &compactor{
			state: c.state, store: c.store, membership: c.membership, metrics: c.metrics, log: c.log,
			reread: c.reread, applyJob: c.applyJob, cacheTerminalState: c.cacheTerminalStateLocked,
		},
		lister: &machineLister{
			state: c.state, cloud: c.cloud, limitCounts: c.limitCounts,
			interval: max(settings.Seconds(c.settings.Facts.Cloud.ListLagS/2), minListInterval),
		},
		terminator: &machineTerminator{
			state: c.state, membership: c.membership, cloud: c.cloud, log: c.log, commitWanted: c.commitWanted,
		},
		refresher: &catalogueRefresher{
			catalogue: c.catalogue, state: c.state, cloud: c.cloud, store: c.store, failures: c.failures, log: c.log,
		},
		reporter: &stateReporter{
			nodeName: c.settings.NodeName, state: c.state, store: c.store, membership: c.membership,
		},
	}
}

// loops returns the parts' work until the context ends, each for a goroutine of its own.
func (p *leaderParts) loops() []func(context.Context) {
	return []func(context.Context){
		p.syncClient.run, p.mailboxServer.run, p.scheduling.run, p.compactor.run,
		p.lister.run, p.terminator.run, p.refresher.run,
	}
}

// Sync serves an owner's call, for peer.Node.
func (c *Controller) Sync(call peer.Sync) peer.SyncReply { return c.leaderParts.syncServer.Sync(call) }

// Show describes the node, for peer.Node.
func (c *Controller) Show() peer.NodeState { return c.leaderParts.reporter.Show() }
