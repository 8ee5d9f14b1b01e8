package controller

import (
	"time"

	"junipershelf/internal/boundedmap"
	"junipershelf/job"
)

// maxTerminalStates is the maximum number of terminal states in a node's memory, at about 100 bytes
// each. Other terminal states are read from the key-value store when a user requests them.
const maxTerminalStates = 50000

// terminalStateCache holds the terminal states of the jobs that ended most recently, by job. A
// terminal state never changes. When the cache is full, only the older half is dropped: dropping all
// entries at once would cause a store read for each user who polls a job that has ended.
//
// It has no lock of its own. nodeState.mu guards it together with the job cache, so that a job moves
// from one to the other atomically.
type terminalStateCache struct {
	states *boundedmap.Map[string, endedJob]
}

// endedJob is a job that has ended.
type endedJob struct {
	terminal     job.TerminalState
	cancellation loggedCancellation // of a job that was cancelled
}

// loggedCancellation is a cancellation in this node's cancellation log.
type loggedCancellation struct {
	position logPosition // after its entry
	loggedAt time.Time   // when the entry was already in the log
}

// newTerminalStateCache creates a cache of at most limit states. It calls onDrop each time states are
// dropped.
func newTerminalStateCache(limit int, onDrop func()) *terminalStateCache {
	return &terminalStateCache{states: boundedmap.New[string, endedJob](limit, onDrop)}
}

// get returns a job's terminal state, and whether the cache holds it.
func (c *terminalStateCache) get(uid string) (job.TerminalState, bool) {
	ended, ok := c.states.Get(uid)
	return ended.terminal, ok
}

// cancellation returns where a cancelled job's cancellation is logged, and whether the cache holds the
// job.
func (c *terminalStateCache) cancellation(uid string) (loggedCancellation, bool) {
	ended, ok := c.states.Get(uid)
	return ended.cancellation, ok
}

// put adds a job's terminal state.
func (c *terminalStateCache) put(uid string, terminal job.TerminalState) {
	c.states.Put(uid, endedJob{terminal: terminal})
}

// putCancelled adds the terminal state of a cancelled job, and where its cancellation is logged.
func (c *terminalStateCache) putCancelled(uid string, terminal job.TerminalState, logged loggedCancellation) {
	c.states.Put(uid, endedJob{terminal: terminal, cancellation: logged})
}
