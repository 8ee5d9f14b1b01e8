package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"junipershelf/job"
	"junipershelf/partition"
	"junipershelf/protocol"
)

var t0 = time.Unix(1_000_000, 0)

var testConfig = Config{MaxBacklog: 1, AheadWindow: time.Hour, Aging: time.Hour, FailurePause: 2 * time.Second, MaxFailurePause: time.Minute, SickAfter: 2, ValueBytes: 8192}

func capacityOf(string) (job.Resources, bool) { return job.Resources{CPUs: 4, MemoryGB: 32}, true }

func teams() []Team {
	return []Team{{Name: "red", Guarantee: job.Resources{CPUs: 3}, Limit: job.Resources{CPUs: 5}},
		{Name: "blue", Guarantee: job.Resources{CPUs: 6}, Limit: job.Resources{CPUs: 12}}}
}

func mirror(specs ...protocol.JobSpec) *job.Mirror {
	m := job.NewMirror(map[string]int{"red": 0, "blue": 1})
	for _, s := range specs {
		if s.Priority == "" {
			s.Priority = "normal"
		}
		s.Spot = true
		if err := m.Set(s.UID, job.Record{Spec: s, SubmittedMS: t0.UnixMilli()}, 1, t0); err != nil {
			panic(err)
		}
	}
	return m
}

func machine(id string) partition.MachineState {
	return partition.MachineState{ID: id, MachineType: "quad", Zone: "z", Free: job.Resources{CPUs: 4, MemoryGB: 32}, Usable: true, Reported: true}
}

// firstUpdate makes the first update of an owner.
func firstUpdate(n uint64, states ...partition.MachineState) partition.Update {
	return partition.Update{Sequence: n, Version: n, Machines: states}
}

func tasks(list ...int) (r job.Ranges) {
	for _, i := range list {
		r.Add(i)
	}
	return r
}

// assignedTasks gives an owner's assignments task by task.
func assignedTasks(d *Scheduler, o int) (out []job.Task) {
	for _, a := range d.Unacknowledged(o) {
		for i := range a.Tasks.All() {
			out = append(out, job.Task{Job: a.Job, Index: i})
		}
	}
	return out
}

// plainOwner is a slow and plain model of an owner: a list of what it holds, and
// when each machine last changed.
type plainOwner struct {
	sequence, version, known uint64
	ack                      uint64
	held                     map[job.Task]string
	changed                  map[string]uint64
	done                     []partition.CompletedTask
	ids                      []string
	old                      []partition.Update
}

func newOwner(ids ...string) *plainOwner {
	o := &plainOwner{held: map[job.Task]string{}, ids: ids, changed: map[string]uint64{}}
	for _, id := range ids {
		o.touch(id)
	}
	return o
}

func (o *plainOwner) touch(id string) {
	o.version++
	o.changed[id] = o.version
}

func (o *plainOwner) update(d *Scheduler) partition.Update {
	o.sequence++
	g := partition.Update{Sequence: o.sequence, BaseVersion: o.known, Version: o.version, AckedAssignment: o.ack, Completed: o.done}
	for _, id := range o.ids {
		if o.changed[id] <= o.known {
			continue
		}
		s := machine(id)
		for t, on := range o.held {
			if on == id {
				l := d.jobs.Get(t.Job)
				s.Free.CPUs -= l.Spec.CPUs
				s.Held = append(s.Held, partition.HeldTasks{Job: t.Job, Team: l.Spec.Team, Resources: l.Resources(), Tasks: tasks(t.Index), Phase: partition.PhaseStarting})
			}
		}
		g.Machines = append(g.Machines, s)
	}
	o.old = append(o.old, g)
	return g
}

