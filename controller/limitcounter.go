package controller

import (
	"log/slog"
	"sync"

	"junipershelf/internal/limits"
)

// limitCounter counts the limits that this node has reached and logs each once. Its lock is taken
// after the controller's, never before.
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
func (b *limitCounter) record(name limits.Name) { b.recordAll(limits.Counts{name: 1}) }

// recordAll counts the limits that a package of decisions has reached.
func (b *limitCounter) recordAll(counts limits.Counts) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.counts.Add(counts)
	for _, name := range counts.Names() {
		if !b.logged[name] {
			b.logged[name] = true
			b.log.Warn("limit reached", "limit", name, "page", "docs/scale.md")
		}
	}
}

// snapshotAndReset gives what was met since the last look, for the log.
func (b *limitCounter) snapshotAndReset() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.counts.SnapshotAndReset().String()
}

// collectLimits takes over what the packages of decisions have counted. The caller holds the
// controller's lock.
func (c *Controller) collectLimits() {
	c.limitCounts.recordAll(c.state.jobs.Limits.SnapshotAndReset())
	c.limitCounts.recordAll(c.state.leader.autoscaler.Limits.SnapshotAndReset())
	if p := c.state.current.partition; p != nil {
		c.limitCounts.recordAll(p.Limits.SnapshotAndReset())
	}
	if s := c.state.leader.scheduler; s != nil {
		c.limitCounts.recordAll(s.Limits.SnapshotAndReset())
	}
}
