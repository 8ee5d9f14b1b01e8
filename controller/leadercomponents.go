package controller

import (
	"junipershelf/peer"
	"junipershelf/settings"
)

// leaderComponents are the components that are active while this node is the leader. Their loops run
// on every node, since any node may become the leader.
type leaderComponents struct {
	syncServer    *syncServer
	mailboxServer *mailboxServer[peer.Sync, peer.SyncReply]
	scheduling    *schedulingLoop
	compactor     *compactor
	lister        *machineLister
}

// newLeaderComponents creates the leader's components of a node. The rate limiter's count of
// refused calls is logged with the metrics; terminalStates records the terminal states of the jobs
// that compaction completes.
func newLeaderComponents(shared *sharedComponents, rateLimiter *userRateLimiter, terminalStates *terminalStateRecorder) *leaderComponents {
	cycle := &schedulingCycle{state: shared.state, metrics: shared.metrics}
	server := &syncServer{state: shared.state, membership: shared.membership, cycle: cycle}
	return &leaderComponents{
		syncServer: server,
		mailboxServer: &mailboxServer[peer.Sync, peer.SyncReply]{
			transport: shared.mailbox,
			state:     shared.state,
			log:       shared.log,
			handle:    server.Sync,
		},
		scheduling: &schedulingLoop{
			state:      shared.state,
			membership: shared.membership,
			cycle:      cycle,
			scaler:     newFleetScaler(shared),
			metricsLog: newMetricsLogger(shared, rateLimiter),
		},
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

// loops returns the components' background loops, each to run in its own goroutine.
func (p *leaderComponents) loops() []loop {
	return []loop{p.scheduling.run, p.compactor.run, p.mailboxServer.run, p.lister.run}
}
