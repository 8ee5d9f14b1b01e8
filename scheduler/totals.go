package scheduler

import "junipershelf/partition"

// Totals counts the tasks by state, and the free CPUs.
type Totals struct {
	Held, Running, Starting, Queued, Ended int // on machines
	Waiting                                int // unassigned tasks of live jobs
	FreeCPUs                               float64
	Teams                                  []TeamTotals
}

// TeamTotals holds the CPUs that count against a team's limit (Used), and how many of them its running
// tasks take (Running).
type TeamTotals struct{ Used, Running float64 }

// Totals returns the totals over the machines of all owners and the live jobs.
func (s *Scheduler) Totals() Totals {
	totals := Totals{Teams: make([]TeamTotals, len(s.Teams))}
	for i := range s.Teams {
		totals.Teams[i].Used = s.Teams[i].used.CPUs
	}
	for _, m := range s.cluster.machines.byID {
		if m.Schedulable() {
			totals.FreeCPUs += max(m.FreeNow.CPUs, 0)
		}
		for i := range m.Held {
			totals.addHeld(&m.Held[i])
			team, known := s.cluster.quotas.byName[m.Held[i].Team]
			if known && m.Held[i].Phase == partition.PhaseRunning {
				totals.Teams[team].Running += float64(m.Held[i].Tasks.Len()) * m.Held[i].Resources.CPUs
			}
		}
	}
	for _, entry := range s.cluster.entries {
		if entry.live != nil {
			totals.Waiting += entry.unassignedCount
		}
	}
	return totals
}

// addHeld adds tasks that a machine holds, by phase.
func (t *Totals) addHeld(held *partition.HeldTasks) {
	tasks := held.Tasks.Len()
	t.Held += tasks
	switch held.Phase {
	case partition.PhaseRunning:
		t.Running += tasks
	case partition.PhaseStarting:
		t.Starting += tasks
	case partition.PhaseQueued:
		t.Queued += tasks
	case partition.PhaseEnded:
		t.Ended += tasks
	}
}
