package partition

import "testing"

// Invariant 3 of the design: placements end one lease after the last heartbeat that this owner applied.
// After a change of owner, they end once the former owner's ownership lease and then the agent's lease
// have certainly expired.
func TestPlacementsEndOnceTheLeaseHasCertainlyExpired(t *testing.T) {
	p, _ := newPartitionWithPlacement(t)
	p.Commands(at(1), "a", 1, 1)
	p.HandleHeartbeat(at(2), heartbeat("a", 1, 2, 5, runningTask("wk-1", 0, attemptOf(p))))
	p.Tick(at(11.9))
	if hasCommit(p, at(11.9)) {
		t.Error("placement removed before the agent's lease expired")
	}
	p.Tick(at(12.1))
	if !hasCommit(p, at(12.1)) {
		t.Error("placement kept after the agent's lease expired")
	}
	q := New(testConfig, 6, 0, t0, quadCapacity, newJobCache(t, jobSpec("wk-1", 2)))
	if err := q.LoadShard(ShardKey(0, 0), recordOf(1, placementOf("wk-1", 0, 77)), 3, t0); err != nil {
		t.Fatal(err)
	}
	q.Tick(at(15.9))
	if hasCommit(q, at(15.9)) {
		t.Error("placement removed while a reply of the former owner may have extended the agent's lease")
	}
	q.Tick(at(16.1))
	if !hasCommit(q, at(16.1)) {
		t.Error("placement kept after the ownership lease and the agent's lease expired")
	}
}

// When most machines become silent at once, the fault is on the owner's side, and none is terminated. A
// machine that has just become known does not count as silent.
func TestMassSilenceTerminatesNoMachine(t *testing.T) {
	p := New(testConfig, 5, 0, t0, quadCapacity, newJobCache(t))
	p.HandleHeartbeat(at(100), heartbeat("new", 1, 1, 0))
	if r := p.MachinesToTerminate(at(101)); len(r) != 0 {
		t.Errorf("a machine that has just become known: terminates %v, want none", r)
	}
	p = New(testConfig, 5, 0, t0, quadCapacity, newJobCache(t))
	for _, id := range []string{"a", "b", "c", "d"} {
		p.HandleHeartbeat(at(1), heartbeat(id, 1, 1, 5))
	}
	if r := p.MachinesToTerminate(at(12)); len(r) != 0 {
		t.Errorf("all machines silent: terminates %v, want none", r)
	}
	for _, id := range []string{"b", "c", "d"} {
		p.HandleHeartbeat(at(12), heartbeat(id, 1, 2, 5))
	}
	if r := p.MachinesToTerminate(at(12)); len(r) != 1 || r[0] != "a" {
		t.Errorf("machine a silent: terminates %v, want only a", r)
	}
}
