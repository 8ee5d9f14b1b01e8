package scheduler

import (
	"slices"
	"time"

	"junipershelf/internal/limits"
	"junipershelf/partition"
)

// This file keeps the counts of held and assigned tasks by job, team and machine. When an owner reports
// a machine, the tasks of the machine's previous state are subtracted from the counts, and those of the
// reported state are added.

// updateMachine replaces a machine's state by the state that its owner reports.
func (c *clusterState) updateMachine(owner int, state partition.MachineState, now time.Time) {
	m := c.machines.byID[state.ID]
	if m == nil {
		m = c.newMachine(owner, state.ID)
		c.machines.add(state.ID, m)
		delete(c.changes.removed, state.ID)
	} else {
		c.uncountHeld(m)
		c.images.removeMachine(m)
	}
	m.MachineState, m.Owner, m.lastSeen = state, owner, now
	m.Capacity, _ = c.capacityOf(state.MachineType)
	m.images, m.fetching = c.images.numbersOf(state.Images), c.images.numbersOf(state.Fetching)
	c.images.addMachine(m)
	c.countHeld(m)
	m.recomputeFree()
	m.version = c.changes.next()
}

// newMachine returns a machine with its unacknowledged assignments: there are some if the machine
// was removed and has returned.
func (c *clusterState) newMachine(owner int, id string) *Machine {
	m := &Machine{}
	for _, a := range c.owners[owner].unacked {
		if a.Machine == id {
			m.unacked = append(m.unacked, a)
			m.unackedTasks += a.count
		}
	}
	return m
}

// removeMachine removes a machine that no owner holds any more.
func (c *clusterState) removeMachine(m *Machine) {
	c.uncountHeld(m)
	c.images.removeMachine(m)
	c.machines.remove(m)
	c.changes.recordRemoval(m.ID)
}

// pruneRemovals bounds the number of recorded removals of machines.
func (c *clusterState) pruneRemovals(limitCounts limits.Counts) {
	if c.changes.pruneRemovals(len(c.machines.byID)) {
		limitCounts.Record(limits.RemovedMachines)
	}
}

// countHeld adds the tasks that a machine holds to the counts of jobs and teams.
func (c *clusterState) countHeld(m *Machine) {
	for i := range m.Held {
		held := &m.Held[i]
		entry := c.entry(held.Job)
		entry.hold(m, held)
		c.recordRunningChange(entry, held)
		c.quotas.hold(held)
	}
}

// uncountHeld reverts countHeld.
func (c *clusterState) uncountHeld(m *Machine) {
	for i := range m.Held {
		held := &m.Held[i]
		entry := c.entry(held.Job)
		entry.release(m, held)
		c.recordRunningChange(entry, held)
		c.quotas.release(held)
	}
}

// recordRunningChange gives a job a new version if held tasks that were added or removed are
// running.
func (c *clusterState) recordRunningChange(entry *jobEntry, held *partition.HeldTasks) {
	if held.Phase == partition.PhaseRunning {
		entry.version = c.changes.next()
	}
}

// addUnacked adds a new assignment to the counts of its job, team and machine.
func (c *clusterState) addUnacked(a Assignment) {
	entry := c.entry(a.Job)
	for i := range a.Tasks.All() {
		entry.addHolder(i)
	}
	c.quotas.teams[a.team].hold(a.resources, a.count)
	if entry.zones != nil {
		entry.zones[a.zone] += a.count
	}
	m := c.machines.byID[a.Machine]
	if m == nil {
		return
	}
	m.unacked = append(m.unacked, a)
	m.unackedTasks += a.count
	m.allocate(a.resources, a.count)
	m.version = c.changes.next()
}

// removeUnacked reverts addUnacked. The tasks of the assignment that the owner holds are counted
// with the machine states in its updates.
func (c *clusterState) removeUnacked(a Assignment) {
	entry := c.entry(a.Job)
	for i := range a.Tasks.All() {
		entry.removeHolder(i)
	}
	c.quotas.teams[a.team].release(a.resources, a.count)
	if entry.zones != nil {
		entry.zones[a.zone] -= a.count
	}
	m := c.machines.byID[a.Machine]
	if m == nil {
		return
	}
	m.unacked = slices.DeleteFunc(m.unacked, func(other Assignment) bool { return other.Seq == a.Seq })
	m.unackedTasks -= a.count
	m.recomputeFree()
	m.version = c.changes.next()
}
