package partition

import (
	"slices"
	"time"

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

// MachineState is a machine as its owner reports it to the leader, with all that it
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
	IdleS            float64 // seconds that it has held nothing; notIdleS: it holds something
	Images           []string
	Fetching         []string
	Held             []HeldTasks
}

// notIdleS is the IdleS of a machine that holds something, as the wire has it.
const notIdleS = -1

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
	PhaseS    float64 // seconds in this phase
}

// phase is how far a placement is; fits is whether one that waits has room.
func (pl *Placement) phase(fits bool) Phase {
	switch {
	case pl.outcome == outcomeReleased:
		// It goes back to the queue and may start here yet. Reported as ended, it once let its
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

// stateDetail is which tasks of a job and phase a state lists together.
type stateDetail int

const (
	detailPhase  stateDetail = iota // all of them, with the time of the first
	detailSecond                    // those that entered the phase within the same second
)

// state is a machine's state, as far as the machine itself knows it: without teams of queued
// tasks, and not usable.
func (m *Machine) state(now time.Time, detail stateDetail) MachineState {
	b := stateBuilder{now: now, detail: detail, runs: map[heldKey]int{}, out: MachineState{
		ID: m.ID, MachineType: m.MachineType, Zone: m.Zone, Spot: m.Spot, Free: m.capacity,
		Reported: !m.lastHeartbeat.IsZero(), Evicting: m.isLeaving(), PreemptionNotice: m.preemptionNotice, IdleS: notIdleS,
	}}
	for _, image := range m.images {
		b.out.Images = append(b.out.Images, image.name)
	}
	if !m.idleSince.IsZero() {
		b.out.IdleS = now.Sub(m.idleSince).Seconds()
	}
	allocator := m.allocator()
	for _, pl := range m.placements {
		fits := pl.isPending() && allocator.take(pl.Resources)
		b.addPlacement(pl, pl.phase(fits))
	}
	for _, q := range m.queue {
		b.add(q.task, HeldTasks{Job: q.task.Job, Resources: q.resources, Phase: PhaseQueued}, q.since)
	}
	return b.out
}

// heldKey is what the tasks of a run have in common.
type heldKey struct {
	job      string
	phase    Phase
	stopping bool
	seconds  int // in this phase; 0 for detailPhase
}

// stateBuilder puts a machine's tasks together in runs.
type stateBuilder struct {
	now    time.Time
	detail stateDetail
	runs   map[heldKey]int // index in out.Held
	out    MachineState
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
	key := heldKey{job: held.Job, phase: held.Phase, stopping: held.Stopping}
	if b.detail == detailSecond {
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
