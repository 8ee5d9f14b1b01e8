package controller

import (
	"testing"
	"time"
)

func TestMetricsSnapshotResets(t *testing.T) {
	var metrics nodeMetrics
	for _, took := range []time.Duration{2, 5, 3} {
		metrics.recordCycle(took)
		metrics.recordCommit(2 * took)
	}
	metrics.recordHeartbeat()
	want := workCounts{cycles: 3, longestCycle: 5, commits: 3, longestCommit: 10, heartbeats: 1}
	if got := metrics.snapshotAndReset(); got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
	if got := metrics.snapshotAndReset(); got != (workCounts{}) {
		t.Errorf("after the reset: %+v", got)
	}
}
