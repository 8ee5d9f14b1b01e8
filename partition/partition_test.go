package partition

import (
	"fmt"
	"testing"

	"junipershelf/job"
	"junipershelf/protocol"
)

// Invariant 1: a start is ordered only after its placement is committed.
func TestStartOnlyAfterCommit(t *testing.T) {
	p, _ := placed(t)
	wantEqual(t, "after the commit", commandText(p.Commands(at(1), "a", 1, 1)), "start wk-1/0;")
	wantEqual(t, "again for the same report", commandText(p.Commands(at(1), "a", 1, 1)), "")
	wantEqual(t, "for an older report", commandText(p.Commands(at(1), "a", 1, 0)), "")
}

// Invariant 2: absent from a newer report that carries our token, the start was
// dropped and is ordered again; the placement stays.
func TestLostStartIsOrderedAgain(t *testing.T) {
	p, _ := placed(t)
	p.Commands(at(1), "a", 1, 1)
	p.HandleHeartbeat(at(2), report("a", 1, 2, 4))
	wantEqual(t, "with an older token", commandText(p.Commands(at(2), "a", 1, 2)), "")
	p.HandleHeartbeat(at(3), report("a", 1, 3, 5))
	wantEqual(t, "with our token", commandText(p.Commands(at(3), "a", 1, 3)), "start wk-1/0;")
	if len(p.machines.get("a").placements) != 1 || hasCommit(p, at(3)) {
		t.Error("the placement did not stay")
	}
}

// Invariant 2: done enters the shard in the transaction that removes the
// placement, forget is ordered only after that, and it stays there until the job's
// record has it.
func TestDoneThenForget(t *testing.T) {
	p, m := placed(t)
	p.Commands(at(1), "a", 1, 1)
	p.HandleHeartbeat(at(5), report("a", 1, 2, 5, endedReport("wk-1", 0, attemptOf(p, "a", job.Task{Job: "wk-1"}), "done")))
	wantEqual(t, "before the commit", commandText(p.Commands(at(5), "a", 1, 2)), "")
	c := commit(t, p, at(5))
	wantEqual(t, "commit", recordText(t, c), "wk-1/0 done;")
	p.CommitRefused(c)
	wantEqual(t, "after a refusal", commandText(p.Commands(at(5), "a", 1, 2)), "")
	p.CommitApplied(commit(t, p, at(5)), 11, at(5))
	wantEqual(t, "after the commit", commandText(p.Commands(at(5), "a", 1, 2)), "forget wk-1/0;")
	if d := p.Update(at(5)); len(d.Completed) != 1 || d.Completed[0].Task != (job.Task{Job: "wk-1"}) {
		t.Errorf("the leader is told %v", d.Completed)
	}
	assign(p, at(6), 2, "wk-2", 0, "a", 0)
	p.Tick(at(6))
	c = commit(t, p, at(6))
	wantEqual(t, "next commit", recordText(t, c), "wk-2/0@a;wk-1/0 done;")
	p.CommitApplied(c, 12, at(6))
	rec := m.Get("wk-1").Record
	rec.Done = "0"
	if err := m.Set("wk-1", rec, 13, at(7)); err != nil {
		t.Fatal(err)
	}
	assign(p, at(8), 3, "wk-2", 1, "a", 0)
	p.Tick(at(8))
	wantEqual(t, "once the job's record has it", recordText(t, commit(t, p, at(8))), "wk-2/0@a;wk-2/1@a;")
}

