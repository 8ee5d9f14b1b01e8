package partition

import "time"

// machineStatus is what may keep a machine from taking work. The methods in this file change it,
// but for what a heartbeat shows, see applyHeartbeat.
type machineStatus struct {
	preemptionNotice bool // the cloud is about to take it away, by its last heartbeat
	eviction         evictionState
	termination      terminationState
	terminatingSince time.Time // when its termination was decided
	leaseExpired     bool      // by the worker's clock as well; until its next heartbeat
}

// evictionState is whether a machine is to be emptied. It only rises, by evict:
//
//	notEvicting -> evictingGracefully -> terminatingAtOnce
//	notEvicting -> terminatingAtOnce
type evictionState uint8

const (
	notEvicting        evictionState = iota
	evictingGracefully               // it starts nothing new, and is terminated once it is idle
	terminatingAtOnce                // it is terminated without waiting for its tasks
)

// terminationState is how far the return of a machine to the cloud is. It only rises, by
// startTermination and confirmTermination:
//
//	notTerminating -> terminating -> terminated
//	notTerminating -> terminated
//
// It is independent of the eviction: a silent machine is terminated without having been evicted,
// and keeps its tasks if it is heard of again.
type terminationState uint8

const (
	notTerminating terminationState = iota
	terminating                     // the cloud is asked to take it back
	terminated                      // the cloud has confirmed it: the machine and its tasks are gone
)

// evict raises the eviction of a machine, and reports whether that changed anything.
func (m *Machine) evict(to evictionState) (changed bool) {
	if to <= m.eviction {
		return false
	}
	m.eviction = to
	return true
}

// startTermination records the decision to return a machine to the cloud.
func (m *Machine) startTermination(now time.Time) {
	m.termination, m.terminatingSince = terminating, now
}

// confirmTermination records that the cloud has taken a machine back.
func (m *Machine) confirmTermination() { m.termination = terminated }

// usable reports whether a machine may take work. Only a heartbeat that carries this view's
// fencing token shows that it is there and receives replies: a copy of an old one, however late,
// never carries it.
func (m *Machine) usable() bool {
	return !m.lastContact.IsZero() && !m.mustMoveTasks() && m.termination == notTerminating &&
		!m.leaseExpired && !m.replies.tooManyUnacknowledged()
}

// mustMoveTasks reports whether what a machine runs should move to others, as it will go.
func (m *Machine) mustMoveTasks() bool { return m.preemptionNotice || m.eviction != notEvicting }

// isLeaving reports whether a machine is to be evicted or terminated.
func (m *Machine) isLeaving() bool {
	return m.eviction != notEvicting || m.termination != notTerminating
}

// mayTerminate reports whether a machine that is to go has nothing left to wait for.
func (m *Machine) mayTerminate() bool {
	return m.eviction == terminatingAtOnce || m.mustMoveTasks() && m.isIdle()
}

// silence is how long a machine has not been heard of: since its last contact in this view, or
// since this view first knew of it.
func (m *Machine) silence(now time.Time) time.Duration {
	if m.lastContact.IsZero() {
		return now.Sub(m.firstKnown)
	}
	return now.Sub(m.lastContact)
}

// machineLifecycle decides when a worker's lease has expired and when a machine is evicted and
// terminated.
type machineLifecycle struct {
	*shared

	viewSeenAt time.Time
}

// leaseEnd is when a worker's lease is certainly over (invariant 3 of the design): after this
// owner's last reply, and after the last one that the former owner could send, unless the worker
// has seen this view's fencing token since.
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

// expireLease ends the lease of a worker when it is over: all its tasks are gone.
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

// evict raises the eviction of machines; those that the cloud has taken back are skipped.
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

// machinesToTerminate lists the machines to give back to the cloud now, by id.
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

// maxSilenceLeases is after how many leases of silence a machine is terminated whatever
// the others do, and also if it has never been heard of in this view.
const maxSilenceLeases = 3

// silenceLimit is how long a machine that was heard of in this view may be silent. When most
// machines are silent the fault is more likely here than there, and none is given up early.
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

// isSilent reports whether a machine has been silent for longer than a limit, or, if it has yet
// to show that it receives replies, for longer than certainSilenceLeases.
func (l *machineLifecycle) isSilent(m *Machine, limit time.Duration, now time.Time) bool {
	if m.lastContact.IsZero() {
		limit = maxSilenceLeases * l.cfg.Lease
	}
	return m.silence(now) > limit
}

// confirmTerminated records that the cloud has taken machines back: they and all on them are gone.
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
