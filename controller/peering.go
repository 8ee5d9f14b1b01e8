package controller

import "junipershelf/internal/limits"

// peeringComponents are the components that exchange pings with the peers and replicate cancellations
// to them.
type peeringComponents struct {
	tracker        *peerTracker
	terminalStates *terminalStateRecorder
	pinger         *pinger
	replicator     *cancellationReplicator
}

// newPeeringComponents creates the components that exchange pings with the peers.
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
		// Each waiting cancellation occupies a connection, like a status read, so the same limit
		// applies.
		replicator: newCancellationReplicator(pings.pingReachable, shared.nodeLimits.StatusReads, func() { shared.limitCounts.record(limits.StatusReads) }),
	}
}

// loops returns the components' background loops, each to run in its own goroutine.
func (p *peeringComponents) loops() []loop {
	return []loop{p.pinger.run, p.replicator.run}
}
