package partition

import (
	"fmt"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"junipershelf/internal/benchsizes"
	"junipershelf/job"
	"junipershelf/protocol"
)

const (
	slotsPerMachine = benchsizes.SlotsPerMachine
	ownersOfFleet   = benchsizes.Owners
	tasksPerJob     = 100
)

// largePartition is an owner's share of a fleet of so many machines.
type largePartition struct {
	partition *Partition
	ids       []string
	jobs      int
	sequence  uint64 // of assignments
	report    uint64
	now       time.Time
}

func newLargePartition(b testing.TB, fleet, valueBytes, changes int) *largePartition {
	b.Helper()
	own := fleet / ownersOfFleet
	x := &largePartition{now: t0}
	x.jobs = own*(slotsPerMachine+4)/tasksPerJob + 1
	m := job.NewCache(map[string]int{"red": 0})
	for i := range x.jobs {
		s := jobOf(fmt.Sprintf("wk-%06d", i), tasksPerJob)
		s.Team, s.Priority, s.SpotAllowed, s.Image = "red", "normal", true, fmt.Sprintf("img-%d", i%24)
		if err := m.Set(s.UID, job.Record{Spec: s}, 1, t0); err != nil {
			b.Fatal(err)
		}
	}
	m.SetSyncedAt(t0.Add(time.Hour))
	cfg := testConfig
	cfg.ValueBytes, cfg.TransactionChanges = valueBytes, changes
	cfg.BucketOf = func(id string) int {
		n := 0
		fmt.Sscanf(id, "i-%d", &n)
		return n % 14
	}
	x.partition = New(cfg, 5, 0, t0, func(string) (job.Resources, bool) { return job.Resources{CPUs: slotsPerMachine, MemoryGB: 64}, true }, m)
	var all []Buddy
	for i := range fleet {
		id := fmt.Sprintf("i-%06d", i)
		all = append(all, Buddy{ID: id})
		if i%ownersOfFleet == 0 {
			x.ids = append(x.ids, id)
		}
	}
	x.partition.ApplyFleet(true, all, nil)
	x.reportAll()
	return x
}

// reportAll lets all machines report what they have.
func (x *largePartition) reportAll() {
	x.report++
	for _, id := range x.ids {
		r := report(id, 1, x.report, 5)
		if m := x.partition.machines.get(id); m != nil {
			for _, pl := range m.placements {
				if pl.start == startSent || pl.status != "" {
					r.Tasks = append(r.Tasks, runningReport(pl.Task.Job, pl.Task.Index, pl.Attempt))
				}
			}
		}
		x.partition.HandleHeartbeat(x.now, r)
		x.partition.Commands(x.now, id, 1, x.report)
	}
}

// fill gives each machine as many tasks as it has slots, and as many more.
func (x *largePartition) fill(more int) {
	task := 0
	var all []Assigned
	for _, id := range x.ids {
		for range slotsPerMachine + more {
			x.sequence++
			a := Assigned{Seq: x.sequence, Job: fmt.Sprintf("wk-%06d", task/tasksPerJob), Machine: id}
			a.Tasks.Add(task % tasksPerJob)
			all = append(all, a)
			task++
		}
	}
	x.partition.ApplyAssignments(x.now, all)
}

// commitAll commits all that waits and tells by how many changes.
func (x *largePartition) commitAll() (changes int) {
	x.partition.Tick(x.now)
	for c := x.partition.NextCommit(x.now, 100); c != nil; c = x.partition.NextCommit(x.now, 100) {
		changes += len(c.Shards)
		x.partition.CommitApplied(c, 9, x.now)
	}
	return changes
}

// BenchmarkTakeAssignments is an owner that is given work for all its slots at once.
func BenchmarkTakeAssignments(b *testing.B) {
	benchsizes.Run(b, func(b *testing.B, machines int) {
		for b.Loop() {
			b.StopTimer()
			x := newLargePartition(b, machines, 8192, 16)
			b.StartTimer()
			x.fill(0)
		}
	})
}

// BenchmarkFirstCommits is all commits that place an owner's share of a full fleet.
func BenchmarkFirstCommits(b *testing.B) {
	benchsizes.Run(b, func(b *testing.B, machines int) {
		changes := 0
		for b.Loop() {
			b.StopTimer()
			x := newLargePartition(b, machines, 2048, 5)
			x.fill(0)
			b.StartTimer()
			changes = x.commitAll()
		}
		b.ReportMetric(float64(changes), "changes/op")
	})
}

// BenchmarkOverloadedTick is a moment at an owner whose machines all have queues that have
// waited past the local wait, in a fleet where nothing is underloaded.
func BenchmarkOverloadedTick(b *testing.B) {
	benchsizes.Run(b, func(b *testing.B, machines int) {
		x := newLargePartition(b, machines, 8192, 16)
		x.partition.cfg.MaxPreCommitted = 2
		x.fill(4)
		x.commitAll()
		x.reportAll()
		later := x.now.Add(x.partition.cfg.LocalWait + time.Second)
		for _, id := range x.ids {
			m := x.partition.machines.get(id)
			m.lastHeartbeat, m.lastContact = later, later
		}
		b.ReportAllocs()
		for b.Loop() {
			x.partition.Tick(later)
		}
	})
}

// BenchmarkChangedCommit is the next commit of an owner whose machines have all changed.
func BenchmarkChangedCommit(b *testing.B) {
	benchsizes.Run(b, func(b *testing.B, machines int) {
		x := newLargePartition(b, machines, 8192, 16)
		x.fill(0)
		x.commitAll()
		x.reportAll()
		for _, id := range x.ids {
			pl := x.partition.machines.get(id).placements[0]
			pl.end(outcomeCompleted)
		}
		b.ReportAllocs()
		for b.Loop() {
			if c := x.partition.NextCommit(x.now, 16); c != nil {
				x.partition.CommitRefused(c)
			}
		}
	})
}

// BenchmarkFirstUpdate is an owner's first update in a view, as it goes to the leader.
func BenchmarkFirstUpdate(b *testing.B) {
	benchsizes.Run(b, func(b *testing.B, machines int) {
		x := newLargePartition(b, machines, 8192, 16)
		x.fill(2)
		x.commitAll()
		x.reportAll()
		b.ReportAllocs()
		size := 0
		for b.Loop() {
			raw, err := msgpack.Marshal(x.partition.Update(x.now))
			if err != nil {
				b.Fatal(err)
			}
			size = len(raw)
		}
		b.ReportMetric(float64(size), "bytes/op")
	})
}

// BenchmarkLoadRecords is an owner that reads the records of its share at the start of a view.
func BenchmarkLoadRecords(b *testing.B) {
	benchsizes.Run(b, func(b *testing.B, machines int) {
		x := newLargePartition(b, machines, 8192, 16)
		x.fill(0)
		x.commitAll()
		var raw [][]byte
		var keys []string
		standing := x.partition.machines.machinesByShard()
		for _, s := range x.partition.layout.shards {
			w := composeShard(s, standing[s], 0)
			text, err := protocol.Marshal(w.Record)
			if err != nil {
				b.Fatal(err)
			}
			raw, keys = append(raw, text), append(keys, s.key)
		}
		b.ReportAllocs()
		for b.Loop() {
			p := New(x.partition.cfg, 6, 0, t0, x.partition.machines.capacityOf, x.partition.jobs)
			for i := range raw {
				var rec Record
				if err := protocol.Unmarshal(raw[i], &rec); err != nil {
					b.Fatal(err)
				}
				if err := p.LoadShard(keys[i], rec, 1, t0); err != nil {
					b.Fatal(err)
				}
			}
		}
	})
}
