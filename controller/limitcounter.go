package controller

import (
	"log/slog"
	"sync"

	"junipershelf/internal/limits"
)

// limitCounter counts how often this node reached each limit, and logs each limit once. mu guards
// counts and logged; see nodeState for the lock order.
type limitCounter struct {
	log *slog.Logger

	mu     sync.Mutex
	counts limits.Counts
	logged map[limits.Name]bool
}

func newLimitCounter(log *slog.Logger) *limitCounter {
	return &limitCounter{log: log, counts: limits.Counts{}, logged: map[limits.Name]bool{}}
}

// record counts that a limit was reached once.
func (l *limitCounter) record(name limits.Name) { l.recordAll(limits.Counts{name: 1}) }

// recordAll adds counts of limits that were reached.
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

// snapshotAndReset returns the counts since the previous call, formatted for the log.
func (l *limitCounter) snapshotAndReset() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts.SnapshotAndReset().String()
}

// collect adds and resets the counts of the job cache, the autoscaler, the partition and the
// scheduler. The caller holds the state's lock.
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
