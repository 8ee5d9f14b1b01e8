package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"junipershelf/job"
	"junipershelf/partition"
	"junipershelf/protocol"

	"pgregory.net/rapid"
)

// What Moore and Hodgson's rule defers would be deferred for ever under a lasting
// load: a large job among ever new small ones, a low class beside an urgent one. A
// quarter of all room goes to what was deferred for long, those that have not begun
// first. The model serves the same arrivals with no order at all.
func TestPutOffJobsBegin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := testConfig
		cfg.MaxQueuedPerMachine, cfg.StarvationAfter = 0, 100*time.Second
		cfg.Targets = map[string][]Target{"small": {{Within: 60 * time.Second}}, "large": {{Within: 90 * time.Second}}}
		limits := []Team{{Name: "red", Guarantee: job.Resources{CPUs: 6}, Limit: job.Resources{CPUs: 16}}, {Name: "blue", Guarantee: job.Resources{CPUs: 6}, Limit: job.Resources{CPUs: 16}}}
		m := mirror()
		d := New(cfg, limits, 1, capacityOf, m)
		o := newOwner("a", "b", "c", "d")
		begun, asked, served := map[string]time.Time{}, map[string]time.Time{}, map[string]int{}
		add := func(s protocol.JobSpec, now time.Time) {
			s.SpotAllowed, s.CPUs = true, 1
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
				add(protocol.JobSpec{
					UID: fmt.Sprintf("wk-%d", n), Class: "small", Team: rapid.SampledFrom([]string{"red", "blue"}).Draw(t, "team"),
					Priority: rapid.SampledFrom([]string{"urgent", "normal"}).Draw(t, "urgency"), Tasks: rapid.IntRange(1, 8).Draw(t, "pieces"), ExpectedS: 10,
				}, now)
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
			o.known = d.ApplyUpdate(0, o.update(d), now)
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

// With several aims for a class the nearest one that can be met comes first, whatever
// its kind. Once waits came before deadlines, and only two aims were looked at.
func TestNearestTargetFirst(t *testing.T) {
	cfg := testConfig
	cfg.Targets = map[string][]Target{"q": {{Start: true, Within: 100 * time.Second}, {Within: 350 * time.Second}, {Times: 1}, {Times: 1.5}}}
	d := New(cfg, teams(), 1, capacityOf, mirror(protocol.JobSpec{UID: "wk-1", Class: "q", Team: "red", CPUs: 1, Tasks: 1, ExpectedS: 20, DeadlineS: 60}))
	d.ApplyUpdate(0, firstUpdate(1, machine("a")), t0)
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
	d.ApplyUpdate(0, firstUpdate(1, busy), t0)
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
		d.ApplyUpdate(0, firstUpdate(1, machine("a")), t0)
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
			specs = append(specs, protocol.JobSpec{
				UID: fmt.Sprintf("wk-%d", i), Class: "q", Team: rapid.SampledFrom([]string{"red", "blue"}).Draw(t, "team"),
				Priority: "normal", CPUs: 1, Tasks: rapid.IntRange(1, 12).Draw(t, "pieces"), ExpectedS: float64(rapid.IntRange(5, 40).Draw(t, "s")),
				DeadlineS: float64(rapid.IntRange(10, 90).Draw(t, "due")),
			})
		}
		d := New(cfg, limits, 1, capacityOf, mirror(specs...))
		d.ApplyUpdate(0, firstUpdate(1, machine("a")), t0)
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
			for _, by := range d.waiting.targetsOf(w, t0)[min(1, len(d.waiting.targetsOf(w, t0))):] {
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
