package controller

import (
	"sync"
	"time"
)

// nodeMetrics counts a node's work between two metric lines of the log. mu guards all of it;
// see nodeState for the order of locks.
type nodeMetrics struct {
	mu sync.Mutex
	workMetrics
}

// workMetrics are the counts themselves.
type workMetrics struct {
	cycles      int // scheduling cycles
	syncs       int // replies of the leader that were applied
	viaMailbox  int // of them through the key-value store
	heartbeats  int
	repliesHeld int // heartbeats whose reply waited for a start
	commits     int
	compactions int // of a job each

	longestCycle  time.Duration
	longestCommit time.Duration
}

// count changes the counts.
func (m *nodeMetrics) count(change func(*workMetrics)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	change(&m.workMetrics)
}

// snapshotAndReset returns the counts and resets them.
func (m *nodeMetrics) snapshotAndReset() workMetrics {
	m.mu.Lock()
	defer m.mu.Unlock()
	counts := m.workMetrics
	m.workMetrics = workMetrics{}
	return counts
}

// recordCycle counts a scheduling cycle.
func (m *nodeMetrics) recordCycle(took time.Duration) {
	m.count(func(w *workMetrics) {
		w.cycles++
		w.longestCycle = max(w.longestCycle, took)
	})
}

// recordCommit counts a commit of placements.
func (m *nodeMetrics) recordCommit(took time.Duration) {
	m.count(func(w *workMetrics) {
		w.commits++
		w.longestCommit = max(w.longestCommit, took)
	})
}
