package controller

import (
	"junipershelf/internal/boundedmap"
	"junipershelf/job"
)

// maxTerminalStates bounds the terminal states that a node holds in memory, about 100 bytes each.
// The others are read from the key-value store when a user asks for them.
const maxTerminalStates = 50000

// terminalStateCache holds the terminal states of the jobs that ended last, by job; a terminal
// state never changes. When it is full the older half is dropped: it once dropped all of them at a
// time, and each user who polled then cost a read.
//
// It has no lock of its own: nodeState.mu guards it, together with the cache of live jobs, so that
// the move of a job from one to the other is seen whole.
type terminalStateCache struct {
	states *boundedmap.Map[string, job.TerminalState]
}

// newTerminalStateCache makes a cache of at most limit states. It calls onDrop each time that
// states are dropped.
func newTerminalStateCache(limit int, onDrop func()) *terminalStateCache {
	return &terminalStateCache{states: boundedmap.New[string, job.TerminalState](limit, onDrop)}
}

// get returns a job's terminal state, and whether the cache holds it.
func (c *terminalStateCache) get(uid string) (job.TerminalState, bool) { return c.states.Get(uid) }

// put adds a job's terminal state.
func (c *terminalStateCache) put(uid string, terminal job.TerminalState) { c.states.Put(uid, terminal) }
