package partition

import (
	"fmt"
	"strconv"
	"strings"
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

// largePartition is the partition of one owner of a large fleet, for benchmarks and scale tests.
type largePartition struct {
	partition  *Partition
	ids        []string
	jobs       int    // number of jobs
	sequence   uint64 // of the last assignment
	heartbeats uint64 // sequence number of each machine's last heartbeat
	now        time.Time
}

// newLargePartition returns the partition of one owner of a fleet with a number of machines. Each of
// its machines has sent a heartbeat. A record has at most valueBytes, and a transaction writes at most
// as many records as changes.
func newLargePartition(tb testing.TB, fleet, valueBytes, changes int) *largePartition {
	tb.Helper()
	own := fleet / ownersOfFleet
	x := &largePartition{now: t0}
	x.jobs = own*(slotsPerMachine+4)/tasksPerJob + 1
	jobs := newJobCache(tb)
	for i := range x.jobs {
		spec := jobSpec(fmt.Sprintf("wk-%06d", i), tasksPerJob)
		spec.Priority, spec.Image = "normal", fmt.Sprintf("img-%d", i%24)
		addJob(tb, jobs, spec)
	}
	cfg := testConfig
	cfg.ValueBytes, cfg.TransactionChanges = valueBytes, changes
	cfg.BucketOf = func(id string) int {
		number, err := strconv.Atoi(strings.TrimPrefix(id, "i-"))
		if err != nil {
			tb.Error(err)
		}
		return number % 14
	}
	capacity := func(string) (job.Resources, bool) { return job.Resources{CPUs: slotsPerMachine, MemoryGB: 64}, true }
	x.partition = New(cfg, 5, 0, t0, capacity, jobs)
	var all []FleetMachine
	for i := range fleet {
		id := fmt.Sprintf("i-%06d", i)
		all = append(all, FleetMachine{ID: id})
		if i%ownersOfFleet == 0 {
			x.ids = append(x.ids, id)
		}
	}
	x.partition.ResetFleet()
	x.partition.ApplyFleetChanges(all, nil)
	x.heartbeatAll()
	return x
}

// heartbeatAll applies a heartbeat of each machine, which reports all started tasks as running.
func (x *largePartition) heartbeatAll() {
	x.heartbeats++
	for _, id := range x.ids {
		r := heartbeat(id, 1, x.heartbeats, 5)
		if m := x.partition.machines.get(id); m != nil {
			for _, pl := range m.placements {
				if pl.start == startSent || pl.status != "" {
					r.Tasks = append(r.Tasks, runningTask(pl.Task.Job, pl.Task.Index, pl.Attempt))
				}
			}
		}
		x.partition.HandleHeartbeat(x.now, r)
		x.partition.Commands(x.now, id, 1, x.heartbeats)
	}
}

// fill assigns each machine as many tasks as it has slots, plus extra.
func (x *largePartition) fill(extra int) {
	task := 0
	var all []Assigned
	for _, id := range x.ids {
		for range slotsPerMachine + extra {
			x.sequence++
			a := Assigned{Seq: x.sequence, Job: fmt.Sprintf("wk-%06d", task/tasksPerJob), Machine: id}
			a.Tasks.Add(task % tasksPerJob)
			all = append(all, a)
			task++
		}
	}
	x.partition.ApplyAssignments(x.now, all)
}

// commitAll commits all pending changes, and returns the number of records written.
func (x *largePartition) commitAll() (changes int) {
	x.partition.Tick(x.now)
	for c := x.partition.NextCommit(x.now, 100); c != nil; c = x.partition.NextCommit(x.now, 100) {
		changes += len(c.Shards)
		x.partition.HandleCommitApplied(c, 9, x.now)
	}
	return changes
}

// BenchmarkApplyAssignments measures an owner that is assigned tasks for all its slots at once.
func BenchmarkApplyAssignments(b *testing.B) {
	benchsizes.Run(b, func(b *testing.B, machines int) {
		for b.Loop() {
			b.StopTimer()
			x := newLargePartition(b, machines, 8192, 16)
			b.StartTimer()
			x.fill(0)
		}
	})
}

// BenchmarkFirstCommits measures all commits that place tasks on an owner's share of a full fleet.
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

// BenchmarkOverloadedTick measures a tick at an owner whose machines all have tasks queued for longer
// than the local wait, in a fleet without underloaded machines.
func BenchmarkOverloadedTick(b *testing.B) {
	benchsizes.Run(b, func(b *testing.B, machines int) {
		x := newLargePartition(b, machines, 8192, 16)
		x.partition.cfg.MaxPreCommitted = 2
		x.fill(4)
		x.commitAll()
		x.heartbeatAll()
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

// BenchmarkChangedCommit measures the next commit of an owner whose machines have all changed.
func BenchmarkChangedCommit(b *testing.B) {
	benchsizes.Run(b, func(b *testing.B, machines int) {
		x := newLargePartition(b, machines, 8192, 16)
		x.fill(0)
		x.commitAll()
		x.heartbeatAll()
		for _, id := range x.ids {
			pl := x.partition.machines.get(id).placements[0]
			pl.end(outcomeCompleted)
		}
		b.ReportAllocs()
		for b.Loop() {
			if c := x.partition.NextCommit(x.now, 16); c != nil {
				x.partition.HandleCommitRefused(c)
			}
		}
	})
}

// BenchmarkFirstUpdate measures building and encoding an owner's first update in a view.
func BenchmarkFirstUpdate(b *testing.B) {
	benchsizes.Run(b, func(b *testing.B, machines int) {
		x := newLargePartition(b, machines, 8192, 16)
		x.fill(2)
		x.commitAll()
		x.heartbeatAll()
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

// BenchmarkLoadRecords measures an owner that loads its records at the start of a view.
func BenchmarkLoadRecords(b *testing.B) {
	benchsizes.Run(b, func(b *testing.B, machines int) {
		x := newLargePartition(b, machines, 8192, 16)
		x.fill(0)
		x.commitAll()
		var raw [][]byte
		var keys []string
		byShard := x.partition.machines.machinesByShard()
		for _, s := range x.partition.layout.shards {
			w := composeShard(s, byShard[s], 0)
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
