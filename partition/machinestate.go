package partition

import "time"

// evictionState is whether a machine is to be emptied. It only rises, by evict:
//
//	notEvicting -> evictingGracefully -> evictingAtOnce
//	notEvicting -> evictingAtOnce
type evictionState int

const (
	notEvicting        evictionState = iota
	evictingGracefully               // it starts nothing new, and is terminated once it is idle
	evictingAtOnce                   // it is terminated without waiting for its tasks
)

// terminationState is how far the return of a machine to the cloud is. It only rises, by
// startTermination and confirmTermination:
//
//	notTerminating -> terminating -> terminated
//	notTerminating -> terminated
//
// It is independent of the eviction: a silent machine is terminated without having been evicted,
// and keeps its tasks if it is heard of again.
type terminationState int

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
	return !m.lastContact.IsZero() && !m.preemptionNotice && m.eviction == notEvicting && m.termination == notTerminating &&
		!m.leaseExpired && m.unacknowledgedReplies < maxUnacknowledgedReplies
}

// mustMoveTasks reports whether what a machine runs should move to others, as it will be gone soon.
func (m *Machine) mustMoveTasks() bool { return m.preemptionNotice || m.eviction != notEvicting }

// isIdle reports whether a machine holds nothing.
func (m *Machine) isIdle() bool { return len(m.placements)+len(m.queue) == 0 }

// mayTerminate reports whether a machine that is to go has nothing left to wait for.
func (m *Machine) mayTerminate() bool {
	return m.eviction == evictingAtOnce || m.mustMoveTasks() && m.isIdle()
}

// silence is how long a machine has not been heard of: since its last contact in this view, or
// since this view first knew of it.
func (m *Machine) silence(now time.Time) time.Duration {
	if m.lastContact.IsZero() {
		return now.Sub(m.firstKnown)
	}
	return now.Sub(m.lastContact)
}
