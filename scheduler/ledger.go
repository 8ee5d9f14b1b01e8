package scheduler

import (
	"maps"
	"slices"
	"sort"
	"strings"
	"time"

	"junipershelf/internal/limits"
	"junipershelf/job"
	"junipershelf/partition"
)

// Assignment gives a run of a job's tasks to the owner of a machine.
type Assignment struct {
	//lint:ignore U1000 the msgpack library reads the tag of this field
	_msgpack struct{} `msgpack:",as_array"`
	Seq      uint64
	Job      string
	Tasks    job.Ranges
	Machine  string
	Gang     uint64 // tasks of a gang that start together share it

	resources job.Resources
	team      int
	count     int
	zone      string // of the machine
}

// ownerState is what the leader has of an owner and has given it.
type ownerState struct {
	synced             bool
	updateSequence     uint64
	updateVersion      uint64
	assignmentSequence uint64
	completedFill      float64 // how much of a record its finished tasks take
	unacked            []Assignment
}

// RestoreOwner counts what an owner's records hold until its first update comes.
func (s *Scheduler) RestoreOwner(owner int, states []partition.MachineState, done []partition.CompletedTask, now time.Time) {
	if s.owners[owner].synced {
		return
	}
	for _, state := range states {
		s.updateMachine(owner, state, now)
	}
	s.recordCompleted(done)
}

// ApplyUpdate takes an owner's update and tells which version the leader has of it.
func (s *Scheduler) ApplyUpdate(owner int, update partition.Update, now time.Time) (have uint64) {
	state := &s.owners[owner]
	if state.synced && update.Sequence <= state.updateSequence {
		// A late copy would take back what was acknowledged since.
		return state.updateVersion
	}
	if update.BaseVersion > state.updateVersion {
		// It leaves out what this leader never got.
		return state.updateVersion
	}
	if !state.synced {
		// The first one is whole: what only the records held is gone.
		in := map[string]bool{}
		for _, s := range update.Machines {
			in[s.ID] = true
		}
		for id, m := range s.machines {
			if m.Owner == owner && !in[id] {
				s.remove(m)
			}
		}
	}
	state.synced, state.updateSequence, state.updateVersion, state.completedFill = true, update.Sequence, update.Version, update.CompletedFill
	s.recordCompleted(update.Completed)
	for _, failure := range update.Failures {
		s.recordFailure(failure, now)
	}
	s.forwards = append(s.forwards, update.Forwards...)
	cut := 0
	for cut < len(state.unacked) && state.unacked[cut].Seq <= update.AckedAssignment {
		cut++
	}
	acked := state.unacked[:cut]
	state.unacked = slices.Clone(state.unacked[cut:])
	for _, assignment := range acked {
		s.countPending(assignment, -1) // what it holds of them is shown below
	}
	for _, machine := range update.Machines {
		s.updateMachine(owner, machine, now)
	}
	for _, id := range update.Removed {
		if m := s.machines[id]; m != nil && m.Owner == owner {
			s.remove(m)
		}
	}
	return state.updateVersion
}

// Unacknowledged is what an owner has yet to take.
func (s *Scheduler) Unacknowledged(owner int) []Assignment { return s.owners[owner].unacked }

// countHeld adds or takes away all that a machine holds.
func (s *Scheduler) countHeld(m *Machine, by int) {
	for i := range m.Held {
		h := &m.Held[i]
		entry := s.jobEntry(h.Job)
		n := h.Tasks.Len()
		for t := range h.Tasks.All() {
			entry.addHolder(t, by)
		}
		switch h.Phase {
		case partition.PhaseQueued:
			entry.queued += by * n
		case partition.PhaseRunning:
			entry.running += by * n
			entry.startSum += float64(by*n) * startSeconds(m.lastSeen, h.PhaseS)
			s.version++
			entry.version = s.version
		}
		if entry.zones == nil && entry.live != nil && (entry.live.Spec.SameZone || entry.live.Spec.SpreadZones) {
			entry.zones = map[string]int{}
		}
		if entry.zones != nil {
			entry.zones[m.Zone] += by * n
		}
		if h.Phase == partition.PhaseEnded {
			continue
		}
		if t, ok := s.byName[h.Team]; ok {
			count := float64(by * n)
			s.Teams[t].addUse(h.Resources, count)
			if h.Phase == partition.PhaseQueued {
				s.Teams[t].queued += count * h.Resources.CPUs
			}
		}
	}
}

