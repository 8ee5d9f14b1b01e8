package partition

import "math"

// ShardWrite is one shard's write in a commit. Record is nil if the record is to be deleted.
type ShardWrite struct {
	Key      string
	Revision uint64 // of the stored record, or 0 if there is none; guards the write
	Record   *Record
	Bytes    int // see Record.Bytes

	completedBytes int
	shard          *shard
	added          []machinePlacement
	removed        []machinePlacement

	// Placements and completed tasks that a split moves here from splitFrom.
	moved          []machinePlacement
	movedCompleted []uncompactedTask
	splitFrom      *shard
}

// machinePlacement is a placement and its machine.
type machinePlacement struct {
	machine   *Machine
	placement *Placement
}

// shardComposer builds one shard's write.
type shardComposer struct {
	writer *recordWriter
	write  ShardWrite
}

func newShardComposer(s *shard) *shardComposer {
	return &shardComposer{newRecordWriter(), ShardWrite{Key: s.key, Revision: s.revision, shard: s}}
}

// remove removes a placement from the record, and adds its task to the completed tasks if it completed.
func (c *shardComposer) remove(m *Machine, pl *Placement) {
	c.write.removed = append(c.write.removed, machinePlacement{m, pl})
	if pl.outcome == outcomeCompleted {
		c.writer.addCompleted(pl.Task)
	}
}

// finish returns the write, which deletes the record if it would be empty.
func (c *shardComposer) finish() ShardWrite {
	rec := c.writer.record()
	c.write.Bytes, c.write.completedBytes = rec.Bytes(), rec.completedBytes()
	if !rec.isEmpty() {
		c.write.Record = rec
	}
	return c.write
}

// unlimited is a number of new placements that no record reaches.
const unlimited = math.MaxInt

// composeShard builds a shard's record from the machines in it, with at most maximum new placements.
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

// addMachine adds the row of a machine, with its committed placements in the shard, and with new
// ones until the record has maximum new placements.
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

// composeWithinLimit builds a shard's record, within a size limit if possible. If it would be too
// large, the last of the new placements are left out, and are assigned a shard again later.
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

// composePartial builds a shard's record with nearly as many of the new placements as the size limit
// allows. all is the record with all of them, which exceeds the limit.
func composePartial(s *shard, machines []*Machine, all *ShardWrite, limit int) ShardWrite {
	none := composeShard(s, machines, 0)
	for n := len(all.added) * max(limit-none.Bytes, 0) / max(all.Bytes-none.Bytes, 1); n > 0; n = n * 7 / 8 {
		if w := composeShard(s, machines, n); w.Bytes <= limit {
			return w
		}
	}
	return none
}

// unassignUncommitted clears the shard of new placements that were left out of its record, that is,
// all uncommitted ones except added.
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

// machinesByShard returns the machines with placements in each shard, committed or not, sorted by id.
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
