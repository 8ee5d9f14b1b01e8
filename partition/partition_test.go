package partition

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"junipershelf/internal/standin"
	"junipershelf/job"
	"junipershelf/protocol"
)

var t0 = time.Unix(1_000_000, 0)

func at(s float64) time.Time { return t0.Add(time.Duration(s * float64(time.Second))) }

var testConfig = Config{Lease: 10 * time.Second, AuthorityLease: 6 * time.Second, ReportInterval: time.Second, MirrorLimit: time.Hour,
	Buddies: 10, LocalWait: 10 * time.Second, SilentLimit: 8 * time.Second, TransactionChanges: 16, ValueBytes: 8192, MaxAhead: 2}

func caps(f string) (job.Resources, bool) { return job.Resources{CPUs: 4, MemoryGB: 32}, f == "quad" }

func newMirror(t *testing.T, jobs ...protocol.JobSpec) *job.Mirror {
	t.Helper()
	m := job.NewMirror(map[string]int{"red": 0})
	for _, s := range jobs {
		s.Team, s.Priority, s.Spot = "red", "normal", true
		if err := m.Set(s.UID, job.Record{Spec: s}, 1, t0); err != nil {
			t.Fatal(err)
		}
	}
	m.SetFreshAsOf(t0.Add(time.Hour))
	return m
}

func jobOf(uid string, pieces int) protocol.JobSpec {
	return protocol.JobSpec{UID: uid, Tasks: pieces, CPUs: 1, MemGB: 1, Image: "img"}
}

func report(host string, shift, tick, baton uint64, pieces ...protocol.TaskReport) *protocol.Report {
	return &protocol.Report{Machine: host, MachineType: "quad", Zone: "z", Spot: true, Session: shift, Sequence: tick, Token: baton, Tasks: pieces}
}

func assign(p *Partition, now time.Time, seq uint64, uid string, i int, machine string, group uint64) {
	var r job.Ranges
	r.Add(i)
	p.TakeAssignment(now, seq, uid, r, machine, group)
}

// commit takes the next commit, which must be there.
func commit(t *testing.T, p *Partition, now time.Time) *Commit {
	t.Helper()
	c := p.NextCommit(now, 100)
	if c == nil {
		t.Fatal("nothing to commit")
	}
	return c
}

// recordText reads the placements and finished tasks of a commit's only record.
func recordText(t *testing.T, c *Commit) string {
	t.Helper()
	out := ""
	for _, w := range c.Shards {
		if w.Record == nil {
			return "deleted"
		}
		raw, err := protocol.Marshal(w.Record)
		if err != nil {
			t.Fatal(err)
		}
		var back Record
		if err := protocol.Unmarshal(raw, &back); err != nil {
			t.Fatal(err)
		}
		if err := back.eachPlacement(func(m *RecordMachine, _ RecordKind, pl *Placement) { out += pl.Task.String() + "@" + m.ID + ";" }); err != nil {
			t.Fatal(err)
		}
		if err := back.eachCompleted(func(tk job.Task) { out += tk.String() + " done;" }); err != nil {
			t.Fatal(err)
		}
	}
	return out
}

// record makes a shard's record with placements of one machine.
func record(machine string, shift uint64, pls ...*Placement) Record {
	w := newRecordWriter()
	w.addMachine(&Machine{ID: machine, MachineType: "quad", Zone: "z", Spot: true, session: shift}, pls)
	return *w.record()
}

func placement(uid string, i int, try uint64) *Placement {
	return &Placement{Task: job.Task{Job: uid, Index: i}, Attempt: try, Session: 1, Resources: job.Resources{CPUs: 1, MemoryGB: 1}, Team: "red"}
}

// hasCommit tells whether a machine has something that is to be committed.
func hasCommit(p *Partition, now time.Time) bool {
	c := p.NextCommit(now, 100)
	if c != nil {
		p.CommitRefused(c)
	}
	return c != nil
}

func commandText(orders []protocol.Command) string {
	s := ""
	for _, o := range orders {
		s += fmt.Sprintf("%s %s;", o.Kind, o.Task)
	}
	return s
}

