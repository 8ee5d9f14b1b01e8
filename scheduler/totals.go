package scheduler

import "junipershelf/partition"

// Totals are tasks by what becomes of them, and the CPUs that nothing holds.
type Totals struct {
	Held, Running, Starting, Queued, Ended, Waiting int
	Free                                            float64
	Teams                                           []TeamTotals
}

// TeamTotals are a team's CPUs: what counts against its limit, and of that what runs.
type TeamTotals struct{ Used, Running float64 }

// Totals counts all that the ledger holds.
func (s *Scheduler) Totals() (t Totals) {
	t.Teams = make([]TeamTotals, len(s.Teams))
	for i := range s.Teams {
		t.Teams[i].Used = s.Teams[i].used.CPUs
	}
	for _, m := range s.machines {
		if m.Open() {
			t.Free += max(m.FreeNow.CPUs, 0)
		}
		for i := range m.Held {
			n := m.Held[i].Tasks.Len()
			t.Held += n
			switch m.Held[i].Phase {
			case partition.PhaseRunning:
				t.Running += n
				if team, ok := s.byName[m.Held[i].Team]; ok {
					t.Teams[team].Running += float64(n) * m.Held[i].Resources.CPUs
				}
			case partition.PhaseStarting:
				t.Starting += n
			case partition.PhaseQueued:
				t.Queued += n
			case partition.PhaseEnded:
				t.Ended += n
			}
		}
	}
	for _, e := range s.entries {
		if e.live != nil {
			t.Waiting += e.freeCount
		}
	}
	return t
}

// UnackedCount tells how much an owner has yet to be told of; for the log.
func (s *Scheduler) UnackedCount() (unacked int) {
	for i := range s.owners {
		unacked += len(s.owners[i].unacked)
	}
	return unacked
}
