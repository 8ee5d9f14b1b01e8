package partition

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"junipershelf/internal/limits"
	"junipershelf/job"
	"junipershelf/preferredlist"
	"junipershelf/protocol"
)

// A walk through few targets finds them in the order of the whole preferred list, whatever
// their number, and finds none that is not there.
func TestWalkKeepsThePreferredOrder(t *testing.T) {
	const fleet = 100
	p := New(testConfig, 5, 0, t0, caps, newMirror(t))
	var all []Buddy
	for i := range fleet {
		all = append(all, Buddy{ID: fmt.Sprintf("m-%03d", i)})
	}
	for every := 1; every <= fleet+1; every += 9 {
		for i := range all {
			all[i].Underloaded = i%every == every-1
		}
		p.ApplyFleet(true, slices.Clone(all), nil)
		p.overflow.findTargets()
		for at := range fleet {
			var want []int
			for _, n := range preferredlist.List(at, fleet, fleet) {
				if all[n].Underloaded {
					want = append(want, n)
				}
			}
			got := slices.DeleteFunc(slices.Collect(p.overflow.fleet.preferredList(at)), func(n int) bool { return !all[n].Underloaded })
			if !slices.Equal(got, want) {
				t.Fatalf("every %d: from %d: %v, want %v", every, at, got, want)
			}
			buddies := slices.Collect(p.overflow.fleet.buddySet(at, p.cfg.Buddies))
			if len(want) > 0 && !slices.Equal(buddies, preferredlist.List(at, fleet, p.cfg.Buddies)) {
				t.Fatalf("buddies of %d: %v", at, buddies)
			}
		}
	}
}

// Workers that report far more tasks than anybody gave them cost bounded memory. Each is told
// to forget some with each answer, until none is left, and gets no work before that.
func TestUnknownTasksAreBounded(t *testing.T) {
	p := New(testConfig, 5, 0, t0, caps, newMirror(t, jobOf("wk-1", 1)))
	const machines, tasksOfEach = 40, 600
	left := make([][]protocol.ReportedTask, machines)
	for i := range left {
		for k := range tasksOfEach {
			left[i] = append(left[i], endedReport("wk-9", 1000*i+k, 3, protocol.CauseDone))
		}
	}
	rounds := 0
	for sequence := uint64(1); slices.ContainsFunc(left, func(l []protocol.ReportedTask) bool { return len(l) > 0 }); sequence++ {
		if rounds++; rounds > 200 {
			t.Fatal("tasks that nobody knows are never forgotten")
		}
		for i := range left {
			id := fmt.Sprintf("m-%02d", i)
			p.HandleHeartbeat(at(float64(sequence)), report(id, 1, sequence, 5, left[i]...))
			forget := map[string]bool{}
			for _, c := range p.Commands(at(float64(sequence)), id, 1, sequence) {
				forget[c.Task] = true
			}
			left[i] = slices.DeleteFunc(left[i], func(r protocol.ReportedTask) bool { return forget[r.Task] })
			if len(left[i]) > 0 && len(forget) < len(left[i]) && !p.machines.get(id).unaccounted() {
				t.Fatal("a machine with tasks that were left out may take work")
			}
		}
		if most := maxUnknownTasks + machines*maxMachineUnknownTasks; p.unknown.kept > most {
			t.Fatalf("%d unknown tasks are kept, more than %d", p.unknown.kept, most)
		}
	}
	if p.Limits[limits.UnknownTasks] == 0 {
		t.Error("the limit was reached in silence")
	}
	for i := range left {
		p.HandleHeartbeat(at(500), report(fmt.Sprintf("m-%02d", i), 1, 500, 5))
	}
	if p.unknown.kept != 0 {
		t.Errorf("%d unknown tasks are counted that nobody reports", p.unknown.kept)
	}
}

// One machine more than the memory can hold is refused; those that are known are served.
func TestMachinesAreBounded(t *testing.T) {
	cfg := testConfig
	cfg.MaxMachines = 3
	p := New(cfg, 5, 0, t0, caps, newMirror(t))
	for i := range 4 {
		if fresh := p.HandleHeartbeat(t0, report(fmt.Sprintf("m-%d", i), 1, 1, 5)); fresh != (i < 3) {
			t.Errorf("machine %d is taken: %v", i, fresh)
		}
	}
	if !p.HandleHeartbeat(at(1), report("m-2", 1, 2, 5)) {
		t.Error("a machine that is known is refused")
	}
	if n := p.Limits[limits.Machines]; n != 1 {
		t.Errorf("the limit was reached %d times", n)
	}
}

// An update of very many tasks tells less of each, and still all that is held.
func TestLargeUpdatesTellLessDetail(t *testing.T) {
	for _, c := range []struct {
		tasks    int
		detailed bool
	}{{maxDetailedTasks, true}, {maxDetailedTasks + 1, false}} {
		p := New(testConfig, 5, 0, t0, caps, newMirror(t, jobOf("wk-1", c.tasks)))
		p.HandleHeartbeat(t0, report("a", 1, 1, 5))
		m := p.machines.get("a")
		for i := range c.tasks {
			m.placements = append(m.placements, &Placement{
				Task: job.Task{Job: "wk-1", Index: i}, Resources: job.Resources{CPUs: 1}, committed: true,
				start: startSent, status: protocol.TaskRunning, since: t0.Add(time.Duration(i%30) * time.Second),
			})
		}
		p.machines.markChanged(m)
		held := p.Update(at(60)).Machines[0].Held
		told := 0
		for _, h := range held {
			told += h.Tasks.Len()
		}
		if told != c.tasks || (len(held) > 1) != c.detailed || (p.Limits[limits.UpdateDetail] == 0) != c.detailed {
			t.Errorf("%d tasks: %d told in %d runs, limit reached %d times", c.tasks, told, len(held), p.Limits[limits.UpdateDetail])
		}
	}
}

// A fleet of 4,000 and one of 6,000 machines find room in records at the smallest values and
// transactions that the settings allow, and each is written as few times as records hold it.
func TestLargeFleetsFitSmallRecords(t *testing.T) {
	for _, c := range []struct{ fleet, valueBytes, changes int }{{4000, 2048, 4}, {6000, 2048, 4}, {6000, 8192, 16}} {
		x := newLargePartition(t, c.fleet, c.valueBytes, c.changes)
		x.fill(0)
		changes := x.commitAll()
		placed, bytes := 0, 0
		for _, id := range x.ids {
			for _, pl := range x.partition.machines.get(id).placements {
				if pl.committed {
					placed++
				}
			}
		}
		for _, s := range x.partition.layout.shards {
			bytes += s.bytes
			if s.bytes > c.valueBytes {
				t.Errorf("a record of %d bytes in values of %d", s.bytes, c.valueBytes)
			}
		}
		if placed != len(x.ids)*slotsPerMachine {
			t.Errorf("%d of %d tasks are placed", placed, len(x.ids)*slotsPerMachine)
		}
		if least := bytes / c.valueBytes; changes > 2*least+14 {
			t.Errorf("%d machines: %d changes where %d records would do", c.fleet, changes, least)
		}
		t.Logf("%d machines, values of %d bytes: an owner's %d tasks in %d records, %d changes", c.fleet, c.valueBytes, placed, len(x.partition.layout.shards), changes)
	}
}
