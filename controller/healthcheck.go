package controller

import (
	"time"

	"junipershelf/statestore"
)

const (
	// storeLostAfter is the time without a reply from the key-value store after which a node counts
	// as cut off from it.
	storeLostAfter = 2500 * time.Millisecond
	// storeReachableWithin: a peer counts as connected to the key-value store if, when it sent its
	// last ping, the store's last reply to it was less than this long ago.
	storeReachableWithin = 1500 * time.Millisecond
)

// healthCheck answers the health checks of load balancers.
type healthCheck struct {
	store *statestore.Client
	peers *peerTracker
}

// Healthy reports false if this node cannot reach the key-value store but a peer can. If no peer
// can reach it either, the node stays healthy and answers requests with 503, so that an outage of
// the store does not remove all nodes from the load balancer.
func (h *healthCheck) Healthy() bool {
	return h.store.SinceLastReply() < storeLostAfter || !h.peers.anyReachesStore(storeReachableWithin)
}
