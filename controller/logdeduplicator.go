package controller

import (
	"sync"

	"junipershelf/internal/boundedmap"
)

// loggedLinesPerMachine is the number of logged lines remembered for each machine that the node's
// limit allows.
const loggedLinesPerMachine = 2

// logDeduplicator remembers which lines have been logged, so that each is logged once. Its lock is
// acquired after nodeState.mu, never before it.
type logDeduplicator struct {
	mu     sync.Mutex
	logged *boundedmap.Map[string, struct{}]
}

// newLogDeduplicator creates a deduplicator that remembers at most limit lines and calls onDrop each
// time it drops some.
func newLogDeduplicator(limit int, onDrop func()) *logDeduplicator {
	return &logDeduplicator{logged: boundedmap.New[string, struct{}](limit, onDrop)}
}

// firstTime records a line and reports whether it has not been logged before.
func (d *logDeduplicator) firstTime(line string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, logged := d.logged.Get(line); logged {
		return false
	}
	d.logged.Put(line, struct{}{})
	return true
}
