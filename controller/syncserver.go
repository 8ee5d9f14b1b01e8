package controller

import (
	"time"

	"junipershelf/membership"
	"junipershelf/peer"
)

// syncServer serves the owners' sync calls on the leader. It is stateless: it reads and changes the
// node state under its lock.
type syncServer struct {
	state      *nodeState
	membership *membership.Membership
	cycle      *schedulingCycle
}

// Sync applies an owner's update and returns the owner's assignments and other instructions. A node
// that is not the leader of the caller's view returns only its own view. It acquires the state's
// lock.
func (s *syncServer) Sync(call peer.Sync) peer.SyncReply {
	now := time.Now()
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	current, leader := &s.state.current, &s.state.leader
	reply := peer.SyncReply{View: current.view.Number}
	if leader.scheduler == nil || call.View != current.view.Number || call.Index < 0 || call.Index >= len(current.view.Members) {
		return reply
	}
	reply.OK = true
	reply.UpdateVersion = leader.scheduler.ApplyUpdate(call.Index, call.Update, now)
	leader.autoscaler.RecordTerminated(call.Update.Terminated, now)
	if s.cycle.due(now) && s.membership.HoldsLease(current.view.Number) {
		s.cycle.run(now)
	}
	reply.Assignments = leader.scheduler.UnacknowledgedAssignments(call.Index)
	reply.FleetBase = leader.scheduler.BaseVersion(call.FleetVersion)
	reply.Fleet, reply.FleetRemoved, reply.FleetVersion = leader.scheduler.FleetSince(reply.FleetBase)
	reply.Running = leader.scheduler.RunningCountsSince(reply.FleetBase)
	reply.Evict = s.machinesOf(call.Index, leader.evict)
	reply.Terminate = s.machinesOf(call.Index, leader.terminate)
	reply.Stop = leader.scheduler.Preemptions(call.Index)
	reply.HasPlaceableWork = current.hasPlaceableWork
	return reply
}

// machinesOf returns the machines among ids that a member owns. The caller holds the state's lock.
func (s *syncServer) machinesOf(owner int, ids []string) []string {
	var owned []string
	for _, id := range ids {
		if index, known := s.state.ownerOf(id); known && index == owner {
			owned = append(owned, id)
		}
	}
	return owned
}
