package partition

import (
	"testing"
	"time"

	"junipershelf/protocol"
)

// The times of a replica's steps are summed: it starts, its machine becomes silent and is terminated,
// and its placement is removed from the record.
func TestReplicaTimesAreSummedByStep(t *testing.T) {
	service := jobSpec("wk-1", 1)
	service.Shape = protocol.ShapeService
	p := New(testConfig, 7, 0, t0, quadCapacity, newJobCache(t, service))
	p.HandleHeartbeat(at(0), heartbeat("a", 1, 1, 7))
	assignTask(p, at(0), 1, "wk-1", 0, "a", 0)
	p.Tick(at(0))
	p.HandleCommitApplied(nextCommit(t, p, at(0)), 9, at(0.5))
	p.HandleHeartbeat(at(1), heartbeat("a", 1, 2, 7))
	attempt := p.Commands(at(1), "a", 1, 2)[0].Attempt
	for i, status := range []protocol.TaskStatus{protocol.TaskFetching, protocol.TaskFetching, protocol.TaskRunning} {
		p.HandleHeartbeat(at(2+float64(i)), heartbeat("a", 1, uint64(3+i), 7, protocol.ReportedTask{Task: "wk-1/0", Attempt: attempt, Status: status}))
	}
	want := ReplicaTimes{Started: 1, Commit: 500 * time.Millisecond, Command: 500 * time.Millisecond, Fetch: 2 * time.Second, Start: time.Second}
	if p.Replicas != want {
		t.Errorf("after the start: %+v, want %+v", p.Replicas, want)
	}
	if ids := p.MachinesToTerminate(at(13)); len(ids) != 1 {
		t.Fatalf("machines to terminate: %v, want only a", ids)
	}
	p.HandleTerminated([]string{"a"}, at(13.3))
	p.HandleCommitApplied(nextCommit(t, p, at(13.4)), 10, at(13.7))
	want.Lost, want.Detection, want.Proof, want.Removal = 1, 9*time.Second, 300*time.Millisecond, 400*time.Millisecond
	if p.Replicas != want {
		t.Errorf("after the loss: %+v, want %+v", p.Replicas, want)
	}
}
