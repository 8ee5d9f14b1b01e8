package controller

import (
	"log/slog"
	"testing"

	"junipershelf/membership"
	"junipershelf/partition"
	"junipershelf/peer"
	"junipershelf/scheduler"
)

// A node that is not the leader, or not in the caller's view, changes nothing and replies only with its
// view.
func TestSyncIsServedOnlyByLeaderOfSameView(t *testing.T) {
	members := []membership.Member{{Node: "a", Incarnation: 1}, {Node: "b", Incarnation: 2}}
	for _, c := range []struct {
		name  string
		leads bool
		call  peer.Sync
	}{
		{"not the leader", false, peer.Sync{View: 7, Index: 1}},
		{"an earlier view", true, peer.Sync{View: 6, Index: 1}},
		{"a later view", true, peer.Sync{View: 8, Index: 1}},
		{"not a member", true, peer.Sync{View: 7, Index: 2}},
		{"a negative index", true, peer.Sync{View: 7, Index: -1}},
	} {
		state := newNodeState(nil, newLimitCounter(slog.New(slog.DiscardHandler)))
		state.current.view = membership.View{Number: 7, Members: members}
		if c.leads {
			state.leader.scheduler = &scheduler.Scheduler{}
		}
		c.call.Update = partition.Update{Sequence: 1}
		server := &syncServer{state: state}
		if reply := server.Sync(c.call); reply.OK || reply.View != 7 || reply.Assignments != nil {
			t.Errorf("%s: reply %+v, want only view 7", c.name, reply)
		}
	}
}