// addUse adds tasks to what a team holds, or takes them away.
func (t *Team) addUse(n job.Resources, k float64) {
	t.used = t.used.Add(job.Resources{CPUs: n.CPUs * k, Accelerators: n.Accelerators * k, MemoryGB: n.MemoryGB * k})
}

// updateMachine takes a machine as its owner shows it.
func (s *Scheduler) updateMachine(owner int, state partition.MachineState, now time.Time) {
	m := s.machines[state.ID]
	if m == nil {
		m = s.newMachine(owner, state.ID)
		s.machines[state.ID] = m
		s.sortedMachines, s.sorted = append(s.sortedMachines, m), false
		delete(s.removed, state.ID)
	} else {
		s.countHeld(m, -1)
		s.countImages(m, -1)
	}
	m.MachineState, m.Owner, m.lastSeen = state, owner, now
	m.Capacity, _ = s.capacityOf(state.MachineType)
	m.images, m.fetching = s.imageIndices(state.Images), s.imageIndices(state.Fetching)
	s.countImages(m, 1)
	s.countHeld(m, 1)
	s.recountFree(m)
	s.markChanged(m)
}

// newMachine makes a machine with what its owner was given for it and has not acknowledged:
// it may have been gone for a moment.
func (s *Scheduler) newMachine(owner int, id string) *Machine {
	m := &Machine{}
	for _, a := range s.owners[owner].unacked {
		if a.Machine == id {
			m.unacked = append(m.unacked, a)
			m.pending += a.count
		}
	}
	return m
}

// markChanged notes that owners are to be told of a machine.
func (s *Scheduler) markChanged(m *Machine) {
	s.version++
	m.version = s.version
}

// remove forgets a machine.
func (s *Scheduler) remove(m *Machine) {
	s.countHeld(m, -1)
	s.countImages(m, -1)
	delete(s.machines, m.ID)
	m.gone, s.sorted = true, false
	s.version++
	s.removed[m.ID] = s.version
	delete(s.failuresOf, m.ID)
	delete(s.Quarantined, m.ID)
}

// countTaken counts tasks against a machine's free room.
func (s *Scheduler) countTaken(m *Machine, need job.Resources, n int) {
	for range n {
		m.FreeNow = m.FreeNow.Sub(need)
		if !(job.Resources{}).FitsIn(m.FreeNow) {
			m.QueuedTasks++
		}
	}
}

// countPending counts an assignment that its owner has not acknowledged, or no longer.
func (s *Scheduler) countPending(assignment Assignment, by int) {
	entry := s.jobEntry(assignment.Job)
	for i := range assignment.Tasks.All() {
		entry.addHolder(i, by)
	}
	s.Teams[assignment.team].addUse(assignment.resources, float64(by*assignment.count))
	if entry.zones != nil {
		entry.zones[assignment.zone] += by * assignment.count
	}
	m := s.machines[assignment.Machine]
	if m == nil {
		return
	}
	m.pending += by * assignment.count
	if by > 0 {
		m.unacked = append(m.unacked, assignment)
		s.countTaken(m, assignment.resources, assignment.count)
	} else {
		m.unacked = slices.DeleteFunc(m.unacked, func(a Assignment) bool { return a.Seq == assignment.Seq })
		s.recountFree(m)
	}
	s.markChanged(m)
}

// recountFree works out a machine's free room and queue from what was shown and what
// was assigned since.
func (s *Scheduler) recountFree(m *Machine) {
	m.FreeNow, m.QueuedTasks, m.HeldCount = m.Free, 0, 0
	for i := range m.Held {
		n := m.Held[i].Tasks.Len()
		m.HeldCount += n
		if m.Held[i].Phase == partition.PhaseQueued {
			m.QueuedTasks += n
		}
	}
	for _, a := range m.unacked {
		s.countTaken(m, a.resources, a.count)
	}
}

