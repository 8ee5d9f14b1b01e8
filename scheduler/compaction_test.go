package scheduler

import (
	"testing"

	"junipershelf/job"
	"junipershelf/partition"
	"junipershelf/protocol"
)

// Finished tasks enter the record of an unfinished job now and then, those of a
// complete one at once; a record never outgrows its value.
func TestMerges(t *testing.T) {
	m := mirror(protocol.JobSpec{UID: "wk-1", Team: "blue", CPUs: 1, Tasks: 3}, protocol.JobSpec{UID: "wk-2", Team: "blue", CPUs: 1, Tasks: 100000})
	d := New(testConfig, teams(), 1, capacityOf, m)
	takes := 0.2 // of a shard's record
	tell := func(n uint64, tasks ...job.Task) {
		var done []partition.CompletedTask
		for _, tk := range tasks {
			done = append(done, partition.CompletedTask{Task: tk})
		}
		d.ApplyUpdate(0, partition.Update{Sequence: n, Version: n, Completed: done, CompletedFill: takes}, t0)
	}
	tell(1, job.Task{Job: "wk-1", Index: 2}, job.Task{Job: "wk-1", Index: 0})
	if ms := d.Compactions(16); len(ms) != 0 {
		t.Fatalf("although the shards have room: %+v", ms)
	}
	takes = 0.4
	tell(2)
	ms := d.Compactions(16)
	if len(ms) != 1 || ms[0].Record.Done != "0,2" || ms[0].Final != nil {
		t.Fatalf("%+v", ms)
	}
	if err := m.Set("wk-1", ms[0].Record, 2, t0); err != nil {
		t.Fatal(err)
	}
	if ms = d.Compactions(16); len(ms) != 0 {
		t.Fatalf("again: %+v", ms)
	}
	tell(3, job.Task{Job: "wk-1", Index: 1})
	if ms = d.Compactions(16); len(ms) != 1 || ms[0].Final == nil || ms[0].Final.Done != 3 || ms[0].Changes() != 2 {
		t.Fatalf("complete: %+v", ms)
	}
	if ms = d.Compactions(1); len(ms) != 0 {
		t.Fatalf("over the number of changes: %+v", ms)
	}
	m.Remove("wk-1", t0)
	for i := 0; i < 6000; i += 2 {
		m.Get("wk-2").Finished.Add(i)
	}
	if ms = d.Compactions(16); len(ms) != 0 {
		t.Error("a record outgrows its value")
	}
}

// With holes far behind, a job's later tasks wait until they are filled.
func TestHolesBoundTheRecord(t *testing.T) {
	m := mirror(protocol.JobSpec{UID: "wk-1", Team: "blue", CPUs: 1, Tasks: 100000})
	d := New(testConfig, teams(), 1, capacityOf, m)
	l := m.Get("wk-1")
	for i := 1; i < 600; i += 2 {
		l.Finished.Add(i)
	}
	d.ApplyUpdate(0, firstUpdate(1, machine("a")), t0)
	d.RunCycle(t0)
	for n, a := range assignedTasks(d, 0) {
		if a.Index != 2*n {
			t.Errorf("assignment %d is task %d", n, a.Index)
		}
	}
}
