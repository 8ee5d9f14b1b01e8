package controller

import (
	"time"

	"junipershelf/autoscaler"
	"junipershelf/membership"
	"junipershelf/partition"
	"junipershelf/peer"
	"junipershelf/scheduler"
	"junipershelf/statestore"
)

// stateReporter reports the state of the running node for `junipershelf show`. It is stateless.
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

// Show returns the state of the node, its machines and, on the leader, the scheduler. It acquires the
// state's lock.
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
		shown.Leader.JobWaits = showWaits(r.state.leader.waits)
	}
	return shown
}

// shownIndex returns the value of the key `index` of the output: the node's index among the members,
// or -1 if it is not a member.
func shownIndex(current *viewState) int {
	if current.nonMember {
		return -1
	}
	return current.index
}

// showMachine converts the state of a machine for the output.
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

// maxShownWaits is the number of jobs of which the waits are shown, those that are served first.
const maxShownWaits = 100

// showWaits returns what jobs wait for, by job.
func showWaits(waits []autoscaler.JobWait) map[string]string {
	shown := map[string]string{}
	for _, w := range waits[:min(len(waits), maxShownWaits)] {
		shown[w.Job] = w.String()
	}
	return shown
}

// showLeader returns the scheduler's counters and its totals for each team.
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
		shown.TeamQueuedCPUs[team.Name] = team.Queued().CPUs
	}
	for _, w := range s.WaitingJobs(now) {
		shown.TeamWaitingTasks[w.Job.Spec.Team] += w.Tasks
	}
	return shown
}
