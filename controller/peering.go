package controller

import (
	"context"

	"junipershelf/internal/limits"
)

// peeringParts are the parts of a node that exchange pings with its peers and replicate to them
// which jobs are cancelled.
type peeringParts struct {
	tracker        *peerTracker
	terminalStates *terminalStateRecorder
	pinger         *pinger
	replicator     *cancellationReplicator
}

// newPeeringParts makes these parts for a node whose state, clients and membership have been made.
func newPeeringParts(c *Controller) *peeringParts {
	tracker := newPeerTracker(c.settings.Peers)
	cancellations := newCancellationLog(
		cancellationLogLimits{entries: c.nodeLimits.LogEntries, messageEntries: c.nodeLimits.MessageEntries},
		func() { c.limitCounts.record(limits.Cancellations) })
	terminalStates := &terminalStateRecorder{state: c.state, cancellations: cancellations}
	pings := &pinger{
		nodeName:       c.settings.NodeName,
		clients:        c.peers,
		store:          c.store,
		membership:     c.membership,
		state:          c.state,
		tracker:        tracker,
		cancellations:  cancellations,
		terminalStates: terminalStates,
		failures:       c.failures,
	}
	return &peeringParts{
		tracker:        tracker,
		terminalStates: terminalStates,
		pinger:         pings,
		// Each waiting cancellation comes by a connection, like a status read.
		replicator: newCancellationReplicator(pings, c.nodeLimits.StatusReads, func() { c.limitCounts.record(limits.StatusReads) }),
	}
}

// loops returns what the parts run for as long as the node serves.
func (p *peeringParts) loops() []func(context.Context) {
	return []func(context.Context){p.pinger.run, p.replicator.run}
}
