package scheduler

import (
	"slices"
	"time"

	"junipershelf/internal/limits"
	"junipershelf/partition"
)

// This file counts what machines hold: each count is taken back before a machine changes and
// added again after.

// updateMachine replaces a machine's state by what its owner reports.
func (c *clusterState) updateMachine(owner int, state partition.MachineState, now time.Time) {
	m := c.machines.byID[state.ID]
	if m == nil {
		m = c.newMachine(owner, state.ID)
		c.machines.add(state.ID, m)
		delete(c.changes.removed, state.ID)
	} else {
		c.releaseHeld(m)
		c.images.removeMachine(m)
	}
	m.MachineState, m.Owner, m.lastSeen = state, owner, now
	m.Capacity, _ = c.capacityOf(state.MachineType)
	m.images, m.fetching = c.images.numbersOf(state.Images), c.images.numbersOf(state.Fetching)
	c.images.addMachine(m)
	c.holdAll(m)
	m.recountFree()
	m.version = c.changes.next()
}

// newMachine returns a machine with what was assigned to it and its owner has not
// acknowledged: it may have been gone for a moment.
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

// removeMachine drops a machine that no owner holds any more.
func (c *clusterState) removeMachine(m *Machine) {
	c.releaseHeld(m)
	c.images.removeMachine(m)
	c.machines.remove(m)
	c.changes.recordRemoval(m.ID)
}

// forgetOldRemovals bounds the memory of machines that are gone.
func (c *clusterState) forgetOldRemovals(reached limits.Counts) {
	if c.changes.forgetOld(len(c.machines.byID)) {
		reached.Record(limits.RemovedMachines)
	}
}

// holdAll counts all that a machine holds.
func (c *clusterState) holdAll(m *Machine) {
	for i := range m.Held {
		held := &m.Held[i]
		entry := c.entry(held.Job)
		entry.hold(m, held)
		c.recordRunningChange(entry, held)
		c.quotas.hold(held)
	}
}

// releaseHeld takes back what holdAll counted.
func (c *clusterState) releaseHeld(m *Machine) {
	for i := range m.Held {
		held := &m.Held[i]
		entry := c.entry(held.Job)
		entry.release(m, held)
		c.recordRunningChange(entry, held)
		c.quotas.release(held)
	}
}

// recordRunningChange records that a job's count of running tasks changed, if the held tasks
// run.
func (c *clusterState) recordRunningChange(entry *jobEntry, held *partition.HeldTasks) {
	if held.Phase == partition.PhaseRunning {
		entry.version = c.changes.next()
	}
}

// addUnacked counts a new assignment.
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
	m.takeRoom(a.resources, a.count)
	m.version = c.changes.next()
}

// removeUnacked takes back what addUnacked counted. What the owner holds of the assignment
// comes with its updates of machines.
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
	m.recountFree()
	m.version = c.changes.next()
}
