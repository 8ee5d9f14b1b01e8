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

// newLeaderParts makes the parts of the leader, which any node may come to be.
func newLeaderParts(shared *sharedParts, userLimits *userRateLimiter, terminalStates *terminalStateRecorder) *leaderParts {
	cycle := &schedulingCycle{state: shared.state, metrics: shared.metrics}
	server := &syncServer{state: shared.state, membership: shared.membership, cycle: cycle}
	return &leaderParts{
		syncServer: server,
		mailboxServer: &mailboxServer[peer.Sync, peer.SyncReply]{
			transport: shared.mailbox,
			state:     shared.state,
			log:       shared.log,
			handle:    server.Sync,
		},
		scheduling: newSchedulingLoop(shared, cycle, userLimits),
		compactor: &compactor{
			state:          shared.state,
			store:          shared.store,
			membership:     shared.membership,
			jobs:           shared.jobWatcher,
			metrics:        shared.metrics,
			log:            shared.log,
			terminalStates: terminalStates,
		},
		lister: &machineLister{
			state:       shared.state,
			cloud:       shared.cloud,
			limitCounts: shared.limitCounts,
			interval:    max(settings.Seconds(shared.settings.Facts.Cloud.ListLagS/2), minListInterval),
		},
	}
}

// newSchedulingLoop makes the loop of the scheduling cycles, with what plans the fleet and what
// logs the metrics.
func newSchedulingLoop(shared *sharedParts, cycle *schedulingCycle, userLimits *userRateLimiter) *schedulingLoop {
	return &schedulingLoop{
		state:      shared.state,
		membership: shared.membership,
		cycle:      cycle,
		scaler: &fleetScaler{
			nodeName: shared.settings.NodeName,
			state:    shared.state,
			cloud:    shared.cloud,
			logDedup: shared.logDedup,
			log:      shared.log,
		},
		metricsLog: &metricsLogger{
			state:       shared.state,
			store:       shared.store,
			peers:       shared.peers,
			metrics:     shared.metrics,
			userLimits:  userLimits,
			limitCounts: shared.limitCounts,
			log:         shared.log,
		},
	}
}

// loops returns the parts' work until the context ends, each for a goroutine of its own. They run
// on each node and act while it leads.
func (p *leaderParts) loops() []loop {
	return []loop{p.scheduling.run, p.compactor.run, p.mailboxServer.run, p.lister.run}
}
