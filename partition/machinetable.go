package partition

import (
	"slices"
	"strings"
	"time"

	"junipershelf/internal/limits"
	"junipershelf/job"
	"junipershelf/protocol"
)

// machineTable holds an owner's machines. It numbers their changes, so that the leader is sent only
// the changes that it lacks, and keeps the ids of removed and terminated machines.
type machineTable struct {
	capacityOf CapacityOf
	byID       map[string]*Machine
	sorted     []*Machine                   // by id
	version    uint64                       // increases with each change
	removed    map[string]uint64            // by machine id: the version of its removal; kept until the leader has that version
	terminated map[string]terminatedMachine // machines that the cloud has terminated
}

// terminatedMachine is the time and version at which the termination of a machine was recorded.
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

// findOrAdd returns a machine, and adds it if it is new.
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

// sortedIndex returns the index in sorted at which a machine is or would be inserted.
func (t *machineTable) sortedIndex(id string) int {
	i, _ := slices.BinarySearchFunc(t.sorted, id, func(m *Machine, id string) int { return strings.Compare(m.ID, id) })
	return i
}

// updateCapacity sets a machine's capacity according to its type.
func (t *machineTable) updateCapacity(m *Machine) { m.capacity, _ = t.capacityOf(m.MachineType) }

// markChanged records that a machine's state has changed, so that it is sent to the leader.
func (t *machineTable) markChanged(m *Machine) {
	t.version++
	m.version = t.version
}

// remove removes a machine.
func (t *machineTable) remove(m *Machine) {
	delete(t.byID, m.ID)
	t.version++
	t.removed[m.ID] = t.version
	if i := t.sortedIndex(m.ID); i < len(t.sorted) && t.sorted[i] == m {
		t.sorted = slices.Delete(t.sorted, i, i+1)
	}
}

// removedSince returns the ids of the machines that were removed after a version, sorted, and drops
// the other removals, which the leader has.
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

// terminatedRetention is how long the ids of terminated machines are kept, since delayed copies of
// their heartbeats may still arrive.
const terminatedRetention = 10 * time.Minute

// recordTerminated records that the cloud has terminated a machine.
func (t *machineTable) recordTerminated(id string, now time.Time) {
	t.version++
	t.terminated[id] = terminatedMachine{now, t.version}
}

// isTerminated reports whether the cloud has terminated a machine.
func (t *machineTable) isTerminated(id string) bool {
	_, terminated := t.terminated[id]
	return terminated
}

// terminatedSince returns the ids of the machines that were terminated after a version, sorted.
func (t *machineTable) terminatedSince(version uint64) (ids []string) {
	for id, terminated := range t.terminated {
		if terminated.version > version {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// forgetTerminated drops terminated machines after terminatedRetention.
func (t *machineTable) forgetTerminated(now time.Time) {
	for id, terminated := range t.terminated {
		if now.Sub(terminated.at) > terminatedRetention {
			delete(t.terminated, id)
		}
	}
}

// Limits on unknown tasks, which are tasks that agents report without a placement. Once
// maxUnknownTasks are kept in total, each machine may still have maxMachineUnknownTasks. Tasks beyond
// these limits are ignored until a later heartbeat reports them again and agents have forgotten some
// of the tasks that were kept.
const (
	maxUnknownTasks        = 1 << 14
	maxMachineUnknownTasks = 16
)

// unknownTasks counts and bounds the unknown tasks that are kept for all machines.
type unknownTasks struct {
	*metrics

	kept int
}

// record keeps an unknown task, so that the agent is commanded to stop or forget it.
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

// forget drops the unknown tasks that are kept for a machine.
func (u *unknownTasks) forget(m *Machine) {
	u.kept -= len(m.unknown)
	m.unknownTruncated = false
	clear(m.unknown)
}
