package controller

import (
	"testing"

	"junipershelf/peer"
)

// A node that has restarted and not yet read the view confirms nothing: before its
// end it may have acted in a later one.
func TestConfirmsView(t *testing.T) {
	for _, c := range []struct {
		a    peer.Ping
		want bool
	}{
		{peer.Ping{Node: "b", View: 7}, true},
		{peer.Ping{Node: "b", View: 0}, false},
		{peer.Ping{Node: "b", View: 6}, false},
		{peer.Ping{Node: "b", View: 8}, false},
		{peer.Ping{Node: "c", View: 7}, false},
	} {
		if got := confirmsView(c.a, "b", 7); got != c.want {
			t.Errorf("%+v: %v", c.a, got)
		}
	}
	if confirmsView(peer.Ping{Node: "b"}, "b", 0) {
		t.Error("two that know no view confirm each other")
	}
}
