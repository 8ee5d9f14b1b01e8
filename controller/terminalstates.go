package controller

import (
	"junipershelf/internal/limits"
	"junipershelf/job"
)

// maxTerminalStates bounds the final states that are kept in memory, about 100 bytes each. The others
// are read when somebody asks.
const maxTerminalStates = 50000

// terminalStateCache keeps the final states that were met last. They never change. When half of what
// it may hold has come up, the half before that goes: once all of them went, and each user
// who polled then cost a read.
type terminalStateCache struct {
	most              int
	full              func()
	current, previous map[string]job.TerminalState
}

func newTerminalStateCache(most int, met func(limits.Name)) *terminalStateCache {
	return &terminalStateCache{most: most, full: func() { met(limits.TerminalStates) }, current: map[string]job.TerminalState{}}
}

// get finds a job's final state.
func (f *terminalStateCache) get(uid string) (final job.TerminalState, known bool) {
	if final, known = f.current[uid]; !known {
		final, known = f.previous[uid]
	}
	return final, known
}

// put keeps a job's final state.
func (f *terminalStateCache) put(uid string, final job.TerminalState) {
	if len(f.current) >= f.most/2 {
		if len(f.previous) > 0 {
			f.full()
		}
		f.previous, f.current = f.current, map[string]job.TerminalState{}
	}
	f.current[uid] = final
}
