package scheduler

import (
	"slices"
	"strings"
	"time"

	"junipershelf/job"
	"junipershelf/partition"
)

// Machine is a machine as its owner last reported it, with what was assigned to it since.
type Machine struct {
	partition.MachineState
	Owner       int
	Capacity    job.Resources
	FreeNow     job.Resources // free when last reported, without what was assigned since; below 0 if tasks queue
	QueuedTasks int           // tasks that wait there for room

	lastSeen time.Time // when its owner last reported it
	gone     bool      // no owner holds it any more
	version  uint64    // of its last change, see changeFeed
	position int       // among all machines by id
	images   []int32   // numbers of the imageIndex, as fetching
	fetching []int32

	unacked      []Assignment // to its owner, and not acknowledged
	unackedTasks int

	releaseRate float64 // slots that fall free in a second; of this cycle
	maxQueued   int     // tasks that may wait there; of this cycle
	closed      bool    // it can take no more in this pass
}

// IdleSeconds returns for how many seconds a machine has held nothing; idle is false if it
// holds or is assigned something.
func (m *Machine) IdleSeconds(now time.Time) (seconds float64, idle bool) {
	if m.IdleS < 0 || m.unackedTasks > 0 {
		return 0, false
	}
	return m.IdleS + now.Sub(m.lastSeen).Seconds(), true
}

// LastSeen returns when its owner last reported the machine.
func (m *Machine) LastSeen() time.Time { return m.lastSeen }

// Open reports whether a machine may take work at all.
func (m *Machine) Open() bool { return m.Usable && !m.Evicting && !m.PreemptionNotice }

// underloaded reports whether a machine has room and no queue, in the paper's sense.
func (m *Machine) underloaded() bool { return m.Open() && m.QueuedTasks == 0 && m.FreeNow.CPUs > 0 }

// holds reports whether a machine holds tasks of a job that have not ended.
func (m *Machine) holds(uid string) bool {
	return slices.ContainsFunc(m.Held, func(h partition.HeldTasks) bool { return h.Job == uid && h.Phase != partition.PhaseEnded })
}

// hasImage reports whether a machine has an image or fetches it.
func (m *Machine) hasImage(image int32) bool {
	return slices.Contains(m.images, image) || slices.Contains(m.fetching, image)
}

// recountFree computes free room and queue from what was reported and assigned since.
func (m *Machine) recountFree() {
	m.FreeNow, m.QueuedTasks = m.Free, 0
	for i := range m.Held {
		if m.Held[i].Phase == partition.PhaseQueued {
			m.QueuedTasks += m.Held[i].Tasks.Len()
		}
	}
	for _, a := range m.unacked {
		m.takeRoom(a.resources, a.count)
	}
}

// takeRoom takes the room of a number of equal tasks; those that find none are queued.
func (m *Machine) takeRoom(perTask job.Resources, tasks int) {
	for range tasks {
		m.FreeNow = m.FreeNow.Sub(perTask)
		if !(job.Resources{}).FitsIn(m.FreeNow) {
			m.QueuedTasks++
		}
	}
}

// machineList holds the machines by id; it sorts them when they are asked for.
type machineList struct {
	byID   map[string]*Machine
	sorted []*Machine // by id unless stale, which then holds machines that are gone as well
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
	m.gone, l.stale = true, true
}

// all returns the machines by id.
func (l *machineList) all() []*Machine {
	if !l.stale {
		return l.sorted
	}
	l.sorted = slices.DeleteFunc(l.sorted, func(m *Machine) bool { return m.gone })
	slices.SortFunc(l.sorted, func(a, b *Machine) int { return strings.Compare(a.ID, b.ID) })
	for i, m := range l.sorted {
		m.position = i
	}
	l.stale = false
	return l.sorted
}
