package controller

import (
	"log/slog"
	"sync"

	"junipershelf/internal/limits"
)

// limitCounter counts the limits that this node has reached and logs each of them once. mu
// guards the counts and what was logged; see nodeState for the order of locks.
type limitCounter struct {
	log *slog.Logger

	mu     sync.Mutex
	counts limits.Counts
	logged map[limits.Name]bool
}

func newLimitCounter(log *slog.Logger) *limitCounter {
	return &limitCounter{log: log, counts: limits.Counts{}, logged: map[limits.Name]bool{}}
}

// record counts a limit that was reached.
func (l *limitCounter) record(name limits.Name) { l.recordAll(limits.Counts{name: 1}) }

// recordAll counts limits that were reached.
func (l *limitCounter) recordAll(counts limits.Counts) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts.Add(counts)
	for _, name := range counts.Names() {
		if !l.logged[name] {
			l.logged[name] = true
			l.log.Warn("limit reached", "limit", name, "page", "docs/scale.md")
		}
	}
}

// snapshotAndReset returns the counts since the last call, as text for the log.
func (l *limitCounter) snapshotAndReset() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts.SnapshotAndReset().String()
}

// collect adds the limits that the job cache, the autoscaler, the partition and the scheduler
// have counted. The caller holds the state's lock.
func (l *limitCounter) collect(state *nodeState) {
	l.recordAll(state.jobs.Limits.SnapshotAndReset())
	l.recordAll(state.leader.autoscaler.Limits.SnapshotAndReset())
	if p := state.current.partition; p != nil {
		l.recordAll(p.Limits.SnapshotAndReset())
	}
	if s := state.leader.scheduler; s != nil {
		l.recordAll(s.Limits.SnapshotAndReset())
	}
}
