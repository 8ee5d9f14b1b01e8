package scheduler

import (
	"testing"

	"junipershelf/job"
	"junipershelf/partition"
	"junipershelf/protocol"
)

// TestFaults: a machine that fails what others complete is sick; a job that
// fails everywhere pauses, longer each time, and does not make machines sick.
func TestFaults(t *testing.T) {
	m := mirror(protocol.JobSpec{UID: "wk-1", Team: "blue", CPUs: 1, Tasks: 9}, protocol.JobSpec{UID: "wk-2", Team: "blue", CPUs: 1, Tasks: 9})
	d := New(testConfig, teams(), 1, capacityOf, m)
	states := []partition.MachineState{machine("a"), machine("b"), machine("c")}
	fault := func(n uint64, job_ string, i int, id string) {
		d.ApplyUpdate(0, partition.Update{Sequence: n, Version: n, Machines: states, Failures: []partition.Failure{{Task: job.Task{Job: job_, Index: i}, Machine: id, Cause: "error"}}}, t0)
	}
	fault(1, "wk-1", 0, "a")
	fault(2, "wk-1", 1, "b")
	if d.Quarantined["a"] || d.Quarantined["b"] {
		t.Error("a job that fails everywhere made a machine sick")
	}
	for _, w := range d.WaitingJobs(t0) {
		if w.Job.Spec.UID == "wk-1" {
			t.Error("a job that fails everywhere does not pause")
		}
	}
	fault(3, "wk-2", 0, "c")
	fault(4, "wk-2", 1, "c")
	if !d.Quarantined["c"] {
		t.Error("a machine that fails all tasks is not found sick")
	}
}

// Estimates that are mostly wrong on one side are corrected by what tasks of the
// class took, each counted once.
func TestEstimatesAreCorrected(t *testing.T) {
	m := mirror(protocol.JobSpec{UID: "wk-1", Team: "blue", Class: "q", CPUs: 1, Tasks: 90, ExpectedS: 10})
	d := New(testConfig, teams(), 1, capacityOf, m)
	var done []partition.CompletedTask
	for i := range 40 {
		done = append(done, partition.CompletedTask{Task: job.Task{Job: "wk-1", Index: i}, RunS: 30})
	}
	if e := d.estimates.estimate(m.Get("wk-1")); e != 10 {
		t.Errorf("with nothing known: %v", e)
	}
	for n := range uint64(3) {
		d.ApplyUpdate(0, partition.Update{Sequence: n + 1, Version: n + 1, Completed: done}, t0)
	}
	if e := d.estimates.estimate(m.Get("wk-1")); e < 26 || e > 27 {
		t.Errorf("after 40 tasks of 30 s: %v", e)
	}
}
