package scheduler

import "junipershelf/job"

// reservedSlot is a machine's room that one task of a gang would take.
type reservedSlot struct {
	machine *Machine
	task    int
}

// serveGang assigns all tasks of a gang, or none. They run only all together, so each needs
// room now, none of an earlier attempt may be left, and all get one attempt number.
func (s *Scheduler) serveGang(w *WaitingJob, ps pass) int {
	l, e := w.Job, w.entry
	w.blocked = true
	wanted := l.Spec.Tasks - e.finishedCount
	if !ps.freeRoom || e.held > 0 || s.tasksLeft(l, !ps.beyondGuarantee) < wanted {
		return 0
	}
	seats := s.reserveSlots(e, ps)
	if len(seats) < wanted {
		return 0
	}
	s.gangs++
	for _, seat := range seats {
		s.candidates.remove(s, seat.machine)
		s.assign(e, seat.machine, []int{seat.task}, s.gangs)
		s.candidates.restore(s, seat.machine, ps)
	}
	return len(seats)
}

// reserveSlots looks for room for one task of a gang after the other, and leaves everything as
// it was.
func (s *Scheduler) reserveSlots(e *jobEntry, ps pass) (seats []reservedSlot) {
	need := e.live.Resources()
	before := map[*Machine]job.Resources{}
	if e.zones == nil {
		e.zones = map[string]int{}
	}
	for i := range e.live.Spec.Tasks {
		if e.tasks[i] != 0 {
			continue
		}
		m, _ := s.chooseMachine(e, 1, ps, false)
		if m == nil || !need.FitsIn(m.FreeNow) {
			break
		}
		if _, seen := before[m]; !seen {
			before[m] = m.FreeNow
		}
		m.FreeNow = m.FreeNow.Sub(need)
		e.zones[m.Zone]++ // where the others are counts for the next one's zone
		seats = append(seats, reservedSlot{m, i})
	}
	for m, free := range before {
		m.FreeNow = free
	}
	for _, seat := range seats {
		e.zones[seat.machine.Zone]--
	}
	return seats
}
