package partition

import (
	"slices"
	"time"

	"junipershelf/internal/limits"
	"junipershelf/job"
	"junipershelf/protocol"
)

// HandleHeartbeat takes a worker's report. Fresh is false for one that is older than what is known:
// it changes nothing and gets no commands.
func (p *Partition) HandleHeartbeat(now time.Time, r *protocol.Heartbeat) (fresh bool) {
	if _, was := p.terminated[r.Machine]; was {
		// The cloud said that it is gone: a late copy.
		return false
	}
	if p.machines[r.Machine] == nil && p.cfg.MaxMachines > 0 && len(p.machines) >= p.cfg.MaxMachines {
		p.Limits.Record(limits.Machines)
		return false
	}
	m := p.machine(r.Machine, r.MachineType, r.Zone, r.Spot, now)
	if !m.isNewer(r) {
		return false
	}
	changed := m.differs(r)
	if r.AgentEpoch > m.agentEpoch {
		changed = p.beginAgentEpoch(m, r.AgentEpoch, now) || changed
	}
	p.forgetUnknown(m)
	m.applyHeartbeat(r, now)
	m.capacity, _ = p.capacityOf(m.MachineType)
	hearsUs := r.FencingToken >= p.view
	if hearsUs {
		changed = changed || m.lastContact.IsZero()
		m.lastContact = now
	}
	seenChanged, startsSeen := p.applyTasks(m, r, now)
	missingChanged, startsLost := p.applyMissing(m, r, hearsUs)
	changed = changed || seenChanged || missingChanged
	switch {
	case startsSeen:
		m.unacknowledgedReplies = 0
	case startsLost:
		m.unacknowledgedReplies++
		changed = true
	}
	if changed {
		p.markChanged(m)
	}
	return true
}

// isNewer tells whether a report is newer than the last one that was taken.
func (m *Machine) isNewer(r *protocol.Heartbeat) bool {
	return r.AgentEpoch > m.agentEpoch || r.AgentEpoch == m.agentEpoch && r.Sequence > m.sequence
}

// differs tells whether a report shows the machine itself otherwise than it is known.
func (m *Machine) differs(r *protocol.Heartbeat) bool {
	return m.lastHeartbeat.IsZero() || m.MachineType != r.MachineType || m.Zone != r.Zone || m.Spot != r.Spot ||
		m.preemptionNotice != (r.PreemptionNoticeS != nil) || m.leaseExpired || m.refusedStart || r.AgentEpoch != m.agentEpoch
}

// applyHeartbeat takes what a report says of the machine itself.
func (m *Machine) applyHeartbeat(r *protocol.Heartbeat, now time.Time) {
	m.MachineType, m.Zone, m.Spot, m.Endpoint = r.MachineType, r.Zone, r.Spot, r.Endpoint
	m.agentEpoch, m.sequence, m.fencingToken = r.AgentEpoch, r.Sequence, r.FencingToken
	m.heartbeats++
	m.lastHeartbeat, m.leaseExpired = now, false
	m.preemptionNotice, m.refusedStart = r.PreemptionNoticeS != nil, false
	m.overflowTaken, m.overflowSpent = 0, false
}

// beginAgentEpoch takes that a worker's session has risen: all of earlier ones is gone. It
// tells whether the machine turned out to be unreachable for responses.
func (p *Partition) beginAgentEpoch(m *Machine, session uint64, now time.Time) (unreachable bool) {
	if m.unreachableForReplies(now, p.cfg.Lease) {
		m.evict(evictingAtOnce)
		unreachable = true
		p.Counts.Unreachable++
	}
	m.repliedHeartbeats = [2]time.Time{}
	for _, pl := range m.placements {
		if pl.AgentEpoch < session && pl.mayExist() {
			p.countLoss(pl, m.lastHeartbeat, now, now)
			p.endPlacement(m, pl)
		}
	}
	return unreachable
}

// unreachableForReplies tells that the reports of most of a lease were answered and not one answer
// came through. Reports that were held back come all at once and prove nothing of the kind.
func (m *Machine) unreachableForReplies(now time.Time, lease time.Duration) bool {
	first, last := m.repliedHeartbeats[0], m.repliedHeartbeats[1]
	return !first.IsZero() && m.lastHeartbeat.Equal(last) && now.Sub(last) < lease && last.Sub(first) > lease*2/3
}

// applyTasks takes the tasks that a report shows. It tells whether anything changed, and
// whether a start has arrived.
func (p *Partition) applyTasks(m *Machine, r *protocol.Heartbeat, now time.Time) (changed, startsSeen bool) {
	for _, tr := range r.Tasks {
		uid, index, err := protocol.ParseTaskName(tr.Task)
		if err != nil {
			continue
		}
		task := job.Task{Job: uid, Index: index}
		pl := m.find(task)
		if pl == nil || pl.Attempt != tr.Attempt {
			p.recordUnknown(m, task, tr)
			continue
		}
		startsSeen = startsSeen || pl.startUnconfirmed()
		changed = p.applyTask(m, pl, tr, now) || changed
	}
	return changed, startsSeen
}

