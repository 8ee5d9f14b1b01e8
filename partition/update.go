package partition

import (
	"slices"
	"sort"
	"time"

	"junipershelf/internal/limits"
	"junipershelf/job"
	"junipershelf/protocol"
)

// Phase is how far a task is that an owner holds.
type Phase int

// The phases of a task.
const (
	PhaseQueued   Phase = iota // waits for room
	PhaseStarting              // has room, is ordered or about to be
	PhaseRunning
	PhaseEnded // over, but not yet committed: it takes no room, and may not start anew
)

// MachineState is a machine as its owner shows it to the leader, with all that it
// holds. It is whole, so that one that comes twice does no harm.
type MachineState struct {
	//lint:ignore U1000 the msgpack library reads the tag of this field
	_msgpack         struct{} `msgpack:",as_array"`
	ID               string
	MachineType      string
	Zone             string
	Spot             bool
	Free             job.Resources // after all that is held and not gone
	Usable           bool
	Reported         bool
	Evicting         bool
	PreemptionNotice bool
	IdleS            float64 // since it holds nothing; below 0: it holds something
	Images           []string
	Fetching         []string
	Held             []HeldTasks
}

// HeldTasks is a run of one job's tasks on a machine, all in one phase.
type HeldTasks struct {
	//lint:ignore U1000 the msgpack library reads the tag of this field
	_msgpack  struct{} `msgpack:",as_array"`
	Job       string
	Team      string
	Resources job.Resources
	Tasks     job.Ranges
	Phase     Phase
	Stopping  bool
	PhaseS    float64 // time in this phase
}

// CompletedTask is done, and not yet in its job's record.
type CompletedTask struct {
	//lint:ignore U1000 the msgpack library reads the tag of this field
	_msgpack struct{} `msgpack:",as_array"`
	Task     job.Task
	RunS     float64 // 0: not known
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
	CompletedFill   float64 // how much of a record finished tasks take, at the most
}

func endedTaskOf(pl *Placement) protocol.ReportedTask {
	return protocol.ReportedTask{Task: pl.Task.String(), Attempt: pl.Attempt, Status: protocol.TaskEnded}
}

// state shows a machine.
func (m *Machine) state(now time.Time, detailed bool) MachineState {
	b := stateBuilder{now: now, detailed: detailed, runs: map[heldKey]int{}, out: MachineState{
		ID: m.ID, MachineType: m.MachineType, Zone: m.Zone, Spot: m.Spot, Free: m.capacity,
		Reported: !m.lastHeartbeat.IsZero(), Evicting: m.eviction != notEvicting || m.termination != notTerminating, PreemptionNotice: m.preemptionNotice, IdleS: -1,
	}}
	for _, c := range m.images {
		b.out.Images = append(b.out.Images, c.name)
	}
	if !m.idleSince.IsZero() {
		b.out.IdleS = now.Sub(m.idleSince).Seconds()
	}
	fits := map[*Placement]bool{}
	m.eachPending(func(pl *Placement, _ job.Resources, ok bool) {
		if pl != nil && ok {
			fits[pl] = true
		}
	})
	for _, pl := range m.placements {
		b.addPlacement(pl, pl.phase(fits[pl]))
	}
	for _, q := range m.queue {
		b.add(q.task, HeldTasks{Job: q.task.Job, Resources: q.resources, Phase: PhaseQueued}, q.since)
	}
	return b.out
}

// phase is how far a placement is; fits tells of one that waits whether it has room.
func (pl *Placement) phase(fits bool) Phase {
	switch {
	case pl.outcome == outcomeReleased:
		// It goes back to the queue and may start here yet. Shown as ended, it once let its
		// team's limit be given away a second time.
		return PhaseQueued
	case pl.hasEnded():
		return PhaseEnded
	case pl.status == protocol.TaskRunning || pl.status == protocol.TaskCheckpointing:
		return PhaseRunning
	case pl.isPending() && !fits:
		return PhaseQueued
	}
	return PhaseStarting
}

// heldKey is what the tasks of a run have in common.
type heldKey struct {
	job     string
	phase   Phase
	stop    bool
	seconds int
}

// stateBuilder puts a machine's tasks together in runs.
type stateBuilder struct {
	now      time.Time
	detailed bool            // tasks that began in different seconds are told apart
	runs     map[heldKey]int // place in out.Held
	out      MachineState
}

