package partition

import (
	"iter"

	"junipershelf/job"
)

// room is what heartbeats show as free: what was ordered to start counts, what waits for its
// start does not.
func (m *Machine) room() job.Resources {
	room := m.capacity
	for _, pl := range m.placements {
		if !pl.hasEnded() && !pl.isPending() {
			room = room.Sub(pl.Resources)
		}
	}
	return room
}

// roomAllocator hands out a machine's room in the order in which its tasks start. Once one finds
// no room, those behind it find none either.
type roomAllocator struct {
	room job.Resources
	open bool
}

// allocator returns an allocator of all the room of a machine, which is none if it runs something
// unaccounted for.
func (m *Machine) allocator() roomAllocator {
	return roomAllocator{room: m.room(), open: !m.hasUnaccountedTasks()}
}

// take reports whether the next task has room, which is then taken.
func (a *roomAllocator) take(need job.Resources) bool {
	a.open = a.open && need.FitsIn(a.room)
	if a.open {
		a.room = a.room.Sub(need)
	}
	return a.open
}

// pendingPlacements yields the placements that wait for their start, in order, and whether each
// has room.
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

// roomAfterPending returns the allocator of what is left once all pending placements have
// started, and how many of those find no room.
func (m *Machine) roomAfterPending() (allocator roomAllocator, withoutRoom int) {
	allocator = m.allocator()
	for _, pl := range m.placements {
		if pl.isPending() && !allocator.take(pl.Resources) {
			withoutRoom++
		}
	}
	return allocator, withoutRoom
}

// roomAfterAll is what would be left if all that waits on the machine had started, its queue
// included. It is negative where that has no room.
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

// awaitsCommit reports whether a task with room waits for its commit.
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

// hasSpareRoom reports whether a machine has room that nothing held there would take.
func (m *Machine) hasSpareRoom() bool {
	if m.hasUnaccountedTasks() || len(m.queue) > 0 {
		return false
	}
	room := m.roomAfterAll()
	return room.CPUs > 0 && room.MemoryGB > 0
}

// acceptsOverflow reports whether a machine takes a task as overflow. It is underloaded, with an
// empty queue and room. What it has accepted since its last heartbeat counts against that room,
// and once that is used up it counts as full until the next.
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
