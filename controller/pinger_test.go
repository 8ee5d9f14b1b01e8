package controller

import (
	"testing"

	"junipershelf/peer"
)

// A reply confirms a view only if the view is the latest that its sender has read. A peer that has read
// no view since its restart confirms nothing, because it may have been in a later view before.
func TestReplyConfirmsOnlyTheSameView(t *testing.T) {
	for _, c := range []struct {
		name     string
		reply    peer.Ping
		view     uint64
		confirms bool
	}{
		{"the same view", peer.Ping{Node: "b", View: 7}, 7, true},
		{"no view read", peer.Ping{Node: "b", View: 0}, 7, false},
		{"an earlier view", peer.Ping{Node: "b", View: 6}, 7, false},
		{"a later view", peer.Ping{Node: "b", View: 8}, 7, false},
		{"from another node", peer.Ping{Node: "c", View: 7}, 7, false},
		{"neither has read a view", peer.Ping{Node: "b"}, 0, false},
	} {
		if confirms := confirmsView(c.reply, "b", c.view); confirms != c.confirms {
			t.Errorf("%s: %+v confirms view %d: got %v, want %v", c.name, c.reply, c.view, confirms, c.confirms)
		}
	}
}
