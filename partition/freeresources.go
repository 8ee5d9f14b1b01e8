package partition

import (
	"iter"

	"junipershelf/job"
)

// freeResources returns a machine's free resources. Placements take resources unless they are pending
// or have ended.
func (m *Machine) freeResources() job.Resources {
	free := m.capacity
	for _, pl := range m.placements {
		if !pl.hasEnded() && !pl.isPending() {
			free = free.Sub(pl.Resources)
		}
	}
	return free
}

// resourceAllocator allocates a machine's free resources to tasks in the order in which they start.
// Once a task does not fit, no later one is allocated any.
type resourceAllocator struct {
	free job.Resources
	open bool // false once no more resources are allocated
}

// allocator returns an allocator of a machine's free resources. It allocates none to any task if the
// machine has unaccounted tasks.
func (m *Machine) allocator() resourceAllocator {
	return resourceAllocator{free: m.freeResources(), open: !m.hasUnaccountedTasks()}
}

// take allocates resources to the next task, and reports whether they sufficed.
func (a *resourceAllocator) take(need job.Resources) bool {
	a.open = a.open && need.FitsIn(a.free)
	if a.open {
		a.free = a.free.Sub(need)
	}
	return a.open
}

// pendingPlacements yields the pending placements in order, and whether each fits.
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

// freeAfterPending returns an allocator of the resources that are left after all pending
// placements, and the number of pending placements that do not fit.
func (m *Machine) freeAfterPending() (allocator resourceAllocator, unfitting int) {
	allocator = m.allocator()
	for _, pl := range m.placements {
		if pl.isPending() && !allocator.take(pl.Resources) {
			unfitting++
		}
	}
	return allocator, unfitting
}

// freeAfterAll returns the resources that would be free if all pending placements and queued tasks
// had started. It is negative where they exceed the free resources.
func (m *Machine) freeAfterAll() job.Resources {
	free := m.freeResources()
	for _, pl := range m.placements {
		if pl.isPending() {
			free = free.Sub(pl.Resources)
		}
	}
	for _, q := range m.queue {
		free = free.Sub(q.resources)
	}
	return free
}

// awaitsCommit reports whether a task that fits is not committed yet.
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

// hasSpareCapacity reports whether a machine has free resources beyond the needs of all tasks held
// there.
func (m *Machine) hasSpareCapacity() bool {
	if m.hasUnaccountedTasks() || len(m.queue) > 0 {
		return false
	}
	free := m.freeAfterAll()
	return free.CPUs > 0 && free.MemoryGB > 0
}

// acceptsOverflow reports whether a machine accepts a task as overflow: it must be underloaded, which
// means that it has free resources and that its queue holds only tasks accepted since its last
// heartbeat. These tasks count against the free resources; once a further task does not fit, the
// machine counts as full until its next heartbeat.
func (m *Machine) acceptsOverflow(need job.Resources) bool {
	if m.intake.exhausted || !m.usable() || m.hasUnaccountedTasks() || len(m.queue) > m.intake.accepted {
		return false
	}
	if !need.FitsIn(m.freeAfterAll()) {
		m.intake.exhausted = m.intake.accepted > 0
		return false
	}
	return true
}
