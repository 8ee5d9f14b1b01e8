package controller

import (
	"sync"

	"junipershelf/internal/boundedmap"
)

// loggedPerMachine is how many logged lines are remembered for each machine that fits in memory.
const loggedPerMachine = 2

// logDeduplicator remembers which lines have been logged, so that each is logged once. Its lock is
// taken after nodeState.mu, never before.
type logDeduplicator struct {
	mu     sync.Mutex
	logged *boundedmap.Map[string, struct{}]
}

// newLogDeduplicator remembers at most limit lines. It calls onDrop each time that it forgets some.
func newLogDeduplicator(limit int, onDrop func()) *logDeduplicator {
	return &logDeduplicator{logged: boundedmap.New[string, struct{}](limit, onDrop)}
}

// first records a line and reports whether it has not been logged before.
func (d *logDeduplicator) first(line string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, logged := d.logged.Get(line); logged {
		return false
	}
	d.logged.Put(line, struct{}{})
	return true
}