// TestLedgerAgainstPlainOwners draws histories in which updates come late or
// again and answers are lost. Whatever happens, the owners together hold no
// task twice, none that is done, and no more than a team's limit.
func TestLedgerAgainstPlainOwners(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var specs []protocol.JobSpec
		for i := range rapid.IntRange(1, 5).Draw(t, "jobs") {
			specs = append(specs, protocol.JobSpec{UID: fmt.Sprintf("wk-%d", i), Team: rapid.SampledFrom([]string{"red", "blue"}).Draw(t, "team"),
				Priority: rapid.SampledFrom(protocol.Priorities).Draw(t, "urgency"),
				CPUs:     float64(rapid.IntRange(1, 3).Draw(t, "cpus")), Tasks: rapid.IntRange(1, 12).Draw(t, "pieces")})
		}
		m := mirror(specs...)
		d := New(testConfig, teams(), 2, capacityOf, m)
		owners := []*plainOwner{newOwner("a", "c"), newOwner("b", "d", "e")}
		for i, o := range owners {
			d.TakeUpdate(i, o.update(d), t0)
		}
		finished := map[job.Task]bool{}
		now := t0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Second)
			i := rapid.IntRange(0, 1).Draw(t, "owner")
			o := owners[i]
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0, 1: // a call that works
				o.known = d.TakeUpdate(i, o.update(d), now)
				d.RunCycle(now)
				for _, a := range d.Unacknowledged(i) {
					if a.Seq > o.ack {
						o.ack = a.Seq
						for n := range a.Tasks.All() {
							o.held[job.Task{Job: a.Job, Index: n}] = a.Machine
						}
						o.touch(a.Machine)
					}
				}
			case 2: // a call whose answer is lost
				d.TakeUpdate(i, o.update(d), now)
				d.RunCycle(now)
			case 3: // an old call comes late
				d.TakeUpdate(i, rapid.SampledFrom(o.old).Draw(t, "old"), now)
				d.RunCycle(now)
			case 4: // a task ends, or is given back
				for tk, id := range o.held {
					delete(o.held, tk)
					o.touch(id)
					if rapid.Bool().Draw(t, "done") {
						finished[tk] = true
						o.done = append(o.done, partition.CompletedTask{Task: tk})
					}
					break
				}
			}
			plainLedger(t, d)
			used, seen := map[string]float64{}, map[job.Task]bool{}
			for _, o := range owners {
				for tk := range o.held {
					if seen[tk] || finished[tk] {
						t.Fatalf("%v is held twice or again after it was done", tk)
					}
					seen[tk] = true
					l := m.Get(tk.Job)
					used[l.Spec.Team] += l.Spec.CPUs
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

// plainLedger compares the ledger, which is kept up to date bit by bit, with one
// that is counted anew from what was shown and assigned.
func plainLedger(t *rapid.T, d *Scheduler) {
	held, running, queued := map[string]int{}, map[string]int{}, map[string]int{}
	by := map[job.Task]int{}
	used := make([]float64, len(d.Teams))
	for _, m := range d.Machines() {
		free := m.Capacity
		for _, h := range m.Held {
			n := h.Tasks.Len()
			held[h.Job] += n
			if h.Phase == partition.PhaseRunning {
				running[h.Job] += n
			}
			if h.Phase == partition.PhaseQueued {
				queued[h.Job] += n
			}
			used[d.byName[h.Team]] += h.Resources.CPUs * float64(n)
			free.CPUs -= h.Resources.CPUs * float64(n)
			for i := range h.Tasks.All() {
				by[job.Task{Job: h.Job, Index: i}]++
			}
		}
		for _, a := range d.Unacknowledged(m.Owner) {
			if a.Machine == m.ID {
				free.CPUs -= a.resources.CPUs * float64(a.count)
			}
		}
		if diff := free.CPUs - m.FreeNow.CPUs; diff > 1e-9 || diff < -1e-9 {
			t.Fatalf("%s has %v CPUs free, counted %v", m.ID, m.FreeNow.CPUs, free.CPUs)
		}
	}
	for o := range d.owners {
		for _, a := range d.Unacknowledged(o) {
			held[a.Job] += a.count
			used[a.team] += a.resources.CPUs * float64(a.count)
			for i := range a.Tasks.All() {
				by[job.Task{Job: a.Job, Index: i}]++
			}
		}
	}
	for i := range d.Teams {
		if diff := used[i] - d.Teams[i].used.CPUs; diff > 1e-9 || diff < -1e-9 {
			t.Fatalf("team %d uses %v, counted %v", i, d.Teams[i].used.CPUs, used[i])
		}
	}
	for uid, l := range d.jobs.Jobs {
		e := d.jobEntry(uid)
		free := 0
		for i := range l.Spec.Tasks {
			if by[job.Task{Job: uid, Index: i}] == 0 && !l.Finished.Has(i) {
				free++
			}
		}
		if e.held != held[uid] || e.running != running[uid] || e.queued != queued[uid] || e.freeCount != free {
			t.Fatalf("%s: held %d running %d queued %d free %d, counted %d %d %d %d", uid, e.held, e.running, e.queued, e.freeCount, held[uid], running[uid], queued[uid], free)
		}
	}
}

// An owner that has not called yet counts with what its records show: its machines
// take nothing, its tasks are not given to others, and the limit holds; the others
// are served meanwhile. Once it calls, what it shows counts.
func TestOwnerThatHasNotCalled(t *testing.T) {
	m := mirror(protocol.JobSpec{UID: "wk-1", Team: "red", CPUs: 1, Tasks: 9})
	d := New(testConfig, teams(), 2, capacityOf, m)
	theirs := machine("b")
	theirs.Usable, theirs.Reported = false, false
	theirs.Held = []partition.HeldTasks{{Job: "wk-1", Team: "red", Resources: job.Resources{CPUs: 1}, Tasks: tasks(0, 1), Phase: partition.PhaseStarting}}
	d.Inherit(1, []partition.MachineState{theirs}, []partition.CompletedTask{{Task: job.Task{Job: "wk-1", Index: 2}}}, t0)
	d.TakeUpdate(0, firstUpdate(1, machine("a")), t0)
	d.RunCycle(t0)
	got := ""
	for _, tk := range assignedTasks(d, 0) {
		got += tk.String() + " "
	}
	if got != "wk-1/3 wk-1/4 wk-1/5 " || len(d.Unacknowledged(1)) != 0 {
		t.Errorf("gives %q, and %d to who has not called; red may hold 5", got, len(d.Unacknowledged(1)))
	}
	shown := machine("b")
	shown.Held = []partition.HeldTasks{{Job: "wk-1", Team: "red", Resources: job.Resources{CPUs: 1}, Tasks: tasks(1), Phase: partition.PhaseRunning}}
	d.TakeUpdate(1, firstUpdate(1, shown), t0)
	d.RunCycle(t0)
	if n := len(assignedTasks(d, 0)) + len(assignedTasks(d, 1)); n != 4 {
		t.Errorf("%d given once its task 0 is known to be gone, want 4", n)
	}
}

// TestServedByShares: with more asked than can be done, urgencies come first and
// teams of one urgency are served in turn by their shares, all within their
// guarantees before anybody borrows.
func TestServedByShares(t *testing.T) {
	m := mirror(protocol.JobSpec{UID: "wk-1", Team: "red", CPUs: 1, Tasks: 20}, protocol.JobSpec{UID: "wk-2", Team: "blue", CPUs: 1, Tasks: 20},
		protocol.JobSpec{UID: "wk-3", Team: "blue", CPUs: 1, Tasks: 2, Priority: "urgent"})
	cfg := testConfig
	cfg.MaxBacklog = 0
	d := New(cfg, teams(), 1, capacityOf, m)
	d.TakeUpdate(0, firstUpdate(1, machine("a"), machine("b")), t0)
	d.RunCycle(t0)
	count := map[string]int{}
	for i, a := range assignedTasks(d, 0) {
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
	m := mirror(protocol.JobSpec{UID: "wk-1", Team: "blue", CPUs: 1, Tasks: 9}, protocol.JobSpec{UID: "wk-2", Team: "blue", CPUs: 1, Tasks: 9})
	d := New(testConfig, teams(), 1, capacityOf, m)
	states := []partition.MachineState{machine("a"), machine("b"), machine("c")}
	fault := func(n uint64, job_ string, i int, id string) {
		d.TakeUpdate(0, partition.Update{Sequence: n, Version: n, Machines: states, Failures: []partition.Failure{{Task: job.Task{Job: job_, Index: i}, Machine: id, Cause: "error"}}}, t0)
	}
	fault(1, "wk-1", 0, "a")
	fault(2, "wk-1", 1, "b")
	if d.Sick["a"] || d.Sick["b"] {
		t.Error("a job that fails everywhere made a machine sick")
	}
	for _, w := range d.WaitingJobs(t0) {
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
	m := mirror(protocol.JobSpec{UID: "wk-1", Team: "blue", Class: "q", CPUs: 1, Tasks: 90, ExpectedS: 10})
	d := New(testConfig, teams(), 1, capacityOf, m)
	var done []partition.CompletedTask
	for i := range 40 {
		done = append(done, partition.CompletedTask{Task: job.Task{Job: "wk-1", Index: i}, RunS: 30})
	}
	if e := d.estimate(m.Get("wk-1")); e != 10 {
		t.Errorf("with nothing known: %v", e)
	}
	for n := range uint64(3) {
		d.TakeUpdate(0, partition.Update{Sequence: n + 1, Version: n + 1, Completed: done}, t0)
	}
	if e := d.estimate(m.Get("wk-1")); e < 26 || e > 27 {
		t.Errorf("after 40 tasks of 30 s: %v", e)
	}
}

// Finished tasks enter the record of an unfinished job now and then, those of a
// complete one at once; a record never outgrows its value.
func TestMerges(t *testing.T) {
	m := mirror(protocol.JobSpec{UID: "wk-1", Team: "blue", CPUs: 1, Tasks: 3}, protocol.JobSpec{UID: "wk-2", Team: "blue", CPUs: 1, Tasks: 100000})
	d := New(testConfig, teams(), 1, capacityOf, m)
	takes := 0.2 // of a shard's record
	tell := func(n uint64, tasks ...job.Task) {
		var done []partition.CompletedTask
		for _, tk := range tasks {
			done = append(done, partition.CompletedTask{Task: tk})
		}
		d.TakeUpdate(0, partition.Update{Sequence: n, Version: n, Completed: done, CompletedFill: takes}, t0)
	}
	tell(1, job.Task{Job: "wk-1", Index: 2}, job.Task{Job: "wk-1", Index: 0})
	if ms := d.Compactions(16); len(ms) != 0 {
		t.Fatalf("although the shards have room: %+v", ms)
	}
	takes = 0.4
	tell(2)
	ms := d.Compactions(16)
	if len(ms) != 1 || ms[0].Record.Done != "0,2" || ms[0].Final != nil {
		t.Fatalf("%+v", ms)
	}
	if err := m.Set("wk-1", ms[0].Record, 2, t0); err != nil {
		t.Fatal(err)
	}
	if ms = d.Compactions(16); len(ms) != 0 {
		t.Fatalf("again: %+v", ms)
	}
	tell(3, job.Task{Job: "wk-1", Index: 1})
	if ms = d.Compactions(16); len(ms) != 1 || ms[0].Final == nil || ms[0].Final.Done != 3 || ms[0].Changes() != 2 {
		t.Fatalf("complete: %+v", ms)
	}
	if ms = d.Compactions(1); len(ms) != 0 {
		t.Fatalf("over the number of changes: %+v", ms)
	}
	m.Remove("wk-1", t0)
	for i := 0; i < 6000; i += 2 {
		m.Get("wk-2").Finished.Add(i)
	}
	if ms = d.Compactions(16); len(ms) != 0 {
		t.Error("a record outgrows its value")
	}
}

// With holes far behind, a job's later tasks wait until they are filled.
func TestHolesBoundTheRecord(t *testing.T) {
	m := mirror(protocol.JobSpec{UID: "wk-1", Team: "blue", CPUs: 1, Tasks: 100000})
	d := New(testConfig, teams(), 1, capacityOf, m)
	l := m.Get("wk-1")
	for i := 1; i < 600; i += 2 {
		l.Finished.Add(i)
	}
	d.TakeUpdate(0, firstUpdate(1, machine("a")), t0)
	d.RunCycle(t0)
	for n, a := range assignedTasks(d, 0) {
		if a.Index != 2*n {
			t.Errorf("allotment %d is task %d", n, a.Index)
		}
	}
}

// Preemption: urgent work stops the cheapest lower work; a team within its
// guarantee stops what another runs beyond its own; nothing else is stopped.
func TestPreemption(t *testing.T) {
	cfg := testConfig
	cfg.MaxBacklog, cfg.PreemptAfter, cfg.Settle, cfg.MaxPreemptionLoss = 0, 4*time.Second, 30*time.Second, 42*time.Second
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
		specs := []protocol.JobSpec{{UID: "wk-new", Team: c.team, CPUs: 1, Tasks: 1, Priority: c.urgency}}
		g := firstUpdate(1, machine("a"))
		g.Machines[0].Free.CPUs = 0
		for team, urgencies := range c.used {
			for i, u := range urgencies {
				s := protocol.JobSpec{UID: fmt.Sprintf("wk-%s%d", team, i), Team: team, CPUs: 1, Tasks: 1, Priority: u, ExpectedS: 600}
				if u == "best_effort" {
					s.CheckpointS, s.SaveS = 30, 3
				}
				specs = append(specs, s)
				g.Machines[0].Held = append(g.Machines[0].Held, partition.HeldTasks{Job: s.UID, Team: team, Resources: job.Resources{CPUs: 1},
					Tasks: tasks(0), Phase: partition.PhaseRunning, PhaseS: float64(31 + i)})
			}
		}
		d := New(cfg, teams(), 1, capacityOf, mirror(specs...))
		d.TakeUpdate(0, g, t0)
		d.RunCycle(t0.Add(3 * time.Second))
		if s := d.Preemptions(0); len(s) != 0 {
			t.Errorf("%s: stopped at once: %v", c.name, s)
		}
		d.RunCycle(t0.Add(5 * time.Second))
		d.RunCycle(t0.Add(6 * time.Second))
		got := ""
		for _, s := range d.Preemptions(0) {
			got += s.Job
		}
		if got != c.expected {
			t.Errorf("%s: stops %q, want %q", c.name, got, c.expected)
		}
	}
}

// What Moore and Hodgson's rule defers would be deferred for ever under a lasting
// load: a large job among ever new small ones, a low class beside an urgent one. A
// quarter of all room goes to what was deferred for long, those that have not begun
// first. The model serves the same arrivals with no order at all.
func TestPutOffJobsBegin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := testConfig
		cfg.MaxBacklog, cfg.StarvationAfter = 0, 100*time.Second
		cfg.Targets = map[string][]Target{"small": {{Within: 60 * time.Second}}, "large": {{Within: 90 * time.Second}}}
		limits := []Team{{Name: "red", Guarantee: job.Resources{CPUs: 6}, Limit: job.Resources{CPUs: 16}}, {Name: "blue", Guarantee: job.Resources{CPUs: 6}, Limit: job.Resources{CPUs: 16}}}
		m := mirror()
		d := New(cfg, limits, 1, capacityOf, m)
		o := newOwner("a", "b", "c", "d")
		begun, asked, served := map[string]time.Time{}, map[string]time.Time{}, map[string]int{}
		add := func(s protocol.JobSpec, now time.Time) {
			s.Spot, s.CPUs = true, 1
			if err := m.Set(s.UID, job.Record{Spec: s, SubmittedMS: now.UnixMilli()}, 1, now); err != nil {
				t.Fatal(err)
			}
			asked[s.UID] = now
		}
		urgency := rapid.SampledFrom([]string{"best_effort", "normal"}).Draw(t, "urgency of the large")
		add(protocol.JobSpec{UID: "wk-1", Class: "large", Team: "red", Priority: urgency, Tasks: 200, ExpectedS: 20}, t0)
		add(protocol.JobSpec{UID: "wk-2", Class: "large", Team: "blue", Priority: urgency, Tasks: 300, ExpectedS: 20}, t0)
		ends := map[job.Task]time.Time{}
		n := 10
		now := t0
		for ; now.Before(t0.Add(400 * time.Second)); now = now.Add(2 * time.Second) {
			if rapid.IntRange(0, 9).Draw(t, "arrival") < 9 {
				n++
				add(protocol.JobSpec{UID: fmt.Sprintf("wk-%d", n), Class: "small", Team: rapid.SampledFrom([]string{"red", "blue"}).Draw(t, "team"),
					Priority: rapid.SampledFrom([]string{"urgent", "normal"}).Draw(t, "urgency"), Tasks: rapid.IntRange(1, 8).Draw(t, "pieces"), ExpectedS: 10}, now)
			}
			for tk, at := range ends {
				if !now.Before(at) {
					delete(ends, tk)
					o.touch(o.held[tk])
					delete(o.held, tk)
					o.done = append(o.done, partition.CompletedTask{Task: tk})
					served[tk.Job]++
				}
			}
			o.known = d.TakeUpdate(0, o.update(d), now)
			o.old, o.done = nil, nil
			d.RunCycle(now)
			for _, a := range d.Unacknowledged(0) {
				o.ack = a.Seq
				o.touch(a.Machine)
				for i := range a.Tasks.All() {
					tk := job.Task{Job: a.Job, Index: i}
					o.held[tk] = a.Machine
					ends[tk] = now.Add(time.Duration(m.Get(a.Job).Spec.ExpectedS) * time.Second)
					if begun[a.Job].IsZero() {
						begun[a.Job] = now
					}
				}
			}
		}
		for _, uid := range []string{"wk-1", "wk-2"} {
			if begun[uid].IsZero() || begun[uid].Sub(asked[uid]) > 150*time.Second {
				t.Fatalf("%s began at %v", uid, begun[uid].Sub(asked[uid]))
			}
		}
		// A quarter of 16 CPUs, from when they begin: 12 tasks of 20 s each minute.
		if n := served["wk-1"] + served["wk-2"]; n < 16 {
			t.Fatalf("%d tasks of the large jobs served", n)
		}
	})
}

