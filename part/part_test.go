package part

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"junipershelf/job"
	"junipershelf/protocol"
)

var t0 = time.Unix(1_000_000, 0)

func at(s float64) time.Time { return t0.Add(time.Duration(s * float64(time.Second))) }

var testConfig = Config{Lease: 10 * time.Second, Authority: 6 * time.Second, Report: time.Second, Stale: time.Hour,
	Buddies: 10, LocalWait: 10 * time.Second, SilentAway: 8 * time.Second, TxnOps: 16, ValueBytes: 8192}

func caps(f string) (job.Need, bool) { return job.Need{CPUs: 4, Mem: 32}, f == "quad" }

func newMirror(t *testing.T, jobs ...protocol.Spec) *job.Mirror {
	t.Helper()
	m := job.NewMirror(map[string]int{"red": 0})
	for _, s := range jobs {
		s.Owner, s.Urgency, s.Borrowed = "red", "normal", true
		if err := m.Set(s.UID, job.Record{Spec: s}, 1, t0); err != nil {
			t.Fatal(err)
		}
	}
	m.Refreshed(t0.Add(time.Hour))
	return m
}

func one(uid string, pieces int) protocol.Spec {
	return protocol.Spec{UID: uid, Pieces: pieces, CPUs: 1, MemGB: 1, Bundle: "img"}
}

func beat(host string, shift, tick, baton uint64, pieces ...protocol.Piece) *protocol.Beat {
	return &protocol.Beat{Host: host, Flavor: "quad", Yard: "z", Borrowed: true, Shift: shift, Tick: tick, Baton: baton, Pieces: pieces}
}

func verbs(orders []protocol.Order) string {
	s := ""
	for _, o := range orders {
		s += fmt.Sprintf("%s %s;", o.Verb, o.Piece)
	}
	return s
}

func want(t *testing.T, what, got, want string) {
	t.Helper()
	if got != want {
		t.Errorf("%s: %q, want %q", what, got, want)
	}
}

// placed sets up a part of view 5 with wk-1/0 committed on machine a.
func placed(t *testing.T) (*Part, *job.Mirror) {
	t.Helper()
	m := newMirror(t, one("wk-1", 2), one("wk-2", 9))
	p := New(testConfig, 5, 0, t0, caps, m)
	p.Report(at(1), beat("a", 1, 1, 5))
	p.Allot(at(1), 1, job.Task{Job: "wk-1"}, "a", 0)
	p.Tick(at(1))
	want(t, "before the commit", verbs(p.Orders(at(1), "a", 1, 1)), "")
	c := p.NextCommit(nil)
	if c == nil || len(c.Machines) != 1 || len(c.Machines[0].Rec.Jobs) != 1 {
		t.Fatalf("commit: %+v", c)
	}
	p.Committed(c, 10, at(1))
	return p, m
}

func try(p *Part, id string, tk job.Task) uint64 { return p.machines[id].placed[tk].Try }

// Invariant 1: a start is ordered only after its placement is committed.
func TestStartOnlyAfterCommit(t *testing.T) {
	p, _ := placed(t)
	want(t, "after the commit", verbs(p.Orders(at(1), "a", 1, 1)), "start wk-1/0;")
	want(t, "again for the same report", verbs(p.Orders(at(1), "a", 1, 1)), "")
	want(t, "for an older report", verbs(p.Orders(at(1), "a", 1, 0)), "")
}

// Invariant 2: absent from a newer report that carries our baton, the start was
// dropped and is ordered again; the placement stays.
func TestLostStartIsOrderedAgain(t *testing.T) {
	p, _ := placed(t)
	p.Orders(at(1), "a", 1, 1)
	p.Report(at(2), beat("a", 1, 2, 4))
	want(t, "with an older baton", verbs(p.Orders(at(2), "a", 1, 2)), "")
	p.Report(at(3), beat("a", 1, 3, 5))
	want(t, "with our baton", verbs(p.Orders(at(3), "a", 1, 3)), "start wk-1/0;")
	if len(p.machines["a"].placed) != 1 || p.Dirty("a") {
		t.Error("the placement did not stay")
	}
}