// A machine that is gone leaves its results in the shard until their jobs' records
// have them; then the record goes.
func TestGoneMachineKeepsItsResults(t *testing.T) {
	m := newMirror(t, jobOf("wk-1", 2))
	p := New(testConfig, 5, 0, t0, caps, m)
	rec := record("a", 1, placement("wk-1", 0, 77))
	rec.Completed = []RecordCompleted{{Job: 0, Tasks: "1"}}
	if err := p.LoadShard(ShardKey(0, 0), rec, 3, t0); err != nil {
		t.Fatal(err)
	}
	p.HandleTerminated([]string{"a"}, at(1))
	c := commit(t, p, at(1))
	wantEqual(t, "with the machine gone", recordText(t, c), "wk-1/1 done;")
	p.CommitApplied(c, 4, at(1))
	if len(p.machines.sorted) != 0 {
		t.Error("the machine is still known")
	}
	m.Remove("wk-1", at(2))
	p.HandleHeartbeat(at(3), report("b", 1, 1, 5))
	if err := m.Set("wk-2", job.Record{Spec: protocol.JobSpec{UID: "wk-2", Tasks: 1, CPUs: 1, MemGB: 1, Team: "red", Priority: "normal", SpotAllowed: true}}, 9, t0); err != nil {
		t.Fatal(err)
	}
	assign(p, at(3), 1, "wk-2", 0, "b", 0)
	p.Tick(at(3))
	wantEqual(t, "with the job over", recordText(t, commit(t, p, at(3))), "wk-2/0@b;")
}

// Invariant 2 and 5: a placement of an older view that a report with our token
// does not show is gone, since no start of that view can arrive any more.
func TestInheritedPlacement(t *testing.T) {
	p := New(testConfig, 5, 0, t0, caps, newMirror(t, jobOf("wk-1", 2)))
	if err := p.LoadShard(ShardKey(0, 0), record("a", 1, placement("wk-1", 0, 77), placement("wk-1", 1, 78)), 3, t0); err != nil {
		t.Fatal(err)
	}
	p.HandleHeartbeat(at(1), report("a", 1, 9, 4, runningReport("wk-1", 0, 77)))
	wantEqual(t, "older token", commandText(p.Commands(at(1), "a", 1, 9)), "")
	if hasCommit(p, at(1)) {
		t.Error("removed although an older start may be under way")
	}
	p.HandleHeartbeat(at(2), report("a", 1, 10, 5, runningReport("wk-1", 0, 77)))
	wantEqual(t, "our token", commandText(p.Commands(at(2), "a", 1, 10)), "")
	wantEqual(t, "commit", recordText(t, commit(t, p, at(2))), "wk-1/0@a;")
}

// Invariant 3: after our own last answer the lease is over in its own time;
// after a change of owner the authority time comes on top.
func TestLeaseOver(t *testing.T) {
	p, _ := placed(t)
	p.Commands(at(1), "a", 1, 1)
	p.HandleHeartbeat(at(2), report("a", 1, 2, 5, runningReport("wk-1", 0, attemptOf(p, "a", job.Task{Job: "wk-1"}))))
	p.Tick(at(11.9))
	if hasCommit(p, at(11.9)) {
		t.Error("given up within its lease")
	}
	p.Tick(at(12.1))
	if !hasCommit(p, at(12.1)) {
		t.Error("kept after its lease")
	}
	q := New(testConfig, 6, 0, t0, caps, newMirror(t, jobOf("wk-1", 2)))
	if err := q.LoadShard(ShardKey(0, 0), record("a", 1, placement("wk-1", 0, 77)), 3, t0); err != nil {
		t.Fatal(err)
	}
	q.Tick(at(15.9))
	if hasCommit(q, at(15.9)) {
		t.Error("given up while the former owner may have answered")
	}
	q.Tick(at(16.1))
	if !hasCommit(q, at(16.1)) {
		t.Error("kept after authority and lease")
	}
}

// A report of a later session says that all of the earlier one is gone, also
// what was committed for it meanwhile.
func TestSessionRises(t *testing.T) {
	p := New(testConfig, 5, 0, t0, caps, newMirror(t, jobOf("wk-1", 2)))
	p.HandleHeartbeat(at(1), report("a", 1, 1, 5))
	assign(p, at(1), 1, "wk-1", 0, "a", 0)
	p.Tick(at(1))
	c := commit(t, p, at(1))
	p.HandleHeartbeat(at(2), report("a", 2, 2, 5))
	p.CommitApplied(c, 10, at(2))
	wantEqual(t, "for the earlier session", commandText(p.Commands(at(2), "a", 2, 2)), "")
	p.HandleHeartbeat(at(3), report("a", 2, 3, 5))
	if !hasCommit(p, at(3)) {
		t.Error("the placement of an earlier session stays for ever")
	}
}