// A room without the image is left to others for a part of a fetch: to work whose
// image is there even if it comes later in the order, and then to anything. A job
// with few machines that have its image does not wait for them.
func TestImagePatience(t *testing.T) {
	cfg := testConfig
	cfg.MaxBacklog, cfg.ImagePatience, cfg.PullGBPerS = 0, 0.5, func() float64 { return 0.1 }
	spec := func(uid, image string, n int) protocol.JobSpec {
		return protocol.JobSpec{UID: uid, Team: "blue", CPUs: 1, Tasks: n, Image: image, ImageGB: 2}
	}
	for _, c := range []struct {
		name  string
		specs []protocol.JobSpec
		after time.Duration
		want  string
	}{
		{"matched work goes first", []protocol.JobSpec{spec("wk-1", "x", 3), spec("wk-2", "y", 9)}, time.Second, "wk-2 wk-2 wk-2 wk-2 "},
		{"but not for ever", []protocol.JobSpec{spec("wk-1", "x", 3), spec("wk-2", "y", 9)}, 11 * time.Second, "wk-1 wk-1 wk-1 wk-2 "},
		{"nothing else wants it", []protocol.JobSpec{spec("wk-1", "x", 3)}, time.Second, "wk-1 wk-1 wk-1 "},
		{"few have the image", []protocol.JobSpec{spec("wk-1", "x", 30), spec("wk-2", "y", 9)}, time.Second, "wk-1 wk-1 wk-1 wk-1 "},
	} {
		d := New(cfg, teams(), 1, capacityOf, mirror(c.specs...))
		open, full := machine("a"), machine("b")
		open.Images, full.Images = []string{"y"}, []string{"x", "y"}
		full.Free.CPUs = 0
		d.TakeUpdate(0, firstUpdate(1, open, full), t0)
		d.RunCycle(t0.Add(c.after))
		got := ""
		for _, a := range assignedTasks(d, 0) {
			got += a.Job + " "
		}
		if got != c.want {
			t.Errorf("%s: %q, want %q", c.name, got, c.want)
		}
	}
}

