package partition

import (
	"testing"

	"junipershelf/protocol"
)

// A replica that ends never counts as completed, whatever the cause, since it has to run again. At a
// preemption notice it is stopped at once, so that it soon runs elsewhere.
func TestReplicaNeverCompletesAndIsStoppedAtAPreemptionNotice(t *testing.T) {
	service := jobSpec("wk-1", 2)
	service.Shape = protocol.ShapeService
	p := New(testConfig, 7, 0, t0, quadCapacity, newJobCache(t, service))
	p.HandleHeartbeat(at(0), heartbeat("a", 1, 1, 7))
	assignTask(p, at(0), 1, "wk-1", 0, "a", 0)
	assignTask(p, at(0), 2, "wk-1", 1, "a", 0)
	p.Tick(at(0))
	p.HandleCommitApplied(nextCommit(t, p, at(0)), 9, at(0))
	p.HandleHeartbeat(at(1), heartbeat("a", 1, 2, 7))
	starts := p.Commands(at(1), "a", 1, 2)
	assertEqual(t, "starts", commandText(starts), "start wk-1/0;start wk-1/1;")
	attempt := starts[0].Attempt
	running := runningTask("wk-1", 1, attempt)
	p.HandleHeartbeat(at(2), heartbeat("a", 1, 3, 7, completedTask("wk-1", 0, attempt), running))
	assertEqual(t, "commit after the end of a replica", recordText(t, nextCommit(t, p, at(2))), "wk-1/1@a;")
	if len(p.outbox.failures) != 1 {
		t.Errorf("%d failures reported, want 1: a replica that ends on every machine would never back off", len(p.outbox.failures))
	}
	noticed := heartbeat("a", 1, 4, 7, running)
	noticeS := 8.0
	noticed.PreemptionNoticeS = &noticeS
	p.HandleHeartbeat(at(3), noticed)
	p.TickMachine(at(3), "a")
	assertEqual(t, "commands after a preemption notice", commandText(p.Commands(at(3), "a", 1, 4)), "kill wk-1/1;")
}
