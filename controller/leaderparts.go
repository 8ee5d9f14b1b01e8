package controller

import (
	"junipershelf/peer"
	"junipershelf/settings"
)

// leaderParts are the parts that act while this node leads.
type leaderParts struct {
	syncServer    *syncServer
	mailboxServer *mailboxServer[peer.Sync, peer.SyncReply]
	scheduling    *schedulingLoop
	compactor     *compactor
	lister        *machineLister
}

// loops returns the parts' work until the context ends, each for a goroutine of its own. They run
// on each node and act while it leads.
func (p *leaderParts) loops() []loop {
	return []loop{p.scheduling.run, p.compactor.run, p.mailboxServer.run, p.lister.run}
}

// wireLeader makes the parts of the leader, which any node may come to be, and the client of
// the leader.
func (c *Controller) wireLeader() {
	cycle := &schedulingCycle{state: c.state, metrics: c.metrics}
	server := &syncServer{state: c.state, membership: c.membership, cycle: cycle}
	mailbox := &mailboxTransport{
		store: c.store, membership: c.membership, failures: c.failures, limitCounts: c.limitCounts,
		callers: len(c.peers), writeRate: c.settings.Facts.State.WriteRPS,
	}
	c.leader = &leaderParts{
		syncServer: server,
		mailboxServer: &mailboxServer[peer.Sync, peer.SyncReply]{
			transport: mailbox, state: c.state, log: c.log, handle: server.Sync,
		},
		scheduling: c.newSchedulingLoop(cycle),
		compactor: &compactor{
			state: c.state, store: c.store, membership: c.membership, jobs: c.jobWatcher, metrics: c.metrics, log: c.log,
			cacheTerminalState: c.cacheTerminalStateLocked,
		},
		lister: &machineLister{
			state: c.state, cloud: c.cloud, limitCounts: c.limitCounts,
			interval: max(settings.Seconds(c.settings.Facts.Cloud.ListLagS/2), minListInterval),
		},
	}
	c.syncClient = &syncClient{
		state: c.state, membership: c.membership, peers: c.peers, mailbox: mailbox, server: server,
		metrics: c.metrics, failures: c.failures, commitWanted: c.commitWanted,
	}
}

// newSchedulingLoop makes the loop of the scheduling cycles, with what plans the fleet and what
// logs the metrics.
func (c *Controller) newSchedulingLoop(cycle *schedulingCycle) *schedulingLoop {
	return &schedulingLoop{
		state: c.state, membership: c.membership, cycle: cycle,
		scaler: &fleetScaler{
			nodeName: c.settings.NodeName, state: c.state, cloud: c.cloud, logDedup: c.logDedup, log: c.log,
		},
		metricsLog: &metricsLogger{
			state: c.state, store: c.store, peers: c.peers, metrics: c.metrics,
			userLimits: c.userLimits, limitCounts: c.limitCounts, log: c.log,
		},
	}
}

// wireScaleIn makes the part that terminates the machines of this node's partition.
func (c *Controller) wireScaleIn() {
	c.terminator = &machineTerminator{
		state: c.state, membership: c.membership, cloud: c.cloud, log: c.log, commitWanted: c.commitWanted,
	}
}

// wireCatalogue makes the part that keeps the catalogue up to date.
func (c *Controller) wireCatalogue() {
	c.refresher = &catalogueRefresher{
		catalogue: c.catalogue, state: c.state, cloud: c.cloud, store: c.store, failures: c.failures, log: c.log,
	}
}

// wireReporter makes the part that describes the node to operators.
func (c *Controller) wireReporter() {
	c.reporter = &stateReporter{
		nodeName: c.settings.NodeName, state: c.state, store: c.store, membership: c.membership,
	}
}

// Sync serves an owner's call, for peer.Node.
func (c *Controller) Sync(call peer.Sync) peer.SyncReply { return c.leader.syncServer.Sync(call) }

// Show describes the node, for peer.Node.
func (c *Controller) Show() peer.NodeState { return c.reporter.Show() }