// A group is assigned whole or not at all, not beside what is left of an earlier
// try, and with one number for all.
func TestGroupsStartWhole(t *testing.T) {
	for _, c := range []struct {
		pieces, expected int
		held             bool
	}{{6, 6, false}, {9, 0, false}, {6, 0, true}} {
		m := mirror(protocol.JobSpec{UID: "wk-1", Team: "blue", CPUs: 1, Tasks: c.pieces, Shape: protocol.ShapeGang})
		d := New(testConfig, teams(), 1, capacityOf, m)
		g := firstUpdate(1, machine("a"), machine("b"))
		if c.held {
			g.Machines[0].Held = []partition.HeldTasks{{Job: "wk-1", Team: "blue", Resources: job.Resources{CPUs: 1}, Tasks: tasks(5), Phase: partition.PhaseStarting}}
		}
		d.TakeUpdate(0, g, t0)
		d.RunCycle(t0)
		if got := len(assignedTasks(d, 0)); got != c.expected {
			t.Errorf("%d tasks, some held %v: %d allotted, want %d", c.pieces, c.held, got, c.expected)
		}
		for _, a := range d.Unacknowledged(0) {
			if a.Group == 0 || a.Group != d.Unacknowledged(0)[0].Group {
				t.Errorf("numbers differ: %+v", d.Unacknowledged(0))
			}
		}
	}
}

