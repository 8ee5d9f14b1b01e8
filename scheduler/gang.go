package scheduler

import "junipershelf/job"

// reservedSlot is the room of a machine that one task of a gang would take.
type reservedSlot struct {
	machine *Machine
	task    int
}

// serveGang assigns all tasks of a gang, or none. They run only all together, so each needs
// room now, none of an earlier attempt may be left, and all get one gang number.
func (p *placer) serveGang(w *WaitingJob, ps pass) int {
	live, entry := w.Job, w.entry
	w.blocked = true
	wanted := live.Spec.Tasks - entry.finishedCount
	if !ps.freeRoom || entry.held > 0 || p.cluster.quotas.remaining(live, ps.within) < wanted {
		return 0
	}
	slots := p.reserveSlots(entry, ps)
	if len(slots) < wanted {
		return 0
	}
	p.gangs++
	for _, slot := range slots {
		p.assignCandidate(entry, slot.machine, []int{slot.task}, p.gangs)
	}
	return len(slots)
}

// reserveSlots finds a slot for one task of a gang after the other, until there is none. It
// leaves the machines and the job's entry as they were.
func (p *placer) reserveSlots(entry *jobEntry, ps pass) []reservedSlot {
	var slots []reservedSlot
	need := entry.live.Resources()
	freeBefore := map[*Machine]job.Resources{}
	if entry.zones == nil {
		entry.zones = map[string]int{}
	}
	for i := range entry.live.Spec.Tasks {
		if !entry.isFree(i) {
			continue
		}
		m, _ := p.chooseMachine(p.newScorer(entry, ps), 1)
		if m == nil || !need.FitsIn(m.FreeNow) {
			break
		}
		if _, seen := freeBefore[m]; !seen {
			freeBefore[m] = m.FreeNow
		}
		m.FreeNow = m.FreeNow.Sub(need)
		entry.zones[m.Zone]++ // a reserved slot counts for the zones of the next ones
		slots = append(slots, reservedSlot{m, i})
	}
	for m, free := range freeBefore {
		m.FreeNow = free
	}
	for _, slot := range slots {
		entry.zones[slot.machine.Zone]--
	}
	return slots
}
