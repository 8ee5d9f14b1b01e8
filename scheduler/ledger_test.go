package scheduler

import (
	"fmt"
	"testing"
	"time"

	"junipershelf/internal/limits"
	"junipershelf/job"
	"junipershelf/partition"
	"junipershelf/protocol"

	"pgregory.net/rapid"
)

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
				l := d.Job(t.Job)
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
			specs = append(specs, protocol.JobSpec{
				UID: fmt.Sprintf("wk-%d", i), Team: rapid.SampledFrom([]string{"red", "blue"}).Draw(t, "team"),
				Priority: rapid.SampledFrom(protocol.Priorities).Draw(t, "urgency"),
				CPUs:     float64(rapid.IntRange(1, 3).Draw(t, "cpus")), Tasks: rapid.IntRange(1, 12).Draw(t, "pieces"),
			})
		}
		m := mirror(specs...)
		d := New(testConfig, teams(), 2, capacityOf, m)
		owners := []*plainOwner{newOwner("a", "c"), newOwner("b", "d", "e")}
		for i, o := range owners {
			d.ApplyUpdate(i, o.update(d), t0)
		}
		finished := map[job.Task]bool{}
		now := t0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Second)
			i := rapid.IntRange(0, 1).Draw(t, "owner")
			o := owners[i]
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0, 1: // a call that works
				o.known = d.ApplyUpdate(i, o.update(d), now)
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
				d.ApplyUpdate(i, o.update(d), now)
				d.RunCycle(now)
			case 3: // an old call comes late
				d.ApplyUpdate(i, rapid.SampledFrom(o.old).Draw(t, "old"), now)
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
			used[d.cluster.quotas.byName[h.Team]] += h.Resources.CPUs * float64(n)
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
	for o := range d.cluster.owners {
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
	for uid, l := range d.cluster.jobs.Jobs {
		e := d.cluster.entry(uid)
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
	d.RestoreOwner(1, []partition.MachineState{theirs}, []partition.CompletedTask{{Task: job.Task{Job: "wk-1", Index: 2}}}, t0)
	d.ApplyUpdate(0, firstUpdate(1, machine("a")), t0)
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
	d.ApplyUpdate(1, firstUpdate(1, shown), t0)
	d.RunCycle(t0)
	if n := len(assignedTasks(d, 0)) + len(assignedTasks(d, 1)); n != 4 {
		t.Errorf("%d given once its task 0 is known to be gone, want 4", n)
	}
}

// With one removal more than is remembered, an owner that has not heard of the older ones is
// told of the whole fleet anew; one that is up to date is told of what is new.
func TestOneRemovalMoreThanIsRemembered(t *testing.T) {
	const most = minRemembered
	s := New(testConfig, teams(), 1, capacityOf, mirror())
	var states []partition.MachineState
	var ids []string
	for i := range most + 1 {
		ids = append(ids, fmt.Sprintf("i-%05d", i))
		states = append(states, machine(ids[i]))
	}
	states = append(states, machine("z"))
	s.ApplyUpdate(0, firstUpdate(1, states...), t0)
	_, _, before := s.FleetSince(0)
	for i, step := range []struct {
		removed []string
		whole   bool
	}{{ids[:most], false}, {ids[most:], true}} {
		n := uint64(i + 2)
		s.ApplyUpdate(0, partition.Update{Sequence: n, BaseVersion: n - 1, Version: n, Removed: step.removed}, t0)
		s.RunCycle(t0)
		known := s.KnownVersion(before)
		changed, gone, version := s.FleetSince(known)
		if (known == 0) != step.whole || step.whole != (s.Limits[limits.RemovedMachines] == 1) {
			t.Errorf("step %d: told from version %d, limit reached %d times", i, known, s.Limits[limits.RemovedMachines])
		}
		if step.whole && (len(changed) != 1 || changed[0].ID != "z") || !step.whole && len(gone) != most {
			t.Errorf("step %d: %d machines and %d gone are told", i, len(changed), len(gone))
		}
		if s.KnownVersion(version) != version {
			t.Errorf("step %d: an owner that is up to date is told of the whole fleet", i)
		}
	}
}

// While finished tasks find room in the placements' records, a job whose own record cannot
// hold their ranges goes on; beyond that its holes are filled first.
func TestJobWithMoreRangesThanItsRecordHolds(t *testing.T) {
	for _, c := range []struct{ most, want int }{{1000, 4}, {100, 0}} {
		cfg := testConfig
		cfg.ValueBytes, cfg.MaxFinishedTasks = 2048, c.most
		spec := protocol.JobSpec{UID: "wk-1", Class: "q", Team: "red", CPUs: 1, MemGB: 1, Tasks: 2000, ExpectedS: 40}
		teams := []Team{{Name: "red", Guarantee: job.Resources{CPUs: 1000}, Limit: job.Resources{CPUs: 1000}}}
		s := New(cfg, teams, 1, capacityOf, mirror(spec))
		var done []partition.CompletedTask
		for i := range 400 {
			done = append(done, partition.CompletedTask{Task: job.Task{Job: "wk-1", Index: 2*i + 1}})
		}
		held := partition.HeldTasks{Job: "wk-1", Team: "red", Resources: job.Resources{CPUs: 0.001}, Phase: partition.PhaseRunning}
		for i := range 400 {
			held.Tasks.Add(2 * i)
		}
		busy, free := machine("a"), machine("b")
		busy.Free, busy.Held = job.Resources{}, []partition.HeldTasks{held}
		update := firstUpdate(1, busy, free)
		update.Completed = done
		s.ApplyUpdate(0, update, t0)
		s.RunCycle(t0)
		if n := len(assignedTasks(s, 0)); n < c.want || (n > 0) != (c.want > 0) || (s.Limits[limits.FinishedTasks] > 0) != (c.want == 0) {
			t.Errorf("with room for %d finished tasks %d are assigned, limit reached %d times", c.most, n, s.Limits[limits.FinishedTasks])
		}
	}
}
