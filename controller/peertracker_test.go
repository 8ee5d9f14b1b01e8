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
			t.Error("after pings, only a known peer is reachable")
		}
		if !tracker.anyReachesStore(1500*time.Millisecond) || tracker.anyReachesStore(time.Second) {
			t.Error("the peer reached the store a second ago")
		}
		time.Sleep(peerTimeout)
		if tracker.reachable("b") || tracker.anyReachesStore(1500*time.Millisecond) {
			t.Error("a peer that has been silent is still reachable")
		}
	})
}

func TestProgressIsTrackedForPeersOnly(t *testing.T) {
	tracker := newPeerTracker([]settings.Peer{{NodeName: "b"}})
	tracker.observePing(&peer.Ping{Node: "b", LogID: 5, LogEnd: 1, PeerLogID: 3, PeerLogKnown: 2}, time.Unix(1, 0), time.Unix(0, 0))
	progress, ok := tracker.progressOf("b")
	if !ok || progress.acknowledged != (logPosition{id: 3, next: 2}) || progress.gap.id != 5 {
		t.Errorf("progress %+v of a peer, known %v", progress, ok)
	}
	if _, ok := tracker.progressOf("c"); ok {
		t.Error("progress of a node that is no peer")
	}
}
