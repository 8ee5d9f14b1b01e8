package part

import (
	"fmt"
	"testing"
	"time"

	"junipershelf/job"
	"junipershelf/protocol"
)

// BenchmarkReport is the cost of one report of a machine with eight tasks, with its
// wire forms, at an owner of two hundred such machines.
func BenchmarkReport(b *testing.B) {
	m := job.NewMirror(map[string]int{"red": 0})
	s := one("wk-1", 5000)
	s.Owner, s.Urgency, s.Borrowed = "red", "normal", true
	if err := m.Set(s.UID, job.Record{Spec: s}, 1, t0); err != nil {
		b.Fatal(err)
	}
	m.Refreshed(t0.Add(time.Hour))
	p := New(testConfig, 5, 0, t0, func(string) (job.Need, bool) { return job.Need{CPUs: 8, Mem: 64}, true }, m)
	bodies := make([][]byte, 200)
	for i := range bodies {
		id := fmt.Sprintf("i-%06d", i)
		p.Report(t0, beat(id, 1, 1, 5))
		for k := range 8 {
			allot(p, t0, uint64(8*i+k+1), "wk-1", 8*i+k, id, 0)
		}
	}
	p.Tick(t0)
	for c := p.NextCommit(t0, 100); c != nil; c = p.NextCommit(t0, 100) {
		p.Committed(c, 9, t0)
	}
	tick := uint64(1)
	for i := range bodies {
		id := fmt.Sprintf("i-%06d", i)
		p.Orders(t0, id, 1, 1)
		r := map[string]any{"host": id, "endpoint": "10.1.0.1:9000", "flavor": "quad", "yard": "z", "borrowed": true, "shift": 1, "tick": 0, "baton": 5, "warning_s": nil}
		var pieces []protocol.Piece
		for _, pl := range p.machines[id].runs {
			pieces = append(pieces, running(pl.Task.Job, pl.Task.Index, pl.Try))
		}
		r["pieces"] = pieces
		bodies[i], _ = protocol.Marshal(r)
	}
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		r, err := protocol.ParseBeat(bodies[n%len(bodies)])
		if err != nil {
			b.Fatal(err)
		}
		tick++
		r.Tick = tick
		p.Report(t0, r)
		p.TickOne(t0, r.Host)
		if _, err := protocol.Marshal(protocol.BeatReply{Baton: 5, Orders: p.Orders(t0, r.Host, 1, tick)}); err != nil {
			b.Fatal(err)
		}
	}
}

// filled is the record of a shard with 24 machines of eight tasks each.
func filled() *Record {
	w := newWriter()
	for i := range 24 {
		m := &Machine{ID: fmt.Sprintf("i-%06d", 42*i), Flavor: "octa-box", Zone: "z", Spot: true, shift: 1, tick: uint64(100 + i)}
		var row []*Placement
		for k := range 8 {
			row = append(row, &Placement{Task: job.Task{Job: fmt.Sprintf("wk-%06d", 1000+(8*i+k)%40), Index: 8*i + k}, Try: uint64(5<<28 + i%9), Session: 1,
				Need: job.Need{CPUs: 1, Mem: 6}, Team: "red"})
		}
		w.machine(m, row)
	}
	return w.record()
}

// BenchmarkRecord is the coding of a shard's record: made, measured and written.
func BenchmarkRecord(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		rec := filled()
		if rec.Size() > 16<<10 {
			b.Fatal("too large")
		}
		if _, err := protocol.Marshal(rec); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkTakeover is an owner that reads the records of 1,000 machines at the start of
// a view.
func BenchmarkTakeover(b *testing.B) {
	raw, err := protocol.Marshal(filled())
	if err != nil {
		b.Fatal(err)
	}
	m := job.NewMirror(map[string]int{"red": 0})
	b.ReportAllocs()
	for b.Loop() {
		p := New(testConfig, 6, 0, t0, func(string) (job.Need, bool) { return job.Need{CPUs: 8, Mem: 64}, true }, m)
		for n := range 42 {
			var rec Record
			if err := protocol.Unmarshal(raw, &rec); err != nil {
				b.Fatal(err)
			}
			for i := range rec.Machines {
				rec.Machines[i].ID = fmt.Sprintf("i-%06d", 42*i+n)
			}
			if err := p.Load(ShardKey(n, 0), rec, 1, t0); err != nil {
				b.Fatal(err)
			}
		}
		if machines, tasks, _ := p.Busy(); machines != 24*42 || tasks != 8*24*42 {
			b.Fatalf("%d machines, %d tasks", machines, tasks)
		}
	}
}
