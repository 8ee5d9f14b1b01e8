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

// Records that were written under larger limits are split by transactions within the smaller ones.
// Whether each transaction is applied, unanswered or refused, every placement and completed task is
// always in a record, and all new records are within the smaller limits. After the last split all
// records are within them.
func TestSplitKeepsEveryTaskInARecord(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := newSplitModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"split":            func(t *rapid.T) { x.split(t, x.apply) },
			"split unanswered": func(t *rapid.T) { x.split(t, x.applyWithoutReply) },
			"split refused":    func(t *rapid.T) { x.split(t, x.refuse) },
		})
		for splits := 0; x.split(t, x.apply); splits++ {
			if splits > 400 {
				t.Fatal("there is still a record to split after 400 splits")
			}
		}
		x.checkSizes(t)
		x.checkShards(t)
	})
}

// smallValue is the smaller limit on a record, in bytes.
const smallValue = 2048

// splitModel is a partition that has loaded one record, which may be too large, and the stored records.
// The reference model is the set of all placed and completed tasks.
type splitModel struct {
	partition *Partition
	all       map[string]bool // placed tasks by name, and completed ones followed by " done"
	stored    map[string]*Record
	revisions map[string]uint64
	revision  uint64 // of the last transaction
}

func newSplitModel(t *rapid.T) *splitModel {
	cfg := testConfig
	cfg.ValueBytes, cfg.TransactionChanges = smallValue, rapid.IntRange(4, 10).Draw(t, "changes")
	jobCount := rapid.IntRange(1, 30).Draw(t, "jobs")
	jobs := job.NewCache(map[string]int{"red": 0})
	for j := range jobCount {
		spec := jobSpec(fmt.Sprint("wk-", j+1), 1000)
		spec.Team, spec.Priority = "red", "normal"
		if err := jobs.Set(spec.UID, job.Record{Spec: spec}, 1, t0); err != nil {
			t.Fatal(err)
		}
	}
	jobs.SetSyncedAt(t0.Add(cfg.MaxCacheStaleness))
	x := &splitModel{all: map[string]bool{}, revision: 10}
	key := ShardKey(0, 0)
	x.stored = map[string]*Record{key: x.drawRecord(t, jobCount)}
	x.revisions = map[string]uint64{key: 5}
	x.partition = New(cfg, 7, 0, t0, quadCapacity, jobs)
	if err := x.partition.LoadShard(key, *x.stored[key], 5, t0); err != nil {
		t.Fatal(err)
	}
	x.checkStoredTasks(t)
	return x
}

// drawRecord draws a record and adds its tasks to the model.
func (x *splitModel) drawRecord(t *rapid.T, jobs int) *Record {
	w := newRecordWriter()
	for m := range rapid.IntRange(1, 150).Draw(t, "machines") {
		var placements []*Placement
		for k := range rapid.IntRange(1, 6).Draw(t, "tasks") {
			pl := placementOf(fmt.Sprint("wk-", 1+(m*7+k)%jobs), m*6+k, uint64(1+m%5))
			placements = append(placements, pl)
			x.all[pl.Task.String()] = true
		}
		machine := &Machine{ID: fmt.Sprintf("i-%06d", m), MachineType: "quad", Zone: "z", contact: contact{agentEpoch: 1}}
		w.addMachine(machine, placements)
	}
	for k := range rapid.IntRange(0, 200).Draw(t, "completed") {
		task := job.Task{Job: fmt.Sprint("wk-", 1+k%jobs), Index: 900 - 2*(k/jobs)}
		w.addCompleted(task)
		x.all[task.String()+" done"] = true
	}
	return w.record()
}

