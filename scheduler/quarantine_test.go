package scheduler

import (
	"testing"

	"junipershelf/job"
	"junipershelf/partition"
	"junipershelf/protocol"
)

// A machine is quarantined if tasks fail on it whose job does not fail on other machines. A job that
// fails on every machine is paused, and its failures quarantine no machine.
func TestQuarantinesMachinesAndPausesJobsThatFail(t *testing.T) {
	cache := jobCache(protocol.JobSpec{UID: "wk-1", Team: "blue", CPUs: 1, Tasks: 9}, protocol.JobSpec{UID: "wk-2", Team: "blue", CPUs: 1, Tasks: 9})
	sched := New(testConfig, teams(), 1, capacityOf, cache)
	states := []partition.MachineState{machine("a"), machine("b"), machine("c")}
	fail := func(sequence uint64, uid string, index int, id string) {
		sched.ApplyUpdate(0, partition.Update{Sequence: sequence, Version: sequence, Machines: states, Failures: []partition.Failure{{Task: job.Task{Job: uid, Index: index}, Machine: id, Cause: "error"}}}, t0)
	}
	fail(1, "wk-1", 0, "a")
	fail(2, "wk-1", 1, "b")
	if sched.Quarantined["a"] || sched.Quarantined["b"] {
		t.Error("a machine is quarantined for a job that fails everywhere")
	}
	for _, w := range sched.WaitingJobs(t0) {
		if w.Job.Spec.UID == "wk-1" {
			t.Error("a job that fails everywhere is not paused")
		}
	}
	fail(3, "wk-2", 0, "c")
	fail(4, "wk-2", 1, "c")
	if !sched.Quarantined["c"] {
		t.Error("a machine on which all tasks fail is not quarantined")
	}
}
