package partition

import (
	"slices"
	"time"

	"junipershelf/job"
	"junipershelf/protocol"
)

// Phase is the progress of a task that an owner holds.
type Phase int

// The phases of a task.
const (
	PhaseQueued   Phase = iota // waits for free resources
	PhaseStarting              // has resources; its start was sent or will be sent soon
	PhaseRunning
	PhaseEnded // ended, but not yet committed: it takes no resources, and must not be started again
)

// MachineState is the full state of a machine and its tasks, as its owner reports it to the leader.
// It does not build on earlier states, so duplicates do no harm.
type MachineState struct {
	//lint:ignore U1000 the msgpack library reads the tag of this field
	_msgpack         struct{} `msgpack:",as_array"`
	ID               string
	MachineType      string
	Zone             string
	Spot             bool
	Free             job.Resources // capacity less the resources of held tasks; ended tasks take none
	Usable           bool
	Reported         bool // a heartbeat of the machine was applied in this view
	Evicting         bool
	PreemptionNotice bool
	IdleS            float64 // seconds without tasks; notIdleS: it holds tasks
	Images           []string
	Fetching         []string
	Held             []HeldTasks
}

// notIdleS is the wire value of IdleS for a machine that holds tasks.
const notIdleS = -1

// HeldTasks is a group of one job's tasks on a machine that are in the same phase.
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

// phase returns the phase of a placement. fits tells whether a pending placement fits
// into the free resources.
func (pl *Placement) phase(fits bool) Phase {
	switch {
	case pl.outcome == outcomeReleased:
		// It returns to the queue and may still start here. If it were reported as ended, its share
		// of the team's limit would be granted a second time.
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

// stateDetail determines which tasks of a job and phase are listed as one group.
type stateDetail int

const (
	detailPhase  stateDetail = iota // all of them, with the time of the first
	detailSecond                    // those that entered the phase within the same second
)

// state returns a machine's state without the fields that updates.stateOf fills in: Usable, and the
// teams of queued tasks.
func (m *Machine) state(now time.Time, detail stateDetail) MachineState {
	b := stateBuilder{now: now, detail: detail, groups: map[heldKey]int{}, out: MachineState{
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

// heldKey is what the tasks of a group have in common.
type heldKey struct {
	job      string
	phase    Phase
	stopping bool
	seconds  int // in this phase; 0 for detailPhase
}

// stateBuilder groups a machine's tasks.
type stateBuilder struct {
	now    time.Time
	detail stateDetail
	groups map[heldKey]int // index in out.Held
	out    MachineState
}

// addPlacement adds a placement and, if its task has yet to run, its image to Fetching.
func (b *stateBuilder) addPlacement(pl *Placement, phase Phase) {
	yetToRun := phase == PhaseStarting || phase == PhaseQueued
	if yetToRun && pl.Image != "" && !slices.Contains(b.out.Fetching, pl.Image) {
		b.out.Fetching = append(b.out.Fetching, pl.Image)
	}
	b.add(pl.Task, HeldTasks{Job: pl.Task.Job, Team: pl.Team, Resources: pl.Resources, Phase: phase, Stopping: pl.stopping}, pl.since)
}

// add adds a task to the group that it belongs to.
func (b *stateBuilder) add(task job.Task, held HeldTasks, since time.Time) {
	if held.Phase != PhaseEnded {
		b.out.Free = b.out.Free.Sub(held.Resources)
	}
	held.PhaseS = b.now.Sub(since).Seconds()
	key := heldKey{job: held.Job, phase: held.Phase, stopping: held.Stopping}
	if b.detail == detailSecond {
		key.seconds = int(held.PhaseS)
	}
	i, ok := b.groups[key]
	if !ok {
		i = len(b.out.Held)
		b.groups[key] = i
		b.out.Held = append(b.out.Held, held)
	}
	b.out.Held[i].Tasks.Add(task.Index)
}
