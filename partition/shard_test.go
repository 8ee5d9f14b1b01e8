package partition

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"junipershelf/internal/emulator"
	"junipershelf/job"
	"junipershelf/protocol"

	"pgregory.net/rapid"
)

// A transaction without an answer may have passed: the record tells.
func TestUnansweredCommit(t *testing.T) {
	for _, passed := range []bool{true, false} {
		p := New(testConfig, 5, 0, t0, caps, newMirror(t, jobOf("wk-1", 2)))
		p.HandleHeartbeat(at(1), report("a", 1, 1, 5))
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
		for _, pl := range p.machines.get("a").placements {
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

// A part's records, over drawn histories: what is read back is what was placed, no
// record outgrows its value in JSON form even when all that runs completes, and
// what finds no room in one goes to the next or waits. The model is a plain list.
func TestShardsAgainstAList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var specs []protocol.JobSpec
		for i := range 30 {
			specs = append(specs, jobOf(fmt.Sprintf("wk-%09d", i), 9000))
		}
		m := job.NewCache(map[string]int{"red": 0})
		for _, s := range specs {
			s.Team, s.Priority, s.SpotAllowed = "red", "normal", true
			_ = m.Set(s.UID, job.Record{Spec: s}, 1, t0)
		}
		m.SetSyncedAt(t0.Add(time.Hour))
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
			var pieces []protocol.ReportedTask
			for tk, try := range runs[id] {
				if tk == over {
					pieces = append(pieces, endedReport(tk.Job, tk.Index, try, "done"))
					done[tk] = true
				} else {
					pieces = append(pieces, runningReport(tk.Job, tk.Index, try))
				}
			}
			delete(runs[id], over)
			p.HandleHeartbeat(now, report(id, 1, ticks[id], 5, pieces...))
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
					if n := emulator.JSONBytes(raw); n > w.Bytes || n > cfg.ValueBytes {
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
		p.HandleHeartbeat(at(1), report(id, 1, 1, 5))
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
	pl.AgentEpoch = 4
	rec := record("a", 5, pl, placement("wk-1", 4, 1<<40+7))
	for _, text := range []string{rec.Machines[0].Runs, "", "0", "0.0", "0.0:x", "9.0:1", "0.9:1", "0.0@x:1", "-1.0:1"} {
		rec.Machines[0].Runs = text
		got := ""
		err := rec.eachPlacement(func(m *RecordMachine, _ RecordKind, p *Placement) {
			got += fmt.Sprint(p.Task, p.Attempt-1<<40, p.AgentEpoch, ";")
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
