package partition

import (
	"time"

	"junipershelf/job"
	"junipershelf/protocol"
)

type queuedTask struct {
	task       job.Task
	resources  job.Resources
	since      time.Time
	assignedAt time.Time
	gang       uint64
}

// Machine is one of the owner's machines.
type Machine struct {
	ID, MachineType, Zone, Endpoint string
	Spot                            bool

	capacity              job.Resources
	shard                 *shard // where its next placements go; nil without any
	placements            []*Placement
	queue                 []queuedTask
	images                []cachedImage                      // the one used last at the end
	unknown               map[job.Task]protocol.ReportedTask // reported, but not placed
	unknownLeftOut        bool                               // it reports more of them than are kept
	agentEpoch            uint64
	sequence              uint64
	fencingToken          uint64
	heartbeats            uint64    // how many were applied
	lastHeartbeat         time.Time // last fresh report; zero in this view if none
	firstKnown            time.Time // when this view first met it
	lastContact           time.Time // last report that proves it alive in this view
	repliedHeartbeats     [2]time.Time
	unacknowledgedReplies int  // answers in a row of which nothing was seen
	preemptionNotice      bool // about to be taken away
	eviction              evictionState
	termination           terminationState
	terminatingSince      time.Time // when its termination was decided
	refusedStart          bool      // said full though we thought otherwise; until its next report
	overflowTaken         int       // overflow taken since the last report
	overflowSpent         bool      // and the reported room is used up
	leaseExpired          bool      // certainly, by the worker's clock as well
	idleSince             time.Time
	version               uint64 // when it last changed, see Update
}

// find gives the placement of a task, or nil.
func (m *Machine) find(t job.Task) *Placement {
	for _, pl := range m.placements {
		if pl.Task == t {
			return pl
		}
	}
	return nil
}

// room is what reports show as free: what was ordered counts, what waits for its
// order does not.
func (m *Machine) room() job.Resources {
	room := m.capacity
	for _, pl := range m.placements {
		if !pl.hasEnded() && !pl.isPending() {
			room = room.Sub(pl.Resources)
		}
	}
	return room
}

// roomAfterPending is what is left once all that waits for its order has started. Open is
// false once one finds no room: what comes after it waits as well. Ahead counts those.
func (m *Machine) roomAfterPending() (room job.Resources, open bool, ahead int) {
	room, open = m.room(), !m.unaccounted()
	for _, pl := range m.placements {
		if !pl.isPending() {
			continue
		}
		open = open && pl.Resources.FitsIn(room)
		if open {
			room = room.Sub(pl.Resources)
		} else {
			ahead++
		}
	}
	return room, open, ahead
}

// unaccounted tells that the machine runs something of which we know nothing.
func (m *Machine) unaccounted() bool {
	if m.refusedStart || m.unknownLeftOut {
		return true
	}
	for _, tr := range m.unknown {
		if tr.Status != protocol.TaskEnded {
			return true
		}
	}
	return false
}

// eachPending goes through what waits for its order, in order, and tells what has room.
func (m *Machine) eachPending(f func(pl *Placement, need job.Resources, fits bool)) {
	room := m.room()
	open := !m.unaccounted()
	visit := func(pl *Placement, need job.Resources) {
		open = open && need.FitsIn(room)
		if open {
			room = room.Sub(need)
		}
		f(pl, need, open)
	}
	for _, pl := range m.placements {
		if pl.isPending() {
			visit(pl, pl.Resources)
		}
	}
	for _, e := range m.queue {
		visit(nil, e.resources)
	}
}

// cachedImage is an image that a machine has.
type cachedImage struct {
	name string
	gb   float64
}
