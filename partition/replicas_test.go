package partition

import (
	"testing"
	"time"

	"junipershelf/protocol"
)

// The time that a replica is not served is told by step: one starts, its machine falls
// silent and is returned, and its placement is taken out of the record.
func TestReplicaTimes(t *testing.T) {
	s := jobOf("wk-1", 1)
	s.Shape = protocol.ShapeService
	p := New(testConfig, 7, 0, t0, caps, newMirror(t, s))
	p.HandleHeartbeat(at(0), report("a", 1, 1, 7))
	assign(p, at(0), 1, "wk-1", 0, "a", 0)
	p.Tick(at(0))
	p.CommitApplied(commit(t, p, at(0)), 9, at(0.5))
	p.HandleHeartbeat(at(1), report("a", 1, 2, 7))
	try := p.Commands(at(1), "a", 1, 2)[0].Attempt
	for i, status := range []protocol.TaskStatus{protocol.TaskFetching, protocol.TaskFetching, protocol.TaskRunning} {
		p.HandleHeartbeat(at(2+float64(i)), report("a", 1, uint64(3+i), 7, protocol.ReportedTask{Task: "wk-1/0", Attempt: try, Status: status}))
	}
	want := ReplicaTimes{Started: 1, Commit: 500 * time.Millisecond, Command: 500 * time.Millisecond, Fetch: 2 * time.Second, Start: time.Second}
	if p.Replicas != want {
		t.Errorf("after the start: %+v", p.Replicas)
	}
	if ids := p.MachinesToTerminate(at(13)); len(ids) != 1 {
		t.Fatalf("returned: %v", ids)
	}
	p.HandleTerminated([]string{"a"}, at(13.3))
	p.CommitApplied(commit(t, p, at(13.4)), 10, at(13.7))
	want.Lost, want.Detection, want.Proof, want.Removal = 1, 9*time.Second, 300*time.Millisecond, 400*time.Millisecond
	if p.Replicas != want {
		t.Errorf("after the loss: %+v", p.Replicas)
	}
}

// The record of a replica that is to start, or to be taken out, goes into the next commit
// even if that holds a single change and others have waited for longer.
func TestReplicasAreCommittedFirst(t *testing.T) {
	service := jobOf("wk-1", 1)
	service.Shape = protocol.ShapeService
	cfg := testConfig
	cfg.BucketOf = func(machine string) int { return int(machine[0] - 'a') }
	p := New(cfg, 7, 0, t0, caps, newMirror(t, service, jobOf("wk-2", 8)))
	for _, id := range []string{"a", "b", "c"} {
		p.HandleHeartbeat(at(0), report(id, 1, 1, 7))
	}
	for i := range 4 {
		assign(p, at(0), uint64(i+1), "wk-2", i, "a", 0)
		assign(p, at(0), uint64(i+5), "wk-2", 4+i, "b", 0)
	}
	p.Tick(at(0))
	p.CommitRefused(p.NextCommit(at(0), 1))
	assign(p, at(5), 9, "wk-1", 0, "c", 0)
	p.Tick(at(5))
	c := p.NextCommit(at(5), 1)
	wantEqual(t, "the first commit", recordText(t, c), "wk-1/0@c;")
	p.CommitApplied(c, 9, at(5))
	p.HandleTerminated([]string{"c"}, at(6))
	wantEqual(t, "the next one", recordText(t, p.NextCommit(at(6), 1)), "deleted")
}
