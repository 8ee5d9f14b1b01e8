package partition

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
	m := job.NewCache(map[string]int{"red": 0})
	s := jobOf("wk-1", 5000)
	s.Team, s.Priority, s.SpotAllowed = "red", "normal", true
	if err := m.Set(s.UID, job.Record{Spec: s}, 1, t0); err != nil {
		b.Fatal(err)
	}
	m.SetSyncedAt(t0.Add(time.Hour))
	p := New(testConfig, 5, 0, t0, func(string) (job.Resources, bool) { return job.Resources{CPUs: 8, MemoryGB: 64}, true }, m)
	bodies := make([][]byte, 200)
	for i := range bodies {
		id := fmt.Sprintf("i-%06d", i)
		p.HandleHeartbeat(t0, report(id, 1, 1, 5))
		for k := range 8 {
			assign(p, t0, uint64(8*i+k+1), "wk-1", 8*i+k, id, 0)
		}
	}
	p.Tick(t0)
	for c := p.NextCommit(t0, 100); c != nil; c = p.NextCommit(t0, 100) {
		p.CommitApplied(c, 9, t0)
	}
	tick := uint64(1)
	for i := range bodies {
		id := fmt.Sprintf("i-%06d", i)
		p.Commands(t0, id, 1, 1)
		r := map[string]any{"host": id, "endpoint": "10.1.0.1:9000", "flavor": "quad", "yard": "z", "borrowed": true, "shift": 1, "tick": 0, "baton": 5, "warning_s": nil}
		var pieces []protocol.ReportedTask
		for _, pl := range p.machines.get(id).placements {
			pieces = append(pieces, runningReport(pl.Task.Job, pl.Task.Index, pl.Attempt))
		}
		r["pieces"] = pieces
		bodies[i], _ = protocol.Marshal(r)
	}
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		r, err := protocol.ParseHeartbeat(bodies[n%len(bodies)])
		if err != nil {
			b.Fatal(err)
		}
		tick++
		r.Sequence = tick
		p.HandleHeartbeat(t0, r)
		p.TickMachine(t0, r.Machine)
		if _, err := protocol.Marshal(protocol.HeartbeatReply{FencingToken: 5, Commands: p.Commands(t0, r.Machine, 1, tick)}); err != nil {
			b.Fatal(err)
		}
	}
}

// filled is the record of a shard with 24 machines of eight tasks each.
func filled() *Record {
	w := newRecordWriter()
	for i := range 24 {
		m := &Machine{ID: fmt.Sprintf("i-%06d", 42*i), MachineType: "octa-box", Zone: "z", Spot: true, contact: contact{agentEpoch: 1, sequence: uint64(100 + i)}}
		var row []*Placement
		for k := range 8 {
			row = append(row, &Placement{
				Task: job.Task{Job: fmt.Sprintf("wk-%06d", 1000+(8*i+k)%40), Index: 8*i + k}, Attempt: uint64(5<<28 + i%9), AgentEpoch: 1,
				Resources: job.Resources{CPUs: 1, MemoryGB: 6}, Team: "red",
			})
		}
		w.addMachine(m, row)
	}
	return w.record()
}

// BenchmarkRecord is the coding of a shard's record: made, measured and written.
func BenchmarkRecord(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		rec := filled()
		if rec.Bytes() > 16<<10 {
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
	m := job.NewCache(map[string]int{"red": 0})
	b.ReportAllocs()
	for b.Loop() {
		p := New(testConfig, 6, 0, t0, func(string) (job.Resources, bool) { return job.Resources{CPUs: 8, MemoryGB: 64}, true }, m)
		for n := range 42 {
			var rec Record
			if err := protocol.Unmarshal(raw, &rec); err != nil {
				b.Fatal(err)
			}
			for i := range rec.Machines {
				rec.Machines[i].ID = fmt.Sprintf("i-%06d", 42*i+n)
			}
			if err := p.LoadShard(ShardKey(n, 0), rec, 1, t0); err != nil {
				b.Fatal(err)
			}
		}
		if machines, tasks, _ := p.Load(); machines != 24*42 || tasks != 8*24*42 {
			b.Fatalf("%d machines, %d tasks", machines, tasks)
		}
	}
}
