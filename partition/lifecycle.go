package partition

import "time"

// machineStatus holds the conditions that keep a machine from taking work. Only the methods in this
// file and applyHeartbeat change it.
type machineStatus struct {
	preemptionNotice bool // its last heartbeat carried a preemption notice of the cloud
	eviction         evictionState
	termination      terminationState
	terminatingSince time.Time // when its termination was decided
	leaseExpired     bool      // the agent's lease has expired, also by the agent's own clock; reset by its next heartbeat
}

// evictionState is the eviction state of a machine. It only increases, through evict:
//
//	notEvicting -> evictingGracefully -> terminatingAtOnce
//	notEvicting -> terminatingAtOnce
type evictionState uint8

const (
	notEvicting        evictionState = iota
	evictingGracefully               // starts no new tasks, and is terminated once it is idle
	terminatingAtOnce                // terminated without waiting for its tasks
)

// terminationState is the progress of a machine's termination by the cloud. It only increases,
// through startTermination and confirmTermination:
//
//	notTerminating -> terminating -> terminated
//	notTerminating -> terminated
//
// It is independent of the eviction state: a silent machine is terminated without eviction, and
// keeps its tasks if it sends heartbeats again before its termination is confirmed.
type terminationState uint8

const (
	notTerminating terminationState = iota
	terminating                     // the cloud has been asked to terminate it
	terminated                      // confirmed by the cloud: the machine and its tasks are gone
)

// evict raises the eviction state of a machine, and reports whether it changed.
func (m *Machine) evict(to evictionState) (changed bool) {
	if to <= m.eviction {
		return false
	}
	m.eviction = to
	return true
}

// startTermination records the decision to terminate a machine.
func (m *Machine) startTermination(now time.Time) {
	m.termination, m.terminatingSince = terminating, now
}

// confirmTermination records that the cloud has terminated a machine.
func (m *Machine) confirmTermination() { m.termination = terminated }

// usable reports whether a machine may take work. It must have sent a heartbeat with this view's
// fencing token, which proves that it is alive and receives replies: a delayed copy of an older
// heartbeat never carries that token.
func (m *Machine) usable() bool {
	return !m.lastContact.IsZero() && !m.mustMoveTasks() && m.termination == notTerminating &&
		!m.leaseExpired && !m.replies.tooManyUnacknowledged()
}

// mustMoveTasks reports whether a machine's tasks should move elsewhere because the machine is about
// to be terminated.
func (m *Machine) mustMoveTasks() bool { return m.preemptionNotice || m.eviction != notEvicting }

// isLeaving reports whether a machine is being evicted or terminated.
func (m *Machine) isLeaving() bool {
	return m.eviction != notEvicting || m.termination != notTerminating
}

// mayTerminate reports whether a machine that is being evicted or preempted can be terminated now.
func (m *Machine) mayTerminate() bool {
	return m.eviction == terminatingAtOnce || m.mustMoveTasks() && m.isIdle()
}

// silence returns the time since a machine's last contact in this view or, if there was none, since
// this view first knew of it.
func (m *Machine) silence(now time.Time) time.Duration {
	if m.lastContact.IsZero() {
		return now.Sub(m.firstKnown)
	}
	return now.Sub(m.lastContact)
}

// machineLifecycle decides when agents' leases expire and when machines are evicted and terminated.
type machineLifecycle struct {
	*shared

	viewSeenAt time.Time
}

// leaseEnd returns the time by which an agent's lease has certainly expired (invariant 3 of the
// design): one lease after the last heartbeat that this owner applied. Until the agent has seen this
// view's fencing token, it is at least one lease after the last reply that the former owner could
// have sent.
func (l *machineLifecycle) leaseEnd(m *Machine) time.Time {
	ownEnd := m.lastHeartbeat.Add(l.cfg.Lease)
	if m.fencingToken >= l.view {
		return ownEnd
	}
	formerEnd := l.viewSeenAt.Add(l.cfg.OwnershipLease + l.cfg.Lease)
	if m.lastHeartbeat.IsZero() || formerEnd.After(ownEnd) {
		return formerEnd
	}
	return ownEnd
}

// expireLease marks an agent's lease as expired once leaseEnd has passed: all its tasks are lost.
func (l *machineLifecycle) expireLease(m *Machine, now time.Time) {
	if m.leaseExpired || !now.After(l.leaseEnd(m)) {
		return
	}
	m.leaseExpired = true
	l.machines.markChanged(m)
	for _, pl := range m.placements {
		if pl.mayExist() {
			l.confirmLost(m, pl, replicaLoss{lastSeen: m.lastHeartbeat, decided: now, confirmed: now})
		}
	}
}

// evict raises the eviction state of machines, and skips those that the cloud has terminated.
func (l *machineLifecycle) evict(ids []string, to evictionState, now time.Time) {
	for _, id := range ids {
		if l.machines.isTerminated(id) {
			continue
		}
		m := l.machines.findOrAdd(id, RecordKind{}, now)
		if m.evict(to) {
			l.machines.markChanged(m)
		}
	}
}

// machinesToTerminate returns the machines that the cloud is to terminate now, sorted by id.
func (l *machineLifecycle) machinesToTerminate(now time.Time) []string {
	limit := l.silenceLimit(now)
	var out []string
	for _, m := range l.machines.sorted {
		if m.termination == notTerminating && (m.mayTerminate() || l.isSilent(m, limit, now)) {
			m.startTermination(now)
			l.machines.markChanged(m)
		}
		if m.termination == terminating {
			out = append(out, m.ID)
		}
	}
	return out
}

// maxSilenceLeases is the number of lease durations of silence after which a machine is terminated
// even if most others are silent too, or if it has had no contact in this view.
const maxSilenceLeases = 3

// silenceLimit returns how long a machine that had contact in this view may be silent. When most
// machines are silent, the fault is more likely on the owner's side, and the longer limit applies.
func (l *machineLifecycle) silenceLimit(now time.Time) time.Duration {
	silent, responsive := 0, 0
	for _, m := range l.machines.sorted {
		switch {
		case m.lastContact.IsZero():
		case m.silence(now) > 2*l.cfg.HeartbeatInterval:
			silent++
		default:
			responsive++
		}
	}
	limit := maxSilenceLeases * l.cfg.Lease
	if responsive >= silent || silent <= 1 {
		return min(limit, l.cfg.SilentLimit)
	}
	return limit
}

// isSilent reports whether a machine has been silent for longer than limit or, if it has had no
// contact in this view, for longer than maxSilenceLeases.
func (l *machineLifecycle) isSilent(m *Machine, limit time.Duration, now time.Time) bool {
	if m.lastContact.IsZero() {
		limit = maxSilenceLeases * l.cfg.Lease
	}
	return m.silence(now) > limit
}

// confirmTerminated records that the cloud has terminated machines. Their tasks are lost.
func (l *machineLifecycle) confirmTerminated(ids []string, now time.Time) {
	for _, id := range ids {
		l.machines.recordTerminated(id, now)
		m := l.machines.get(id)
		if m == nil {
			continue
		}
		m.confirmTermination()
		m.queue = nil
		for _, pl := range m.placements {
			if !pl.hasEnded() {
				l.confirmLost(m, pl, replicaLoss{lastSeen: m.lastContact, decided: m.terminatingSince, confirmed: now})
			}
		}
		l.machines.markChanged(m)
	}
}
