package scheduler

import "junipershelf/job"

// serveGang assigns all tasks of a group, or none. They run only all together, so
// each needs room now, none of an earlier try may be left, and all get one try.
func (d *Scheduler) serveGang(w *WaitingJob, ps pass) int {
	l, e := w.Job, w.entry
	w.blocked = true
	n := l.Spec.Tasks - e.finishedCount
	if !ps.freeRoom || e.held > 0 || d.tasksLeft(l, !ps.beyondGuarantee) < n {
		return 0
	}
	need := l.Resources()
	type seat struct {
		m     *Machine
		tasks []int
	}
	var seats []seat
	free := map[*Machine]job.Resources{}
	got := 0
	for i := range l.Spec.Tasks {
		if e.tasks[i] != 0 {
			continue
		}
		m, _ := d.chooseMachine(e, 1, ps, false)
		if m == nil || !need.FitsIn(m.FreeNow) {
			break
		}
		if _, seen := free[m]; !seen {
			free[m] = m.FreeNow
		}
		m.FreeNow = m.FreeNow.Minus(need)
		// Where the others of its kind are counts for the next one's zone.
		if e.zones == nil {
			e.zones = map[string]int{}
		}
		e.zones[m.Zone]++
		seats = append(seats, seat{m, []int{i}})
		got++
	}
	for m, f := range free {
		m.FreeNow = f
	}
	for _, s := range seats {
		e.zones[s.m.Zone]--
	}
	if got < n {
		return 0
	}
	d.gangs++
	for _, s := range seats {
		d.assign(e, s.m, s.tasks, d.gangs)
		d.closeIfFull(s.m, ps)
	}
	return got
}