// With several aims for a class the nearest one that can be met comes first, whatever
// its kind. Once waits came before deadlines, and only two aims were looked at.
func TestNearestTargetFirst(t *testing.T) {
	cfg := testConfig
	cfg.Targets = map[string][]Target{"q": {{Start: true, Within: 100 * time.Second}, {Within: 350 * time.Second}, {Times: 1}, {Times: 1.5}}}
	d := New(cfg, teams(), 1, capacityOf, mirror(protocol.JobSpec{UID: "wk-1", Class: "q", Team: "red", CPUs: 1, Tasks: 1, ExpectedS: 20, DeadlineS: 60}))
	d.TakeUpdate(0, firstUpdate(1, machine("a")), t0)
	for _, c := range []struct{ at, want time.Duration }{{0, 60 * time.Second}, {50 * time.Second, 90 * time.Second}, {80 * time.Second, 120 * time.Second}, {150 * time.Second, 350 * time.Second}} {
		w := d.WaitingJobs(t0.Add(c.at))
		if got := w[0].target.Sub(t0); len(w) != 1 || got != c.want {
			t.Errorf("after %v: target %v, want %v", c.at, got, c.want)
		}
	}
}

// Jobs that are to start within 25 s, on a machine whose four slots fall free one after
// the other: of what comes at once only so much is guaranteed a start in time as slots
// fall free by then. By the sums of all work alone half as much again seemed in time.
func TestLastStartsCount(t *testing.T) {
	cfg := testConfig
	cfg.Targets = map[string][]Target{"q": {{Start: true, Within: 25 * time.Second}}}
	var specs []protocol.JobSpec
	for i := range 9 {
		specs = append(specs, protocol.JobSpec{UID: fmt.Sprintf("wk-%d", i), Class: "q", Team: "blue", CPUs: 1, Tasks: 1, ExpectedS: 40})
	}
	d := New(cfg, teams(), 1, capacityOf, mirror(specs...))
	busy := machine("a")
	busy.Free = job.Resources{}
	for k := range 4 {
		busy.Held = append(busy.Held, partition.HeldTasks{Job: "wk-0", Team: "blue", Resources: job.Resources{CPUs: 1}, Tasks: tasks(k), Phase: partition.PhaseRunning, PhaseS: float64(5 + 10*k)})
	}
	d.TakeUpdate(0, firstUpdate(1, busy), t0)
	in := 0
	for _, w := range d.WaitingJobs(t0) {
		if !w.Deferred {
			in++
		}
	}
	// Slots fall free after 5, 15 and 25 s; half a task more or less is the rule's grain.
	if in < 2 || in > 3 {
		t.Errorf("%d of 8 jobs are thought to start in time", in)
	}
}

