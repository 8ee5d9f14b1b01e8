package controller

import (
	"log/slog"
	"sync"

	"junipershelf/internal/bounds"
)

// boundsMet counts the bounds that this node has met and logs each once. Its lock is taken
// after the controller's, never before.
type boundsMet struct {
	log *slog.Logger

	mu     sync.Mutex
	counts bounds.Counts
	logged map[bounds.Name]bool
}

func newBoundsMet(log *slog.Logger) *boundsMet {
	return &boundsMet{log: log, counts: bounds.Counts{}, logged: map[bounds.Name]bool{}}
}

// met counts a bound that was met.
func (b *boundsMet) met(name bounds.Name) { b.add(bounds.Counts{name: 1}) }

// add counts the bounds that a package of decisions has met.
func (b *boundsMet) add(counts bounds.Counts) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.counts.Add(counts)
	for _, name := range counts.Names() {
		if !b.logged[name] {
			b.logged[name] = true
			b.log.Warn("a bound is met", "bound", name, "page", "docs/scale.md")
		}
	}
}

// take gives what was met since the last look, for the log.
func (b *boundsMet) take() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.counts.Take().String()
}

// collectBounds takes over what the packages of decisions have counted. The caller holds the
// controller's lock.
func (c *Controller) collectBounds() {
	c.bounds.add(c.jobs.Bounds.Take())
	c.bounds.add(c.leader.planner.Bounds.Take())
	if p := c.current.partition; p != nil {
		c.bounds.add(p.Bounds.Take())
	}
	if s := c.leader.scheduler; s != nil {
		c.bounds.add(s.Bounds.Take())
	}
}
