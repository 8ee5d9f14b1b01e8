package scheduler

import (
	"fmt"
	"slices"
	"testing"

	"junipershelf/internal/limits"
	"junipershelf/job"
	"junipershelf/partition"
	"junipershelf/protocol"
)

// Completed tasks are moved to the record of an incomplete job only while completed tasks fill more
// than maxCompletedFill of a shard record, and to that of a complete job at once. A job's record never
// exceeds the value size.
func TestCompactionsOfCompleteJobsAndOfFullShards(t *testing.T) {
	cache := jobCache(protocol.JobSpec{UID: "wk-1", Team: "blue", CPUs: 1, Tasks: 3}, protocol.JobSpec{UID: "wk-2", Team: "blue", CPUs: 1, Tasks: 100000})
	sched := New(testConfig, teams(), 1, capacityOf, cache)
	completedFill := 0.2 // fraction of a shard record
	update := func(n uint64, tasks ...job.Task) {
		var done []partition.CompletedTask
		for _, task := range tasks {
			done = append(done, partition.CompletedTask{Task: task})
		}
		sched.ApplyUpdate(0, partition.Update{Sequence: n, Version: n, Completed: done, CompletedFill: completedFill}, t0)
	}
	update(1, job.Task{Job: "wk-1", Index: 2}, job.Task{Job: "wk-1", Index: 0})
	if compactions := sched.Compactions(16); len(compactions) != 0 {
		t.Fatalf("compactions below maxCompletedFill: %+v, want none", compactions)
	}
	completedFill = 0.4
	update(2)
	compactions := sched.Compactions(16)
	if len(compactions) != 1 || compactions[0].Record.Done != "0,2" || compactions[0].Final != nil {
		t.Fatalf("compactions above maxCompletedFill: %+v, want tasks 0,2 of wk-1", compactions)
	}
	if err := cache.Set("wk-1", compactions[0].Record, 2, t0); err != nil {
		t.Fatal(err)
	}
	if compactions = sched.Compactions(16); len(compactions) != 0 {
		t.Fatalf("compactions after the record was written: %+v, want none", compactions)
	}
	update(3, job.Task{Job: "wk-1", Index: 1})
	if compactions = sched.Compactions(16); len(compactions) != 1 || compactions[0].Final == nil || compactions[0].Final.Done != 3 || compactions[0].Changes() != 2 {
		t.Fatalf("compactions of the complete job: %+v, want one with a final state of 3 tasks", compactions)
	}
	if compactions = sched.Compactions(1); len(compactions) != 0 {
		t.Fatalf("compactions for one change: %+v, want none", compactions)
	}
	cache.Remove("wk-1", t0)
	for i := 0; i < 6000; i += 2 {
		cache.Get("wk-2").Completed.Add(i)
	}
	if compactions = sched.Compactions(16); len(compactions) != 0 {
		t.Errorf("compactions of a record that exceeds the value size: %+v, want none", compactions)
	}
}

// A job whose completed tasks have too many gaps for its record is assigned the tasks in the gaps
// before any later ones.
func TestGapsOfLongRecordAreFilledFirst(t *testing.T) {
	cache := jobCache(protocol.JobSpec{UID: "wk-1", Team: "blue", CPUs: 1, Tasks: 100000})
	sched := New(testConfig, teams(), 1, capacityOf, cache)
	live := cache.Get("wk-1")
	for i := 1; i < 600; i += 2 {
		live.Completed.Add(i)
	}
	sched.ApplyUpdate(0, firstUpdate(machine("a")), t0)
	sched.RunCycle(t0)
	for n, a := range assignedTasks(sched, 0) {
		if a.Index != 2*n {
			t.Errorf("assignment %d is task %d, want %d", n, a.Index, 2*n)
		}
	}
}

// While the shard records hold at most MaxCompletedTasks completed tasks, later tasks of a job are
// assigned even if the job's own record cannot hold the ranges. Beyond that, its gaps are filled first.
func TestGapsAreFilledFirstOnlyBeyondMaxCompletedTasks(t *testing.T) {
	for _, c := range []struct{ maxCompleted, want int }{{1000, 4}, {100, 0}} {
		cfg := testConfig
		cfg.ValueBytes, cfg.MaxCompletedTasks = 2048, c.maxCompleted
		spec := protocol.JobSpec{UID: "wk-1", Class: "q", Team: "red", CPUs: 1, MemGB: 1, Tasks: 2000, ExpectedS: 40}
		teams := []Team{{Name: "red", Guarantee: job.Resources{CPUs: 1000}, Limit: job.Resources{CPUs: 1000}}}
		s := New(cfg, teams, 1, capacityOf, jobCache(spec))
		var done []partition.CompletedTask
		for i := range 400 {
			done = append(done, partition.CompletedTask{Task: job.Task{Job: "wk-1", Index: 2*i + 1}})
		}
		held := partition.HeldTasks{Job: "wk-1", Team: "red", Resources: job.Resources{CPUs: 0.001}, Phase: partition.PhaseRunning}
		for i := range 400 {
			held.Tasks.Add(2 * i)
		}
		busy, free := machine("a"), machine("b")
		busy.Free, busy.Held = job.Resources{}, []partition.HeldTasks{held}
		update := firstUpdate(busy, free)
		update.Completed = done
		s.ApplyUpdate(0, update, t0)
		s.RunCycle(t0)
		if n := len(assignedTasks(s, 0)); n < c.want || (n > 0) != (c.want > 0) || (s.Limits[limits.CompletedTasks] > 0) != (c.want == 0) {
			t.Errorf("MaxCompletedTasks %d: %d tasks are assigned, want %d; limit reached %d times", c.maxCompleted, n, c.want, s.Limits[limits.CompletedTasks])
		}
	}
}

// Complete jobs come first, then the jobs whose records lack the most completed tasks, limited to
// the requested number of changes and to two incomplete jobs.
func TestCompactionsAreLimited(t *testing.T) {
	var specs []protocol.JobSpec
	for i := range 5 {
		specs = append(specs, protocol.JobSpec{UID: fmt.Sprintf("wk-%d", i), Team: "blue", CPUs: 1, Tasks: 10})
	}
	cache := jobCache(specs...)
	sched := New(testConfig, teams(), 1, capacityOf, cache)
	update := firstUpdate(machine("a"))
	update.CompletedFill = maxCompletedFill + 0.01
	sched.ApplyUpdate(0, update, t0)
	for i, completed := range []int{3, 10, 5, 4, 10} {
		for task := range completed {
			cache.Get(specs[i].UID).Completed.Add(task)
		}
	}
	for _, c := range []struct {
		changes int
		want    []string
	}{
		{16, []string{"wk-1", "wk-4", "wk-2", "wk-3"}},
		{5, []string{"wk-1", "wk-4", "wk-2"}},
		{4, []string{"wk-1", "wk-4"}},
		{3, []string{"wk-1"}},
		{1, nil},
	} {
		var got []string
		for _, compaction := range sched.Compactions(c.changes) {
			got = append(got, compaction.UID)
		}
		if !slices.Equal(got, c.want) {
			t.Errorf("with %d changes: %v, want %v", c.changes, got, c.want)
		}
	}
	update.Sequence, update.CompletedFill = 2, maxCompletedFill
	sched.ApplyUpdate(0, update, t0)
	if got := sched.Compactions(16); len(got) != 2 {
		t.Errorf("compactions at maxCompletedFill: %+v, want the two complete jobs", got)
	}
}