// Invariant 2: done enters the machine's record in the transaction that removes
// the placement, forget is ordered only after that, and it stays there until the
// job's record has it.
func TestDoneThenForget(t *testing.T) {
	p, m := placed(t)
	p.Orders(at(1), "a", 1, 1)
	tr := try(p, "a", job.Task{Job: "wk-1"})
	p.Report(at(5), beat("a", 1, 2, 5, protocol.Piece{Piece: "wk-1/0", Try: tr, Status: "ended", Cause: "done"}))
	want(t, "before the commit", verbs(p.Orders(at(5), "a", 1, 2)), "")
	c := p.NextCommit(nil)
	if c == nil || c.Machines[0].Rec == nil || len(c.Machines[0].Rec.Jobs) != 0 || !slices.Equal(c.Machines[0].Rec.Done, []RecDone{{"wk-1", "0"}}) {
		t.Fatalf("commit: %+v", c)
	}
	p.Refused(c)
	want(t, "after a refusal", verbs(p.Orders(at(5), "a", 1, 2)), "")
	c = p.NextCommit(nil)
	p.Committed(c, 11, at(5))
	want(t, "after the commit", verbs(p.Orders(at(5), "a", 1, 2)), "forget wk-1/0;")
	if d := p.Digest(at(5)); len(d.Done) != 1 || d.Done[0].Task != (job.Task{Job: "wk-1"}) {
		t.Errorf("the divider is told %v", d.Done)
	}
	p.Allot(at(6), 2, job.Task{Job: "wk-2"}, "a", 0)
	p.Tick(at(6))
	c = p.NextCommit(nil)
	if len(c.Machines[0].Rec.Done) != 1 {
		t.Error("dropped before the job's record had it")
	}
	p.Committed(c, 12, at(6))
	rec := m.Get("wk-1").Record
	rec.Done = "0"
	if err := m.Set("wk-1", rec, 13, at(7)); err != nil {
		t.Fatal(err)
	}
	p.Allot(at(8), 3, job.Task{Job: "wk-2", Index: 1}, "a", 0)
	p.Tick(at(8))
	if c = p.NextCommit(nil); len(c.Machines[0].Rec.Done) != 0 || len(p.Digest(at(8)).Done) != 0 {
		t.Error("kept for ever")
	}
}

// A machine that is gone keeps its record until its finished tasks are in their
// jobs' records.
func TestGoneMachineKeepsItsResults(t *testing.T) {
	m := newMirror(t, one("wk-1", 2))
	p := New(testConfig, 5, 0, t0, caps, m)
	p.Load("a", Record{Flavor: "quad", Done: []RecDone{{"wk-1", "1"}}}, 3, t0)
	p.Returned([]string{"a"}, at(1))
	p.Tick(at(1))
	if c := p.NextCommit(nil); c != nil {
		t.Fatalf("deleted with a result in it: %+v", c)
	}
	m.Drop("wk-1", at(2))
	if c := p.NextCommit(nil); c == nil || c.Machines[0].Rec != nil {
		t.Errorf("not deleted: %+v", c)
	}
}

// Invariant 2 and 5: a placement of an older view that a report with our baton
// does not show is gone, since no start of that view can arrive any more.
func TestInheritedPlacement(t *testing.T) {
	m := newMirror(t, one("wk-1", 2))
	p := New(testConfig, 5, 0, t0, caps, m)
	rec := Record{Flavor: "quad", Jobs: []RecJob{{UID: "wk-1", Team: "red", Need: job.Need{CPUs: 1}, Tasks: [][3]uint64{{0, 77, 1}, {1, 78, 1}}}}}
	p.Load("a", rec, 3, t0)
	p.Report(at(1), beat("a", 1, 9, 4, protocol.Piece{Piece: "wk-1/0", Try: 77, Status: "running"}))
	want(t, "older baton", verbs(p.Orders(at(1), "a", 1, 9)), "")
	if p.Dirty("a") {
		t.Error("removed although an older start may be under way")
	}
	p.Report(at(2), beat("a", 1, 10, 5, protocol.Piece{Piece: "wk-1/0", Try: 77, Status: "running"}))
	want(t, "our baton", verbs(p.Orders(at(2), "a", 1, 10)), "")
	c := p.NextCommit(nil)
	if c == nil || len(c.Machines[0].Rec.Jobs) != 1 || len(c.Machines[0].Rec.Jobs[0].Tasks) != 1 {
		t.Fatalf("commit: %+v", c)
	}
}