func wantEqual(t *testing.T, what, got, want string) {
	t.Helper()
	if got != want {
		t.Errorf("%s: %q, want %q", what, got, want)
	}
}

// placed sets up a part of view 5 with wk-1/0 committed on machine a.
func placed(t *testing.T) (*Partition, *job.Mirror) {
	t.Helper()
	m := newMirror(t, jobOf("wk-1", 2), jobOf("wk-2", 9))
	p := New(testConfig, 5, 0, t0, caps, m)
	p.Report(at(1), report("a", 1, 1, 5))
	assign(p, at(1), 1, "wk-1", 0, "a", 0)
	p.Tick(at(1))
	wantEqual(t, "before the commit", commandText(p.Commands(at(1), "a", 1, 1)), "")
	c := commit(t, p, at(1))
	wantEqual(t, "commit", recordText(t, c), "wk-1/0@a;")
	p.CommitApplied(c, 10, at(1))
	return p, m
}

func attemptOf(p *Partition, id string, tk job.Task) uint64 { return p.machines[id].find(tk).Attempt }

func endedReport(uid string, i int, try uint64, cause protocol.EndCause) protocol.TaskReport {
	return protocol.TaskReport{Task: protocol.TaskName(uid, i), Attempt: try, Status: "ended", Cause: cause}
}

func runningReport(uid string, i int, try uint64) protocol.TaskReport {
	return protocol.TaskReport{Task: protocol.TaskName(uid, i), Attempt: try, Status: "running"}
}

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
	p.Report(at(2), report("a", 1, 2, 4))
	wantEqual(t, "with an older baton", commandText(p.Commands(at(2), "a", 1, 2)), "")
	p.Report(at(3), report("a", 1, 3, 5))
	wantEqual(t, "with our baton", commandText(p.Commands(at(3), "a", 1, 3)), "start wk-1/0;")
	if len(p.machines["a"].placements) != 1 || hasCommit(p, at(3)) {
		t.Error("the placement did not stay")
	}
}

