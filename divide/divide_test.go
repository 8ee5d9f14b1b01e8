package divide

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"junipershelf/job"
	"junipershelf/part"
	"junipershelf/protocol"
)

var t0 = time.Unix(1_000_000, 0)

var testConfig = Config{Backlog: 1, Aging: time.Hour, FaultPause: 2 * time.Second, FaultMax: time.Minute, SickAfter: 2, ValueBytes: 8192}

func caps(string) (job.Need, bool) { return job.Need{CPUs: 4, Mem: 32}, true }

func teams() []Team {
	return []Team{{Name: "red", Guarantee: job.Need{CPUs: 3}, Limit: job.Need{CPUs: 5}},
		{Name: "blue", Guarantee: job.Need{CPUs: 6}, Limit: job.Need{CPUs: 12}}}
}

func mirror(specs ...protocol.Spec) *job.Mirror {
	m := job.NewMirror(map[string]int{"red": 0, "blue": 1})
	for _, s := range specs {
		if s.Urgency == "" {
			s.Urgency = "normal"
		}
		s.Borrowed = true
		if err := m.Set(s.UID, job.Record{Spec: s, At: t0.UnixMilli()}, 1, t0); err != nil {
			panic(err)
		}
	}
	return m
}

func machine(id string) part.State {
	return part.State{ID: id, Flavor: "quad", Zone: "z", Room: job.Need{CPUs: 4, Mem: 32}, Usable: true, Heard: true}
}

// plainOwner is a slow and plain model of an owner: a list of what it holds.
type plainOwner struct {
	n    uint64
	ack  uint64
	held map[job.Task]string
	done []part.DoneTask
	ids  []string
	old  []part.Digest
}

func (o *plainOwner) digest(d *Divider) part.Digest {
	o.n++
	g := part.Digest{N: o.n, Ack: o.ack, Done: o.done}
	used := map[string]float64{}
	jobs := map[string]*part.HeldJob{}
	for t, id := range o.held {
		l := d.jobs.Get(t.Job)
		used[id] += l.Spec.CPUs
		if jobs[t.Job] == nil {
			jobs[t.Job] = &part.HeldJob{UID: t.Job, Team: l.Spec.Owner, Need: l.Need()}
		}
		jobs[t.Job].Tasks = append(jobs[t.Job].Tasks, part.HeldTask{Index: t.Index, Machine: id, Placed: true})
	}
	for _, j := range jobs {
		g.Held = append(g.Held, *j)
	}
	for _, id := range o.ids {
		s := machine(id)
		s.Room.CPUs -= used[id]
		s.Tasks = int(used[id])
		g.Machines = append(g.Machines, s)
	}
	o.old = append(o.old, g)
	return g
}

