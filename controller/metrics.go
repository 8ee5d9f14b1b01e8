package controller

import (
	"sync"
	"time"
)

// nodeMetrics counts a node's work between two metric lines in the log. mu guards all fields; see
// nodeState for the lock order.
type nodeMetrics struct {
	mu     sync.Mutex
	counts workCounts
}

// workCounts are the counters of a node; the methods of nodeMetrics document them.
type workCounts struct {
	cycles         int
	commits        int
	compactions    int
	syncs          int
	mailboxReplies int
	heartbeats     int
	repliesHeld    int
	startsWithheld int

	cancellations        int
	cancellationTimeouts int

	longestCycle  time.Duration
	longestCommit time.Duration

	longestCancellation time.Duration
}

// recordCycle counts a scheduling cycle.
func (m *nodeMetrics) recordCycle(took time.Duration) {
	m.update(func(c *workCounts) {
		c.cycles++
		c.longestCycle = max(c.longestCycle, took)
	})
}

// recordCommit counts a commit of the partition's changes.
func (m *nodeMetrics) recordCommit(took time.Duration) {
	m.update(func(c *workCounts) {
		c.commits++
		c.longestCommit = max(c.longestCommit, took)
	})
}

// recordCompactions counts job compactions.
func (m *nodeMetrics) recordCompactions(jobs int) {
	m.update(func(c *workCounts) { c.compactions += jobs })
}

// recordSync counts an applied sync reply.
func (m *nodeMetrics) recordSync() { m.update(func(c *workCounts) { c.syncs++ }) }

// recordMailboxReply counts a sync reply that arrived by mailbox.
func (m *nodeMetrics) recordMailboxReply() { m.update(func(c *workCounts) { c.mailboxReplies++ }) }

// recordHeartbeat counts a heartbeat that was newer than all earlier ones of its machine.
func (m *nodeMetrics) recordHeartbeat() { m.update(func(c *workCounts) { c.heartbeats++ }) }

// recordReplyHeld counts a heartbeat whose reply was held because a start command was expected.
func (m *nodeMetrics) recordReplyHeld() { m.update(func(c *workCounts) { c.repliesHeld++ }) }

// recordStartsWithheld counts starts that a reply did not carry because the node did not hold the start
// lease. A start is counted for each such reply.
func (m *nodeMetrics) recordStartsWithheld(starts int) {
	m.update(func(c *workCounts) { c.startsWithheld += starts })
}

// recordCancellation counts a reply to a user that waited for a cancellation to take effect on all
// owners.
func (m *nodeMetrics) recordCancellation(waited time.Duration) {
	m.update(func(c *workCounts) {
		c.cancellations++
		c.longestCancellation = max(c.longestCancellation, waited)
	})
}

// recordCancellationTimeout counts such a reply that asks the user to retry, since the cancellation did
// not take effect in time.
func (m *nodeMetrics) recordCancellationTimeout() {
	m.update(func(c *workCounts) { c.cancellationTimeouts++ })
}

// snapshotAndReset returns the counts and resets them.
func (m *nodeMetrics) snapshotAndReset() workCounts {
	m.mu.Lock()
	defer m.mu.Unlock()
	counts := m.counts
	m.counts = workCounts{}
	return counts
}

// update applies a change to the counts while holding the lock.
func (m *nodeMetrics) update(change func(*workCounts)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	change(&m.counts)
}
