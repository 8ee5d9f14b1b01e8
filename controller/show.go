package controller

import (
	"time"

	"junipershelf/membership"
	"junipershelf/partition"
	"junipershelf/peer"
	"junipershelf/scheduler"
	"junipershelf/statestore"
)

// stateReporter describes the running node to an operator, for `junipershelf show`. It has no
// state of its own.
type stateReporter struct {
	nodeName   string
	state      *nodeState
	store      *statestore.Client
	membership *membership.Membership
}

func newStateReporter(shared *sharedComponents) *stateReporter {
	return &stateReporter{
		nodeName:   shared.settings.NodeName,
		state:      shared.state,
		store:      shared.store,
		membership: shared.membership,
	}
}

// Show describes the node, its machines and, on the leader, what the scheduler holds. It takes
// the state's lock.
func (r *stateReporter) Show() peer.NodeState {
	r.state.mu.Lock()
	defer r.state.mu.Unlock()
	current := &r.state.current
	shown := peer.NodeState{
		Node:          r.nodeName,
		View:          current.view.Number,
		Index:         shownIndex(current),
		LiveJobs:      len(r.state.jobs.Jobs),
		StoreSilentMS: r.store.SinceLastReply().Milliseconds(),
		HoldsLease:    r.membership.HoldsLease(current.view.Number),
	}
	for _, member := range current.view.Members {
		shown.Members = append(shown.Members, member.Node)
	}
	now := time.Now()
	if p := current.partition; p != nil {
		for _, machine := range p.States(now) {
			shown.Machines = append(shown.Machines, showMachine(&machine))
		}
		shown.Counts = &p.Counts
	}
	if s := r.state.leader.scheduler; s != nil {
		shown.Leader = showLeader(s, now)
	}
	return shown
}

// shownIndex returns the node's index among the members, and -1 if it is none of them: the key
// `index` has that form.
func shownIndex(current *viewState) int {
	if current.nonMember {
		return -1
	}
	return current.index
}

// showMachine describes a machine of the node's partition.
func showMachine(m *partition.MachineState) peer.MachineState {
	held := map[string]string{}
	for _, h := range m.Held {
		held[h.Job] += " " + h.Tasks.String()
	}
	return peer.MachineState{
		ID:               m.ID,
		Type:             m.MachineType,
		Zone:             m.Zone,
		Spot:             m.Spot,
		Usable:           m.Usable,
		Draining:         m.Evicting,
		PreemptionNotice: m.PreemptionNotice,
		FreeCPUs:         m.Free.CPUs,
		Held:             held,
		Images:           m.Images,
	}
}

// showLeader describes what the leader's scheduler holds of each team.
func showLeader(s *scheduler.Scheduler, now time.Time) *peer.LeaderState {
	shown := &peer.LeaderState{
		TeamCPUs:         map[string]float64{},
		TeamQueuedCPUs:   map[string]float64{},
		TeamWaitingTasks: map[string]int{},
		Counts:           s.Counts,
	}
	for i := range s.Teams {
		team := &s.Teams[i]
		shown.TeamCPUs[team.Name] = team.Used().CPUs
		shown.TeamQueuedCPUs[team.Name] = team.QueuedCPUs()
	}
	for _, w := range s.WaitingJobs(now) {
		shown.TeamWaitingTasks[w.Job.Spec.Team] += w.Tasks
	}
	return shown
}
