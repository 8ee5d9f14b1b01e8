package controller

import (
	"slices"
	"sync"
	"time"

	"junipershelf/peer"
	"junipershelf/settings"
)

// peerTimeout is the time without a ping or reply after which a peer counts as unreachable.
const peerTimeout = 2500 * time.Millisecond

// peerTracker tracks the state of the peers from their pings: whether they are reachable, whether they
// reach the key-value store, and how far cancellations are replicated. Its lock is acquired after
// nodeState.mu, never before it, and no other lock is acquired while it is held.
type peerTracker struct {
	mu    sync.Mutex
	peers map[string]*peerState // by node name
}

// peerState is the known state of a peer.
type peerState struct {
	lastSeen    time.Time     // arrival of its last ping or reply
	storeSilent time.Duration // time since the key-value store last replied to it, as its last ping reported
	progress    replicationProgress
}

// newPeerTracker creates a tracker in which all peers are unreachable.
func newPeerTracker(peers []settings.Peer) *peerTracker {
	t := &peerTracker{peers: map[string]*peerState{}}
	for _, p := range peers {
		t.peers[p.NodeName] = &peerState{}
	}
	return t
}

// observePing records the state of a ping's sender. It reports whether this node knows all
// cancellations that the sender has logged; the caller must already have recorded the cancellations
// in the ping. The job cache reflects the key-value store as of cacheSyncedAt. A ping from an unknown
// node is ignored.
func (t *peerTracker) observePing(ping *peer.Ping, now, cacheSyncedAt time.Time) (complete bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.peers[ping.Node]
	if state == nil {
		return false
	}
	state.lastSeen = now
	state.storeSilent = time.Duration(ping.StoreSilentMS) * time.Millisecond
	return state.progress.observe(ping, now, cacheSyncedAt)
}

// progressOf returns the replication progress between this node and a peer, and reports whether node
// is a peer.
func (t *peerTracker) progressOf(node string) (replicationProgress, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.peers[node]
	if state == nil {
		return replicationProgress{}, false
	}
	return state.progress, true
}

// unacknowledged returns the sorted names of the peers that have not acknowledged this node's
// cancellation log up to a position.
func (t *peerTracker) unacknowledged(position logPosition) (names []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, state := range t.peers {
		if !state.progress.acknowledgedUpTo(position) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// isPeer reports whether a node is one of the peers.
func (t *peerTracker) isPeer(node string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.peers[node] != nil
}

// reachable reports whether a ping or reply of a peer arrived within peerTimeout.
func (t *peerTracker) reachable(node string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.peers[node]
	return state != nil && state.reachable()
}

// anyReachesStore reports whether any reachable peer had, when it sent its last ping, received a reply
// from the key-value store less than the given time ago.
func (t *peerTracker) anyReachesStore(within time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, state := range t.peers {
		if state.reachable() && state.storeSilent < within {
			return true
		}
	}
	return false
}

func (s *peerState) reachable() bool { return time.Since(s.lastSeen) < peerTimeout }
