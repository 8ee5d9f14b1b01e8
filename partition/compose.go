package partition

import "math"

// ShardWrite is a shard's part of a commit: Record is nil when the record is deleted.
type ShardWrite struct {
	Key      string
	Revision uint64 // that the write is guarded on
	Record   *Record
	Bytes    int // of the record, see Record.Bytes

	completedBytes int
	shard          *shard
	added          []machinePlacement
	removed        []machinePlacement

	// What comes here from a record that is split.
	moved          []machinePlacement
	movedCompleted []uncompactedTask
	splitFrom      *shard
}

// machinePlacement is a placement and its machine.
type machinePlacement struct {
	machine   *Machine
	placement *Placement
}

// shardComposer makes one shard's part of a commit.
type shardComposer struct {
	writer *recordWriter
	write  ShardWrite
}

func newShardComposer(s *shard) *shardComposer {
	return &shardComposer{newRecordWriter(), ShardWrite{Key: s.key, Revision: s.revision, shard: s}}
}

// remove takes a placement out of the record; one that completed stays as a completed task.
func (c *shardComposer) remove(m *Machine, pl *Placement) {
	c.write.removed = append(c.write.removed, machinePlacement{m, pl})
	if pl.outcome == outcomeCompleted {
		c.writer.addCompleted(pl.Task)
	}
}

// finish returns the write; the record is deleted if it would be empty.
func (c *shardComposer) finish() ShardWrite {
	rec := c.writer.record()
	c.write.Bytes, c.write.completedBytes = rec.Bytes(), rec.completedBytes()
	if !rec.isEmpty() {
		c.write.Record = rec
	}
	return c.write
}

// unlimited is more new placements than any record has.
const unlimited = math.MaxInt

// composeShard makes a shard's record anew, of the machines that stand in it, with at most a
// number of new placements.
func composeShard(s *shard, machines []*Machine, maximum int) ShardWrite {
	c := newShardComposer(s)
	for _, t := range s.uncompacted {
		c.writer.addCompleted(t.task)
	}
	for _, m := range machines {
		c.addMachine(m, maximum)
	}
	return c.finish()
}

// addMachine adds the row of a machine, with its placements that stand in the shard, and new ones
// while there are fewer than a maximum.
func (c *shardComposer) addMachine(m *Machine, maximum int) {
	var row []*Placement
	for _, pl := range m.placements {
		switch {
		case pl.shard != c.write.shard:
		case pl.isObsolete():
			c.remove(m, pl)
		case pl.committed:
			row = append(row, pl)
		case !pl.hasEnded() && len(c.write.added) < maximum:
			c.write.added = append(c.write.added, machinePlacement{m, pl})
			row = append(row, pl)
		}
	}
	if len(row) > 0 {
		c.writer.addMachine(m, row)
	}
}

// composeWithinLimit makes a shard's record anew, within a size if that is possible. New placements
// that would make it too large choose a shard again, the last ones first: nothing of them is
// lost, they just are not placed yet.
func composeWithinLimit(s *shard, machines []*Machine, limit int) ShardWrite {
	all := composeShard(s, machines, unlimited)
	if all.Bytes <= limit || len(all.added) == 0 {
		return all
	}
	w := composePartial(s, machines, &all, limit)
	s.bytes = max(s.bytes, w.Bytes)
	unassignUncommitted(s, machines, w.added)
	return w
}

// composePartial makes a shard's record anew with nearly as many new placements as fit a size; all of
// them do not.
func composePartial(s *shard, machines []*Machine, all *ShardWrite, limit int) ShardWrite {
	none := composeShard(s, machines, 0)
	for n := len(all.added) * max(limit-none.Bytes, 0) / max(all.Bytes-none.Bytes, 1); n > 0; n = n * 7 / 8 {
		if w := composeShard(s, machines, n); w.Bytes <= limit {
			return w
		}
	}
	return none
}

// unassignUncommitted lets the placements that a shard has no room for choose another one. Those
// that were added to it stay.
func unassignUncommitted(s *shard, machines []*Machine, added []machinePlacement) {
	kept := make(map[*Placement]bool, len(added))
	for _, t := range added {
		kept[t.placement] = true
	}
	for _, m := range machines {
		for _, pl := range m.placements {
			if pl.shard == s && !pl.committed && !kept[pl] {
				pl.shard = nil
			}
		}
	}
}

// machinesByShard returns for each shard the machines that stand in it or are to, by id.
func (t *machineTable) machinesByShard() map[*shard][]*Machine {
	machines := map[*shard][]*Machine{}
	for _, m := range t.sorted {
		for _, pl := range m.placements {
			if in := machines[pl.shard]; len(in) == 0 || in[len(in)-1] != m {
				machines[pl.shard] = append(in, m)
			}
		}
	}
	return machines
}