// A large job that came first and lies within its team's guarantee is not deferred for
// the many small ones that came after it.
func TestPromisedWorkIsNotPutOff(t *testing.T) {
	for _, promise := range []time.Duration{0, 60 * time.Second} {
		cfg := testConfig
		cfg.GuaranteeWithin = promise
		cfg.Targets = map[string][]Target{"q": {{Within: 40 * time.Second}}}
		specs := []protocol.JobSpec{{UID: "wk-1", Class: "q", Team: "blue", CPUs: 1, Tasks: 6, ExpectedS: 20}}
		for i := range 9 {
			specs = append(specs, protocol.JobSpec{UID: fmt.Sprintf("wk-2%d", i), Class: "q", Team: "blue", CPUs: 1, Tasks: 1, ExpectedS: 20})
		}
		d := New(cfg, teams(), 1, capacityOf, mirror(specs...))
		d.TakeUpdate(0, firstUpdate(1, machine("a")), t0)
		d.RunCycle(t0)
		first := 0
		for _, a := range assignedTasks(d, 0) {
			if a.Job == "wk-1" {
				first++
			}
		}
		if want := map[bool]int{false: 0, true: 4}[promise > 0]; first < want || promise == 0 && first > 0 {
			t.Errorf("promise %v: %d tasks of the first job, want %d", promise, first, want)
		}
	}
}

