package partition

import (
	"fmt"
	"maps"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"junipershelf/internal/emulator"
	"junipershelf/job"
	"junipershelf/protocol"
)

// jsonBytes is how the state service counts a record.
func jsonBytes(t *rapid.T, rec *Record) int {
	raw, err := protocol.Marshal(rec)
	if err != nil {
		t.Fatal(err)
	}
	return emulator.JSONBytes(raw)
}

// Records that were written under larger limits are split, by transactions within the
// smaller ones, whatever becomes of each: at no time does a placement or a finished task
// stand in no record. The plain model is the set of all of them. A value that is still
// too large is only ever written as long as the service takes it; once the limits have
// fallen each is within them, or refused and left as it stands.
func TestSplitLosesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const small = 2048
		cfg := testConfig
		cfg.ValueBytes, cfg.TransactionChanges = small, rapid.IntRange(4, 10).Draw(t, "ops")
		jobs := rapid.IntRange(1, 30).Draw(t, "jobs")
		mirror := job.NewCache(map[string]int{"red": 0})
		for j := range jobs {
			s := jobOf(fmt.Sprint("wk-", j+1), 1000)
			s.Team, s.Priority = "red", "normal"
			if err := mirror.Set(s.UID, job.Record{Spec: s}, 1, t0); err != nil {
				t.Fatal(err)
			}
		}
		mirror.SetSyncedAt(t0.Add(cfg.MaxCacheStaleness))
		w := newRecordWriter()
		want := map[string]bool{}
		for m := range rapid.IntRange(1, 150).Draw(t, "machines") {
			var pls []*Placement
			for k := range rapid.IntRange(1, 6).Draw(t, "tasks") {
				pl := placement(fmt.Sprint("wk-", 1+(m*7+k)%jobs), m*6+k, uint64(1+m%5))
				pls = append(pls, pl)
				want[pl.Task.String()] = true
			}
			w.addMachine(&Machine{ID: fmt.Sprintf("i-%06d", m), MachineType: "quad", Zone: "z", contact: contact{agentEpoch: 1}}, pls)
		}
		for k := range rapid.IntRange(0, 200).Draw(t, "done") {
			task := job.Task{Job: fmt.Sprint("wk-", 1+k%jobs), Index: 900 - 2*(k/jobs)}
			w.addCompleted(task)
			want[task.String()+" done"] = true
		}
		store := map[string]*Record{ShardKey(0, 0): w.record()}
		stamps := map[string]uint64{ShardKey(0, 0): 5}
		p := New(cfg, 7, 0, t0, caps, mirror)
		if err := p.LoadShard(ShardKey(0, 0), *store[ShardKey(0, 0)], 5, t0); err != nil {
			t.Fatal(err)
		}
		check := func() {
			got := map[string]bool{}
			for _, r := range store {
				_ = r.eachPlacement(func(_ *RecordMachine, _ RecordKind, pl *Placement) { got[pl.Task.String()] = true })
				_ = r.eachCompleted(func(tk job.Task) { got[tk.String()+" done"] = true })
			}
			if d := cmp.Diff(want, got); d != "" {
				t.Fatalf("the records do not hold all: %s", d)
			}
		}
		epoch := uint64(10)
		for range 400 {
			c := p.committer.split(t0)
			if c == nil {
				break
			}
			if len(c.Shards) > cfg.TransactionChanges {
				t.Fatalf("%d changes in a transaction", len(c.Shards))
			}
			for i, w := range c.Shards {
				if i > 0 && jsonBytes(t, w.Record) > small {
					t.Fatalf("a new record of %d bytes", jsonBytes(t, w.Record))
				}
				if w.Revision != stamps[w.Key] {
					t.Fatalf("%s guarded on %d, stands at %d", w.Key, w.Revision, stamps[w.Key])
				}
			}
			fate := rapid.SampledFrom([]string{"passed", "passed", "unseen", "refused"}).Draw(t, "fate")
			if fate != "refused" {
				epoch++
				for _, w := range c.Shards {
					store[w.Key], stamps[w.Key] = w.Record, epoch
					if w.Record == nil {
						delete(store, w.Key)
						delete(stamps, w.Key)
					}
				}
			}
			switch fate {
			case "passed":
				p.CommitApplied(c, epoch, t0)
			case "unseen": // sent again, its guards fail, and all are read
				for _, w := range c.Shards {
					if err := p.ReconcileShard(c, w.Key, store[w.Key], stamps[w.Key], t0); err != nil {
						t.Fatal(err)
					}
				}
				p.CommitRefused(c)
			case "refused":
				p.CommitRefused(c)
			}
			check()
		}
		for k, r := range store {
			if n := jsonBytes(t, r); n > small {
				t.Fatalf("%s has %d bytes at the end", k, n)
			}
		}
		// What the part holds is what stands there, by record.
		for _, s := range p.layout.shards {
			held := map[string]bool{}
			for _, m := range p.machines.sorted {
				for _, pl := range m.placements {
					if pl.shard == s {
						held[pl.Task.String()] = true
					}
				}
			}
			stand := map[string]bool{}
			if r := store[s.key]; r != nil {
				_ = r.eachPlacement(func(_ *RecordMachine, _ RecordKind, pl *Placement) { stand[pl.Task.String()] = true })
			}
			if !maps.Equal(held, stand) {
				t.Fatalf("%s: %v held, %v stand there", s.key, len(held), len(stand))
			}
		}
	})
}