// A machine whose reports arrive while answers don't: its session rises although
// every report was answered. It gets no new work and is returned. Reports that a
// cut held back come all at once and are no sign of it, nor is one lost answer.
func TestDeafMachine(t *testing.T) {
	for _, c := range []struct {
		name  string
		first float64
		deaf  bool
	}{{"answered all along", 1, true}, {"held back, then all at once", 9, false}} {
		p := New(testConfig, 5, 0, t0, caps, newMirror(t, jobOf("wk-1", 9)))
		for i := range 9 {
			now := at(max(float64(i+1), c.first))
			p.HandleHeartbeat(now, report("a", 1, uint64(i+1), 5))
			p.RecordReply("a")
			if i == 0 {
				assign(p, now, 1, "wk-1", 0, "a", 0)
				p.Tick(now)
				p.CommitApplied(commit(t, p, now), 10, now)
			}
			p.Commands(now, "a", 1, uint64(i+1))
			if _, _, room := p.machines.get("a"), 0, p.machines.get("a").usable(); i == 1 && !room {
				t.Errorf("%s: shunned for one lost answer", c.name)
			} else if i == 4 && room {
				t.Errorf("%s: still takes work after four lost starts", c.name)
			}
		}
		p.HandleHeartbeat(at(11), report("a", 2, 11, 5))
		if got := len(p.MachinesToTerminate(at(11))) == 1; got != c.deaf {
			t.Errorf("%s: returned %v", c.name, got)
		}
		if !hasCommit(p, at(11)) {
			t.Errorf("%s: what it held does not run elsewhere", c.name)
		}
	}
}

// Copies of reports end, start, revive and confirm nothing, however late: within
// a view, after a change of owner, after the machine's return and after forget.
func TestLateCopies(t *testing.T) {
	p, m := placed(t)
	p.Commands(at(1), "a", 1, 1)
	tr := attemptOf(p, "a", job.Task{Job: "wk-1"})
	p.HandleHeartbeat(at(2), report("a", 2, 5, 5))
	for _, b := range []*protocol.Heartbeat{report("a", 1, 9, 5), report("a", 2, 5, 5), report("a", 2, 4, 5, endedReport("wk-1", 0, tr, "done"))} {
		if p.HandleHeartbeat(at(9), b) {
			t.Errorf("taken: %+v", b)
		}
		p.RecordContact(b, at(9))
	}
	if got := p.machines.get("a").lastContact; !got.Equal(at(2)) {
		t.Errorf("copies count as contact: %v", got)
	}
	// A new owner knows from the record what was seen; of a machine without a
	// record it takes a copy for a report, which places and confirms nothing.
	rec := record("a", 2, placement("wk-1", 0, 77))
	rec.Machines[0].Sequence = 8
	q := New(testConfig, 6, 0, t0, caps, m)
	if err := q.LoadShard(ShardKey(0, 0), rec, 3, t0); err != nil {
		t.Fatal(err)
	}
	if q.HandleHeartbeat(at(1), report("a", 2, 7, 5, endedReport("wk-1", 0, 77, "done"))) {
		t.Error("a copy of a report that the former owner had taken")
	}
	q.HandleHeartbeat(at(1), report("ghost", 1, 40, 5))
	if assign(q, at(1), 1, "wk-2", 0, "ghost", 0); len(q.machines.get("ghost").queue) != 0 || q.machines.get("ghost").usable() {
		t.Error("a copy makes a machine that is gone take work")
	}
	if r := q.MachinesToTerminate(at(32)); len(r) != 2 || r[1] != "ghost" {
		t.Errorf("never heard of again: returns %v", r)
	}
	q.HandleTerminated([]string{"ghost"}, at(32))
	if q.HandleHeartbeat(at(33), report("ghost", 1, 41, 6)) {
		t.Error("a late copy brought a returned machine back")
	}
}