// What is not deferred is in time in the order of service, by the plain sums of work,
// and what is deferred could not be added to it by any of its targets: the slow check of
// the rule and of the later targets.
func TestWhoCanBeInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := testConfig
		cfg.Targets = map[string][]Target{"q": {{Within: 100 * time.Second}, {Times: 1}, {Times: 1.5}}}
		limits := []Team{{Name: "red", Limit: job.Resources{CPUs: 3}}, {Name: "blue", Limit: job.Resources{CPUs: 9}}}
		var specs []protocol.JobSpec
		for i := range rapid.IntRange(1, 9).Draw(t, "jobs") {
			specs = append(specs, protocol.JobSpec{UID: fmt.Sprintf("wk-%d", i), Class: "q", Team: rapid.SampledFrom([]string{"red", "blue"}).Draw(t, "team"),
				Priority: "normal", CPUs: 1, Tasks: rapid.IntRange(1, 12).Draw(t, "pieces"), ExpectedS: float64(rapid.IntRange(5, 40).Draw(t, "s")),
				DeadlineS: float64(rapid.IntRange(10, 90).Draw(t, "due"))})
		}
		d := New(cfg, limits, 1, capacityOf, mirror(specs...))
		d.TakeUpdate(0, firstUpdate(1, machine("a")), t0)
		waits := d.WaitingJobs(t0)
		inTime := func(ws []*WaitingJob) bool {
			all, team := 0.0, []float64{0, 0}
			for _, w := range ws {
				all += w.cpuSeconds
				team[w.Team] += w.cpuSeconds
				if left := w.target.Sub(t0).Seconds() - w.estimateS/2 + 1e-6; all/4 > left || team[w.Team]/limits[w.Team].Limit.CPUs > left {
					return false
				}
			}
			return true
		}
		var in, off []*WaitingJob
		for _, w := range waits {
			if w.Deferred {
				off = append(off, w)
			} else if in = append(in, w); len(off) > 0 {
				t.Fatal("what is in time stands behind what is put off")
			}
		}
		if !inTime(in) {
			t.Fatal("not all that is not put off is in time")
		}
		for _, w := range off {
			for _, by := range d.targetsOf(w, t0)[min(1, len(d.targetsOf(w, t0))):] {
				c := *w
				c.Deferred, c.target = false, by
				with := append(slices.Clone(in), &c)
				slices.SortFunc(with, func(a, b *WaitingJob) int {
					if servedBefore(a, b) {
						return -1
					}
					return 1
				})
				if inTime(with) {
					t.Fatalf("%s was put off, but could be in time by %v", w.Job.Spec.UID, by.Sub(t0))
				}
			}
		}
	})
}

