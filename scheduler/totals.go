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
func (d *Scheduler) Totals() (t Totals) {
	t.Teams = make([]TeamTotals, len(d.Teams))
	for i := range d.Teams {
		t.Teams[i].Used = d.Teams[i].used.CPUs
	}
	for _, m := range d.machines {
		if m.Open() {
			t.Free += max(m.FreeNow.CPUs, 0)
		}
		for i := range m.Held {
			n := m.Held[i].Tasks.Len()
			t.Held += n
			switch m.Held[i].Phase {
			case partition.PhaseRunning:
				t.Running += n
				if team, ok := d.byName[m.Held[i].Team]; ok {
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
	for _, e := range d.entries {
		if e.live != nil {
			t.Waiting += e.freeCount
		}
	}
	return t
}

// UnackedCount tells how much an owner has yet to be told of; for the log.
func (d *Scheduler) UnackedCount() (unacked int) {
	for i := range d.owners {
		unacked += len(d.owners[i].unacked)
	}
	return unacked
}