// A commit that is too large is not tried again as it stands: one of several records is
// made smaller, a single one waits for a while.
func TestTooLargeIsNotRepeated(t *testing.T) {
	p := New(testConfig, 7, 0, t0, caps, newMirror(t, jobOf("wk-1", 10)))
	if err := p.LoadShard(ShardKey(0, 0), record("a", 1, placement("wk-1", 0, 3)), 5, t0); err != nil {
		t.Fatal(err)
	}
	p.HandleHeartbeat(at(0), report("a", 2, 1, 7)) // its session is over: a removal
	c := commit(t, p, at(0))
	p.CommitTooLarge(c, at(0))
	if hasCommit(p, at(1)) {
		t.Error("tried again at once")
	}
	if !hasCommit(p, at(3)) {
		t.Error("never tried again")
	}
}

// A replica that ends is not done, whatever the cause: it has to run again. At a notice,
// or on a machine that leaves, it is stopped at once, so that it runs elsewhere soon.
func TestReplicas(t *testing.T) {
	s := jobOf("wk-1", 2)
	s.Shape = protocol.ShapeService
	p := New(testConfig, 7, 0, t0, caps, newMirror(t, s))
	p.HandleHeartbeat(at(0), report("a", 1, 1, 7))
	assign(p, at(0), 1, "wk-1", 0, "a", 0)
	assign(p, at(0), 2, "wk-1", 1, "a", 0)
	p.Tick(at(0))
	p.CommitApplied(commit(t, p, at(0)), 9, at(0))
	p.HandleHeartbeat(at(1), report("a", 1, 2, 7))
	orders := p.Commands(at(1), "a", 1, 2)
	wantEqual(t, "starts", commandText(orders), "start wk-1/0;start wk-1/1;")
	try := orders[0].Attempt
	running := protocol.ReportedTask{Task: "wk-1/1", Attempt: try, Status: "running"}
	p.HandleHeartbeat(at(2), report("a", 1, 3, 7, protocol.ReportedTask{Task: "wk-1/0", Attempt: try, Status: "ended", Cause: "done"}, running))
	wantEqual(t, "an end", recordText(t, commit(t, p, at(2))), "wk-1/1@a;")
	if len(p.outbox.failures) != 1 {
		t.Errorf("%d faults: a replica that ends everywhere would never back off", len(p.outbox.failures))
	}
	warned := report("a", 1, 4, 7, running)
	left := 8.0
	warned.PreemptionNoticeS = &left
	p.HandleHeartbeat(at(3), warned)
	p.TickMachine(at(3), "a")
	wantEqual(t, "at a notice", commandText(p.Commands(at(3), "a", 1, 4)), "kill wk-1/1;")
}

// A replica goes before what waits on its machine and is no more urgent, committed ahead
// or not, and the next room is its own.
func TestReplicasGoFirst(t *testing.T) {
	s := jobOf("wk-1", 1)
	s.Shape = protocol.ShapeService
	p := New(testConfig, 7, 0, t0, caps, newMirror(t, s, jobOf("wk-2", 12)))
	p.HandleHeartbeat(at(0), report("a", 1, 1, 7))
	for i := range 10 {
		assign(p, at(0), uint64(i+1), "wk-2", i, "a", 0)
	}
	p.Tick(at(0))
	p.CommitApplied(commit(t, p, at(0)), 9, at(0))
	p.HandleHeartbeat(at(1), report("a", 1, 2, 7))
	wantEqual(t, "the first four", commandText(p.Commands(at(1), "a", 1, 2)), "start wk-2/0;start wk-2/1;start wk-2/2;start wk-2/3;")
	assign(p, at(1), 11, "wk-1", 0, "a", 0)
	p.Tick(at(1))
	p.CommitApplied(commit(t, p, at(1)), 10, at(1))
	var pieces []protocol.ReportedTask
	for _, pl := range p.machines.get("a").placements {
		if pl.start == startSent {
			pieces = append(pieces, protocol.ReportedTask{Task: pl.Task.String(), Attempt: pl.Attempt, Status: "running"})
		}
	}
	pieces[0].Status, pieces[0].Cause = "ended", "done"
	p.HandleHeartbeat(at(2), report("a", 1, 3, 7, pieces...))
	wantEqual(t, "the next room", commandText(p.Commands(at(2), "a", 1, 3)), "start wk-1/0;")
}
