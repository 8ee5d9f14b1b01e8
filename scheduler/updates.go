package scheduler

import (
	"slices"
	"time"

	"junipershelf/job"
	"junipershelf/partition"
)

// Assignment assigns some of a job's tasks to a machine and thereby to its owner.
type Assignment struct {
	//lint:ignore U1000 the msgpack library reads the tag of this field
	_msgpack struct{} `msgpack:",as_array"`
	Seq      uint64   // sequence number of the assignments to an owner, from 1
	Job      string
	Tasks    job.Ranges
	Machine  string
	Gang     uint64 // shared by the tasks of a gang that start together; 0 for other tasks

	resources job.Resources // of each task
	team      int
	count     int    // number of tasks
	zone      string // of the machine
}

// ownerState tracks which updates of an owner the leader has, and which assignments the owner has
// acknowledged.
type ownerState struct {
	synced             bool // it has sent an update in this view
	updateSequence     uint64
	updateVersion      uint64
	assignmentSequence uint64
	completedFill      float64 // fraction of a shard record that the owner's completed tasks fill
	unacked            []Assignment
}

// isDuplicate reports whether an update is a duplicate or arrives out of order. Applying it would
// revert what was acknowledged since.
func (o *ownerState) isDuplicate(update *partition.Update) bool {
	return o.synced && update.Sequence <= o.updateSequence
}

// hasGap reports whether an update omits changes that this leader has not received.
func (o *ownerState) hasGap(update *partition.Update) bool {
	return update.BaseVersion > o.updateVersion
}

// acknowledge removes the assignments up to a sequence number and returns them.
func (o *ownerState) acknowledge(sequence uint64) []Assignment {
	count := 0
	for count < len(o.unacked) && o.unacked[count].Seq <= sequence {
		count++
	}
	acked := o.unacked[:count]
	o.unacked = slices.Clone(o.unacked[count:])
	return acked
}

// RestoreOwner applies the state of an owner's shard records, which counts until the owner's first
// update arrives.
func (s *Scheduler) RestoreOwner(owner int, states []partition.MachineState, completed []partition.CompletedTask, now time.Time) {
	if s.cluster.owners[owner].synced {
		return
	}
	for _, state := range states {
		s.cluster.updateMachine(owner, state, now)
	}
	s.recordCompleted(completed)
}

// ApplyUpdate applies an owner's update, unless it is a duplicate or omits changes, and returns
// the version of the owner's state that the leader has.
func (s *Scheduler) ApplyUpdate(owner int, update partition.Update, now time.Time) (knownVersion uint64) {
	state := &s.cluster.owners[owner]
	if state.isDuplicate(&update) || state.hasGap(&update) {
		return state.updateVersion
	}
	if !state.synced {
		s.removeUnlisted(owner, update.Machines)
	}
	state.synced, state.completedFill = true, update.CompletedFill
	state.updateSequence, state.updateVersion = update.Sequence, update.Version
	s.recordCompleted(update.Completed)
	for _, failure := range update.Failures {
		s.recordFailure(failure, now)
	}
	s.forwards = append(s.forwards, update.Forwards...)
	for _, assignment := range state.acknowledge(update.AckedAssignment) {
		s.cluster.removeUnacked(assignment)
	}
	for _, machine := range update.Machines {
		s.cluster.updateMachine(owner, machine, now)
	}
	for _, id := range update.Removed {
		if m := s.Machine(id); m != nil && m.Owner == owner {
			s.removeMachine(m)
		}
	}
	return state.updateVersion
}

// removeUnlisted removes an owner's machines that its first update does not list: that update is
// complete, so these machines were only in the shard records.
func (s *Scheduler) removeUnlisted(owner int, listed []partition.MachineState) {
	ids := map[string]bool{}
	for i := range listed {
		ids[listed[i].ID] = true
	}
	for id, m := range s.cluster.machines.byID {
		if m.Owner == owner && !ids[id] {
			s.removeMachine(m)
		}
	}
}

// removeMachine removes a machine that no owner holds any more.
func (s *Scheduler) removeMachine(m *Machine) {
	s.cluster.removeMachine(m)
	s.quarantine.forget(m.ID)
}

// recordCompleted records completed tasks. It is idempotent. The tasks of a job are added in one
// merge: added one by one, each would copy all ranges of a large job.
func (s *Scheduler) recordCompleted(completed []partition.CompletedTask) {
	newlyCompleted := map[string][]int{}
	for _, done := range completed {
		uid, index := done.Task.Job, done.Task.Index
		live := s.Job(uid)
		if live == nil {
			continue
		}
		entry := s.cluster.entry(uid)
		entry.hasCompleted = true
		if live.Completed.Has(index) || entry.isCompleted(index) {
			continue
		}
		s.estimates.record(live, done.RunS)
		entry.complete(index)
		newlyCompleted[uid] = append(newlyCompleted[uid], index)
	}
	for uid, indices := range newlyCompleted {
		s.Job(uid).Completed.Merge(job.RangesOf(indices))
	}
}
