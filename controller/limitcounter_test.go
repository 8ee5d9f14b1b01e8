package controller

import (
	"log/slog"
	"strings"
	"testing"

	"junipershelf/internal/limits"
)

func TestLimitIsLoggedOnceAndCountedAlways(t *testing.T) {
	var log strings.Builder
	counter := newLimitCounter(slog.New(slog.NewTextHandler(&log, nil)))
	for range 3 {
		counter.record(limits.StatusReads)
	}
	counter.recordAll(limits.Counts{limits.StatusReads: 2, limits.Machines: 1})
	if got := counter.snapshotAndReset(); got != "machines=1 status_reads=5" {
		t.Errorf("counted %q, want 1 machine and 5 status reads", got)
	}
	counter.record(limits.StatusReads)
	if got := counter.snapshotAndReset(); got != "status_reads=1" {
		t.Errorf("counted %q after the reset, want 1 status read", got)
	}
	if n := strings.Count(log.String(), "limit=status_reads"); n != 1 {
		t.Errorf("limit was logged %d times, want once", n)
	}
}