// What is kept of tasks that workers report and nobody placed: so many on all machines, and
// beyond that so many on each. The others come with the machine's next reports, once it has
// forgotten these.
const (
	maxUnknownTasks        = 1 << 14
	maxMachineUnknownTasks = 16
)

// recordUnknown keeps a task that nobody placed, so that the worker is told to stop or forget it.
func (p *Partition) recordUnknown(m *Machine, task job.Task, tr protocol.ReportedTask) {
	if p.unknownTasks >= maxUnknownTasks && len(m.unknown) >= maxMachineUnknownTasks {
		m.unknownLeftOut = true
		p.Limits.Record(limits.UnknownTasks)
		return
	}
	if _, known := m.unknown[task]; !known {
		p.unknownTasks++
	}
	m.unknown[task] = tr
}

// forgetUnknown drops what was kept of a machine's unknown tasks.
func (p *Partition) forgetUnknown(m *Machine) {
	p.unknownTasks -= len(m.unknown)
	m.unknownLeftOut = false
	clear(m.unknown)
}

// applyTask takes what a report shows of a placement.
func (p *Partition) applyTask(m *Machine, pl *Placement, tr protocol.ReportedTask, now time.Time) (changed bool) {
	pl.lastReported = m.heartbeats
	changed = pl.observe(tr.Status, now)
	switch tr.Status {
	case protocol.TaskFetching:
		pl.steps.fetching = now
	case protocol.TaskRunning:
		p.countStart(pl, now)
		if changed && pl.Image != "" {
			p.recordImage(m, pl.Image, pl.ImageGB)
		}
	case protocol.TaskEnded:
		if !pl.hasEnded() {
			p.applyEnd(m, pl, tr.Cause, now)
		}
	}
	return changed
}

// applyEnd takes that a task has ended.
func (p *Partition) applyEnd(m *Machine, pl *Placement, cause protocol.EndCause, now time.Time) {
	p.countLoss(pl, now, pl.steps.stopOrdered, now)
	// A replica never completes: it has to run again, and one that ends everywhere counts as
	// failed, so that it backs off.
	completed := cause == protocol.CauseDone && !p.isReplica(pl)
	if completed {
		pl.end(outcomeCompleted)
	} else {
		pl.end(outcomeFailed)
	}
	if cause == protocol.CauseNoRoom {
		m.refusedStart = true
	}
	if !completed && cause != protocol.CauseStopped {
		p.failures = append(p.failures, Failure{Task: pl.Task, Machine: m.ID, Cause: cause})
	}
}

// applyMissing takes the placements that a report does not show. It tells whether anything
// changed, and whether a start was lost with its answer.
func (p *Partition) applyMissing(m *Machine, r *protocol.Heartbeat, hearsUs bool) (changed, startsLost bool) {
	for _, pl := range m.placements {
		if pl.lastReported == m.heartbeats || pl.hasEnded() {
			continue
		}
		startLost := false
		switch {
		case pl.AgentEpoch < r.AgentEpoch && pl.committed:
			p.endPlacement(m, pl) // committed for a session that is over
		case pl.start == startRestored && hearsUs:
			// No start of an older view can reach the worker any more.
			p.endPlacement(m, pl)
		case pl.start == startSent && hearsUs && r.Sequence > pl.startSequence:
			startLost = true
		}
		changed = changed || pl.status != ""
		startsLost = startsLost || startLost
		pl.markUnreported(startLost)
	}
	return changed, startsLost
}

// recordImage notes that an image was just used on a machine, which keeps those used last as
// far as its cache holds them.
func (p *Partition) recordImage(m *Machine, image string, sizeGB float64) {
	m.images = slices.DeleteFunc(m.images, func(c cachedImage) bool { return c.name == image })
	m.images = append(m.images, cachedImage{image, sizeGB})
	if p.cfg.CacheGB == nil {
		return
	}
	room := p.cfg.CacheGB(m.MachineType)
	for i := len(m.images) - 1; i >= 0; i-- {
		if room -= m.images[i].gb; room < 0 && i < len(m.images)-1 {
			m.images = slices.Delete(m.images, 0, i+1)
			return
		}
	}
}

// endPlacement notes that a placement is lost, or not wanted any more before it was ordered.
func (p *Partition) endPlacement(m *Machine, pl *Placement) {
	pl.end(outcomeLost)
	p.Counts.Lost++
	p.markChanged(m)
}

// RecordReply notes that a machine's last report gets a 200.
func (p *Partition) RecordReply(id string) {
	m := p.machines[id]
	if m == nil {
		return
	}
	if m.repliedHeartbeats[0].IsZero() {
		m.repliedHeartbeats[0] = m.lastHeartbeat
	}
	m.repliedHeartbeats[1] = m.lastHeartbeat
}

// RecordContact notes a report that could not be taken for want of authority: the machine is
// not silent, whatever becomes of its lease.
func (p *Partition) RecordContact(r *protocol.Heartbeat, now time.Time) {
	m := p.machines[r.Machine]
	if m != nil && r.FencingToken >= p.view && !m.lastContact.IsZero() && m.isNewer(r) {
		m.lastContact = now
	}
}