// split checks the next transaction that splits a record, settles it, and checks that the records
// contain all tasks. It returns false if there is no such transaction.
func (x *splitModel) split(t *rapid.T, settle func(*rapid.T, *Commit)) bool {
	c := x.partition.commitPlanner.split(t0)
	if c == nil {
		return false
	}
	if len(c.Shards) > x.partition.cfg.TransactionChanges {
		t.Fatalf("a transaction writes %d records, want at most %d", len(c.Shards), x.partition.cfg.TransactionChanges)
	}
	for i, w := range c.Shards {
		if i > 0 && jsonBytes(t, w.Record) > smallValue {
			t.Fatalf("a new record has %d bytes, want at most %d", jsonBytes(t, w.Record), smallValue)
		}
		if w.Revision != x.revisions[w.Key] {
			t.Fatalf("the write of %s is guarded on revision %d, want %d", w.Key, w.Revision, x.revisions[w.Key])
		}
	}
	settle(t, c)
	x.checkStoredTasks(t)
	return true
}

// store applies a transaction to the stored records.
func (x *splitModel) store(c *Commit) {
	x.revision++
	for _, w := range c.Shards {
		if w.Record == nil {
			delete(x.stored, w.Key)
			delete(x.revisions, w.Key)
			continue
		}
		x.stored[w.Key], x.revisions[w.Key] = w.Record, x.revision
	}
}

func (x *splitModel) apply(_ *rapid.T, c *Commit) {
	x.store(c)
	x.partition.HandleCommitApplied(c, x.revision, t0)
}

// applyWithoutReply applies a transaction whose reply is lost: it is sent again, its guards fail,
// and all its records are read.
func (x *splitModel) applyWithoutReply(t *rapid.T, c *Commit) {
	x.store(c)
	for _, w := range c.Shards {
		if err := x.partition.ReconcileShard(c, w.Key, x.stored[w.Key], x.revisions[w.Key], t0); err != nil {
			t.Fatal(err)
		}
	}
	x.partition.HandleCommitRefused(c)
}

func (x *splitModel) refuse(_ *rapid.T, c *Commit) { x.partition.HandleCommitRefused(c) }

// checkStoredTasks checks that the records contain exactly the tasks of the model.
func (x *splitModel) checkStoredTasks(t *rapid.T) {
	stored := map[string]bool{}
	for _, rec := range x.stored {
		_ = rec.eachPlacement(func(_ *RecordMachine, _ RecordKind, pl *Placement) { stored[pl.Task.String()] = true })
		_ = rec.eachCompleted(func(task job.Task) { stored[task.String()+" done"] = true })
	}
	if d := cmp.Diff(x.all, stored); d != "" {
		t.Fatalf("tasks in the stored records differ (-want +got): %s", d)
	}
}

// checkSizes checks that all records are within the smaller limit.
func (x *splitModel) checkSizes(t *rapid.T) {
	for key, rec := range x.stored {
		if n := jsonBytes(t, rec); n > smallValue {
			t.Fatalf("%s has %d bytes after the last split, want at most %d", key, n, smallValue)
		}
	}
}

// checkShards checks that the placements of each shard are those in its stored record.
func (x *splitModel) checkShards(t *rapid.T) {
	held := map[string]map[string]bool{}
	for _, m := range x.partition.machines.sorted {
		for _, pl := range m.placements {
			if held[pl.shard.key] == nil {
				held[pl.shard.key] = map[string]bool{}
			}
			held[pl.shard.key][pl.Task.String()] = true
		}
	}
	for _, s := range x.partition.layout.shards {
		stored := map[string]bool{}
		if rec := x.stored[s.key]; rec != nil {
			_ = rec.eachPlacement(func(_ *RecordMachine, _ RecordKind, pl *Placement) { stored[pl.Task.String()] = true })
		}
		if !maps.Equal(held[s.key], stored) {
			t.Fatalf("shard %s: its %d placements differ from the %d in the stored record", s.key, len(held[s.key]), len(stored))
		}
	}
}

// jsonBytes returns the size of a record as the key-value store counts it.
func jsonBytes(t *rapid.T, rec *Record) int {
	raw, err := protocol.Marshal(rec)
	if err != nil {
		t.Fatal(err)
	}
	return emulator.JSONBytes(raw)
}
