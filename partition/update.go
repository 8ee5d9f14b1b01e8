package partition

import (
	"time"

	"junipershelf/internal/limits"
	"junipershelf/job"
	"junipershelf/protocol"
)

// CompletedTask has completed, and is not yet in its job's record.
type CompletedTask struct {
	//lint:ignore U1000 the msgpack library reads the tag of this field
	_msgpack struct{} `msgpack:",as_array"`
	Task     job.Task
	RunS     float64 // seconds that it ran; 0: not known
}

// Failure is a task that failed.
type Failure struct {
	//lint:ignore U1000 the msgpack library reads the tag of this field
	_msgpack struct{} `msgpack:",as_array"`
	Task     job.Task
	Machine  string
	Cause    protocol.EndCause
}

// Update is what has changed at an owner since what the leader has. Sequence rises
// with each, Version is what it leads up to; an older one that comes late is
// ignored, and one that spans too much does no harm.
type Update struct {
	//lint:ignore U1000 the msgpack library reads the tag of this field
	_msgpack        struct{} `msgpack:",as_array"`
	Sequence        uint64
	BaseVersion     uint64 // what the owner thinks that the leader has
	Version         uint64 // what it has after this
	AckedAssignment uint64
	Machines        []MachineState
	Removed         []string
	Completed       []CompletedTask
	Forwards        []ForwardRequest
	Failures        []Failure
	Terminated      []string
	CompletedFill   float64 // how much of a record completed tasks take, at the most
}

// outbox holds what is sent to the leader once, with each update until one is delivered.
type outbox struct {
	forwards []ForwardRequest
	failures []Failure
}

// updates makes the updates to the leader.
type updates struct {
	*shared

	layout        *shardLayout
	sequence      uint64 // of the last update
	leaderVersion uint64 // of the machine table, as far as the leader has it
}

// maxDetailedTasks: an update of more tasks lists a job's tasks on a machine together, with the
// time of the first, so that the first one of a view, which is whole, fits a message.
const maxDetailedTasks = 20000

// next returns what has changed since what the leader has.
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

// changedMachines is the states of the machines that have changed since what the leader has.
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

// changedTasks counts the tasks on machines that have changed since what the leader has.
func (u *updates) changedTasks() (n int) {
	for _, m := range u.machines.sorted {
		if m.version > u.leaderVersion {
			n += len(m.placements) + len(m.queue)
		}
	}
	return n
}

// completed lists the completed tasks that the leader may not have.
func (u *updates) completed() (tasks []CompletedTask) {
	for _, s := range u.layout.shards {
		for _, t := range s.uncompacted {
			// A task that was loaded has the version of the machine loaded before it, 0 if there
			// was none. So those of the leader's version are sent as well, again if need be.
			if t.version >= u.leaderVersion {
				tasks = append(tasks, CompletedTask{Task: t.task, RunS: t.runS})
			}
		}
	}
	return tasks
}

// stateOf is a machine's state as it is sent.
func (u *updates) stateOf(m *Machine, now time.Time, detail stateDetail) MachineState {
	s := m.state(now, detail)
	s.Usable = m.usable() && !m.refusedStart
	for i := range s.Held {
		if held := &s.Held[i]; held.Team == "" {
			if l := u.jobs.Get(held.Job); l != nil {
				held.Team = l.Spec.Team
			}
		}
	}
	return s
}

// states returns the states of all machines, by id.
func (u *updates) states(now time.Time) []MachineState {
	out := make([]MachineState, 0, len(u.machines.sorted))
	for _, m := range u.machines.sorted {
		out = append(out, u.stateOf(m, now, detailSecond))
	}
	return out
}

// delivered drops what a delivered update carried, and records the version that the leader has.
func (u *updates) delivered(update *Update, leaderVersion uint64) {
	u.outbox.forwards = u.outbox.forwards[len(update.Forwards):]
	u.outbox.failures = u.outbox.failures[len(update.Failures):]
	u.leaderVersion = min(leaderVersion, update.Version)
}
