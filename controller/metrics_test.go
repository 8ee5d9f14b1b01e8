package controller

import (
	"testing"
	"time"
)

func TestMetricsSnapshotResets(t *testing.T) {
	var metrics nodeMetrics
	for _, duration := range []time.Duration{2, 5, 3} {
		metrics.recordCycle(duration)
		metrics.recordCommit(2 * duration)
	}
	metrics.recordHeartbeat()
	want := workCounts{cycles: 3, longestCycle: 5, commits: 3, longestCommit: 10, heartbeats: 1}
	if got := metrics.snapshotAndReset(); got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
	if got := metrics.snapshotAndReset(); got != (workCounts{}) {
		t.Errorf("after the reset: got %+v, want zeros", got)
	}
}