// TestLedgerAgainstPlainOwners draws histories in which digests come late or
// again and answers are lost. Whatever happens, the owners together hold no
// task twice, none that is done, and no more than a team's limit.
func TestLedgerAgainstPlainOwners(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var specs []protocol.Spec
		for i := range rapid.IntRange(1, 5).Draw(t, "jobs") {
			specs = append(specs, protocol.Spec{UID: fmt.Sprintf("wk-%d", i), Owner: rapid.SampledFrom([]string{"red", "blue"}).Draw(t, "team"),
				Urgency: rapid.SampledFrom(protocol.Urgencies).Draw(t, "urgency"),
				CPUs:    float64(rapid.IntRange(1, 3).Draw(t, "cpus")), Pieces: rapid.IntRange(1, 12).Draw(t, "pieces")})
		}
		m := mirror(specs...)
		d := New(testConfig, teams(), 2, caps, m)
		owners := []*plainOwner{{held: map[job.Task]string{}, ids: []string{"a", "c"}}, {held: map[job.Task]string{}, ids: []string{"b", "d", "e"}}}
		for i, o := range owners {
			d.Digest(i, o.digest(d), t0)
		}
		finished := map[job.Task]bool{}
		now := t0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Second)
			i := rapid.IntRange(0, 1).Draw(t, "owner")
			o := owners[i]
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0, 1: // a call that works
				d.Digest(i, o.digest(d), now)
				d.Allot(now)
				for _, a := range d.Unacked(i) {
					if a.Seq > o.ack {
						o.ack = a.Seq
						o.held[job.Task{Job: a.Job, Index: a.Index}] = a.Machine
					}
				}
			case 2: // a call whose answer is lost
				d.Digest(i, o.digest(d), now)
				d.Allot(now)
			case 3: // an old call comes late
				d.Digest(i, rapid.SampledFrom(o.old).Draw(t, "old"), now)
				d.Allot(now)
			case 4: // a task ends, or is given back
				for tk := range o.held {
					delete(o.held, tk)
					if rapid.Bool().Draw(t, "done") {
						finished[tk] = true
						o.done = append(o.done, part.DoneTask{Task: tk})
					}
					break
				}
			}
			used, seen := map[string]float64{}, map[job.Task]bool{}
			for _, o := range owners {
				for tk := range o.held {
					if seen[tk] || finished[tk] {
						t.Fatalf("%v is held twice or again after it was done", tk)
					}
					seen[tk] = true
					l := m.Get(tk.Job)
					used[l.Spec.Owner] += l.Spec.CPUs
				}
			}
			for _, tm := range teams() {
				if used[tm.Name] > tm.Limit.CPUs {
					t.Fatalf("%s uses %v", tm.Name, used[tm.Name])
				}
			}
		}
	})
}

// TestServedByShares: with more asked than can be done, urgencies come first and
// teams of one urgency are served in turn by their shares, all within their
// guarantees before anybody borrows.
func TestServedByShares(t *testing.T) {
	m := mirror(protocol.Spec{UID: "wk-1", Owner: "red", CPUs: 1, Pieces: 20}, protocol.Spec{UID: "wk-2", Owner: "blue", CPUs: 1, Pieces: 20},
		protocol.Spec{UID: "wk-3", Owner: "blue", CPUs: 1, Pieces: 2, Urgency: "urgent"})
	cfg := testConfig
	cfg.Backlog = 0
	d := New(cfg, teams(), 1, caps, m)
	d.Digest(0, part.Digest{N: 1, Machines: []part.State{machine("a"), machine("b")}}, t0)
	d.Allot(t0)
	count := map[string]int{}
	for i, a := range d.Unacked(0) {
		count[a.Job]++
		if i < 2 && a.Job != "wk-3" {
			t.Errorf("allotment %d went to %s", i, a.Job)
		}
	}
	// Eight CPUs: 2 urgent ones of blue, then red and blue by 3 to 6.
	if count["wk-3"] != 2 || count["wk-1"] != 3 || count["wk-2"] != 3 {
		t.Errorf("%v", count)
	}
}

// TestFaults: a machine that fails what others complete is sick; a job that
// fails everywhere pauses, longer each time, and does not make machines sick.
func TestFaults(t *testing.T) {
	m := mirror(protocol.Spec{UID: "wk-1", Owner: "blue", CPUs: 1, Pieces: 9}, protocol.Spec{UID: "wk-2", Owner: "blue", CPUs: 1, Pieces: 9})
	d := New(testConfig, teams(), 1, caps, m)
	states := []part.State{machine("a"), machine("b"), machine("c")}
	fault := func(n uint64, job_ string, i int, id string) {
		d.Digest(0, part.Digest{N: n, Machines: states, Faults: []part.Fault{{Task: job.Task{Job: job_, Index: i}, Machine: id, Cause: "error"}}}, t0)
		d.Count(t0)
	}
	fault(1, "wk-1", 0, "a")
	fault(2, "wk-1", 1, "b")
	if d.Sick["a"] || d.Sick["b"] {
		t.Error("a job that fails everywhere made a machine sick")
	}
	for _, w := range d.Waiting(t0) {
		if w.Job.Spec.UID == "wk-1" {
			t.Error("a job that fails everywhere does not pause")
		}
	}
	fault(3, "wk-2", 0, "c")
	fault(4, "wk-2", 1, "c")
	if !d.Sick["c"] {
		t.Error("a machine that fails all tasks is not found sick")
	}
}

