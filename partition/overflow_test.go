package partition

import (
	"testing"
	"time"

	"junipershelf/job"
	"junipershelf/protocol"
)

// On a full machine a few tasks are committed ahead of their room: they start in
// the answer that takes another's end, before that end is committed, and in order.
func TestAhead(t *testing.T) {
	p := New(testConfig, 5, 0, t0, caps, newMirror(t, jobOf("wk-1", 40)))
	p.HandleHeartbeat(at(1), report("a", 1, 1, 5))
	for i := range 9 {
		assign(p, at(1), uint64(i+1), "wk-1", i, "a", 0)
	}
	p.Tick(at(1))
	c := commit(t, p, at(1))
	wantEqual(t, "commit", recordText(t, c), "wk-1/0@a;wk-1/1@a;wk-1/2@a;wk-1/3@a;wk-1/4@a;wk-1/5@a;")
	p.CommitApplied(c, 10, at(1))
	wantEqual(t, "first", commandText(p.Commands(at(1), "a", 1, 1)), "start wk-1/0;start wk-1/1;start wk-1/2;start wk-1/3;")
	tr := attemptOf(p, "a", job.Task{Job: "wk-1"})
	p.HandleHeartbeat(at(2), report("a", 1, 2, 5, runningReport("wk-1", 0, tr), endedReport("wk-1", 1, tr, "done"), runningReport("wk-1", 2, tr), runningReport("wk-1", 3, tr)))
	p.TickMachine(at(2), "a")
	wantEqual(t, "at an end", commandText(p.Commands(at(2), "a", 1, 2)), "start wk-1/4;")
	if s := p.Update(at(2)).Machines[0]; s.Free.CPUs != 4-8 {
		t.Errorf("shown room %v", s.Free.CPUs)
	}
}

// What was committed ahead goes back to the queue and on to a buddy that falls
// idle, once its removal is committed.
func TestUnbindsForAnUnderloadedBuddy(t *testing.T) {
	p := New(testConfig, 5, 0, t0, caps, newMirror(t, jobOf("wk-1", 40)))
	p.HandleHeartbeat(at(1), report("a", 1, 1, 5))
	p.ApplyFleet(true, []Buddy{{ID: "a"}, {ID: "b"}}, nil)
	for i := range 6 {
		assign(p, at(1), uint64(i+1), "wk-1", i, "a", 0)
	}
	p.Tick(at(1))
	p.CommitApplied(commit(t, p, at(1)), 10, at(1))
	p.Commands(at(1), "a", 1, 1)
	p.HandleHeartbeat(at(2), report("b", 1, 1, 5))
	p.Tick(at(2))
	c := commit(t, p, at(2))
	wantEqual(t, "given back first", recordText(t, c), "wk-1/0@a;wk-1/1@a;wk-1/2@a;wk-1/3@a;wk-1/5@a;")
	for _, h := range p.Update(at(2)).Machines[0].Held {
		if h.Tasks.Has(4) && h.Phase != PhaseQueued {
			t.Errorf("shown in phase %d, as if it could not start any more", h.Phase)
		}
	}
	p.CommitApplied(c, 11, at(2))
	p.Tick(at(2))
	if got := p.machines.get("b").placements; len(got) != 1 || got[0].Task.Index != 4 || got[0].committed || p.Counts.Overflowed != 1 {
		t.Errorf("b has %d, %+v", len(got), p.Counts)
	}
}

// The design's path: overflow goes to the first underloaded machine of the list,
// up to its reported room; the rest waits and walks on.
func TestOverflow(t *testing.T) {
	cfg := testConfig
	cfg.Buddies, cfg.Lease, cfg.MaxPreCommitted = 1, time.Minute, 0
	p := New(cfg, 5, 0, t0, caps, newMirror(t, jobOf("wk-1", 40)))
	for _, id := range []string{"a", "b", "c", "d"} {
		p.HandleHeartbeat(at(1), report(id, 1, 1, 5))
	}
	p.ApplyFleet(true, []Buddy{{ID: "a"}, {ID: "b"}, {ID: "c"}, {ID: "d"}, {ID: "e", Underloaded: true, Room: job.Resources{CPUs: 2, MemoryGB: 32}}}, nil)
	for i := range 11 {
		assign(p, at(1), uint64(i+1), "wk-1", i, "a", 0)
	}
	p.Tick(at(1))
	// a starts 4; its first choice is b, which takes 4; three wait.
	if p.Counts.Overflowed != 4 || len(p.machines.get("b").placements) != 4 || len(p.machines.get("a").queue) != 3 || len(p.machines.get("c").placements) != 0 {
		t.Fatalf("%+v, b has %d, a queues %d", p.Counts, len(p.machines.get("b").placements), len(p.machines.get("a").queue))
	}
	p.Tick(at(8))
	if len(p.machines.get("a").queue) != 3 {
		t.Error("walked on before the local wait")
	}
	p.HandleHeartbeat(at(10), report("a", 1, 2, 5))
	p.HandleHeartbeat(at(10), report("c", 1, 2, 5))
	p.Tick(at(10.5))
	if p.Counts.FallbackBeyondBuddies != 0 {
		t.Error("walked on before the local wait")
	}
	p.Tick(at(11.5))
	if p.Counts.FallbackBeyondBuddies != 3 || len(p.machines.get("a").queue) != 0 || len(p.machines.get("c").placements) != 3 {
		t.Errorf("%+v, c has %d", p.Counts, len(p.machines.get("c").placements))
	}
}

