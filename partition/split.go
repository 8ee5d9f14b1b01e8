package partition

import (
	"slices"
	"time"
)

// A stored record may exceed the current limits if an earlier version wrote it under larger ones.
// Such a record is split before other changes to it are written: one transaction moves some of its
// rows to new records and writes it with its other rows, so that each placement is always in a
// record. If the key-value store rejects that transaction, the record stays as stored, and readable,
// until a later split fits.

// splitBatchPlacements is the maximum number of a machine's placements that a split moves together.
const splitBatchPlacements = 16

// split returns the next transaction that splits a record, or nil.
func (c *commitPlanner) split(now time.Time) *Commit {
	for _, s := range c.layout.shards {
		if s.inflight || now.Before(s.pausedUntil) || !c.layout.isOversize(s) {
			continue
		}
		if commit := c.splitShard(s); len(commit.Shards) > 1 {
			for i := range commit.Shards {
				commit.Shards[i].shard.inflight = true
			}
			return commit
		}
		// The current content fits into one record, usually since tasks have ended or were compacted. It
		// is written like any other record.
		s.bytes = composeShard(s, c.machines.machinesByShard()[s], 0).Bytes
	}
	return nil
}

// splitShard returns the transaction that splits a record. It has only one write if there is nothing
// to split.
func (c *commitPlanner) splitShard(s *shard) *Commit {
	s.dropCompacted(c.jobs)
	x := newSplitter(s, c.layout, max(c.maxChanges(), 2))
	for _, t := range s.uncompacted {
		x.addCompleted(t)
	}
	for _, m := range c.machines.sorted {
		x.addMachine(m)
	}
	commit := &Commit{}
	for _, composer := range x.composers {
		commit.Shards = append(commit.Shards, composer.finish())
	}
	if len(commit.Shards) > 1 {
		for _, s := range x.newShards {
			c.layout.add(s)
		}
	}
	return commit
}

// splitter distributes the content of a record over the record itself and as many new ones as a
// transaction may write. Rows that do not fit into these stay in the record itself until the next split.
type splitter struct {
	layout     *shardLayout
	maxChanges int // records that the transaction may write
	source     *shard
	first      *shardComposer // the record itself
	current    *shardComposer
	composers  []*shardComposer
	newShards  []*shard
}

func newSplitter(source *shard, layout *shardLayout, maxChanges int) *splitter {
	first := newShardComposer(source)
	return &splitter{
		layout: layout, maxChanges: maxChanges, source: source,
		first: first, current: first, composers: []*shardComposer{first},
	}
}

// advance continues with a new record when the current one is full. Once the transaction may write no
// more records, it continues with the original one.
func (x *splitter) advance() {
	if x.current.writer.bytes() <= x.layout.limit(splitFill) || x.current == x.first && len(x.composers) > 1 {
		return
	}
	if len(x.composers) >= x.maxChanges {
		x.current = x.first
		return
	}
	s := x.layout.newShard(x.source.bucket, x.newShards)
	x.newShards = append(x.newShards, s)
	x.current = newShardComposer(s)
	x.current.write.splitFrom = x.source
	x.composers = append(x.composers, x.current)
}

// addCompleted adds a completed task to the current record.
func (x *splitter) addCompleted(t uncompactedTask) {
	x.advance()
	x.current.writer.addCompleted(t.task)
	if x.current != x.first {
		x.current.write.movedCompleted = append(x.current.write.movedCompleted, t)
	}
}

// addMachine adds a machine's placements to one or more records.
func (x *splitter) addMachine(m *Machine) {
	var row []*Placement
	for _, pl := range m.placements {
		switch {
		case pl.shard != x.source || !pl.committed:
		case pl.hasEnded():
			x.first.remove(m, pl)
		default:
			row = append(row, pl)
		}
	}
	for part := range slices.Chunk(row, splitBatchPlacements) {
		x.advance()
		x.current.writer.addMachine(m, part)
		if x.current == x.first {
			continue
		}
		for _, pl := range part {
			x.current.write.moved = append(x.current.write.moved, machinePlacement{m, pl})
		}
	}
}

// applySplit moves the placements and completed tasks of a committed split to this write's shard.
func (w *ShardWrite) applySplit() {
	if w.splitFrom == nil {
		return
	}
	for _, t := range w.moved {
		t.placement.shard = w.shard
		if t.machine.shard == w.splitFrom {
			t.machine.shard = w.shard
		}
	}
	for _, moved := range w.movedCompleted {
		from := w.splitFrom
		i := slices.IndexFunc(from.uncompacted, func(t uncompactedTask) bool { return t.task == moved.task })
		if i >= 0 {
			from.uncompacted = slices.Delete(from.uncompacted, i, i+1)
		}
		w.shard.uncompacted = append(w.shard.uncompacted, moved)
	}
}