// Room for replicas is made at once, and each goes to the machine whose tasks are stopped
// for it; never beyond its team's limit, not for work that has run for long, and with two
// machines to choose from not twice on one.
func TestRoomForReplicas(t *testing.T) {
	cfg := testConfig
	cfg.MaxBacklog, cfg.PreemptAfter, cfg.Settle, cfg.MaxPreemptionLoss = 0, 20*time.Second, 30*time.Second, 5*time.Second
	for _, c := range []struct {
		name     string
		replicas int
		ran      float64
		want     int
	}{{"two of two", 2, 10, 2}, {"up to the limit of five", 9, 10, 5}, {"none of what ran for long", 2, 25, 0}} {
		specs := []protocol.JobSpec{{UID: "wk-1", Team: "red", CPUs: 1, Tasks: c.replicas, Priority: "critical", Shape: protocol.ShapeService},
			{UID: "wk-2", Team: "blue", CPUs: 1, Tasks: 8, ExpectedS: 100}}
		g := firstUpdate(1, machine("a"), machine("b"))
		for i := range g.Machines {
			g.Machines[i].Free.CPUs = 0
			g.Machines[i].Held = []partition.HeldTasks{{Job: "wk-2", Team: "blue", Resources: job.Resources{CPUs: 1}, Tasks: tasks(4*i, 4*i+1, 4*i+2, 4*i+3), Phase: partition.PhaseRunning, PhaseS: c.ran}}
		}
		d := New(cfg, teams(), 1, capacityOf, mirror(specs...))
		d.TakeUpdate(0, g, t0)
		d.RunCycle(t0.Add(500 * time.Millisecond))
		if len(d.Preemptions(0)) > 0 {
			t.Errorf("%s: stops before it has waited at all", c.name)
		}
		for s := 1; s < 4; s++ {
			d.RunCycle(t0.Add(time.Duration(s) * 1200 * time.Millisecond))
		}
		on := map[string]int{}
		for _, a := range d.Unacknowledged(0) {
			on[a.Machine] += a.Tasks.Len()
		}
		if n := on["a"] + on["b"]; n != c.want || len(d.Preemptions(0)) != c.want {
			t.Errorf("%s: %d replicas given, %d tasks stopped, want %d", c.name, n, len(d.Preemptions(0)), c.want)
		}
		if c.want == 2 && (on["a"] != 1 || on["b"] != 1) {
			t.Errorf("%s: %v", c.name, on)
		}
	}
}

// A replica's slot does not fall free: nothing queues behind it, though its estimate is 0.
func TestNothingQueuesBehindReplicas(t *testing.T) {
	cfg := testConfig
	cfg.MaxBacklog = 3
	d := New(cfg, teams(), 1, capacityOf, mirror(protocol.JobSpec{UID: "wk-1", Team: "blue", CPUs: 1, Tasks: 4, Priority: "critical", Shape: protocol.ShapeService},
		protocol.JobSpec{UID: "wk-2", Team: "blue", CPUs: 1, Tasks: 4, ExpectedS: 10}))
	g := firstUpdate(1, machine("a"))
	g.Machines[0].Free.CPUs = 0
	g.Machines[0].Held = []partition.HeldTasks{{Job: "wk-1", Team: "blue", Resources: job.Resources{CPUs: 1}, Tasks: tasks(0, 1, 2, 3), Phase: partition.PhaseRunning, PhaseS: 50}}
	d.TakeUpdate(0, g, t0)
	d.RunCycle(t0.Add(time.Second))
	if got := assignedTasks(d, 0); len(got) != 0 {
		t.Errorf("%v queue behind replicas", got)
	}
}
