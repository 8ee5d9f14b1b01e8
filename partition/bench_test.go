package partition

import (
	"fmt"
	"testing"

	"junipershelf/job"
	"junipershelf/protocol"
)

// BenchmarkHeartbeat measures one heartbeat of a machine with eight tasks, including decoding and
// encoding, at an owner of 200 such machines.
func BenchmarkHeartbeat(b *testing.B) {
	p := New(testConfig, 5, 0, t0, eightSlots, newJobCache(b, jobSpec("wk-1", 5000)))
	bodies := make([][]byte, 200)
	for i := range bodies {
		id := fmt.Sprintf("i-%06d", i)
		p.HandleHeartbeat(t0, heartbeat(id, 1, 1, 5))
		for k := range 8 {
			assignTask(p, t0, uint64(8*i+k+1), "wk-1", 8*i+k, id, 0)
		}
	}
	p.Tick(t0)
	for c := p.NextCommit(t0, 100); c != nil; c = p.NextCommit(t0, 100) {
		p.HandleCommitApplied(c, 9, t0)
	}
	sequence := uint64(1)
	for i := range bodies {
		id := fmt.Sprintf("i-%06d", i)
		p.Commands(t0, id, 1, 1)
		var tasks []protocol.ReportedTask
		for _, pl := range p.machines.get(id).placements {
			tasks = append(tasks, runningTask(pl.Task.Job, pl.Task.Index, pl.Attempt))
		}
		// Wire names, see protocol.Heartbeat.
		body, err := protocol.Marshal(map[string]any{
			"host": id, "endpoint": "10.1.0.1:9000", "flavor": "quad", "yard": "z", "borrowed": true,
			"shift": 1, "tick": 0, "baton": 5, "warning_s": nil, "pieces": tasks,
		})
		if err != nil {
			b.Fatal(err)
		}
		bodies[i] = body
	}
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		r, err := protocol.ParseHeartbeat(bodies[n%len(bodies)])
		if err != nil {
			b.Fatal(err)
		}
		sequence++
		r.Sequence = sequence
		p.HandleHeartbeat(t0, r)
		p.TickMachine(t0, r.Machine)
		if _, err := protocol.Marshal(protocol.HeartbeatReply{FencingToken: 5, Commands: p.Commands(t0, r.Machine, 1, sequence)}); err != nil {
			b.Fatal(err)
		}
	}
}

// eightSlots returns the capacity of machines that fit eight tasks of jobSpec.
func eightSlots(string) (job.Resources, bool) { return job.Resources{CPUs: 8, MemoryGB: 64}, true }

// fullRecord returns the record of a shard with 24 machines of eight tasks each.
func fullRecord() *Record {
	w := newRecordWriter()
	for i := range 24 {
		m := &Machine{
			ID: fmt.Sprintf("i-%06d", 42*i), MachineType: "octa-box", Zone: "z", Spot: true,
			contact: contact{agentEpoch: 1, sequence: uint64(100 + i)},
		}
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

// BenchmarkRecord measures composing, sizing and marshalling a shard's record.
func BenchmarkRecord(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		rec := fullRecord()
		if rec.Bytes() > 16<<10 {
			b.Fatalf("record of %d bytes, want at most %d", rec.Bytes(), 16<<10)
		}
		if _, err := protocol.Marshal(rec); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkLoadShards measures an owner that loads the records of 1,000 machines at the start of a
// view.
func BenchmarkLoadShards(b *testing.B) {
	raw, err := protocol.Marshal(fullRecord())
	if err != nil {
		b.Fatal(err)
	}
	jobs := job.NewCache(map[string]int{"red": 0})
	b.ReportAllocs()
	for b.Loop() {
		p := New(testConfig, 6, 0, t0, eightSlots, jobs)
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
			b.Fatalf("loaded %d machines with %d tasks, want %d with %d", machines, tasks, 24*42, 8*24*42)
		}
	}
}
