package scheduler

import (
	"slices"
	"strings"
	"time"

	"junipershelf/job"
	"junipershelf/partition"
)

// Machine is a machine as its owner last reported it, with the assignments made since.
type Machine struct {
	partition.MachineState
	Owner       int
	Capacity    job.Resources
	FreeNow     job.Resources // free resources as last reported, less the assignments since; below 0 if tasks are queued
	QueuedTasks int           // tasks that wait there for free capacity

	lastSeen time.Time // when its owner last reported it
	removed  bool      // no owner holds it any more; see machineList
	version  uint64    // of its last change, see changeFeed
	position int       // among all machines, sorted by id
	images   []int32   // numbers of its images in the imageIndex
	fetching []int32   // numbers of the images that it is fetching

	unacked      []Assignment // assignments that its owner has not acknowledged
	unackedTasks int

	attainable  job.Resources // capacity less that of replicas, which do not end; set in each cycle
	releaseRate float64       // slots expected to become free per second; set in each cycle
	maxQueued   int           // maximum number of tasks queued on the machine; set in each cycle
	ineligible  bool          // it accepts no more tasks in this pass
}

// IdleSeconds returns for how many seconds a machine has held no tasks; idle is false if it holds
// or is assigned a task.
func (m *Machine) IdleSeconds(now time.Time) (seconds float64, idle bool) {
	if m.IdleS < 0 || m.unackedTasks > 0 {
		return 0, false
	}
	return m.IdleS + now.Sub(m.lastSeen).Seconds(), true
}

// LastSeen returns when its owner last reported the machine.
func (m *Machine) LastSeen() time.Time { return m.lastSeen }

// Schedulable reports whether a machine may be assigned tasks at all.
func (m *Machine) Schedulable() bool { return m.Usable && !m.Evicting && !m.PreemptionNotice }

// AcceptsTasksNow reports whether a machine has a place for a task that fits in FreeNow. It has none while
// tasks are queued there for any resource, since its owner starts later tasks after those.
func (m *Machine) AcceptsTasksNow() bool {
	return m.Schedulable() && job.Resources{}.FitsIn(m.FreeNow)
}

// underloaded reports whether a machine has free capacity and no queue, so that owners may forward
// tasks to it.
func (m *Machine) underloaded() bool {
	return m.Schedulable() && m.QueuedTasks == 0 && m.FreeNow.CPUs > 0
}

// holds reports whether a machine holds tasks of a job that have not ended.
func (m *Machine) holds(uid string) bool {
	return slices.ContainsFunc(m.Held, func(h partition.HeldTasks) bool { return h.Job == uid && h.Phase != partition.PhaseEnded })
}

// hasImage reports whether a machine has an image or is fetching it.
func (m *Machine) hasImage(image int32) bool {
	return slices.Contains(m.images, image) || slices.Contains(m.fetching, image)
}

// recomputeFree computes the free resources and the queue length from the reported state and the
// unacknowledged assignments.
func (m *Machine) recomputeFree() {
	m.FreeNow, m.QueuedTasks = m.Free, 0
	for i := range m.Held {
		if m.Held[i].Phase == partition.PhaseQueued {
			m.QueuedTasks += m.Held[i].Tasks.Len()
		}
	}
	for _, a := range m.unacked {
		m.allocate(a.resources, a.count)
	}
}

// allocate subtracts the resources of a number of equal tasks; tasks that do not fit are counted as
// queued.
func (m *Machine) allocate(perTask job.Resources, tasks int) {
	for range tasks {
		m.FreeNow = m.FreeNow.Sub(perTask)
		if !(job.Resources{}).FitsIn(m.FreeNow) {
			m.QueuedTasks++
		}
	}
}

// machineList holds the machines by id, and sorts them on demand.
type machineList struct {
	byID   map[string]*Machine
	sorted []*Machine // by id; if stale, unsorted and including removed machines
	stale  bool
}

// add adds a machine.
func (l *machineList) add(id string, m *Machine) {
	l.byID[id] = m
	l.sorted, l.stale = append(l.sorted, m), true
}

// remove removes a machine.
func (l *machineList) remove(m *Machine) {
	delete(l.byID, m.ID)
	m.removed, l.stale = true, true
}

// all returns the machines, sorted by id.
func (l *machineList) all() []*Machine {
	if !l.stale {
		return l.sorted
	}
	l.sorted = slices.DeleteFunc(l.sorted, func(m *Machine) bool { return m.removed })
	slices.SortFunc(l.sorted, func(a, b *Machine) int { return strings.Compare(a.ID, b.ID) })
	for i, m := range l.sorted {
		m.position = i
	}
	l.stale = false
	return l.sorted
}
