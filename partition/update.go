package partition

import (
	"sort"
	"time"

	"junipershelf/job"
	"junipershelf/protocol"
)

// Phases of a task that an owner holds.
const (
	PhaseQueued   = iota // waits for room
	PhaseStarting        // has room, is ordered or about to be
	PhaseRunning
	PhaseEnded // over, but not yet committed: it takes no room, and may not start anew
)

// MachineState is a machine as its owner shows it to the leader, with all that it
// holds. It is whole, so that one that comes twice does no harm.
type MachineState struct {
	//lint:ignore U1000 the msgpack library reads the tag of this field
	_msgpack    struct{} `msgpack:",as_array"`
	ID          string
	MachineType string
	Zone        string
	Spot        bool
	Free        job.Resources // after all that is held and not gone
	Usable      bool
	Reported    bool
	Leaving     bool
	Noticed     bool
	IdleS       float64 // since it holds nothing; below 0: it holds something
	Images      []string
	Fetching    []string
	Held        []HeldTasks
}

// HeldTasks is a run of one job's tasks on a machine, all in one phase.
type HeldTasks struct {
	//lint:ignore U1000 the msgpack library reads the tag of this field
	_msgpack  struct{} `msgpack:",as_array"`
	Job       string
	Team      string
	Resources job.Resources
	Tasks     job.Ranges
	Phase     int
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

// Update is what has changed at an owner since what the leader has. N rises with
// each and names the version that it leads up to; an older one that comes late is
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
	Moves           []Move
	Failures        []Failure
	Returned        []string
	CompletedFill   float64 // how much of a record finished tasks take, at the most
}

func endedReportOf(pl *Placement) protocol.TaskReport {
	return protocol.TaskReport{Task: pl.Task.String(), Attempt: pl.Attempt, Status: "ended"}
}

// state shows a machine.
func (m *Machine) state(now time.Time) MachineState {
	s := MachineState{ID: m.ID, MachineType: m.MachineType, Zone: m.Zone, Spot: m.Spot, Free: m.capacity, Reported: !m.lastReport.IsZero(),
		Leaving: m.draining || m.returning || m.returned, Noticed: m.noticed, IdleS: -1}
	for _, c := range m.images {
		s.Images = append(s.Images, c.name)
	}
	if !m.idleSince.IsZero() {
		s.IdleS = now.Sub(m.idleSince).Seconds()
	}
	type key struct {
		job   string
		phase int
		stop  bool
		age   int
	}
	at := map[key]int{}
	put := func(t job.Task, team string, need job.Resources, phase int, stop bool, since time.Time) {
		if phase != PhaseEnded {
			s.Free = s.Free.Minus(need)
		}
		forS := now.Sub(since).Seconds()
		k := key{t.Job, phase, stop, int(forS)}
		i, ok := at[k]
		if !ok {
			i = len(s.Held)
			at[k] = i
			s.Held = append(s.Held, HeldTasks{Job: t.Job, Team: team, Resources: need, Phase: phase, Stopping: stop, PhaseS: forS})
		}
		s.Held[i].Tasks.Add(t.Index)
	}
	fits := map[*Placement]bool{}
	m.eachPending(func(pl *Placement, _ job.Resources, ok bool) {
		if pl != nil && ok {
			fits[pl] = true
		}
	})
	fetching := map[string]bool{}
	for _, pl := range m.placements {
		phase := PhaseStarting
		switch {
		case pl.requeue:
			// It goes back to the queue and may start here yet. Shown as gone, it
			// once let its team's limit be given away a second time.
			phase = PhaseQueued
		case pl.ended:
			phase = PhaseEnded
		case pl.status == "running" || pl.status == "saving":
			phase = PhaseRunning
		case pl.isPending() && !fits[pl]:
			phase = PhaseQueued
		}
		if (phase == PhaseStarting || phase == PhaseQueued) && pl.Image != "" && !fetching[pl.Image] {
			fetching[pl.Image] = true
			s.Fetching = append(s.Fetching, pl.Image)
		}
		put(pl.Task, pl.Team, pl.Resources, phase, pl.stopping, pl.since)
	}
	for _, e := range m.queue {
		put(e.task, "", e.resources, PhaseQueued, false, e.since)
	}
	return s
}

// stateOf is a machine's state as it goes out.
func (p *Partition) stateOf(m *Machine, now time.Time) MachineState {
	s := m.state(now)
	s.Usable = p.usable(m) && !m.refusedStart
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
		out = append(out, p.stateOf(p.machines[id], now))
	}
	return out
}

// Update shows the leader what has changed. Moves and faults are kept until it
// has answered, see Delivered.
func (p *Partition) Update(now time.Time) Update {
	p.updates++
	d := Update{Sequence: p.updates, BaseVersion: p.leaderVersion, Version: p.version, AckedAssignment: p.ackedAssignment, Moves: p.moves, Failures: p.failures, CompletedFill: p.CompletedFill()}
	for _, id := range p.ids {
		m := p.machines[id]
		if m.version <= p.leaderVersion {
			continue
		}
		d.Machines = append(d.Machines, p.stateOf(m, now))
	}
	for id, ver := range p.removed {
		if ver > p.leaderVersion {
			d.Removed = append(d.Removed, id)
		} else {
			delete(p.removed, id)
		}
	}
	sort.Strings(d.Removed)
	for _, s := range p.shards {
		for _, e := range s.uncompacted {
			if e.version >= p.leaderVersion {
				d.Completed = append(d.Completed, CompletedTask{Task: e.task, RunS: e.runS})
			}
		}
	}
	for id, g := range p.returned {
		if g.version > p.leaderVersion {
			d.Returned = append(d.Returned, id)
		}
	}
	sort.Strings(d.Returned)
	return d
}

// UpdateDelivered drops what a delivered update carried; have is what the leader says
// that it has.
func (p *Partition) UpdateDelivered(d *Update, have uint64) {
	p.moves = p.moves[len(d.Moves):]
	p.failures = p.failures[len(d.Failures):]
	p.leaderVersion = min(have, d.Version)
}

// Load is how much the part has to tell of: machines, tasks, and finished tasks
// that no job's record has.
func (p *Partition) Load() (machines, tasks, unmerged int) {
	for _, m := range p.machines {
		tasks += len(m.placements) + len(m.queue)
	}
	for _, s := range p.shards {
		unmerged += len(s.uncompacted)
	}
	return len(p.machines), tasks, unmerged
}