// Estimates that are mostly wrong on one side are corrected by what tasks of the
// class took, each counted once.
func TestEstimatesAreCorrected(t *testing.T) {
	m := mirror(protocol.Spec{UID: "wk-1", Owner: "blue", Queue: "q", CPUs: 1, Pieces: 90, ExpectedS: 10})
	d := New(testConfig, teams(), 1, caps, m)
	var done []part.DoneTask
	for i := range 40 {
		done = append(done, part.DoneTask{Task: job.Task{Job: "wk-1", Index: i}, RanS: 30})
	}
	if e := d.estimate(m.Get("wk-1")); e != 10 {
		t.Errorf("with nothing known: %v", e)
	}
	for n := range uint64(3) {
		d.Digest(0, part.Digest{N: n + 1, Done: done}, t0)
	}
	if e := d.estimate(m.Get("wk-1")); e < 26 || e > 27 {
		t.Errorf("after 40 tasks of 30 s: %v", e)
	}
}

// Finished tasks enter the record of an unfinished job now and then, those of a
// complete one at once; a record never outgrows its value.
func TestMerges(t *testing.T) {
	m := mirror(protocol.Spec{UID: "wk-1", Owner: "blue", CPUs: 1, Pieces: 3}, protocol.Spec{UID: "wk-2", Owner: "blue", CPUs: 1, Pieces: 100000})
	d := New(testConfig, teams(), 1, caps, m)
	tell := func(n uint64, tasks ...job.Task) {
		var done []part.DoneTask
		for _, tk := range tasks {
			done = append(done, part.DoneTask{Task: tk})
		}
		d.Digest(0, part.Digest{N: n, Done: done}, t0)
	}
	tell(1, job.Task{Job: "wk-1", Index: 2}, job.Task{Job: "wk-1", Index: 0})
	ms := d.Merges(t0, time.Second, 16)
	if len(ms) != 1 || ms[0].Rec.Done != "0,2" || ms[0].Ended != nil {
		t.Fatalf("%+v", ms)
	}
	d.Merging(ms, t0)
	if err := m.Set("wk-1", ms[0].Rec, 2, t0); err != nil {
		t.Fatal(err)
	}
	if ms = d.Merges(t0.Add(time.Second), time.Second, 16); len(ms) != 0 {
		t.Fatalf("again: %+v", ms)
	}
	tell(2, job.Task{Job: "wk-1", Index: 1})
	if ms = d.Merges(t0.Add(time.Millisecond), time.Second, 16); len(ms) != 1 || ms[0].Ended == nil || ms[0].Ended.Done != 3 || ms[0].Ops() != 2 {
		t.Fatalf("complete: %+v", ms)
	}
	if ms = d.Merges(t0, time.Second, 1); len(ms) != 0 {
		t.Fatalf("over the number of changes: %+v", ms)
	}
	m.Drop("wk-1", t0)
	for i := 0; i < 6000; i += 2 {
		m.Get("wk-2").Finished.Add(i)
	}
	if ms = d.Merges(t0.Add(time.Minute), time.Second, 16); len(ms) != 0 {
		t.Error("a record outgrows its value")
	}
}

// With holes far behind, a job's later tasks wait until they are filled.
func TestHolesBoundTheRecord(t *testing.T) {
	m := mirror(protocol.Spec{UID: "wk-1", Owner: "blue", CPUs: 1, Pieces: 100000})
	d := New(testConfig, teams(), 1, caps, m)
	l := m.Get("wk-1")
	for i := 1; i < 600; i += 2 {
		l.Finished.Add(i)
	}
	d.Digest(0, part.Digest{N: 1, Machines: []part.State{machine("a")}}, t0)
	d.Allot(t0)
	for n, a := range d.Unacked(0) {
		if a.Index != 2*n {
			t.Errorf("allotment %d is task %d", n, a.Index)
		}
	}
}

