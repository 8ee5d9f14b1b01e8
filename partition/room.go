package partition

import (
	"iter"

	"junipershelf/job"
)

// room returns a machine's free resources. Placements count from when their start was sent; pending
// ones do not.
func (m *Machine) room() job.Resources {
	room := m.capacity
	for _, pl := range m.placements {
		if !pl.hasEnded() && !pl.isPending() {
			room = room.Sub(pl.Resources)
		}
	}
	return room
}

// roomAllocator allocates a machine's room to tasks in the order in which they start. Once a task
// does not fit, no later one gets room.
type roomAllocator struct {
	room job.Resources
	open bool
}

// allocator returns an allocator of a machine's room, which is closed if the machine has unaccounted
// tasks.
func (m *Machine) allocator() roomAllocator {
	return roomAllocator{room: m.room(), open: !m.hasUnaccountedTasks()}
}

// take allocates room to the next task, and reports whether there was enough.
func (a *roomAllocator) take(need job.Resources) bool {
	a.open = a.open && need.FitsIn(a.room)
	if a.open {
		a.room = a.room.Sub(need)
	}
	return a.open
}

// pendingPlacements yields the pending placements in order, and whether each has room.
func (m *Machine) pendingPlacements() iter.Seq2[*Placement, bool] {
	return func(yield func(*Placement, bool) bool) {
		allocator := m.allocator()
		for _, pl := range m.placements {
			if pl.isPending() && !yield(pl, allocator.take(pl.Resources)) {
				return
			}
		}
	}
}

// roomAfterPending returns an allocator of the room that is left after all pending placements, and
// the number of those that have no room.
func (m *Machine) roomAfterPending() (allocator roomAllocator, withoutRoom int) {
	allocator = m.allocator()
	for _, pl := range m.placements {
		if pl.isPending() && !allocator.take(pl.Resources) {
			withoutRoom++
		}
	}
	return allocator, withoutRoom
}

// roomAfterAll returns the room that would be left if all pending placements and queued tasks had
// started. It is negative where they exceed the room.
func (m *Machine) roomAfterAll() job.Resources {
	room := m.room()
	for _, pl := range m.placements {
		if pl.isPending() {
			room = room.Sub(pl.Resources)
		}
	}
	for _, q := range m.queue {
		room = room.Sub(q.resources)
	}
	return room
}

// awaitsCommit reports whether a task that has room is not committed yet.
func (m *Machine) awaitsCommit() bool {
	allocator := m.allocator()
	for _, pl := range m.placements {
		if pl.isPending() && allocator.take(pl.Resources) && !pl.committed {
			return true
		}
	}
	for _, q := range m.queue {
		if allocator.take(q.resources) {
			return true
		}
	}
	return false
}

// hasSpareRoom reports whether a machine has room left beyond the needs of all tasks held there.
func (m *Machine) hasSpareRoom() bool {
	if m.hasUnaccountedTasks() || len(m.queue) > 0 {
		return false
	}
	room := m.roomAfterAll()
	return room.CPUs > 0 && room.MemoryGB > 0
}

// acceptsOverflow reports whether a machine accepts a task as overflow: it must be underloaded, which
// means that it has room and an empty queue. Tasks accepted since its last heartbeat count against
// the room; once that is used up, the machine counts as full until its next heartbeat.
func (m *Machine) acceptsOverflow(need job.Resources) bool {
	if m.intake.exhausted || !m.usable() || m.hasUnaccountedTasks() || len(m.queue) > m.intake.accepted {
		return false
	}
	if !need.FitsIn(m.roomAfterAll()) {
		m.intake.exhausted = m.intake.accepted > 0
		return false
	}
	return true
}
