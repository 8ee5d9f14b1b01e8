package partition

import (
	"testing"
	"time"

	"junipershelf/job"
)

// When a buddy becomes underloaded, a pre-committed placement is released: once its removal is
// committed, its task is back in the queue and moves to the buddy.
func TestPreCommittedTaskIsReleasedForAnUnderloadedBuddy(t *testing.T) {
	p := New(testConfig, 5, 0, t0, quadCapacity, newJobCache(t, jobSpec("wk-1", 40)))
	p.HandleHeartbeat(at(1), heartbeat("a", 1, 1, 5))
	p.ResetFleet()
	p.ApplyFleetChanges([]FleetMachine{{ID: "a"}, {ID: "b"}}, nil)
	for i := range 6 {
		assignTask(p, at(1), uint64(i+1), "wk-1", i, "a", 0)
	}
	p.Tick(at(1))
	p.HandleCommitApplied(nextCommit(t, p, at(1)), 10, at(1))
	p.Commands(at(1), "a", 1, 1)
	p.HandleHeartbeat(at(2), heartbeat("b", 1, 1, 5))
	p.Tick(at(2))
	c := nextCommit(t, p, at(2))
	assertEqual(t, "commit without the released placement", recordText(t, c), "wk-1/0@a;wk-1/1@a;wk-1/2@a;wk-1/3@a;wk-1/5@a;")
	for _, h := range p.Update(at(2)).Machines[0].Held {
		if h.Tasks.Has(4) && h.Phase != PhaseQueued {
			t.Errorf("the released task is reported in phase %d, want %d as it may still start", h.Phase, PhaseQueued)
		}
	}
	p.HandleCommitApplied(c, 11, at(2))
	p.Tick(at(2))
	if got := p.machines.get("b").placements; len(got) != 1 || got[0].Task.Index != 4 || got[0].committed || p.Counts.Overflowed != 1 {
		t.Errorf("b has %d placements, want only the uncommitted wk-1/4; counts %+v, want 1 overflowed", len(got), p.Counts)
	}
}

// Overflow moves to the first underloaded machine of the buddy set, up to its reported free
// resources. The rest stays for the local wait, and then moves to any machine of the preferred list.
func TestOverflowGoesToTheBuddySetAndLaterBeyond(t *testing.T) {
	cfg := testConfig
	cfg.Buddies, cfg.Lease, cfg.MaxPreCommitted = 1, time.Minute, 0
	p := New(cfg, 5, 0, t0, quadCapacity, newJobCache(t, jobSpec("wk-1", 40)))
	for _, id := range []string{"a", "b", "c", "d"} {
		p.HandleHeartbeat(at(1), heartbeat(id, 1, 1, 5))
	}
	p.ResetFleet()
	p.ApplyFleetChanges([]FleetMachine{{ID: "a"}, {ID: "b"}, {ID: "c"}, {ID: "d"}, {ID: "e", Underloaded: true, FreeResources: job.Resources{CPUs: 2, MemoryGB: 32}}}, nil)
	for i := range 11 {
		assignTask(p, at(1), uint64(i+1), "wk-1", i, "a", 0)
	}
	p.Tick(at(1))
	// a fits four tasks; its first buddy b accepts four; three stay in a's queue.
	if p.Counts.Overflowed != 4 || len(p.machines.get("b").placements) != 4 || len(p.machines.get("a").queue) != 3 || len(p.machines.get("c").placements) != 0 {
		t.Fatalf("counts %+v, %d placements on b, %d tasks queued on a; want 4 overflowed, 4 and 3, and none on c",
			p.Counts, len(p.machines.get("b").placements), len(p.machines.get("a").queue))
	}
	p.Tick(at(8))
	if len(p.machines.get("a").queue) != 3 {
		t.Error("a task left the queue before the local wait without an underloaded buddy")
	}
	p.HandleHeartbeat(at(10), heartbeat("a", 1, 2, 5))
	p.HandleHeartbeat(at(10), heartbeat("c", 1, 2, 5))
	p.Tick(at(10.5))
	if p.Counts.FallbackBeyondBuddies != 0 {
		t.Error("a task moved beyond the buddy set before the local wait was over")
	}
	p.Tick(at(11.5))
	if p.Counts.FallbackBeyondBuddies != 3 || len(p.machines.get("a").queue) != 0 || len(p.machines.get("c").placements) != 3 {
		t.Errorf("counts %+v, %d placements on c; want 3 tasks beyond the buddy set, all on c", p.Counts, len(p.machines.get("c").placements))
	}
}

// Overflow to a buddy of another owner is sent through the leader.
func TestOverflowToAnotherOwnerIsForwardedByTheLeader(t *testing.T) {
	cfg := testConfig
	cfg.MaxPreCommitted = 0
	p := New(cfg, 5, 0, t0, quadCapacity, newJobCache(t, jobSpec("wk-1", 40)))
	p.HandleHeartbeat(at(1), heartbeat("a", 1, 1, 5))
	p.ResetFleet()
	p.ApplyFleetChanges([]FleetMachine{{ID: "a"}, {ID: "b", Underloaded: true, FreeResources: job.Resources{CPUs: 2, MemoryGB: 32}}}, nil)
	for i := range 8 {
		assignTask(p, at(1), uint64(i+1), "wk-1", i, "a", 0)
	}
	p.Tick(at(1))
	d := p.Update(at(1))
	if len(d.Forwards) != 2 || d.Forwards[0].To != "b" || p.Counts.Forwarded != 2 {
		t.Fatalf("forward requests %+v, %d counted, want 2 to b", d.Forwards, p.Counts.Forwarded)
	}
	held := 0
	for _, h := range d.Machines[0].Held {
		held += h.Tasks.Len()
	}
	if held != 6 {
		t.Errorf("a holds %d tasks after 2 of 8 were forwarded, want 6", held)
	}
	p.HandleUpdateDelivered(&d, d.Version)
	if d := p.Update(at(1)); len(d.Forwards)+len(d.Machines) != 0 {
		t.Errorf("update after a delivered one: %+v, want neither forward requests nor machines", d)
	}
	p.HandleHeartbeat(at(2), heartbeat("a", 1, 2, 5))
	if d := p.Update(at(2)); len(d.Machines) != 0 {
		t.Error("the update contains a machine whose heartbeat changed nothing")
	}
	d = p.Update(at(2))
	p.HandleUpdateDelivered(&d, 0)
	if d := p.Update(at(2)); len(d.Machines) != 1 {
		t.Error("the update does not contain all machines although the leader has version 0")
	}
}
