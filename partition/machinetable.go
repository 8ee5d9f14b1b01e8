package partition

import (
	"slices"
	"strings"
	"time"

	"junipershelf/internal/limits"
	"junipershelf/job"
	"junipershelf/protocol"
)

// machineTable holds an owner's machines. It numbers their changes, so that the leader is sent
// only what it does not have, and remembers those that are gone.
type machineTable struct {
	capacityOf CapacityOf
	byID       map[string]*Machine
	sorted     []*Machine                   // by id
	version    uint64                       // rises with each change
	removed    map[string]uint64            // version at which a machine was removed, until the leader knows
	terminated map[string]terminatedMachine // those that the cloud has taken back
}

// terminatedMachine is when, and at which version, the cloud had taken a machine back.
type terminatedMachine struct {
	at      time.Time
	version uint64
}

func newMachineTable(capacityOf CapacityOf) *machineTable {
	return &machineTable{
		capacityOf: capacityOf, byID: map[string]*Machine{},
		removed: map[string]uint64{}, terminated: map[string]terminatedMachine{},
	}
}

// get returns a machine, or nil.
func (t *machineTable) get(id string) *Machine { return t.byID[id] }

// findOrAdd returns a machine, which is added if it is new.
func (t *machineTable) findOrAdd(id string, kind RecordKind, now time.Time) *Machine {
	m := t.byID[id]
	if m == nil {
		m = &Machine{ID: id, MachineType: kind.MachineType, Zone: kind.Zone, Spot: kind.Spot}
		m.firstKnown = now
		t.byID[id] = m
		t.sorted = slices.Insert(t.sorted, t.sortedIndex(id), m)
		delete(t.removed, id)
		t.markChanged(m)
	}
	t.updateCapacity(m)
	return m
}

// sortedIndex is the index in sorted at which a machine is or would be.
func (t *machineTable) sortedIndex(id string) int {
	i, _ := slices.BinarySearchFunc(t.sorted, id, func(m *Machine, id string) int { return strings.Compare(m.ID, id) })
	return i
}

// updateCapacity sets a machine's capacity by its type.
func (t *machineTable) updateCapacity(m *Machine) { m.capacity, _ = t.capacityOf(m.MachineType) }

// markChanged records that what the leader should know of a machine has changed.
func (t *machineTable) markChanged(m *Machine) {
	t.version++
	m.version = t.version
}

// remove drops a machine.
func (t *machineTable) remove(m *Machine) {
	delete(t.byID, m.ID)
	t.version++
	t.removed[m.ID] = t.version
	if i := t.sortedIndex(m.ID); i < len(t.sorted) && t.sorted[i] == m {
		t.sorted = slices.Delete(t.sorted, i, i+1)
	}
}

// removedSince lists the machines that were removed after a version, by id, and forgets the others.
func (t *machineTable) removedSince(version uint64) (ids []string) {
	for id, v := range t.removed {
		if v > version {
			ids = append(ids, id)
		} else {
			delete(t.removed, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// terminatedRetention is how long a terminated machine is remembered: copies of its heartbeats may
// come late.
const terminatedRetention = 10 * time.Minute

// recordTerminated remembers that the cloud has taken a machine back.
func (t *machineTable) recordTerminated(id string, now time.Time) {
	t.version++
	t.terminated[id] = terminatedMachine{now, t.version}
}

// isTerminated reports whether the cloud has taken a machine back.
func (t *machineTable) isTerminated(id string) bool {
	_, terminated := t.terminated[id]
	return terminated
}

// terminatedSince lists the machines that the cloud took back after a version, by id.
func (t *machineTable) terminatedSince(version uint64) (ids []string) {
	for id, terminated := range t.terminated {
		if terminated.version > version {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// forgetTerminated drops what is older than terminatedMemory.
func (t *machineTable) forgetTerminated(now time.Time) {
	for id, terminated := range t.terminated {
		if now.Sub(terminated.at) > terminatedRetention {
			delete(t.terminated, id)
		}
	}
}

// What is kept of tasks that workers report and nobody placed: a number on all machines, and
// beyond that a few on each. The others come with the machine's next heartbeats, once it has
// forgotten these.
const (
	maxUnknownTasks        = 1 << 14
	maxMachineUnknownTasks = 16
)

// unknownTasks bounds the tasks that are kept on all machines because workers report them and
// nobody placed them there.
type unknownTasks struct {
	*metrics

	kept int
}

// record keeps a task that nobody placed, so that the agent is commanded to stop or forget it.
func (u *unknownTasks) record(m *Machine, task job.Task, reported protocol.ReportedTask) {
	if u.kept >= maxUnknownTasks && len(m.unknown) >= maxMachineUnknownTasks {
		m.unknownTruncated = true
		u.Limits.Record(limits.UnknownTasks)
		return
	}
	if m.unknown == nil {
		m.unknown = map[job.Task]protocol.ReportedTask{}
	}
	if _, known := m.unknown[task]; !known {
		u.kept++
	}
	m.unknown[task] = reported
}

// forget drops what is kept of a machine.
func (u *unknownTasks) forget(m *Machine) {
	u.kept -= len(m.unknown)
	m.unknownTruncated = false
	clear(m.unknown)
}
