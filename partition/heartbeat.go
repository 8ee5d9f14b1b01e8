package partition

import (
	"time"

	"junipershelf/internal/limits"
	"junipershelf/job"
	"junipershelf/protocol"
)

// heartbeats applies agents' heartbeats to machines and their placements.
type heartbeats struct {
	*shared
}

// handle applies a heartbeat. It returns false, and changes nothing, in the cases that
// Partition.HandleHeartbeat lists.
func (h *heartbeats) handle(now time.Time, r *protocol.Heartbeat) (fresh bool) {
	if h.machines.isTerminated(r.Machine) {
		return false // a delayed copy
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

// applyMachine applies a heartbeat's data on the machine itself, and reports whether it changed.
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

// provesContact reports whether a heartbeat proves that the agent received a reply in this view: it
// carries this view's fencing token, which a copy of an earlier heartbeat never does.
func (h *heartbeats) provesContact(r *protocol.Heartbeat) bool { return r.FencingToken >= h.view }

// beginAgentEpoch records that a machine's agent has restarted or lost its lease: all placements of
// earlier agent epochs are lost. A machine that evidently receives no replies is marked for
// termination.
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

// applyTasks updates the placements that a heartbeat reports and those that it does not, and reports
// whether anything changed.
func (h *heartbeats) applyTasks(m *Machine, r *protocol.Heartbeat, now time.Time) (changed bool) {
	seenChanged, startConfirmed := h.applyReported(m, r, now)
	missingChanged, startLost := h.applyUnreported(m, r)
	switch {
	case startConfirmed:
		m.replies.unacknowledged = 0
	case startLost:
		m.replies.unacknowledged++
		return true
	}
	return seenChanged || missingChanged
}

// applyReported applies the tasks that a heartbeat reports. It returns whether anything changed, and
// whether the heartbeat confirms that a start command was received.
func (h *heartbeats) applyReported(m *Machine, r *protocol.Heartbeat, now time.Time) (changed, startConfirmed bool) {
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
		startConfirmed = startConfirmed || pl.startUnconfirmed()
		changed = h.applyPlacement(m, pl, reported, now) || changed
	}
	return changed, startConfirmed
}

// applyPlacement applies a reported task to its placement, and reports whether the status changed.
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
		// Only the status changes.
	}
	return changed
}

// applyEnd ends a placement whose task a heartbeat reports as ended.
func (h *heartbeats) applyEnd(m *Machine, pl *Placement, cause protocol.EndCause, now time.Time) {
	h.recordReplicaLoss(pl, replicaLoss{lastSeen: now, decided: pl.timestamps.stopSent, confirmed: now})
	if cause == protocol.CauseNoCapacity {
		m.refusedStart = true
	}
	// A replica never completes: it has to run again. Its end counts as a failure, so that a replica
	// that ends on every machine backs off.
	if cause == protocol.CauseDone && !h.isReplica(pl) {
		pl.end(outcomeCompleted)
		return
	}
	pl.end(outcomeFailed)
	if cause != protocol.CauseStopped {
		h.outbox.failures = append(h.outbox.failures, Failure{Task: pl.Task, Machine: m.ID, Cause: cause})
	}
}

// applyUnreported updates the placements that a heartbeat does not report. It returns whether anything
// changed, and whether a start command was lost with its reply.
func (h *heartbeats) applyUnreported(m *Machine, r *protocol.Heartbeat) (changed, startLost bool) {
	for _, pl := range m.placements {
		if pl.lastReported == m.heartbeats || pl.hasEnded() {
			continue
		}
		switch {
		case pl.AgentEpoch < r.AgentEpoch && pl.committed:
			h.markLost(m, pl) // committed for an earlier agent epoch
		case pl.start == startRestored && h.provesContact(r):
			// A start command of an earlier view can no longer reach the agent.
			h.markLost(m, pl)
		case pl.start == startSent && h.provesContact(r) && r.Sequence > pl.startSequence:
			pl.withdrawStart()
			startLost = true
		}
		changed = changed || pl.status != ""
		pl.markUnreported()
	}
	return changed, startLost
}

// recordImage records that an image was just used on a machine, and drops the least recently used
// images that exceed the size of its cache.
func (h *heartbeats) recordImage(m *Machine, image string, sizeGB float64) {
	m.images.use(image, sizeGB)
	if h.cfg.CacheGB != nil {
		m.images.shrink(h.cfg.CacheGB(m.MachineType))
	}
}