// Machine finds a machine of the ledger.
func (s *Scheduler) Machine(id string) *Machine { return s.machines[id] }

// Machines gives all machines by id.
func (s *Scheduler) Machines() []*Machine {
	if !s.sorted {
		s.sortedMachines = slices.DeleteFunc(s.sortedMachines, func(m *Machine) bool { return m.gone })
		slices.SortFunc(s.sortedMachines, func(a, b *Machine) int { return strings.Compare(a.ID, b.ID) })
		for i, m := range s.sortedMachines {
			m.place = i
		}
		s.sorted = true
	}
	return s.sortedMachines
}

// FleetSince gives what has changed of the machines since a version, for the owners'
// overflow, and the version that it leads up to.
func (s *Scheduler) FleetSince(known uint64) (changed []partition.Buddy, gone []string, ver uint64) {
	for _, m := range s.Machines() {
		if m.version > known {
			changed = append(changed, partition.Buddy{ID: m.ID, Underloaded: m.Open() && m.QueuedTasks == 0 && m.FreeNow.CPUs > 0, Room: m.FreeNow})
		}
	}
	for id, v := range s.removed {
		if v > known {
			gone = append(gone, id)
		}
	}
	sort.Strings(gone)
	return changed, gone, s.version
}

// RunningSince gives the counts of running tasks that have changed since a version.
func (s *Scheduler) RunningSince(known uint64) map[string]int {
	out := map[string]int{}
	for uid, e := range s.entries {
		if e.version > known {
			out[uid] = e.running
		}
	}
	return out
}

// QueuedTasks is how many tasks of a job wait on machines for room.
func (s *Scheduler) QueuedTasks(uid string) int {
	if e := s.entries[uid]; e != nil {
		return e.queued
	}
	return 0
}

// refresh takes the mirror's jobs into the ledger and drops what is over.
func (s *Scheduler) refresh() {
	s.checkGuarantees()
	for uid, e := range s.entries {
		if s.jobs.Get(uid) == nil {
			e.live = nil
			if e.held == 0 {
				delete(s.entries, uid)
			}
		}
	}
	s.forgetRemoved()
	s.finishedTasks = 0
	for _, l := range s.jobs.Jobs {
		s.finishedTasks += l.Finished.Len() - l.Compacted.Len()
	}
}

// minRemoved is how many machines that are gone are remembered for the owners at least.
const minRemoved = 2000

// forgetRemoved forgets the older half of the machines that are gone, once there are more of
// them than the ledger has machines. An owner that has yet to hear of one of those is told of
// the whole fleet anew, see KnownVersion: once it never heard of them.
func (s *Scheduler) forgetRemoved() {
	if len(s.removed) <= max(len(s.machines), minRemoved) {
		return
	}
	s.Limits.Record(limits.RemovedMachines)
	versions := slices.Sorted(maps.Values(s.removed))
	s.forgotten = versions[len(versions)/2]
	maps.DeleteFunc(s.removed, func(_ string, version uint64) bool { return version <= s.forgotten })
}

// KnownVersion is the version of the fleet from which an owner may be told what has changed:
// the one that it knows, or 0 if it has to be told of all machines anew.
func (s *Scheduler) KnownVersion(known uint64) uint64 {
	if known < s.forgotten {
		return 0
	}
	return known
}

// IsService tells whether a job's tasks run until it is cancelled.
func (s *Scheduler) IsService(uid string) bool {
	l := s.jobs.Get(uid)
	return l != nil && l.IsService()
}

// unackedMachines lists the machines to which tasks of a job went that their owners have not
// acknowledged.
func (s *Scheduler) unackedMachines(uid string) map[string]bool {
	out := map[string]bool{}
	for i := range s.owners {
		for _, a := range s.owners[i].unacked {
			if a.Job == uid {
				out[a.Machine] = true
			}
		}
	}
	return out
}

// HasCheckpoints tells whether a job's tasks keep their progress when they are stopped.
func (s *Scheduler) HasCheckpoints(uid string) bool {
	l := s.jobs.Get(uid)
	return l != nil && l.Spec.CheckpointIntervalS > 0
}