// Invariant 3: after our own last answer the lease is over in its own time;
// after a change of owner the authority time comes on top.
func TestLeaseOver(t *testing.T) {
	p, _ := placed(t)
	p.Report(at(2), beat("a", 1, 2, 5))
	p.Tick(at(11.9))
	if p.Dirty("a") {
		t.Error("given up within its lease")
	}
	p.Tick(at(12.1))
	if !p.Dirty("a") {
		t.Error("kept after its lease")
	}
	q := New(testConfig, 6, 0, t0, caps, newMirror(t, one("wk-1", 2)))
	q.Load("a", Record{Flavor: "quad", Jobs: []RecJob{{UID: "wk-1", Tasks: [][3]uint64{{0, 77, 1}}}}}, 3, t0)
	q.Tick(at(15.9))
	if q.Dirty("a") {
		t.Error("given up while the former owner may have answered")
	}
	q.Tick(at(16.1))
	if !q.Dirty("a") {
		t.Error("kept after authority and lease")
	}
}

// A report of a later session says that all of the earlier one is gone, also
// what was committed for it meanwhile.
func TestSessionRises(t *testing.T) {
	m := newMirror(t, one("wk-1", 2))
	p := New(testConfig, 5, 0, t0, caps, m)
	p.Report(at(1), beat("a", 1, 1, 5))
	p.Allot(at(1), 1, job.Task{Job: "wk-1"}, "a", 0)
	p.Tick(at(1))
	c := p.NextCommit(nil)
	p.Report(at(2), beat("a", 2, 2, 5))
	p.Committed(c, 10, at(2))
	want(t, "for the earlier session", verbs(p.Orders(at(2), "a", 2, 2)), "")
	p.Report(at(3), beat("a", 2, 3, 5))
	if !p.Dirty("a") {
		t.Error("the placement of an earlier session stays for ever")
	}
}

// A report that comes late, in an older session or with a smaller tick, changes
// nothing.
func TestStaleReports(t *testing.T) {
	p, _ := placed(t)
	p.Orders(at(1), "a", 1, 1)
	tr := try(p, "a", job.Task{Job: "wk-1"})
	p.Report(at(2), beat("a", 2, 5, 5))
	for _, b := range []*protocol.Beat{beat("a", 1, 9, 5), beat("a", 2, 5, 5), beat("a", 2, 4, 5, protocol.Piece{Piece: "wk-1/0", Try: tr, Status: "ended", Cause: "done"})} {
		if p.Report(at(3), b) {
			t.Errorf("taken: %+v", b)
		}
	}
}

// A cancelled job's tasks are killed where they run, and a placement whose start
// was never ordered goes without waiting.
func TestCancelled(t *testing.T) {
	p, m := placed(t)
	tr := try(p, "a", job.Task{Job: "wk-1"})
	p.Allot(at(1), 2, job.Task{Job: "wk-2", Index: 3}, "a", 0)
	p.Tick(at(1))
	p.Committed(p.NextCommit(nil), 11, at(1))
	m.Drop("wk-1", at(1))
	m.Drop("wk-2", at(1))
	p.Report(at(2), beat("a", 1, 2, 5, protocol.Piece{Piece: "wk-1/0", Try: tr, Status: "fetching"}))
	want(t, "orders", verbs(p.Orders(at(2), "a", 1, 2)), "kill wk-1/0;")
	c := p.NextCommit(nil)
	if c == nil || len(c.Machines[0].drop) != 1 || c.Machines[0].drop[0].Task.Job != "wk-2" {
		t.Fatalf("commit: %+v", c)
	}
}

// A transaction without an answer may have passed: the record tells.
func TestUnansweredCommit(t *testing.T) {
	for _, passed := range []bool{true, false} {
		m := newMirror(t, one("wk-1", 2))
		p := New(testConfig, 5, 0, t0, caps, m)
		p.Report(at(1), beat("a", 1, 1, 5))
		p.Allot(at(1), 1, job.Task{Job: "wk-1"}, "a", 0)
		p.Allot(at(1), 2, job.Task{Job: "wk-1", Index: 1}, "a", 0)
		p.Tick(at(1))
		c := p.NextCommit(nil)
		if passed {
			p.Reread(c, "a", c.Machines[0].Rec, 12, at(2))
		} else {
			p.Reread(c, "a", nil, 0, at(2))
		}
		p.Refused(c)
		if got := len(p.machines["a"].placed) == 2; got != passed {
			t.Errorf("passed %v: placed %v", passed, got)
		}
		if got := p.NextCommit(nil) == nil; got != passed {
			t.Errorf("passed %v: nothing left to commit %v", passed, got)
		}
	}
}

