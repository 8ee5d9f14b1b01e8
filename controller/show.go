package controller

import (
	"time"

	"junipershelf/peer"
)

// Show describes the running node to an operator.
func (c *Controller) Show() peer.NodeState {
	c.state.mu.Lock()
	defer c.state.mu.Unlock()
	s := &c.state.current
	out := peer.NodeState{
		Node: c.settings.NodeName, View: s.view.Number, Index: s.index, LiveJobs: len(c.state.jobs.Jobs),
		StoreSilentMS: c.store.SinceLastReply().Milliseconds(), HoldsLease: c.membership.HoldsLease(s.view.Number),
	}
	for _, m := range s.view.Members {
		out.Members = append(out.Members, m.Node)
	}
	now := time.Now()
	if s.partition != nil {
		for _, m := range s.partition.States(now) {
			held := map[string]string{}
			for _, h := range m.Held {
				held[h.Job] += " " + h.Tasks.String()
			}
			out.Machines = append(out.Machines, peer.MachineState{
				ID: m.ID, Type: m.MachineType, Zone: m.Zone, Spot: m.Spot, Usable: m.Usable, Draining: m.Evicting,
				PreemptionNotice: m.PreemptionNotice, FreeCPUs: m.Free.CPUs, Held: held, Images: m.Images,
			})
		}
		out.Counts = &s.partition.Counts
	}
	if c.state.leader.scheduler != nil {
		out.Leader = c.showLeader(now)
	}
	return out
}

// showLeader describes what the leader's ledger holds. The caller holds the lock.
func (c *Controller) showLeader(now time.Time) *peer.LeaderState {
	s := c.state.leader.scheduler
	out := &peer.LeaderState{TeamCPUs: map[string]float64{}, TeamQueuedCPUs: map[string]float64{}, TeamWaitingTasks: map[string]int{}, Counts: s.Counts}
	for i := range s.Teams {
		t := &s.Teams[i]
		out.TeamCPUs[t.Name], out.TeamQueuedCPUs[t.Name] = t.Used().CPUs, t.QueuedCPUs()
	}
	for _, w := range s.WaitingJobs(now) {
		out.TeamWaitingTasks[w.Job.Spec.Team] += w.Tasks
	}
	return out
}
