package controller

import (
	"junipershelf/peer"
	"junipershelf/settings"
)

// leaderComponents are the parts that act while this node leads. Their loops run on every node,
// since any of them may come to lead.
type leaderComponents struct {
	syncServer    *syncServer
	mailboxServer *mailboxServer[peer.Sync, peer.SyncReply]
	scheduling    *schedulingLoop
	compactor     *compactor
	lister        *machineLister
}

// newLeaderComponents makes the leader's parts of a node. The rate limiter's count of refused calls
// goes to the metrics; terminalStates records how the jobs that compaction completes have ended.
func newLeaderComponents(shared *sharedComponents, userLimits *userRateLimiter, terminalStates *terminalStateRecorder) *leaderComponents {
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
			metricsLog: newMetricsLogger(shared, userLimits),
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

// loops returns the parts' work until the context ends, each for a goroutine of its own.
func (p *leaderComponents) loops() []loop {
	return []loop{p.scheduling.run, p.compactor.run, p.mailboxServer.run, p.lister.run}
}
