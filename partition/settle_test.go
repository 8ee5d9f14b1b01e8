package partition

import (
	"testing"

	"junipershelf/job"
	"junipershelf/protocol"
)

// Invariant 2 of the design: the transaction that removes a placement also adds its completed task to
// the record. Only after that is the agent told to forget the task. The record keeps the task until the
// job's record contains it.
func TestCompletedTaskIsForgottenOnlyAfterItsCommit(t *testing.T) {
	p, jobs := newPartitionWithPlacement(t)
	p.Commands(at(1), "a", 1, 1)
	p.HandleHeartbeat(at(5), heartbeat("a", 1, 2, 5, completedTask("wk-1", 0, attemptOf(p))))
	assertEqual(t, "before the commit", commandText(p.Commands(at(5), "a", 1, 2)), "")
	c := nextCommit(t, p, at(5))
	assertEqual(t, "commit", recordText(t, c), "wk-1/0 done;")
	p.HandleCommitRefused(c)
	assertEqual(t, "after a refusal", commandText(p.Commands(at(5), "a", 1, 2)), "")
	p.HandleCommitApplied(nextCommit(t, p, at(5)), 11, at(5))
	assertEqual(t, "after the commit", commandText(p.Commands(at(5), "a", 1, 2)), "forget wk-1/0;")
	if d := p.Update(at(5)); len(d.Completed) != 1 || d.Completed[0].Task != (job.Task{Job: "wk-1"}) {
		t.Errorf("completed tasks in the update: %v, want wk-1/0", d.Completed)
	}
	assignTask(p, at(6), 2, "wk-2", 0, "a", 0)
	p.Tick(at(6))
	c = nextCommit(t, p, at(6))
	assertEqual(t, "next commit", recordText(t, c), "wk-2/0@a;wk-1/0 done;")
	p.HandleCommitApplied(c, 12, at(6))
	rec := jobs.Get("wk-1").Record
	rec.Done = "0"
	if err := jobs.Set("wk-1", rec, 13, at(7)); err != nil {
		t.Fatal(err)
	}
	assignTask(p, at(8), 3, "wk-2", 1, "a", 0)
	p.Tick(at(8))
	assertEqual(t, "once the job's record has it", recordText(t, nextCommit(t, p, at(8))), "wk-2/0@a;wk-2/1@a;")
}

// The completed tasks of a terminated machine stay in the record until their jobs' records have them or
// their jobs have ended.
func TestTerminatedMachineLeavesItsCompletedTasksInTheRecord(t *testing.T) {
	jobs := newJobCache(t, jobSpec("wk-1", 2))
	p := New(testConfig, 5, 0, t0, quadCapacity, jobs)
	rec := recordOf(1, placementOf("wk-1", 0, 77))
	rec.Completed = []RecordCompleted{{Job: 0, Tasks: "1"}}
	if err := p.LoadShard(ShardKey(0, 0), rec, 3, t0); err != nil {
		t.Fatal(err)
	}
	p.HandleTerminated([]string{"a"}, at(1))
	c := nextCommit(t, p, at(1))
	assertEqual(t, "commit after the machine's termination", recordText(t, c), "wk-1/1 done;")
	p.HandleCommitApplied(c, 4, at(1))
	if len(p.machines.sorted) != 0 {
		t.Error("the machine is still known")
	}
	jobs.Remove("wk-1", at(2))
	p.HandleHeartbeat(at(3), heartbeat("b", 1, 1, 5))
	addJob(t, jobs, protocol.JobSpec{UID: "wk-2", Tasks: 1, CPUs: 1, MemGB: 1, Priority: "normal"})
	assignTask(p, at(3), 1, "wk-2", 0, "b", 0)
	p.Tick(at(3))
	assertEqual(t, "commit after the job has ended", recordText(t, nextCommit(t, p, at(3))), "wk-2/0@b;")
}

// A transaction without a reply may have been applied; the stored record shows whether it was.
func TestCommitWithoutReplyIsReconciledWithItsRecord(t *testing.T) {
	for _, applied := range []bool{true, false} {
		p := New(testConfig, 5, 0, t0, quadCapacity, newJobCache(t, jobSpec("wk-1", 2)))
		p.HandleHeartbeat(at(1), heartbeat("a", 1, 1, 5))
		assignTask(p, at(1), 1, "wk-1", 0, "a", 0)
		assignTask(p, at(1), 2, "wk-1", 1, "a", 0)
		p.Tick(at(1))
		c := nextCommit(t, p, at(1))
		rec, revision := c.Shards[0].Record, uint64(12)
		if !applied {
			rec, revision = nil, 0
		}
		if err := p.ReconcileShard(c, c.Shards[0].Key, rec, revision, at(2)); err != nil {
			t.Fatal(err)
		}
		p.HandleCommitRefused(c)
		committed := 0
		for _, pl := range p.machines.get("a").placements {
			if pl.committed {
				committed++
			}
		}
		if got := committed == 2; got != applied {
			t.Errorf("applied %v: %d of 2 placements are committed", applied, committed)
		}
		if got := !hasCommit(p, at(2)); got != applied {
			t.Errorf("applied %v: all changes are committed: %v, want %v", applied, got, applied)
		}
	}
}

// A commit of a single record that is too large is not tried again at once, but after a pause.
func TestTooLargeCommitIsNotRepeatedAtOnce(t *testing.T) {
	p := New(testConfig, 7, 0, t0, quadCapacity, newJobCache(t, jobSpec("wk-1", 10)))
	if err := p.LoadShard(ShardKey(0, 0), recordOf(1, placementOf("wk-1", 0, 3)), 5, t0); err != nil {
		t.Fatal(err)
	}
	p.HandleHeartbeat(at(0), heartbeat("a", 2, 1, 7)) // a new agent epoch, so the placement is to be removed
	c := nextCommit(t, p, at(0))
	p.HandleCommitTooLarge(c, at(0))
	if hasCommit(p, at(1)) {
		t.Error("the record is committed again before the pause is over")
	}
	if !hasCommit(p, at(3)) {
		t.Error("the record is not committed again after the pause")
	}
}
