package controller

import (
	"sync"
	"time"

	"junipershelf/peer"
	"junipershelf/settings"
)

// peerTimeout: a peer that was heard from within this time is reachable.
const peerTimeout = 2500 * time.Millisecond

// peerTracker holds what the pings of its peers tell a node: whether they are reachable, whether
// they reach the key-value store, and how far cancellations are replicated. Its lock is taken after
// nodeState.mu, never before, and no other lock is taken while it is held.
type peerTracker struct {
	mu    sync.Mutex
	peers map[string]*peerState // by node name
}

// peerState is what is known of a peer.
type peerState struct {
	lastSeen    time.Time     // when its last ping or reply came
	storeSilent time.Duration // since the key-value store last replied to it, by that ping
	progress    replicationProgress
}

// newPeerTracker makes a tracker of peers of which nothing has been heard.
func newPeerTracker(peers []settings.Peer) *peerTracker {
	t := &peerTracker{peers: map[string]*peerState{}}
	for _, p := range peers {
		t.peers[p.NodeName] = &peerState{}
	}
	return t
}

// observePing records what a ping says of its sender. It reports whether all cancellations that the
// sender has logged are known here, where those in the ping have been recorded already. The job
// cache shows the key-value store as of cacheSyncedAt. The ping of an unknown node is dropped.
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

// progressOf returns how far cancellations are replicated between this node and a peer, and whether
// the node is a peer.
func (t *peerTracker) progressOf(node string) (replicationProgress, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.peers[node]
	if state == nil {
		return replicationProgress{}, false
	}
	return state.progress, true
}

// reachable reports whether a peer was heard from within peerTimeout.
func (t *peerTracker) reachable(node string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.peers[node]
	return state != nil && state.reachable()
}

// anyReachesStore reports whether the key-value store has replied to a reachable peer within a time,
// by that peer's last ping.
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