// Preemption: urgent work stops the cheapest lower work; a team within its
// guarantee stops what another runs beyond its own; nothing else is stopped.
func TestPreemption(t *testing.T) {
	cfg := testConfig
	cfg.Backlog, cfg.Preempt, cfg.Settle, cfg.MaxLoss = 0, 4*time.Second, 30*time.Second, 42*time.Second
	for _, c := range []struct {
		name     string
		urgency  string
		team     string
		used     map[string][]string // urgency of held jobs by team, one CPU each
		expected string
	}{
		{"urgent stops what saves", "urgent", "blue", map[string][]string{"blue": {"normal", "best_effort", "normal", "normal"}}, "wk-blue1"},
		{"equal stays", "urgent", "blue", map[string][]string{"blue": {"urgent", "urgent", "urgent", "urgent"}}, ""},
		{"guarantee stops borrowed", "best_effort", "blue", map[string][]string{"red": {"urgent", "urgent", "urgent", "urgent"}}, "wk-red0"},
		{"guarantee leaves guarantee", "best_effort", "red", map[string][]string{"blue": {"urgent", "urgent", "urgent", "urgent"}}, ""},
	} {
		specs := []protocol.Spec{{UID: "wk-new", Owner: c.team, CPUs: 1, Pieces: 1, Urgency: c.urgency}}
		g := part.Digest{N: 1, Machines: []part.State{machine("a")}}
		g.Machines[0].Room.CPUs = 0
		for team, urgencies := range c.used {
			for i, u := range urgencies {
				s := protocol.Spec{UID: fmt.Sprintf("wk-%s%d", team, i), Owner: team, CPUs: 1, Pieces: 1, Urgency: u, ExpectedS: 600}
				if u == "best_effort" {
					s.SnapshotS, s.StashS = 30, 3
				}
				specs = append(specs, s)
				g.Held = append(g.Held, part.HeldJob{UID: s.UID, Team: team, Need: job.Need{CPUs: 1},
					Tasks: []part.HeldTask{{Machine: "a", Placed: true, Running: true, ForS: float64(40 + i)}}})
			}
		}
		d := New(cfg, teams(), 1, caps, mirror(specs...))
		d.Digest(0, g, t0)
		d.Allot(t0.Add(3 * time.Second))
		if s := d.Stops(0); len(s) != 0 {
			t.Errorf("%s: stopped at once: %v", c.name, s)
		}
		d.Allot(t0.Add(5 * time.Second))
		d.Allot(t0.Add(6 * time.Second))
		got := ""
		for _, s := range d.Stops(0) {
			got += s.Job
		}
		if got != c.expected {
			t.Errorf("%s: stops %q, want %q", c.name, got, c.expected)
		}
	}
}

// A group is allotted whole or not at all, not beside what is left of an earlier
// try, and with one number for all.
func TestGroupsStartWhole(t *testing.T) {
	for _, c := range []struct {
		pieces, expected int
		held             bool
	}{{6, 6, false}, {9, 0, false}, {6, 0, true}} {
		m := mirror(protocol.Spec{UID: "wk-1", Owner: "blue", CPUs: 1, Pieces: c.pieces, Shape: protocol.Group})
		d := New(testConfig, teams(), 1, caps, m)
		g := part.Digest{N: 1, Machines: []part.State{machine("a"), machine("b")}}
		if c.held {
			g.Held = []part.HeldJob{{UID: "wk-1", Team: "blue", Need: job.Need{CPUs: 1}, Tasks: []part.HeldTask{{Index: 5, Machine: "a", Placed: true}}}}
		}
		d.Digest(0, g, t0)
		d.Allot(t0)
		if got := len(d.Unacked(0)); got != c.expected {
			t.Errorf("%d tasks, some held %v: %d allotted, want %d", c.pieces, c.held, got, c.expected)
		}
		for _, a := range d.Unacked(0) {
			if a.Group == 0 || a.Group != d.Unacked(0)[0].Group {
				t.Errorf("numbers differ: %+v", d.Unacked(0))
			}
		}
	}
}
