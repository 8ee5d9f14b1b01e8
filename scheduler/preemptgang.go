package scheduler

import (
	"maps"
	"slices"

	"junipershelf/job"
)

// gangPreemption is a set of tasks to stop so that all tasks of a gang have a place at the same time.
type gangPreemption struct {
	cycle   *preemptionCycle
	job     *preemptingJob
	inZone  map[string]int // places found, by zone
	victims []*victim
}

// preemptForGang stops tasks for all tasks of a gang, or none: a part of the places would be of no use to it, and
// its victims would start and be stopped again in turns. Nothing is stopped for a gang while tasks
// stopped for it earlier may still be ending.
func (c *preemptionCycle) preemptForGang(pj *preemptingJob) {
	entry := pj.entry
	if entry.held > 0 || c.now.Sub(entry.preemptedAt) < c.cfg.PreemptAfter {
		return
	}
	zones := []string{anyZone}
	if pj.Job.Spec.SameZone {
		zones = c.zones()
	}
	for _, zone := range zones {
		attempt := *pj
		attempt.zone = zone
		if victims := c.gangVictims(&attempt); len(victims) > 0 {
			entry.preemptedAt = c.now
			for _, v := range victims {
				c.preempt(v)
			}
			return
		}
	}
}

// zones lists the zones of all machines.
func (c *preemptionCycle) zones() []string {
	zones := map[string]bool{}
	for _, m := range c.cluster.machines.all() {
		zones[m.Zone] = true
	}
	return slices.Sorted(maps.Keys(zones))
}

// gangVictims returns the tasks to stop so that all tasks of a gang have a place, or nil if that is not possible
// or exceeds the limits of a cycle. It takes the rooms for the gang only if it returns some, and restores the
// victims and the job's entry.
func (c *preemptionCycle) gangVictims(pj *preemptingJob) []*victim {
	if pj.entry.zones == nil {
		pj.entry.zones = map[string]int{}
	}
	g := gangPreemption{cycle: c, job: pj, inZone: map[string]int{}}
	before := c.rooms.clone()
	found := g.findPlaces()
	for _, v := range g.victims {
		v.preempted = false
	}
	for zone, places := range g.inZone {
		pj.entry.zones[zone] -= places
	}
	if !found || len(g.victims) == 0 || c.preemptedCount+len(g.victims) > maxCyclePreemptions {
		c.rooms = before
		return nil
	}
	return g.victims
}

// findPlaces finds a place for each task of the gang, and reports whether it did: on machines with free capacity
// first, then where tasks may be stopped.
func (g *gangPreemption) findPlaces() bool {
	for range g.job.Tasks {
		m, victims := g.freePlace(), []*victim(nil)
		if m == nil {
			m, victims = g.cycle.cheapestVictims(g.job)
		}
		if m == nil {
			return false
		}
		g.take(m, victims)
	}
	return true
}

// freePlace returns a machine with free capacity for a task of the gang, or nil.
func (g *gangPreemption) freePlace() *Machine {
	for _, m := range g.cycle.cluster.machines.all() {
		if m.AcceptsTasksNow() && g.job.need.FitsIn(g.cycle.roomOn(m, g.job)) && g.job.mayUse(m) && !g.cycle.quarantine.machines[m.ID] {
			return m
		}
	}
	return nil
}

// take takes a place on a machine once some tasks there have stopped.
func (g *gangPreemption) take(m *Machine, victims []*victim) {
	room := g.cycle.roomOn(m, g.job)
	for _, v := range victims {
		v.preempted = true
		room = room.Add(v.resources)
	}
	g.victims = append(g.victims, victims...)
	g.cycle.rooms.set(m, room.Sub(g.job.need))
	g.inZone[m.Zone]++
	g.job.entry.zones[m.Zone]++
}

// clone returns a copy that can be changed independently.
func (r *roomsAfterPreemption) clone() roomsAfterPreemption {
	free := make(map[*Machine]job.Resources, len(r.free))
	maps.Copy(free, r.free)
	return roomsAfterPreemption{machines: slices.Clone(r.machines), free: free}
}
