package partition

import (
	"testing"

	"junipershelf/protocol"
)

// Invariant 1 of the design: a start is sent only after its placement is committed.
func TestStartRequiresCommittedPlacement(t *testing.T) {
	p, _ := newPartitionWithPlacement(t)
	assertEqual(t, "after the commit", commandText(p.Commands(at(1), "a", 1, 1)), "start wk-1/0;")
	assertEqual(t, "again for the same heartbeat", commandText(p.Commands(at(1), "a", 1, 1)), "")
	assertEqual(t, "for an older heartbeat", commandText(p.Commands(at(1), "a", 1, 0)), "")
}

// Invariant 2 of the design: if a newer heartbeat with this view's fencing token does not report a
// task whose start was sent, the reply was lost. The start is sent again and the placement is kept.
func TestStartIsSentAgainWhenItsReplyWasLost(t *testing.T) {
	p, _ := newPartitionWithPlacement(t)
	p.Commands(at(1), "a", 1, 1)
	p.HandleHeartbeat(at(2), heartbeat("a", 1, 2, 4))
	assertEqual(t, "with an older fencing token", commandText(p.Commands(at(2), "a", 1, 2)), "")
	p.HandleHeartbeat(at(3), heartbeat("a", 1, 3, 5))
	assertEqual(t, "with this view's fencing token", commandText(p.Commands(at(3), "a", 1, 3)), "start wk-1/0;")
	if len(p.machines.get("a").placements) != 1 || hasCommit(p, at(3)) {
		t.Error("the placement was removed after a lost start")
	}
}

// Running tasks of a cancelled job are stopped. A placement whose start was never sent is removed at
// once.
func TestTasksOfCancelledJobAreStoppedAndNotStarted(t *testing.T) {
	p, jobs := newPartitionWithPlacement(t)
	attempt := attemptOf(p)
	assignTask(p, at(1), 2, "wk-2", 3, "a", 0)
	p.Tick(at(1))
	p.HandleCommitApplied(nextCommit(t, p, at(1)), 11, at(1))
	jobs.Remove("wk-1", at(1))
	jobs.Remove("wk-2", at(1))
	p.HandleHeartbeat(at(2), heartbeat("a", 1, 2, 5, protocol.ReportedTask{Task: "wk-1/0", Attempt: attempt, Status: protocol.TaskFetching}))
	assertEqual(t, "commands", commandText(p.Commands(at(2), "a", 1, 2)), "kill wk-1/0;")
	assertEqual(t, "commit", recordText(t, nextCommit(t, p, at(2))), "wk-1/0@a;")
}

// Without a start lease the reply carries all commands but the starts, which stay pending.
func TestStartsAreWithheldWithoutStartLease(t *testing.T) {
	p, jobs := newPartitionWithPlacement(t)
	commands, withheld := p.CommandsWithoutStarts(at(1), "a", 1, 1)
	if len(commands) != 0 || withheld != 1 {
		t.Errorf("commands %q with %d starts withheld, want none with 1", commandText(commands), withheld)
	}
	if commands, withheld = p.CommandsWithoutStarts(at(1), "a", 1, 0); commands != nil || withheld != 0 {
		t.Errorf("for an older heartbeat: commands %q with %d starts withheld, want none", commandText(commands), withheld)
	}
	p.HandleHeartbeat(at(2), heartbeat("a", 1, 2, 5))
	assertEqual(t, "with the start lease", commandText(p.Commands(at(2), "a", 1, 2)), "start wk-1/0;")
	jobs.Remove("wk-1", at(3))
	p.HandleHeartbeat(at(3), heartbeat("a", 1, 3, 5, protocol.ReportedTask{Task: "wk-1/0", Attempt: attemptOf(p), Status: protocol.TaskFetching}))
	commands, withheld = p.CommandsWithoutStarts(at(3), "a", 1, 3)
	assertEqual(t, "of a cancelled job", commandText(commands), "kill wk-1/0;")
	if withheld != 0 {
		t.Errorf("%d starts withheld for a cancelled job, want none", withheld)
	}
}