// Overflow for a buddy of another owner goes through the leader.
func TestOverflowToAnotherOwner(t *testing.T) {
	cfg := testConfig
	cfg.MaxPreCommitted = 0
	p := New(cfg, 5, 0, t0, caps, newMirror(t, jobOf("wk-1", 40)))
	p.HandleHeartbeat(at(1), report("a", 1, 1, 5))
	p.ApplyFleet(true, []Buddy{{ID: "a"}, {ID: "b", Underloaded: true, Room: job.Resources{CPUs: 2, MemoryGB: 32}}}, nil)
	for i := range 8 {
		assign(p, at(1), uint64(i+1), "wk-1", i, "a", 0)
	}
	p.Tick(at(1))
	d := p.Update(at(1))
	if len(d.Forwards) != 2 || d.Forwards[0].To != "b" || p.Counts.Forwarded != 2 {
		t.Fatalf("moves %+v", d.Forwards)
	}
	held := 0
	for _, h := range d.Machines[0].Held {
		held += h.Tasks.Len()
	}
	if held != 6 {
		t.Errorf("still holds %d of 8", held)
	}
	p.UpdateDelivered(&d, d.Version)
	if d := p.Update(at(1)); len(d.Forwards)+len(d.Machines) != 0 {
		t.Errorf("told again: %+v", d)
	}
	p.HandleHeartbeat(at(2), report("a", 1, 2, 5))
	if d := p.Update(at(2)); len(d.Machines) != 0 {
		t.Error("a report with nothing new is told")
	}
	d = p.Update(at(2))
	p.UpdateDelivered(&d, 0)
	if d := p.Update(at(2)); len(d.Machines) != 1 {
		t.Error("not told anew to a leader that has nothing")
	}
}

// Urgent work goes before less urgent work that waits on its machine, committed ahead or not,
// and takes the next slot; work that is as urgent keeps its place.
func TestUrgentWorkOvertakes(t *testing.T) {
	urgent, second := jobOf("wk-2", 1), jobOf("wk-3", 1)
	m := newMirror(t, jobOf("wk-1", 12))
	for _, s := range []protocol.JobSpec{urgent, second} {
		s.Team, s.Priority, s.SpotAllowed = "red", "urgent", true
		if err := m.Set(s.UID, job.Record{Spec: s}, 1, t0); err != nil {
			t.Fatal(err)
		}
	}
	p := New(testConfig, 7, 0, t0, caps, m)
	p.HandleHeartbeat(at(0), report("a", 1, 1, 7))
	for i := range 9 {
		assign(p, at(0), uint64(i+1), "wk-1", i, "a", 0)
	}
	p.Tick(at(0))
	p.CommitApplied(commit(t, p, at(0)), 9, at(0))
	p.HandleHeartbeat(at(1), report("a", 1, 2, 7))
	starts := p.Commands(at(1), "a", 1, 2)
	wantEqual(t, "the first four", commandText(starts), "start wk-1/0;start wk-1/1;start wk-1/2;start wk-1/3;")
	assign(p, at(1), 10, "wk-2", 0, "a", 0)
	assign(p, at(1), 11, "wk-3", 0, "a", 0)
	p.Tick(at(1))
	p.CommitApplied(commit(t, p, at(1)), 10, at(1))
	var tasks []protocol.ReportedTask
	for _, c := range starts {
		tasks = append(tasks, runningReport("wk-1", len(tasks), c.Attempt))
	}
	tasks[0].Status, tasks[0].Cause = protocol.TaskEnded, protocol.CauseDone
	tasks[1].Status, tasks[1].Cause = protocol.TaskEnded, protocol.CauseDone
	p.HandleHeartbeat(at(2), report("a", 1, 3, 7, tasks...))
	wantEqual(t, "the next two slots", commandText(p.Commands(at(2), "a", 1, 3)), "start wk-2/0;start wk-3/0;")
}
