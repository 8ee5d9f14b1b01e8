package partition

import (
	"time"

	"junipershelf/internal/limits"
	"junipershelf/job"
	"junipershelf/protocol"
)

// CompletedTask is a task that has completed and is not yet in its job's record.
type CompletedTask struct {
	//lint:ignore U1000 the msgpack library reads the tag of this field
	_msgpack struct{} `msgpack:",as_array"`
	Task     job.Task
	RunS     float64 // run time in seconds; 0: unknown
}

// Failure is a task that failed.
type Failure struct {
	//lint:ignore U1000 the msgpack library reads the tag of this field
	_msgpack struct{} `msgpack:",as_array"`
	Task     job.Task
	Machine  string
	Cause    protocol.EndCause
}

// Update contains an owner's changes since BaseVersion, the version that the leader has. Sequence
// increases with each update, and the leader ignores updates that arrive out of order. Changes that
// the leader already has do no harm.
type Update struct {
	//lint:ignore U1000 the msgpack library reads the tag of this field
	_msgpack        struct{} `msgpack:",as_array"`
	Sequence        uint64
	BaseVersion     uint64 // version that the leader has, to the owner's knowledge
	Version         uint64 // version that the leader has after this update
	AckedAssignment uint64
	Machines        []MachineState
	Removed         []string
	Completed       []CompletedTask
	Forwards        []ForwardRequest
	Failures        []Failure
	Terminated      []string
	CompletedFill   float64 // see Partition.CompletedFill
}

// outbox holds messages to the leader, which are part of each update until an update with
// them is delivered.
type outbox struct {
	forwards []ForwardRequest
	failures []Failure
}

// updates builds the updates to the leader.
type updates struct {
	*shared

	layout        *shardLayout
	sequence      uint64 // of the last update
	leaderVersion uint64 // version of the machine table that the leader has
}

// maxDetailedTasks is the number of tasks above which an update groups tasks by detailPhase, so that
// the first update of a view, which contains all machines, fits into a message.
const maxDetailedTasks = 20000

// next returns the update with the changes since leaderVersion.
func (u *updates) next(now time.Time, ackedAssignment uint64) Update {
	u.sequence++
	return Update{
		Sequence: u.sequence, BaseVersion: u.leaderVersion, Version: u.machines.version, AckedAssignment: ackedAssignment,
		Machines: u.changedMachines(now), Removed: u.machines.removedSince(u.leaderVersion), Completed: u.completed(),
		Forwards: u.outbox.forwards, Failures: u.outbox.failures,
		Terminated:    u.machines.terminatedSince(u.leaderVersion),
		CompletedFill: u.layout.completedFill(),
	}
}

// changedMachines returns the states of the machines that have changed since leaderVersion.
func (u *updates) changedMachines(now time.Time) (states []MachineState) {
	detail := detailSecond
	if u.changedTasks() > maxDetailedTasks {
		detail = detailPhase
		u.Limits.Record(limits.UpdateDetail)
	}
	for _, m := range u.machines.sorted {
		if m.version > u.leaderVersion {
			states = append(states, u.stateOf(m, now, detail))
		}
	}
	return states
}

// changedTasks counts the tasks on machines that have changed since leaderVersion.
func (u *updates) changedTasks() (n int) {
	for _, m := range u.machines.sorted {
		if m.version > u.leaderVersion {
			n += len(m.placements) + len(m.queue)
		}
	}
	return n
}

// completed returns the completed tasks that the leader may lack.
func (u *updates) completed() (tasks []CompletedTask) {
	for _, s := range u.layout.shards {
		for _, t := range s.uncompacted {
			// Tasks of exactly leaderVersion are sent too, even though the leader may have them:
			// loading a completed task from a record does not raise the version, so both versions may
			// be 0 although the leader has not been sent the task.
			if t.version >= u.leaderVersion {
				tasks = append(tasks, CompletedTask{Task: t.task, RunS: t.runS})
			}
		}
	}
	return tasks
}

// stateOf returns a machine's state as it is sent to the leader.
func (u *updates) stateOf(m *Machine, now time.Time, detail stateDetail) MachineState {
	s := m.state(now, detail)
	s.Usable = m.usable() && !m.refusedStart
	for i := range s.Held {
		if held := &s.Held[i]; held.Team == "" {
			if cached := u.jobs.Get(held.Job); cached != nil {
				held.Team = cached.Spec.Team
			}
		}
	}
	return s
}

// states returns the states of all machines, sorted by id.
func (u *updates) states(now time.Time) []MachineState {
	out := make([]MachineState, 0, len(u.machines.sorted))
	for _, m := range u.machines.sorted {
		out = append(out, u.stateOf(m, now, detailSecond))
	}
	return out
}

// recordDelivered removes the messages of a delivered update from the outbox, and records the version
// that the leader has.
func (u *updates) recordDelivered(update *Update, leaderVersion uint64) {
	u.outbox.forwards = u.outbox.forwards[len(update.Forwards):]
	u.outbox.failures = u.outbox.failures[len(update.Failures):]
	u.leaderVersion = min(leaderVersion, update.Version)
}
