package controller

import (
	"fmt"
	"testing"

	"junipershelf/job"
)

// A full cache drops the older half of its terminal states.
func TestTerminalStateCacheEvictsOldest(t *testing.T) {
	cache := newTerminalStateCache(8, func() {})
	for i := range 9 {
		cache.put(fmt.Sprint(i), job.TerminalState{Done: i})
	}
	for i := range 9 {
		if terminal, ok := cache.get(fmt.Sprint(i)); ok != (i >= 4) || ok && terminal.Done != i {
			t.Errorf("state %d: %v, cached %v; want only states 4 to 8 cached", i, terminal, ok)
		}
	}
}