// addPlacement adds a placement, and its image to those that are being fetched if it has
// still to start.
func (b *stateBuilder) addPlacement(pl *Placement, phase Phase) {
	starts := phase == PhaseStarting || phase == PhaseQueued
	if starts && pl.Image != "" && !slices.Contains(b.out.Fetching, pl.Image) {
		b.out.Fetching = append(b.out.Fetching, pl.Image)
	}
	b.add(pl.Task, HeldTasks{Job: pl.Task.Job, Team: pl.Team, Resources: pl.Resources, Phase: phase, Stopping: pl.stopping}, pl.since)
}

// add adds a task to the run that it belongs to.
func (b *stateBuilder) add(task job.Task, held HeldTasks, since time.Time) {
	if held.Phase != PhaseEnded {
		b.out.Free = b.out.Free.Sub(held.Resources)
	}
	held.PhaseS = b.now.Sub(since).Seconds()
	key := heldKey{held.Job, held.Phase, held.Stopping, 0}
	if b.detailed {
		key.seconds = int(held.PhaseS)
	}
	i, ok := b.runs[key]
	if !ok {
		i = len(b.out.Held)
		b.runs[key] = i
		b.out.Held = append(b.out.Held, held)
	}
	b.out.Held[i].Tasks.Add(task.Index)
}

// stateOf is a machine's state as it goes out.
func (p *Partition) stateOf(m *Machine, now time.Time, detailed bool) MachineState {
	s := m.state(now, detailed)
	s.Usable = m.usable() && !m.refusedStart
	for i := range s.Held {
		if h := &s.Held[i]; h.Team == "" {
			if l := p.jobs.Get(h.Job); l != nil {
				h.Team = l.Spec.Team
			}
		}
	}
	return s
}

// States gives all machines.
func (p *Partition) States(now time.Time) []MachineState {
	out := make([]MachineState, 0, len(p.ids))
	for _, id := range p.ids {
		out = append(out, p.stateOf(p.machines[id], now, true))
	}
	return out
}

// Update shows the leader what has changed. Moves and failures are kept until it has
// answered, see UpdateDelivered.
func (p *Partition) Update(now time.Time) Update {
	p.updates++
	update := Update{Sequence: p.updates, BaseVersion: p.leaderVersion, Version: p.version, AckedAssignment: p.ackedAssignment, Forwards: p.forwards, Failures: p.failures, CompletedFill: p.CompletedFill()}
	detailed := p.changedTasks() <= maxDetailedTasks
	if !detailed {
		p.Limits.Record(limits.UpdateDetail)
	}
	for _, id := range p.ids {
		m := p.machines[id]
		if m.version <= p.leaderVersion {
			continue
		}
		update.Machines = append(update.Machines, p.stateOf(m, now, detailed))
	}
	for id, ver := range p.removed {
		if ver > p.leaderVersion {
			update.Removed = append(update.Removed, id)
		} else {
			delete(p.removed, id)
		}
	}
	sort.Strings(update.Removed)
	for _, s := range p.shards {
		for _, task := range s.uncompacted {
			if task.version >= p.leaderVersion {
				update.Completed = append(update.Completed, CompletedTask{Task: task.task, RunS: task.runS})
			}
		}
	}
	for id, returned := range p.terminated {
		if returned.version > p.leaderVersion {
			update.Terminated = append(update.Terminated, id)
		}
	}
	sort.Strings(update.Terminated)
	return update
}

// maxDetailedTasks: an update of more tasks tells of a job's tasks on a machine only together
// how long they have run, so that the first one of a view, which is whole, fits a message.
const maxDetailedTasks = 20000

// changedTasks counts the tasks on machines that have changed since what the leader has.
func (p *Partition) changedTasks() (n int) {
	for _, m := range p.machines {
		if m.version > p.leaderVersion {
			n += len(m.placements) + len(m.queue)
		}
	}
	return n
}

// UpdateDelivered drops what a delivered update carried; have is what the leader says
// that it has.
func (p *Partition) UpdateDelivered(update *Update, have uint64) {
	p.forwards = p.forwards[len(update.Forwards):]
	p.failures = p.failures[len(update.Failures):]
	p.leaderVersion = min(have, update.Version)
}

// Load is how much the partition has to tell of: machines, tasks, and finished tasks
// that no job's record has.
func (p *Partition) Load() (machines, tasks, uncompacted int) {
	for _, m := range p.machines {
		tasks += len(m.placements) + len(m.queue)
	}
	for _, s := range p.shards {
		uncompacted += len(s.uncompacted)
	}
	return len(p.machines), tasks, uncompacted
}
