package scheduler

import (
	"slices"
	"time"

	"junipershelf/job"
	"junipershelf/partition"
)

// Machine is a machine as the leader counts it.
type Machine struct {
	partition.MachineState
	Owner       int
	Capacity    job.Resources
	FreeNow     job.Resources
	QueuedTasks int // tasks that wait there for room
	HeldCount   int
	lastSeen    time.Time // when it was shown
	images      []int32
	fetching    []int32
	releaseRate float64 // slots that fall free in a second; of this cycle
	maxQueued   int     // tasks that may wait there; of this cycle
	pending     int     // tasks assigned that its owner has not acknowledged
	version     uint64
	place       int          // among all machines by id
	closed      bool         // it can take no more in this pass
	unacked     []Assignment // given to its owner and not acknowledged
	gone        bool         // it is no machine of the ledger any more
}

// IdleSeconds is how long a machine has held nothing, below 0 if it holds something.
func (m *Machine) IdleSeconds(now time.Time) float64 {
	if m.IdleS < 0 || m.pending > 0 {
		return -1
	}
	return m.IdleS + now.Sub(m.lastSeen).Seconds()
}

// LastSeen is when its owner last showed it anew.
func (m *Machine) LastSeen() time.Time { return m.lastSeen }

// Open tells whether a machine may take work at all.
func (m *Machine) Open() bool { return m.Usable && !m.Evicting && !m.PreemptionNotice }

// holds tells whether a machine holds tasks of a job.
func (m *Machine) holds(uid string) bool {
	return slices.ContainsFunc(m.Held, func(h partition.HeldTasks) bool { return h.Job == uid && h.Phase != partition.PhaseEnded })
}
