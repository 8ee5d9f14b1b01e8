package controller

import "junipershelf/internal/limits"

// peeringComponents are the parts of a node that exchange pings with its peers and replicate to them
// which jobs are cancelled.
type peeringComponents struct {
	tracker        *peerTracker
	terminalStates *terminalStateRecorder
	pinger         *pinger
	replicator     *cancellationReplicator
}

// newPeeringComponents makes the parts of a node that exchange pings with its peers.
func newPeeringComponents(shared *sharedComponents) *peeringComponents {
	tracker := newPeerTracker(shared.settings.Peers)
	cancellations := newCancellationLog(
		cancellationLogLimits{entries: shared.nodeLimits.LogEntries, messageEntries: shared.nodeLimits.MessageEntries},
		func() { shared.limitCounts.record(limits.Cancellations) })
	terminalStates := &terminalStateRecorder{state: shared.state, cancellations: cancellations}
	pings := &pinger{
		nodeName:       shared.settings.NodeName,
		clients:        shared.peers,
		store:          shared.store,
		membership:     shared.membership,
		state:          shared.state,
		tracker:        tracker,
		cancellations:  cancellations,
		terminalStates: terminalStates,
		failures:       shared.failures,
	}
	return &peeringComponents{
		tracker:        tracker,
		terminalStates: terminalStates,
		pinger:         pings,
		// Each waiting cancellation comes by a connection, like a status read.
		replicator: newCancellationReplicator(pings.pingReachable, shared.nodeLimits.StatusReads, func() { shared.limitCounts.record(limits.StatusReads) }),
	}
}

// loops returns the parts' work until the context ends, each for a goroutine of its own.
func (p *peeringComponents) loops() []loop {
	return []loop{p.pinger.run, p.replicator.run}
}
