package partition

import (
	"slices"
	"time"

	"junipershelf/job"
	"junipershelf/protocol"
)

// Machine is one of the owner's machines.
type Machine struct {
	ID, MachineType, Zone, Endpoint string
	Spot                            bool

	machineStatus
	contact

	capacity         job.Resources
	shard            *shard // to which its next placements are assigned; nil: none yet
	placements       []*Placement
	queue            []queuedTask
	images           imageCache
	unknown          map[job.Task]protocol.ReportedTask // tasks that it reports without a placement
	unknownTruncated bool                               // the machine reports more unknown tasks than are kept
	refusedStart     bool                               // its last heartbeat reported a start refused for lack of free resources, although they should have sufficed
	intake           overflowIntake
	replies          replyTracker
	starts           sentStarts
	idleSince        time.Time // zero while the machine holds tasks
	version          uint64    // of its last change, see machineTable
}

// kind returns the properties of a machine that jobs may restrict.
func (m *Machine) kind() job.MachineKind {
	return job.MachineKind{MachineType: m.MachineType, Zone: m.Zone, Spot: m.Spot}
}

// contact is the state of a machine's agent from its heartbeats, with their times.
type contact struct {
	agentEpoch    uint64
	sequence      uint64
	fencingToken  uint64
	heartbeats    uint64    // number of heartbeats applied
	lastHeartbeat time.Time // last heartbeat applied; zero: none in this view
	firstKnown    time.Time // when this view first knew of the machine
	lastContact   time.Time // last heartbeat that proves it alive in this view; zero: none
}

// overflowIntake is what a machine has accepted as overflow since its last heartbeat.
type overflowIntake struct {
	accepted  int
	exhausted bool // its reported free resources are used up
}

// find returns the placement of a task, or nil.
func (m *Machine) find(t job.Task) *Placement {
	for _, pl := range m.placements {
		if pl.Task == t {
			return pl
		}
	}
	return nil
}

// isIdle reports whether a machine holds no tasks.
func (m *Machine) isIdle() bool { return len(m.placements)+len(m.queue) == 0 }

// updateIdle records since when a machine has been idle, and reports whether it has just become idle.
func (m *Machine) updateIdle(now time.Time) (becameIdle bool) {
	if !m.isIdle() {
		m.idleSince = time.Time{}
		return false
	}
	if !m.idleSince.IsZero() {
		return false
	}
	m.idleSince = now
	return true
}

// hasUnaccountedTasks reports whether the machine runs, or seems to run, tasks that are not placed
// there.
func (m *Machine) hasUnaccountedTasks() bool {
	if m.refusedStart || m.unknownTruncated {
		return true
	}
	for _, reported := range m.unknown {
		if reported.Status != protocol.TaskEnded {
			return true
		}
	}
	return false
}

// isNewer reports whether a heartbeat is newer than the last one that was applied.
func (m *Machine) isNewer(r *protocol.Heartbeat) bool {
	return r.AgentEpoch > m.agentEpoch || r.AgentEpoch == m.agentEpoch && r.Sequence > m.sequence
}

// differs reports whether a heartbeat's data on the machine itself differs from the last heartbeat's.
func (m *Machine) differs(r *protocol.Heartbeat) bool {
	return m.lastHeartbeat.IsZero() || m.MachineType != r.MachineType || m.Zone != r.Zone || m.Spot != r.Spot ||
		m.preemptionNotice != (r.PreemptionNoticeS != nil) || m.leaseExpired || m.refusedStart || r.AgentEpoch != m.agentEpoch
}

// applyHeartbeat records a heartbeat's data on the machine itself.
func (m *Machine) applyHeartbeat(r *protocol.Heartbeat, now time.Time) {
	m.MachineType, m.Zone, m.Spot, m.Endpoint = r.MachineType, r.Zone, r.Spot, r.Endpoint
	m.agentEpoch, m.sequence, m.fencingToken = r.AgentEpoch, r.Sequence, r.FencingToken
	m.heartbeats++
	m.lastHeartbeat, m.leaseExpired = now, false
	m.preemptionNotice, m.refusedStart = r.PreemptionNoticeS != nil, false
	m.intake = overflowIntake{}
}

// maxUnacknowledgedReplies is the number of consecutive replies without effect after which a machine
// gets no work until a reply has an effect.
const maxUnacknowledgedReplies = 2

// replyTracker detects machines whose heartbeats arrive while the replies to them are lost.
type replyTracker struct {
	first, last    time.Time // times of the first and last heartbeat of this agent epoch that were answered
	unacknowledged int       // consecutive replies whose start commands had no effect
}

// record records that a heartbeat is answered.
func (t *replyTracker) record(heartbeat time.Time) {
	if t.first.IsZero() {
		t.first = heartbeat
	}
	t.last = heartbeat
}

// beginAgentEpoch clears the answered heartbeats.
func (t *replyTracker) beginAgentEpoch() { t.first, t.last = time.Time{}, time.Time{} }

// unreachable is called when the agent's epoch rises. It reports whether this owner answered
// heartbeats for most of a lease, up to the last one, so that the replies must have been lost.
// Delayed heartbeats that arrive in a burst span too little time to prove this.
func (t *replyTracker) unreachable(lastHeartbeat, now time.Time, lease time.Duration) bool {
	return !t.first.IsZero() && lastHeartbeat.Equal(t.last) && now.Sub(t.last) < lease && t.last.Sub(t.first) > lease*2/3
}

// tooManyUnacknowledged reports whether a machine gets no work because it missed replies.
func (t *replyTracker) tooManyUnacknowledged() bool {
	return t.unacknowledged >= maxUnacknowledgedReplies
}

// imageCache holds the images on a machine, in order of last use; the most recent is at the end.
type imageCache []cachedImage

type cachedImage struct {
	name   string
	sizeGB float64
}

// use records that an image was just used.
func (c *imageCache) use(image string, sizeGB float64) {
	*c = slices.DeleteFunc(*c, func(other cachedImage) bool { return other.name == image })
	*c = append(*c, cachedImage{image, sizeGB})
}

// shrink drops the least recently used images until the others fit into a size.
// The most recently used one is always kept.
func (c *imageCache) shrink(sizeGB float64) {
	for i, image := range slices.Backward(*c) {
		if sizeGB -= image.sizeGB; sizeGB < 0 && i < len(*c)-1 {
			*c = slices.Delete(*c, 0, i+1)
			return
		}
	}
}
