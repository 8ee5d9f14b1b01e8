package controller

import (
	"time"

	"junipershelf/statestore"
)

const (
	// storeLostAfter: a node to which the key-value store has not replied for this long has lost it.
	storeLostAfter = 2500 * time.Millisecond
	// storeReachableWithin: a peer to which it has replied within this time has not.
	storeReachableWithin = 1500 * time.Millisecond
)

// healthCheck answers load balancers.
type healthCheck struct {
	store *statestore.Client
	peers *peerTracker
}

// Healthy reports false on a node that alone has lost the key-value store. If its peers have lost
// it too, the node stays healthy and answers requests with 503, so that an outage of the store
// does not empty the load balancer.
func (h *healthCheck) Healthy() bool {
	return h.store.SinceLastReply() < storeLostAfter || !h.peers.anyReachesStore(storeReachableWithin)
}
