package partition

import (
	"time"

	"junipershelf/internal/limits"
	"junipershelf/job"
	"junipershelf/protocol"
)

// heartbeats applies workers' heartbeats to their machines and placements.
type heartbeats struct {
	*shared
}

// handle applies a heartbeat, and reports whether it is newer than what is known. One that is not
// changes nothing.
func (h *heartbeats) handle(now time.Time, r *protocol.Heartbeat) (fresh bool) {
	if h.machines.isTerminated(r.Machine) {
		return false // a late copy
	}
	if h.machines.get(r.Machine) == nil && h.cfg.MaxMachines > 0 && len(h.machines.sorted) >= h.cfg.MaxMachines {
		h.Limits.Record(limits.Machines)
		return false
	}
	m := h.machines.findOrAdd(r.Machine, RecordKind{MachineType: r.MachineType, Zone: r.Zone, Spot: r.Spot}, now)
	if !m.isNewer(r) {
		return false
	}
	machineChanged := h.applyMachine(m, r, now)
	tasksChanged := h.applyTasks(m, r, now)
	if machineChanged || tasksChanged {
		h.machines.markChanged(m)
	}
	return true
}

// applyMachine applies what a heartbeat shows of the machine itself, and reports whether anything
// changed.
func (h *heartbeats) applyMachine(m *Machine, r *protocol.Heartbeat, now time.Time) (changed bool) {
	changed = m.differs(r)
	if r.AgentEpoch > m.agentEpoch {
		h.beginAgentEpoch(m, r.AgentEpoch, now)
	}
	h.unknown.forget(m)
	m.applyHeartbeat(r, now)
	h.machines.updateCapacity(m)
	if h.provesContact(r) {
		changed = changed || m.lastContact.IsZero()
		m.lastContact = now
	}
	return changed
}

// provesContact reports whether a heartbeat shows that the worker received a reply of this view:
// by this view's fencing token, which a copy of an earlier one never carries.
func (h *heartbeats) provesContact(r *protocol.Heartbeat) bool { return r.FencingToken >= h.view }

// beginAgentEpoch records that a worker's agent has restarted or lost its lease: all placements of
// earlier agent epochs are gone. A machine that turns out to receive no replies is to be
// terminated.
func (h *heartbeats) beginAgentEpoch(m *Machine, epoch uint64, now time.Time) {
	if m.replies.unreachable(m.lastHeartbeat, now, h.cfg.Lease) {
		m.evict(terminatingAtOnce)
		h.Counts.Unreachable++
	}
	m.replies.beginAgentEpoch()
	for _, pl := range m.placements {
		if pl.AgentEpoch < epoch && pl.mayExist() {
			h.confirmLost(m, pl, replicaLoss{lastSeen: m.lastHeartbeat, decided: now, confirmed: now})
		}
	}
}

// applyTasks applies the tasks that a heartbeat shows, and those that it does not show, and
// reports whether anything changed.
func (h *heartbeats) applyTasks(m *Machine, r *protocol.Heartbeat, now time.Time) (changed bool) {
	seenChanged, startsSeen := h.applyReported(m, r, now)
	missingChanged, startsLost := h.applyUnreported(m, r)
	switch {
	case startsSeen:
		m.replies.unacknowledged = 0
	case startsLost:
		m.replies.unacknowledged++
		return true
	}
	return seenChanged || missingChanged
}

// applyReported applies the tasks that a heartbeat shows. It reports whether anything changed, and
// whether a start has arrived.
func (h *heartbeats) applyReported(m *Machine, r *protocol.Heartbeat, now time.Time) (changed, startsSeen bool) {
	for _, reported := range r.Tasks {
		uid, index, err := protocol.ParseTaskName(reported.Task)
		if err != nil {
			continue
		}
		task := job.Task{Job: uid, Index: index}
		pl := m.find(task)
		if pl == nil || pl.Attempt != reported.Attempt {
			h.unknown.record(m, task, reported)
			continue
		}
		startsSeen = startsSeen || pl.startUnconfirmed()
		changed = h.applyPlacement(m, pl, reported, now) || changed
	}
	return changed, startsSeen
}

// applyPlacement applies what a heartbeat shows of a placement, and reports whether its status has
// changed.
func (h *heartbeats) applyPlacement(m *Machine, pl *Placement, reported protocol.ReportedTask, now time.Time) (changed bool) {
	pl.lastReported = m.heartbeats
	changed = pl.observe(reported.Status, now)
	switch reported.Status {
	case protocol.TaskFetching:
		pl.timestamps.fetching = now
	case protocol.TaskRunning:
		h.recordReplicaStart(pl, now)
		if changed && pl.Image != "" {
			h.recordImage(m, pl.Image, pl.ImageGB)
		}
	case protocol.TaskEnded:
		if !pl.hasEnded() {
			h.applyEnd(m, pl, reported.Cause, now)
		}
	case protocol.TaskWaiting, protocol.TaskCheckpointing:
		// Nothing follows from them.
	}
	return changed
}

// applyEnd applies that a placement has ended.
func (h *heartbeats) applyEnd(m *Machine, pl *Placement, cause protocol.EndCause, now time.Time) {
	h.recordReplicaLoss(pl, replicaLoss{lastSeen: now, decided: pl.timestamps.stopOrdered, confirmed: now})
	if cause == protocol.CauseNoRoom {
		m.refusedStart = true
	}
	// A replica never completes: it has to run again, and one that ends everywhere counts as
	// failed, so that it backs off.
	if cause == protocol.CauseDone && !h.isReplica(pl) {
		pl.end(outcomeCompleted)
		return
	}
	pl.end(outcomeFailed)
	if cause != protocol.CauseStopped {
		h.outbox.failures = append(h.outbox.failures, Failure{Task: pl.Task, Machine: m.ID, Cause: cause})
	}
}

// applyUnreported applies that a heartbeat does not show some placements. It reports whether
// anything changed, and whether a start was lost with its reply.
func (h *heartbeats) applyUnreported(m *Machine, r *protocol.Heartbeat) (changed, startsLost bool) {
	for _, pl := range m.placements {
		if pl.lastReported == m.heartbeats || pl.hasEnded() {
			continue
		}
		switch {
		case pl.AgentEpoch < r.AgentEpoch && pl.committed:
			h.markLost(m, pl) // committed for an agent epoch that is over
		case pl.start == startRestored && h.provesContact(r):
			// No start of an older view can reach the worker any more.
			h.markLost(m, pl)
		case pl.start == startSent && h.provesContact(r) && r.Sequence > pl.startSequence:
			pl.withdrawStart()
			startsLost = true
		}
		changed = changed || pl.status != ""
		pl.markUnreported()
	}
	return changed, startsLost
}

// recordImage records that an image was just used on a machine, which keeps those used last as
// far as its cache holds them.
func (h *heartbeats) recordImage(m *Machine, image string, sizeGB float64) {
	m.images.use(image, sizeGB)
	if h.cfg.CacheGB != nil {
		m.images.shrink(h.cfg.CacheGB(m.MachineType))
	}
}
