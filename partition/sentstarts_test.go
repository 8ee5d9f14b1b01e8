package partition

import (
	"testing"

	"junipershelf/job"
	"junipershelf/protocol"
)

// Guards against a task that ran once more: a copy of the reply with its start arrived after the agent had carried
// the start out and been told to forget the task.
func TestTaskIsForgottenOnlyOnceNoCopyOfItsStartMayArrive(t *testing.T) {
	p, _ := newPartitionWithPlacement(t)
	attempt := attemptOf(p)
	assertEqual(t, "start", commandText(p.Commands(at(1), "a", 1, 1)), "start wk-1/0;")
	p.HandleHeartbeat(at(2), heartbeat("a", 1, 2, 5, completedTask("wk-1", 0, attempt)))
	p.HandleCommitApplied(nextCommit(t, p, at(2)), 11, at(2))
	for sequence, c := range []struct {
		at   float64
		want string
	}{{2, ""}, {4.9, ""}, {5, "forget wk-1/0;"}, {6, "forget wk-1/0;"}} {
		p.HandleHeartbeat(at(c.at), heartbeat("a", 1, uint64(sequence+3), 5, completedTask("wk-1", 0, attempt)))
		assertEqual(t, "commands", commandText(p.Commands(at(c.at), "a", 1, uint64(sequence+3))), c.want)
	}
}

// While an agent may not be told to forget an earlier attempt, the next attempt at the same task on the same
// machine is not started: the agent would refuse it.
func TestNextAttemptWaitsUntilTheLastOneIsForgotten(t *testing.T) {
	p, _ := newPartitionWithPlacement(t)
	failed := completedTask("wk-1", 0, attemptOf(p))
	failed.Cause = protocol.CauseStopped
	assertEqual(t, "start", commandText(p.Commands(at(1), "a", 1, 1)), "start wk-1/0;")
	p.HandleHeartbeat(at(2), heartbeat("a", 1, 2, 5, failed))
	p.HandleCommitApplied(nextCommit(t, p, at(2)), 11, at(2))
	assignTask(p, at(2), 2, "wk-1", 0, "a", 0)
	p.Tick(at(2))
	p.HandleCommitApplied(nextCommit(t, p, at(2)), 12, at(2))
	if p.machines.get("a").find(job.Task{Job: "wk-1"}) == nil {
		t.Fatal("the task is not placed again")
	}
	p.HandleHeartbeat(at(3), heartbeat("a", 1, 3, 5, failed))
	assertEqual(t, "commands within the lifetime of the first start", commandText(p.Commands(at(3), "a", 1, 3)), "")
	p.HandleHeartbeat(at(5), heartbeat("a", 1, 4, 5, failed))
	assertEqual(t, "commands after it", commandText(p.Commands(at(5), "a", 1, 4)), "forget wk-1/0;start wk-1/0;")
}
