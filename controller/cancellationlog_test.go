package controller

import (
	"fmt"
	"testing"
)

// A log that has dropped entries which a peer lacks returns none, from its end, so that the peer
// sees the gap.
func TestFullCancellationLogDropsOldestEntries(t *testing.T) {
	drops := 0
	log := newCancellationLog(cancellationLogLimits{entries: 8, messageEntries: 3}, func() { drops++ })
	cancel := func(job int) { log.append(fmt.Sprintf("wk-%d", job), 0) }
	for job := range 8 {
		cancel(job)
	}
	start := logPosition{id: log.id}
	if excerpt := log.after(start); drops != 0 || excerpt.from != 0 || len(excerpt.entries) != 3 {
		t.Errorf("from a full log: from %d, %d entries, %d drops", excerpt.from, len(excerpt.entries), drops)
	}
	cancel(8)
	if excerpt := log.after(start); drops != 1 || excerpt.from != excerpt.end || excerpt.entries != nil {
		t.Errorf("with one entry more: from %d of %d, %d entries, %d drops", excerpt.from, excerpt.end, len(excerpt.entries), drops)
	}
	excerpt := log.after(logPosition{id: log.id, next: 6})
	if excerpt.from != 6 || excerpt.end != 9 || len(excerpt.entries) != 3 || excerpt.entries[2].UID != "wk-8" {
		t.Errorf("after six entries: %v from %d of %d", excerpt.entries, excerpt.from, excerpt.end)
	}
}

// A position in another process's log, or beyond the end, is answered from the log's end.
func TestUnknownLogPositionReturnsLogEnd(t *testing.T) {
	log := newCancellationLog(cancellationLogLimits{entries: 8, messageEntries: 3}, func() {})
	log.append("wk-1", 2)
	for _, position := range []logPosition{{}, {id: log.id + 1}, {id: log.id, next: 2}} {
		if excerpt := log.after(position); excerpt.from != 1 || excerpt.end != 1 || excerpt.entries != nil {
			t.Errorf("after %+v: %+v", position, excerpt)
		}
	}
}
