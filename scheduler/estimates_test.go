package scheduler

import (
	"testing"

	"junipershelf/job"
	"junipershelf/partition"
	"junipershelf/protocol"
)

// Biased estimates are corrected by the run times of completed tasks of the class, each counted
// once.
func TestEstimatesLearnFromRunTimesOncePerTask(t *testing.T) {
	cache := jobCache(protocol.JobSpec{UID: "wk-1", Team: "blue", Class: "q", CPUs: 1, Tasks: 90, ExpectedS: 10})
	sched := New(testConfig, teams(), 1, capacityOf, cache)
	var done []partition.CompletedTask
	for i := range 40 {
		done = append(done, partition.CompletedTask{Task: job.Task{Job: "wk-1", Index: i}, RunS: 30})
	}
	if e := sched.estimates.estimate(cache.Get("wk-1")); e != 10 {
		t.Errorf("estimate without completed tasks: %v s, want 10", e)
	}
	for n := range uint64(3) {
		sched.ApplyUpdate(0, partition.Update{Sequence: n + 1, Version: n + 1, Completed: done}, t0)
	}
	if e := sched.estimates.estimate(cache.Get("wk-1")); e < 26 || e > 27 {
		t.Errorf("estimate after 40 tasks of 30 s: %v s, want 26 to 27", e)
	}
}
