package scheduler

import (
	"slices"
	"strings"

	"junipershelf/job"
	"junipershelf/partition"
)

// roomsAfterPreemption is what will be free on machines with preempted tasks once these have stopped, less
// what the jobs considered so far take of it. It is kept for each machine: pieces of several
// machines are no room for a task that fits on none of them.
type roomsAfterPreemption struct {
	machines []*Machine // in the order in which jobs take room
	free     map[*Machine]job.Resources
}

// set sets what will be free on a machine.
func (r *roomsAfterPreemption) set(m *Machine, free job.Resources) {
	if _, known := r.free[m]; !known {
		r.machines = append(r.machines, m)
	}
	r.free[m] = free
}

// dropStopped removes the preempted tasks that no machine holds any more, and returns what will be free
// once the remaining ones have stopped.
func (p *preemptor) dropStopped() roomsAfterPreemption {
	rooms := roomsAfterPreemption{free: map[*Machine]job.Resources{}}
	holders := p.preemptedHolders()
	for task := range p.preempted {
		h, held := holders[task]
		if !held {
			delete(p.preempted, task)
			continue
		}
		if h.held.Phase == partition.PhaseQueued {
			continue // it has no resources to release
		}
		room, known := rooms.free[h.machine]
		if !known {
			room = h.machine.FreeNow.ClampToZero()
		}
		rooms.set(h.machine, room.Add(h.held.Resources))
	}
	slices.SortFunc(rooms.machines, func(a, b *Machine) int { return strings.Compare(a.ID, b.ID) })
	return rooms
}

// takeRoom takes room for one task on a machine whose preempted tasks have yet to stop, and reports whether
// there was any. A replica takes none: it is assigned to the machine whose tasks are stopped for it.
func (c *preemptionCycle) takeRoom(pj *preemptingJob) bool {
	if pj.Job.IsService() {
		return false
	}
	for _, m := range c.rooms.machines {
		if room := c.rooms.free[m]; pj.need.FitsIn(room) && pj.mayUse(m) {
			c.rooms.set(m, room.Sub(pj.need))
			return true
		}
	}
	return false
}

// roomOn returns what is free on a machine for a job once the tasks preempted there have stopped.
func (c *preemptionCycle) roomOn(m *Machine, pj *preemptingJob) job.Resources {
	if room, preempted := c.rooms.free[m]; preempted && !pj.Job.IsService() {
		return room
	}
	return m.FreeNow.ClampToZero()
}
