package controller

import (
	"sync"
	"time"
)

// nodeMetrics counts a node's work between two metric lines of the log. mu guards all of it;
// see nodeState for the order of locks.
type nodeMetrics struct {
	mu     sync.Mutex
	counts workCounts
}

// workCounts are a node's counts; see the methods of nodeMetrics for what each one counts.
type workCounts struct {
	cycles         int
	commits        int
	compactions    int
	syncs          int
	mailboxReplies int
	heartbeats     int
	repliesHeld    int

	longestCycle  time.Duration
	longestCommit time.Duration
}

// recordCycle counts a scheduling cycle.
func (m *nodeMetrics) recordCycle(took time.Duration) {
	m.update(func(c *workCounts) {
		c.cycles++
		c.longestCycle = max(c.longestCycle, took)
	})
}

// recordCommit counts a commit of placements.
func (m *nodeMetrics) recordCommit(took time.Duration) {
	m.update(func(c *workCounts) {
		c.commits++
		c.longestCommit = max(c.longestCommit, took)
	})
}

// recordCompactions counts jobs whose finished tasks are compacted.
func (m *nodeMetrics) recordCompactions(jobs int) {
	m.update(func(c *workCounts) { c.compactions += jobs })
}

// recordSync counts a reply of the leader that was applied.
func (m *nodeMetrics) recordSync() { m.update(func(c *workCounts) { c.syncs++ }) }

// recordMailboxReply counts a reply of the leader that came through the key-value store.
func (m *nodeMetrics) recordMailboxReply() { m.update(func(c *workCounts) { c.mailboxReplies++ }) }

// recordHeartbeat counts a heartbeat that was newer than all before.
func (m *nodeMetrics) recordHeartbeat() { m.update(func(c *workCounts) { c.heartbeats++ }) }

// recordReplyHeld counts a heartbeat whose reply waits for a start.
func (m *nodeMetrics) recordReplyHeld() { m.update(func(c *workCounts) { c.repliesHeld++ }) }

// snapshotAndReset returns the counts and resets them.
func (m *nodeMetrics) snapshotAndReset() workCounts {
	m.mu.Lock()
	defer m.mu.Unlock()
	counts := m.counts
	m.counts = workCounts{}
	return counts
}

// update changes the counts under their lock.
func (m *nodeMetrics) update(change func(*workCounts)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	change(&m.counts)
}
