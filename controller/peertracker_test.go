package controller

import (
	"testing"
	"testing/synctest"
	"time"

	"junipershelf/peer"
	"junipershelf/settings"
)

func TestPeerReachabilityExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := newPeerTracker([]settings.Peer{{NodeName: "b"}})
		if tracker.reachable("b") || tracker.reachable("c") {
			t.Error("a peer is reachable before its first ping")
		}
		tracker.observePing(&peer.Ping{Node: "b", StoreSilentMS: 1000}, time.Now(), time.Now())
		tracker.observePing(&peer.Ping{Node: "c"}, time.Now(), time.Now())
		if !tracker.reachable("b") || tracker.reachable("c") {
			t.Error("after pings of a peer and of an unknown node, want only the peer reachable")
		}
		if !tracker.anyReachesStore(1500*time.Millisecond) || tracker.anyReachesStore(time.Second) {
			t.Error("store silence of the peer is not one second")
		}
		time.Sleep(peerTimeout)
		if tracker.reachable("b") || tracker.anyReachesStore(1500*time.Millisecond) {
			t.Error("peer is still reachable after peerTimeout")
		}
	})
}

func TestProgressIsTrackedForPeersOnly(t *testing.T) {
	tracker := newPeerTracker([]settings.Peer{{NodeName: "b"}})
	tracker.observePing(&peer.Ping{Node: "b", LogID: 5, LogEnd: 1, PeerLogID: 3, PeerLogReceived: 2}, time.Unix(1, 0), time.Unix(0, 0))
	progress, ok := tracker.progressOf("b")
	if !ok || progress.acknowledged != (logPosition{id: 3, next: 2}) || progress.gap.id != 5 {
		t.Errorf("progress of a peer: %+v, known %v", progress, ok)
	}
	if _, ok := tracker.progressOf("c"); ok {
		t.Error("progress of a node that is not a peer is tracked")
	}
}
