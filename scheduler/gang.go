package scheduler

import "junipershelf/job"

// reservedSlot is the machine on which a task of a gang would run.
type reservedSlot struct {
	machine *Machine
	task    int
}

// serveGang assigns all tasks of a gang, or none. The tasks must run at the same time, so there must be
// free capacity for each of them now, and no task of an earlier attempt may still be held. All get the
// same gang number.
func (p *placer) serveGang(w *WaitingJob, ps pass) int {
	live, entry := w.Job, w.entry
	w.blocked = true
	wanted := live.Spec.Tasks - entry.completedCount
	if !ps.useFreeCapacity || entry.held > 0 || p.cluster.quotas.remaining(live, ps.within) < wanted {
		return 0
	}
	slots := p.reserveGang(entry, ps, wanted)
	if len(slots) < wanted {
		return 0
	}
	p.gangs++
	for _, slot := range slots {
		p.assignCandidate(entry, slot.machine, []int{slot.task}, p.gangs)
	}
	w.Tasks = entry.unassignedCount
	return len(slots)
}

// reserveGang finds slots for the tasks of a gang. For a gang that must be in one zone, each zone is tried
// until one has slots for all: the best machine of all may be in a zone that lacks them.
func (p *placer) reserveGang(entry *jobEntry, ps pass, wanted int) []reservedSlot {
	if !entry.live.Spec.SameZone {
		return p.reserveSlots(entry, ps, anyZone)
	}
	for _, zone := range p.candidates.zones() {
		if slots := p.reserveSlots(entry, ps, zone); len(slots) >= wanted {
			return slots
		}
	}
	return nil
}

// anyZone stands for all zones.
const anyZone = ""

// reserveSlots finds slots in a zone for the tasks of a gang, one after the other, until there is
// none for a task. It restores the machines and the job's entry before it returns.
func (p *placer) reserveSlots(entry *jobEntry, ps pass, zone string) []reservedSlot {
	var slots []reservedSlot
	need := entry.live.Resources()
	freeBefore := map[*Machine]job.Resources{}
	if entry.zones == nil {
		entry.zones = map[string]int{}
	}
	for i := range entry.live.Spec.Tasks {
		if !entry.isUnassigned(i) {
			continue
		}
		scorer := p.newScorer(entry, ps)
		scorer.zone = zone
		m, _ := p.chooseMachine(scorer, 1)
		if m == nil || !need.FitsIn(m.FreeNow) {
			break
		}
		if _, seen := freeBefore[m]; !seen {
			freeBefore[m] = m.FreeNow
		}
		m.FreeNow = m.FreeNow.Sub(need)
		entry.zones[m.Zone]++ // counts for the zone constraints of the next slots
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