// Invariant 2: done enters the shard in the transaction that removes the
// placement, forget is ordered only after that, and it stays there until the job's
// record has it.
func TestDoneThenForget(t *testing.T) {
	p, m := placed(t)
	p.Commands(at(1), "a", 1, 1)
	p.Report(at(5), report("a", 1, 2, 5, endedReport("wk-1", 0, attemptOf(p, "a", job.Task{Job: "wk-1"}), "done")))
	wantEqual(t, "before the commit", commandText(p.Commands(at(5), "a", 1, 2)), "")
	c := commit(t, p, at(5))
	wantEqual(t, "commit", recordText(t, c), "wk-1/0 done;")
	p.CommitRefused(c)
	wantEqual(t, "after a refusal", commandText(p.Commands(at(5), "a", 1, 2)), "")
	p.CommitApplied(commit(t, p, at(5)), 11, at(5))
	wantEqual(t, "after the commit", commandText(p.Commands(at(5), "a", 1, 2)), "forget wk-1/0;")
	if d := p.Update(at(5)); len(d.Completed) != 1 || d.Completed[0].Task != (job.Task{Job: "wk-1"}) {
		t.Errorf("the divider is told %v", d.Completed)
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
	p.MachinesReturned([]string{"a"}, at(1))
	c := commit(t, p, at(1))
	wantEqual(t, "with the machine gone", recordText(t, c), "wk-1/1 done;")
	p.CommitApplied(c, 4, at(1))
	if len(p.machines) != 0 {
		t.Error("the machine is still known")
	}
	m.Remove("wk-1", at(2))
	p.Report(at(3), report("b", 1, 1, 5))
	if err := m.Set("wk-2", job.Record{Spec: protocol.JobSpec{UID: "wk-2", Tasks: 1, CPUs: 1, MemGB: 1, Team: "red", Priority: "normal", Spot: true}}, 9, t0); err != nil {
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
	p.Report(at(1), report("a", 1, 9, 4, runningReport("wk-1", 0, 77)))
	wantEqual(t, "older baton", commandText(p.Commands(at(1), "a", 1, 9)), "")
	if hasCommit(p, at(1)) {
		t.Error("removed although an older start may be under way")
	}
	p.Report(at(2), report("a", 1, 10, 5, runningReport("wk-1", 0, 77)))
	wantEqual(t, "our baton", commandText(p.Commands(at(2), "a", 1, 10)), "")
	wantEqual(t, "commit", recordText(t, commit(t, p, at(2))), "wk-1/0@a;")
}

// Invariant 3: after our own last answer the lease is over in its own time;
// after a change of owner the authority time comes on top.
func TestLeaseOver(t *testing.T) {
	p, _ := placed(t)
	p.Commands(at(1), "a", 1, 1)
	p.Report(at(2), report("a", 1, 2, 5, runningReport("wk-1", 0, attemptOf(p, "a", job.Task{Job: "wk-1"}))))
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
	p.Report(at(1), report("a", 1, 1, 5))
	assign(p, at(1), 1, "wk-1", 0, "a", 0)
	p.Tick(at(1))
	c := commit(t, p, at(1))
	p.Report(at(2), report("a", 2, 2, 5))
	p.CommitApplied(c, 10, at(2))
	wantEqual(t, "for the earlier session", commandText(p.Commands(at(2), "a", 2, 2)), "")
	p.Report(at(3), report("a", 2, 3, 5))
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
			p.Report(now, report("a", 1, uint64(i+1), 5))
			p.ReportAnswered("a")
			if i == 0 {
				assign(p, now, 1, "wk-1", 0, "a", 0)
				p.Tick(now)
				p.CommitApplied(commit(t, p, now), 10, now)
			}
			p.Commands(now, "a", 1, uint64(i+1))
			if _, _, room := p.machines["a"], 0, p.usable(p.machines["a"]); i == 1 && !room {
				t.Errorf("%s: shunned for one lost answer", c.name)
			} else if i == 4 && room {
				t.Errorf("%s: still takes work after four lost starts", c.name)
			}
		}
		p.Report(at(11), report("a", 2, 11, 5))
		if got := len(p.MachinesToReturn(at(11))) == 1; got != c.deaf {
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
	p.Report(at(2), report("a", 2, 5, 5))
	for _, b := range []*protocol.Report{report("a", 1, 9, 5), report("a", 2, 5, 5), report("a", 2, 4, 5, endedReport("wk-1", 0, tr, "done"))} {
		if p.Report(at(9), b) {
			t.Errorf("taken: %+v", b)
		}
		p.NoteContact(b, at(9))
	}
	if got := p.machines["a"].lastContact; !got.Equal(at(2)) {
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
	if q.Report(at(1), report("a", 2, 7, 5, endedReport("wk-1", 0, 77, "done"))) {
		t.Error("a copy of a report that the former owner had taken")
	}
	q.Report(at(1), report("ghost", 1, 40, 5))
	if assign(q, at(1), 1, "wk-2", 0, "ghost", 0); len(q.machines["ghost"].queue) != 0 || q.usable(q.machines["ghost"]) {
		t.Error("a copy makes a machine that is gone take work")
	}
	if r := q.MachinesToReturn(at(32)); len(r) != 2 || r[1] != "ghost" {
		t.Errorf("never heard of again: returns %v", r)
	}
	q.MachinesReturned([]string{"ghost"}, at(32))
	if q.Report(at(33), report("ghost", 1, 41, 6)) {
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
	p.Report(at(2), report("a", 1, 2, 5, protocol.TaskReport{Task: "wk-1/0", Attempt: tr, Status: "fetching"}))
	wantEqual(t, "orders", commandText(p.Commands(at(2), "a", 1, 2)), "kill wk-1/0;")
	wantEqual(t, "commit", recordText(t, commit(t, p, at(2))), "wk-1/0@a;")
}

// A transaction without an answer may have passed: the record tells.
func TestUnansweredCommit(t *testing.T) {
	for _, passed := range []bool{true, false} {
		p := New(testConfig, 5, 0, t0, caps, newMirror(t, jobOf("wk-1", 2)))
		p.Report(at(1), report("a", 1, 1, 5))
		assign(p, at(1), 1, "wk-1", 0, "a", 0)
		assign(p, at(1), 2, "wk-1", 1, "a", 0)
		p.Tick(at(1))
		c := commit(t, p, at(1))
		rec, stamp := c.Shards[0].Record, uint64(12)
		if !passed {
			rec, stamp = nil, 0
		}
		if err := p.ReconcileShard(c, c.Shards[0].Key, rec, stamp, at(2)); err != nil {
			t.Fatal(err)
		}
		p.CommitRefused(c)
		n := 0
		for _, pl := range p.machines["a"].placements {
			if pl.committed {
				n++
			}
		}
		if got := n == 2; got != passed {
			t.Errorf("passed %v: placed %d", passed, n)
		}
		if got := !hasCommit(p, at(2)); got != passed {
			t.Errorf("passed %v: nothing left to commit %v", passed, got)
		}
	}
}

// On a full machine a few tasks are committed ahead of their room: they start in
// the answer that takes another's end, before that end is committed, and in order.
func TestAhead(t *testing.T) {
	p := New(testConfig, 5, 0, t0, caps, newMirror(t, jobOf("wk-1", 40)))
	p.Report(at(1), report("a", 1, 1, 5))
	for i := range 9 {
		assign(p, at(1), uint64(i+1), "wk-1", i, "a", 0)
	}
	p.Tick(at(1))
	c := commit(t, p, at(1))
	wantEqual(t, "commit", recordText(t, c), "wk-1/0@a;wk-1/1@a;wk-1/2@a;wk-1/3@a;wk-1/4@a;wk-1/5@a;")
	p.CommitApplied(c, 10, at(1))
	wantEqual(t, "first", commandText(p.Commands(at(1), "a", 1, 1)), "start wk-1/0;start wk-1/1;start wk-1/2;start wk-1/3;")
	tr := attemptOf(p, "a", job.Task{Job: "wk-1"})
	p.Report(at(2), report("a", 1, 2, 5, runningReport("wk-1", 0, tr), endedReport("wk-1", 1, tr, "done"), runningReport("wk-1", 2, tr), runningReport("wk-1", 3, tr)))
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
	p.Report(at(1), report("a", 1, 1, 5))
	p.TakeFleet(true, []Buddy{{ID: "a"}, {ID: "b"}}, nil)
	for i := range 6 {
		assign(p, at(1), uint64(i+1), "wk-1", i, "a", 0)
	}
	p.Tick(at(1))
	p.CommitApplied(commit(t, p, at(1)), 10, at(1))
	p.Commands(at(1), "a", 1, 1)
	p.Report(at(2), report("b", 1, 1, 5))
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
	if got := p.machines["b"].placements; len(got) != 1 || got[0].Task.Index != 4 || got[0].committed || p.Counts.Overflowed != 1 {
		t.Errorf("b has %d, %+v", len(got), p.Counts)
	}
}

// The design's path: overflow goes to the first underloaded machine of the list,
// up to its reported room; the rest waits and walks on.
func TestOverflow(t *testing.T) {
	cfg := testConfig
	cfg.Buddies, cfg.Lease, cfg.MaxAhead = 1, time.Minute, 0
	p := New(cfg, 5, 0, t0, caps, newMirror(t, jobOf("wk-1", 40)))
	for _, id := range []string{"a", "b", "c", "d"} {
		p.Report(at(1), report(id, 1, 1, 5))
	}
	p.TakeFleet(true, []Buddy{{ID: "a"}, {ID: "b"}, {ID: "c"}, {ID: "d"}, {ID: "e", Underloaded: true, Room: job.Resources{CPUs: 2, MemoryGB: 32}}}, nil)
	for i := range 11 {
		assign(p, at(1), uint64(i+1), "wk-1", i, "a", 0)
	}
	p.Tick(at(1))
	// a starts 4; its first choice is b, which takes 4; three wait.
	if p.Counts.Overflowed != 4 || len(p.machines["b"].placements) != 4 || len(p.machines["a"].queue) != 3 || len(p.machines["c"].placements) != 0 {
		t.Fatalf("%+v, b has %d, a queues %d", p.Counts, len(p.machines["b"].placements), len(p.machines["a"].queue))
	}
	p.Tick(at(8))
	if len(p.machines["a"].queue) != 3 {
		t.Error("walked on before the local wait")
	}
	p.Report(at(10), report("a", 1, 2, 5))
	p.Report(at(10), report("c", 1, 2, 5))
	p.Tick(at(10.5))
	if p.Counts.WalkedOn != 0 {
		t.Error("walked on before the local wait")
	}
	p.Tick(at(11.5))
	if p.Counts.WalkedOn != 3 || len(p.machines["a"].queue) != 0 || len(p.machines["c"].placements) != 3 {
		t.Errorf("%+v, c has %d", p.Counts, len(p.machines["c"].placements))
	}
}

// Overflow for a buddy of another owner goes through the leader.
func TestOverflowToAnotherOwner(t *testing.T) {
	cfg := testConfig
	cfg.MaxAhead = 0
	p := New(cfg, 5, 0, t0, caps, newMirror(t, jobOf("wk-1", 40)))
	p.Report(at(1), report("a", 1, 1, 5))
	p.TakeFleet(true, []Buddy{{ID: "a"}, {ID: "b", Underloaded: true, Room: job.Resources{CPUs: 2, MemoryGB: 32}}}, nil)
	for i := range 8 {
		assign(p, at(1), uint64(i+1), "wk-1", i, "a", 0)
	}
	p.Tick(at(1))
	d := p.Update(at(1))
	if len(d.Moves) != 2 || d.Moves[0].To != "b" || p.Counts.SentOn != 2 {
		t.Fatalf("moves %+v", d.Moves)
	}
	held := 0
	for _, h := range d.Machines[0].Held {
		held += h.Tasks.Len()
	}
	if held != 6 {
		t.Errorf("still holds %d of 8", held)
	}
	p.UpdateDelivered(&d, d.Version)
	if d := p.Update(at(1)); len(d.Moves)+len(d.Machines) != 0 {
		t.Errorf("told again: %+v", d)
	}
	p.Report(at(2), report("a", 1, 2, 5))
	if d := p.Update(at(2)); len(d.Machines) != 0 {
		t.Error("a report with nothing new is told")
	}
	d = p.Update(at(2))
	p.UpdateDelivered(&d, 0)
	if d := p.Update(at(2)); len(d.Machines) != 1 {
		t.Error("not told anew to a divider that has nothing")
	}
}

// When most machines fall silent at once the fault is here, and the fleet is
// not thrown away. One that has only just been met is not silent.
func TestMassSilenceReturnsNothing(t *testing.T) {
	p := New(testConfig, 5, 0, t0, caps, newMirror(t))
	p.Report(at(100), report("new", 1, 1, 0))
	if r := p.MachinesToReturn(at(101)); len(r) != 0 {
		t.Errorf("a machine that has just come up: returns %v", r)
	}
	p = New(testConfig, 5, 0, t0, caps, newMirror(t))
	for _, id := range []string{"a", "b", "c", "d"} {
		p.Report(at(1), report(id, 1, 1, 5))
	}
	if r := p.MachinesToReturn(at(12)); len(r) != 0 {
		t.Errorf("all silent: returns %v", r)
	}
	for _, id := range []string{"b", "c", "d"} {
		p.Report(at(12), report(id, 1, 2, 5))
	}
	if r := p.MachinesToReturn(at(12)); len(r) != 1 || r[0] != "a" {
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
		p.noteImage(m, c.image, c.gb)
		wantEqual(t, "after "+c.image, fmt.Sprint(m.state(t0).Images), c.want)
	}
}

// The tasks of a group that start together carry one try, whoever owns them.
func TestGroupSharesATry(t *testing.T) {
	var tries []uint64
	for index := range 2 {
		p := New(testConfig, 5, index, t0, caps, newMirror(t, jobOf("wk-1", 3)))
		p.Report(at(1), report("a", 1, 1, 5))
		assign(p, at(1), 1, "wk-1", index, "a", 7)
		assign(p, at(1), 2, "wk-1", 2, "a", 0)
		p.Tick(at(1))
		for _, pl := range p.machines["a"].placements {
			tries = append(tries, pl.Attempt)
		}
	}
	if tries[0] != tries[2] || tries[0] == tries[1] || tries[1] == tries[3] {
		t.Errorf("tries %v", tries)
	}
}

// A part's records, over drawn histories: what is read back is what was placed, no
// record outgrows its value in JSON form even when all that runs completes, and
// what finds no room in one goes to the next or waits. The model is a plain list.
func TestShardsAgainstAList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var specs []protocol.JobSpec
		for i := range 30 {
			specs = append(specs, jobOf(fmt.Sprintf("wk-%09d", i), 9000))
		}
		m := job.NewMirror(map[string]int{"red": 0})
		for _, s := range specs {
			s.Team, s.Priority, s.Spot = "red", "normal", true
			_ = m.Set(s.UID, job.Record{Spec: s}, 1, t0)
		}
		m.SetFreshAsOf(t0.Add(time.Hour))
		cfg := testConfig
		cfg.ValueBytes = 1500
		p := New(cfg, 5, 0, t0, func(string) (job.Resources, bool) { return job.Resources{CPUs: 8, MemoryGB: 64}, true }, m)
		store := map[string]Record{}
		seq, epoch, now := uint64(0), uint64(0), at(1)
		ticks := map[string]uint64{}
		runs := map[string]map[job.Task]uint64{} // what workers run
		done := map[job.Task]bool{}
		report := func(id string, over job.Task) {
			ticks[id]++
			var pieces []protocol.TaskReport
			for tk, try := range runs[id] {
				if tk == over {
					pieces = append(pieces, endedReport(tk.Job, tk.Index, try, "done"))
					done[tk] = true
				} else {
					pieces = append(pieces, runningReport(tk.Job, tk.Index, try))
				}
			}
			delete(runs[id], over)
			p.Report(now, report(id, 1, ticks[id], 5, pieces...))
			p.TickMachine(now, id)
			for _, o := range p.Commands(now, id, 1, ticks[id]) {
				uid, i, _ := protocol.ParseTaskName(o.Task)
				tk := job.Task{Job: uid, Index: i}
				if o.Kind == "start" {
					for other, r := range runs {
						if r[tk] != 0 {
							t.Fatalf("%v started on %s while on %s", tk, id, other)
						}
					}
					if done[tk] {
						t.Fatalf("%v started again", tk)
					}
					runs[id][tk] = o.Attempt
				}
			}
		}
		for i := range 12 {
			id := fmt.Sprintf("i-%06d", i)
			runs[id] = map[job.Task]uint64{}
			report(id, job.Task{})
		}
		next := 0
		for range rapid.IntRange(20, 120).Draw(t, "steps") {
			now = now.Add(100 * time.Millisecond)
			id := fmt.Sprintf("i-%06d", rapid.IntRange(0, 11).Draw(t, "machine"))
			switch rapid.IntRange(0, 2).Draw(t, "what") {
			case 0:
				for range rapid.IntRange(1, 9).Draw(t, "tasks") {
					seq++
					next++
					assign(p, now, seq, specs[rapid.IntRange(0, 29).Draw(t, "job")].UID, next, id, 0)
				}
				p.Tick(now)
			case 1:
				c := p.NextCommit(now, rapid.IntRange(1, 9).Draw(t, "most"))
				if c == nil {
					continue
				}
				if rapid.IntRange(0, 4).Draw(t, "fate") == 0 {
					p.CommitRefused(c)
					continue
				}
				epoch++
				for _, w := range c.Shards {
					if w.Record == nil {
						delete(store, w.Key)
						continue
					}
					store[w.Key] = *w.Record
					raw, _ := protocol.Marshal(w.Record)
					if n := standin.JSONBytes(raw); n > w.Bytes || n > cfg.ValueBytes {
						t.Fatalf("%s takes %d bytes, thought to be %d, of %d", w.Key, n, w.Bytes, cfg.ValueBytes)
					}
				}
				p.CommitApplied(c, epoch, now)
			case 2:
				var over job.Task
				for tk := range runs[id] {
					if over.Job == "" || tk.Compare(over) < 0 {
						over = tk
					}
				}
				report(id, over)
			}
		}
		// The store knows of all that runs and, once more is committed, of all that is done.
		placed := map[job.Task]string{}
		finished := map[job.Task]bool{}
		for _, rec := range store {
			_ = rec.eachPlacement(func(m *RecordMachine, _ RecordKind, pl *Placement) { placed[pl.Task] = m.ID })
			_ = rec.eachCompleted(func(tk job.Task) { finished[tk] = true })
		}
		for id, r := range runs {
			for tk := range r {
				if placed[tk] != id {
					t.Fatalf("%v runs on %s, the store says %q", tk, id, placed[tk])
				}
			}
		}
		for tk := range finished {
			if !done[tk] {
				t.Fatalf("%v is called done", tk)
			}
		}
		for tk := range done {
			if !finished[tk] && placed[tk] == "" {
				t.Fatalf("%v is lost from the store", tk)
			}
		}
	})
}

// Large machines stand in few records, whatever they could hold: once a record took
// each machine with all its CPUs, three of 64, and 590 machines needed 200 records. A
// machine that stands in two of them is shown to a new leader with all that it holds.
func TestFewRecordsForLargeMachines(t *testing.T) {
	m := newMirror(t, protocol.JobSpec{UID: "wk-1", Tasks: 900, CPUs: 16, MemGB: 1})
	big := func(string) (job.Resources, bool) { return job.Resources{CPUs: 64, MemoryGB: 640}, true }
	p := New(testConfig, 5, 0, t0, big, m)
	seq, store := uint64(0), map[string]Record{}
	for n := range 120 {
		id := fmt.Sprintf("i-%06d", n)
		p.Report(at(1), report(id, 1, 1, 5))
		for k := range 4 {
			seq++
			assign(p, at(1), seq, "wk-1", 4*n+k, id, 0)
		}
	}
	p.Tick(at(1))
	for range 9 {
		c := p.NextCommit(at(1), 1)
		if c == nil {
			break
		}
		for _, w := range c.Shards {
			store[w.Key] = *w.Record
		}
		p.CommitApplied(c, 9, at(1))
	}
	placed := map[job.Task]bool{}
	for _, rec := range store {
		_ = rec.eachPlacement(func(_ *RecordMachine, _ RecordKind, pl *Placement) { placed[pl.Task] = true })
	}
	if len(placed) != 480 || len(store) > 3 {
		t.Errorf("%d of 480 tasks stand in %d records", len(placed), len(store))
	}
	states, _, err := StatesFromRecords([]Record{record("a", 1, placement("wk-1", 0, 77)), record("a", 1, placement("wk-1", 1, 78))}, caps, t0)
	if err != nil || len(states) != 1 || len(states[0].Held) != 1 || states[0].Held[0].Tasks.Len() != 2 {
		t.Errorf("a machine of two records: %+v, %v", states, err)
	}
}

// Broken records are told apart from good ones, and another session's runs are kept.
func TestRecordsReadBack(t *testing.T) {
	pl := placement("wk-1", 3, 1<<40)
	pl.Session = 4
	rec := record("a", 5, pl, placement("wk-1", 4, 1<<40+7))
	for _, text := range []string{rec.Machines[0].Runs, "", "0", "0.0", "0.0:x", "9.0:1", "0.9:1", "0.0@x:1", "-1.0:1"} {
		rec.Machines[0].Runs = text
		got := ""
		err := rec.eachPlacement(func(m *RecordMachine, _ RecordKind, p *Placement) {
			got += fmt.Sprint(p.Task, p.Attempt-1<<40, p.Session, ";")
		})
		if strings.Contains(text, "@4:3") {
			if wantEqual(t, "read back", got, "wk-1/3 0 4;wk-1/4 7 1;"); err != nil {
				t.Error(err)
			}
		} else if err == nil {
			t.Errorf("%q is taken", text)
		}
	}
}