// The design's path: overflow goes to the first underloaded machine of the list,
// up to its reported room; the rest waits and walks on.
func TestOverflow(t *testing.T) {
	m := newMirror(t, one("wk-1", 40))
	cfg := testConfig
	cfg.Buddies, cfg.Lease = 1, time.Minute
	p := New(cfg, 5, 0, t0, caps, m)
	ids := []string{"a", "b", "c", "d"}
	for i, id := range ids {
		p.Report(at(1), beat(id, 1, 1, 5))
		_ = i
	}
	p.Fleet([]Buddy{{ID: "a"}, {ID: "b"}, {ID: "c"}, {ID: "d"}, {ID: "e", Under: true, Room: job.Need{CPUs: 2, Mem: 32}}})
	for i := range 11 {
		p.Allot(at(1), uint64(i+1), job.Task{Job: "wk-1", Index: i}, "a", 0)
	}
	p.Tick(at(1))
	// a starts 4; its first choice is b, which takes 4; three wait.
	if p.Counts.Overflowed != 4 || len(p.machines["b"].adding) != 4 || len(p.machines["a"].queue) != 3 || len(p.machines["c"].adding) != 0 {
		t.Fatalf("%+v, b has %d, a queues %d", p.Counts, len(p.machines["b"].adding), len(p.machines["a"].queue))
	}
	p.Tick(at(8))
	if len(p.machines["a"].queue) != 3 {
		t.Error("walked on before the local wait")
	}
	p.Report(at(10), beat("a", 1, 2, 5))
	p.Report(at(10), beat("c", 1, 2, 5))
	p.Tick(at(10.5))
	if p.Counts.Walked != 0 {
		t.Error("walked on before the local wait")
	}
	p.Tick(at(11.5))
	if p.Counts.Walked != 3 || len(p.machines["a"].queue) != 0 || len(p.machines["c"].adding) != 3 {
		t.Errorf("%+v, c has %d", p.Counts, len(p.machines["c"].adding))
	}
}

// Overflow for a buddy of another owner goes through the divider.
func TestOverflowToAnotherOwner(t *testing.T) {
	m := newMirror(t, one("wk-1", 40))
	p := New(testConfig, 5, 0, t0, caps, m)
	p.Report(at(1), beat("a", 1, 1, 5))
	p.Fleet([]Buddy{{ID: "a"}, {ID: "b", Under: true, Room: job.Need{CPUs: 2, Mem: 32}}})
	for i := range 8 {
		p.Allot(at(1), uint64(i+1), job.Task{Job: "wk-1", Index: i}, "a", 0)
	}
	p.Tick(at(1))
	d := p.Digest(at(1))
	if len(d.Moves) != 2 || d.Moves[0].To != "b" || p.Counts.Sent != 2 {
		t.Fatalf("moves %+v", d.Moves)
	}
	held := 0
	for _, j := range d.Held {
		held += len(j.Tasks)
	}
	if held != 6 {
		t.Errorf("still holds %d of 8", held)
	}
	p.Delivered(&d)
	if d := p.Digest(at(1)); len(d.Moves) != 0 {
		t.Error("a delivered move is asked for again")
	}
}

// When most machines fall silent at once the fault is here, and the fleet is
// not thrown away.
func TestMassSilenceReturnsNothing(t *testing.T) {
	p := New(testConfig, 5, 0, t0, caps, newMirror(t))
	for _, id := range []string{"a", "b", "c", "d"} {
		p.Report(at(1), beat(id, 1, 1, 5))
	}
	if r := p.Returns(at(12)); len(r) != 0 {
		t.Errorf("all silent: returns %v", r)
	}
	for _, id := range []string{"b", "c", "d"} {
		p.Report(at(12), beat(id, 1, 2, 5))
	}
	if r := p.Returns(at(12)); len(r) != 1 || r[0] != "a" {
		t.Errorf("one silent: returns %v", r)
	}
	p.Returned([]string{"a"}, at(12))
	if p.Report(at(13), beat("a", 1, 9, 5)) {
		t.Error("a late report brought a returned machine back")
	}
}

// The tasks of a group that start together carry one try, whoever owns them.
func TestGroupSharesATry(t *testing.T) {
	var tries []uint64
	for index := range 2 {
		p := New(testConfig, 5, index, t0, caps, newMirror(t, one("wk-1", 3)))
		p.Report(at(1), beat("a", 1, 1, 5))
		p.Allot(at(1), 1, job.Task{Job: "wk-1", Index: index}, "a", 7)
		p.Allot(at(1), 2, job.Task{Job: "wk-1", Index: 2}, "a", 0)
		p.Tick(at(1))
		for _, pl := range p.machines["a"].adding {
			tries = append(tries, pl.Try)
		}
	}
	if tries[0] != tries[2] || tries[0] == tries[1] || tries[1] == tries[3] {
		t.Errorf("tries %v", tries)
	}
}
