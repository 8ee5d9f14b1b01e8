package controller

import (
	"fmt"
	"testing"

	"junipershelf/job"
)

// Terminal states are dropped by halves, the older first.
func TestTerminalStateCacheEvictsOldest(t *testing.T) {
	cache := newTerminalStateCache(8, func() {})
	for i := range 9 {
		cache.put(fmt.Sprint(i), job.TerminalState{Done: i})
	}
	for i := range 9 {
		if terminal, ok := cache.get(fmt.Sprint(i)); ok != (i >= 4) || ok && terminal.Done != i {
			t.Errorf("%d: %v, held %v", i, terminal, ok)
		}
	}
}
