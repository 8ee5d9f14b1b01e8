package controller

import (
	"fmt"
	"testing"
)

// A log that has dropped entries which a peer lacks returns an empty excerpt at its end, so that the
// peer detects the gap.
func TestFullCancellationLogDropsOldestEntries(t *testing.T) {
	dropped := 0
	log := newCancellationLog(cancellationLogLimits{entries: 8, messageEntries: 3}, func() { dropped++ })
	cancel := func(job int) { log.append(fmt.Sprintf("wk-%d", job), 0) }
	for job := range 8 {
		cancel(job)
	}
	start := logPosition{id: log.id}
	if excerpt := log.after(start); dropped != 0 || excerpt.from != 0 || len(excerpt.entries) != 3 {
		t.Errorf("full log: excerpt from %d with %d entries, %d dropped; want from 0 with 3 entries, 0 dropped", excerpt.from, len(excerpt.entries), dropped)
	}
	cancel(8)
	if excerpt := log.after(start); dropped != 1 || excerpt.from != excerpt.end || excerpt.entries != nil {
		t.Errorf("log with a dropped entry: excerpt from %d of %d with %d entries, %d dropped; want none from the end, 1 dropped", excerpt.from, excerpt.end, len(excerpt.entries), dropped)
	}
	excerpt := log.after(logPosition{id: log.id, next: 6})
	if excerpt.from != 6 || excerpt.end != 9 || len(excerpt.entries) != 3 || excerpt.entries[2].UID != "wk-8" {
		t.Errorf("excerpt after six entries: %v from %d of %d, want wk-6 to wk-8 from 6 of 9", excerpt.entries, excerpt.from, excerpt.end)
	}
}

// For a position in another process's log, or beyond the end, the excerpt is empty and at the log's end.
func TestUnknownLogPositionReturnsLogEnd(t *testing.T) {
	log := newCancellationLog(cancellationLogLimits{entries: 8, messageEntries: 3}, func() {})
	log.append("wk-1", 2)
	for _, position := range []logPosition{{}, {id: log.id + 1}, {id: log.id, next: 2}} {
		if excerpt := log.after(position); excerpt.from != 1 || excerpt.end != 1 || excerpt.entries != nil {
			t.Errorf("excerpt after %+v: %+v, want none from 1", position, excerpt)
		}
	}
}
