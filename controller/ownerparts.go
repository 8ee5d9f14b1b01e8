package controller

import "junipershelf/internal/limits"

// ownerParts are the parts that make a node the owner of a partition of the machines, and a client
// of the leader.
type ownerParts struct {
	failover   *failover
	ticker     *partitionTicker
	committer  *committer
	heartbeats *heartbeatRouter
	syncClient *syncClient
	terminator *machineTerminator
}

// newOwnerParts makes the owner's parts of a node. Reachability is that of the node's peers;
// syncServer serves the calls to the leader while this node leads.
func newOwnerParts(shared *sharedParts, reachability peerReachability, syncServer *syncServer) *ownerParts {
	return &ownerParts{
		failover: &failover{
			state:      shared.state,
			store:      shared.store,
			cloud:      shared.cloud,
			membership: shared.membership,
			catalogue:  shared.catalogue,
			configs:    shared.configs,
			jobs:       shared.jobWatcher,
			failures:   shared.failures,
			log:        shared.log,
		},
		ticker: &partitionTicker{state: shared.state, commitWanted: shared.commitWanted},
		committer: &committer{
			state:     shared.state,
			store:     shared.store,
			ownership: &ownership{state: shared.state, membership: shared.membership, log: shared.log},
			metrics:   shared.metrics,
			failures:  shared.failures,
			log:       shared.log,
			wanted:    shared.commitWanted,
		},
		heartbeats: &heartbeatRouter{
			membership:   shared.membership,
			responder:    newHeartbeatResponder(shared),
			redirects:    newRedirectTracker(shared.nodeLimits.Machines, func() { shared.limitCounts.record(limits.Redirects) }),
			reachability: reachability,
			peers:        shared.peers,
			failures:     shared.failures,
		},
		syncClient: newSyncClient(shared, syncServer),
		terminator: newMachineTerminator(shared),
	}
}

func newHeartbeatResponder(shared *sharedParts) *heartbeatResponder {
	return &heartbeatResponder{
		state:        shared.state,
		membership:   shared.membership,
		metrics:      shared.metrics,
		logDedup:     shared.logDedup,
		log:          shared.log,
		commitWanted: shared.commitWanted,
		maxHold:      replyHold(shared.settings.Facts.Workers),
	}
}

// loops returns the parts' work until the context ends, each for a goroutine of its own.
func (p *ownerParts) loops() []loop {
	return []loop{p.failover.run, p.ticker.run, p.committer.run, p.syncClient.run, p.terminator.run}
}
