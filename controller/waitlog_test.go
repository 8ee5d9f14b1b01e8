package controller

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	"junipershelf/autoscaler"
)

// Tasks that fit on no machine for logWaitAfter are logged once for each such wait, and others are not.
func TestLongWaitsForAMachineAreLoggedOnce(t *testing.T) {
	var lines bytes.Buffer
	waits := newWaitLog(slog.New(slog.NewTextHandler(&lines, nil)))
	start := time.Unix(1_000_000, 0)
	stuck := autoscaler.JobWait{Job: "wk-1", NoMachine: 3, Obstacle: autoscaler.NoCapacity}
	booting := autoscaler.JobWait{Job: "wk-2", Place: 3}
	logged := func() int { return strings.Count(lines.String(), "tasks fit on no machine") }
	observe := func(after time.Duration, observed ...autoscaler.JobWait) {
		waits.observe(start.Add(after), observed)
	}
	observe(0, stuck, booting)
	observe(logWaitAfter-time.Second, stuck, booting)
	if logged() != 0 {
		t.Error("a wait is logged before logWaitAfter")
	}
	observe(logWaitAfter, stuck, booting)
	observe(2*logWaitAfter, stuck, booting)
	if logged() != 1 || !strings.Contains(lines.String(), "job=wk-1 tasks=3 obstacle=no_capacity") {
		t.Errorf("%d lines, want one of wk-1:\n%s", logged(), lines.String())
	}
	observe(2*logWaitAfter+time.Second, booting)
	observe(2*logWaitAfter+2*time.Second, stuck)
	observe(3*logWaitAfter, stuck)
	if logged() != 1 {
		t.Error("a wait that has begun anew is logged before logWaitAfter")
	}
	observe(4*logWaitAfter, stuck)
	if logged() != 2 {
		t.Error("a second wait of the same job is not logged")
	}
}