// A cancelled job's tasks are killed where they run, and a placement whose start
// was never ordered goes without waiting.
func TestCancelled(t *testing.T) {
	p, m := placed(t)
	tr := attemptOf(p, "a", job.Task{Job: "wk-1"})
	assign(p, at(1), 2, "wk-2", 3, "a", 0)
	p.Tick(at(1))
	p.CommitApplied(commit(t, p, at(1)), 11, at(1))
	m.Remove("wk-1", at(1))
	m.Remove("wk-2", at(1))
	p.HandleHeartbeat(at(2), report("a", 1, 2, 5, protocol.ReportedTask{Task: "wk-1/0", Attempt: tr, Status: "fetching"}))
	wantEqual(t, "orders", commandText(p.Commands(at(2), "a", 1, 2)), "kill wk-1/0;")
	wantEqual(t, "commit", recordText(t, commit(t, p, at(2))), "wk-1/0@a;")
}

// When most machines fall silent at once the fault is here, and the fleet is
// not thrown away. One that has only just been met is not silent.
func TestMassSilenceReturnsNothing(t *testing.T) {
	p := New(testConfig, 5, 0, t0, caps, newMirror(t))
	p.HandleHeartbeat(at(100), report("new", 1, 1, 0))
	if r := p.MachinesToTerminate(at(101)); len(r) != 0 {
		t.Errorf("a machine that has just come up: returns %v", r)
	}
	p = New(testConfig, 5, 0, t0, caps, newMirror(t))
	for _, id := range []string{"a", "b", "c", "d"} {
		p.HandleHeartbeat(at(1), report(id, 1, 1, 5))
	}
	if r := p.MachinesToTerminate(at(12)); len(r) != 0 {
		t.Errorf("all silent: returns %v", r)
	}
	for _, id := range []string{"b", "c", "d"} {
		p.HandleHeartbeat(at(12), report(id, 1, 2, 5))
	}
	if r := p.MachinesToTerminate(at(12)); len(r) != 1 || r[0] != "a" {
		t.Errorf("one silent: returns %v", r)
	}
}

// A machine keeps the images used last, as far as its cache holds them.
func TestImagesOfACache(t *testing.T) {
	cfg := testConfig
	cfg.CacheGB = func(string) float64 { return 10 }
	p := New(cfg, 5, 0, t0, caps, newMirror(t))
	m := &Machine{}
	for _, c := range []struct {
		image string
		gb    float64
		want  string
	}{{"a", 4, "[a]"}, {"b", 4, "[a b]"}, {"a", 4, "[b a]"}, {"c", 4, "[a c]"}, {"huge", 40, "[huge]"}} {
		p.heartbeats.recordImage(m, c.image, c.gb)
		wantEqual(t, "after "+c.image, fmt.Sprint(m.state(t0, detailSecond).Images), c.want)
	}
}

// The tasks of a group that start together carry one try, whoever owns them.
func TestGroupSharesATry(t *testing.T) {
	var tries []uint64
	for index := range 2 {
		p := New(testConfig, 5, index, t0, caps, newMirror(t, jobOf("wk-1", 3)))
		p.HandleHeartbeat(at(1), report("a", 1, 1, 5))
		assign(p, at(1), 1, "wk-1", index, "a", 7)
		assign(p, at(1), 2, "wk-1", 2, "a", 0)
		p.Tick(at(1))
		for _, pl := range p.machines.get("a").placements {
			tries = append(tries, pl.Attempt)
		}
	}
	if tries[0] != tries[2] || tries[0] == tries[1] || tries[1] == tries[3] {
		t.Errorf("tries %v", tries)
	}
}
