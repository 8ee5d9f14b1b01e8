package controller

import (
	"sync"

	"junipershelf/internal/limits"
)

// loggedPerMachine is how many lines are remembered for each machine that the memory can hold.
const loggedPerMachine = 2

// logDeduplicator keeps lines from being logged over and over. When half of what it may remember has
// come up, the half before that is forgotten.
type logDeduplicator struct {
	most int
	full func()

	mu                sync.Mutex
	current, previous map[string]bool
}

func newLogDeduplicator(most int, met func(limits.Name)) *logDeduplicator {
	return &logDeduplicator{most: most, full: func() { met(limits.LoggedLines) }, current: map[string]bool{}}
}

// first tells whether this is the first time that a line is to be logged.
func (l *logDeduplicator) first(line string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current[line] || l.previous[line] {
		return false
	}
	if len(l.current) >= l.most/2 {
		if len(l.previous) > 0 {
			l.full()
		}
		l.previous, l.current = l.current, map[string]bool{}
	}
	l.current[line] = true
	return true
}
