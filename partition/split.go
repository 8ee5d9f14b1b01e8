package partition

import (
	"slices"
	"time"
)

// A record may stand larger than the service's limits allow to write: an earlier version
// wrote it under larger ones. It is split ahead of need: one transaction takes some of its
// rows over into new records and leaves the rest, so that no placement is ever in none.
// Once the service refuses what is left, the record stays as it is, readable, until the
// rest of it fits.

// splitRow is how many of a machine's placements go to a new record together.
const splitRow = 16

// oversize tells whether a record stands larger than may be written.
func (p *Partition) oversize(s *shard) bool {
	return s.revision != 0 && s.bytes > p.cfg.ValueBytes*95/100
}

// split makes the next transaction that splits a record, or nil.
func (p *Partition) split(now time.Time) *Commit {
	for _, s := range p.shards {
		if s.inflight || now.Before(s.pausedUntil) || !p.oversize(s) {
			continue
		}
		if c := p.splitOne(s); len(c.Shards) > 1 {
			for i := range c.Shards {
				c.Shards[i].shard.inflight = true
			}
			return c
		}
		// All that is left of it fits by now: it is written like any other.
		w, _ := p.composeShard(s, 0)
		s.bytes = w.Bytes
	}
	return nil
}

// splitOne fills the record itself and as many new ones as a transaction may write; what
// finds no room there stays in the record as well, for the next time.
func (p *Partition) splitOne(s *shard) *Commit {
	p.dropCompacted(s)
	limit := p.cfg.ValueBytes * 80 / 100
	type target struct {
		w   *recordWriter
		out ShardWrite
	}
	fresh := func(s *shard) *target {
		return &target{newRecordWriter(), ShardWrite{Key: s.key, Revision: s.revision, shard: s, machineOf: map[*Placement]*Machine{}}}
	}
	first := fresh(s)
	all := []*target{first}
	var made []*shard
	// next opens a new record, or gives the first one when there may be no more.
	next := func() *target {
		if len(all) >= max(p.cfg.TransactionChanges>>p.commitHalvings, 2) {
			return first
		}
		n := &shard{bucket: s.bucket, chunk: p.freeChunk(s.bucket, made)}
		n.key = ShardKey(n.bucket, n.chunk)
		made = append(made, n)
		t := fresh(n)
		t.out.splitFrom = s
		all = append(all, t)
		return t
	}
	at := first
	turn := func() {
		if at.w.bytes() > limit && (at != first || len(all) == 1) {
			at = next()
		}
	}
	for _, e := range s.uncompacted {
		turn()
		at.w.addCompleted(e.task)
		if at != first {
			at.out.movedCompleted = append(at.out.movedCompleted, e)
		}
	}
	for _, id := range p.ids {
		m := p.machines[id]
		var row []*Placement
		for _, pl := range m.placements {
			switch {
			case pl.shard != s || !pl.committed:
			case pl.ended:
				first.out.removed = append(first.out.removed, pl)
				first.out.machineOf[pl] = m
				if pl.completed {
					first.w.addCompleted(pl.Task)
				}
			default:
				row = append(row, pl)
			}
		}
		if len(row) == 0 {
			continue
		}
		// A machine may stand in several records.
		for some := range slices.Chunk(row, splitRow) {
			turn()
			at.w.addMachine(m, some)
			if at != first {
				at.out.moved = append(at.out.moved, some...)
				for _, pl := range some {
					at.out.machineOf[pl] = m
				}
			}
		}
	}
	c := &Commit{}
	for _, t := range all {
		rec := t.w.record()
		t.out.Bytes, t.out.completedBytes = rec.Bytes(), rec.completedBytes()
		if len(rec.Machines)+len(rec.Completed) > 0 {
			t.out.Record = rec
		}
		c.Shards = append(c.Shards, t.out)
	}
	if len(c.Shards) > 1 {
		p.shards = append(p.shards, made...)
	}
	return c
}

// freeChunk is a number that no record of a part has.
func (p *Partition) freeChunk(part int, also []*shard) int {
	used := map[int]bool{}
	for _, s := range slices.Concat(p.shards, also) {
		if s.bucket == part {
			used[s.chunk] = true
		}
	}
	n := 0
	for used[n] {
		n++
	}
	return n
}

// applySplit notes that what came from a split record stands here now.
func (w *ShardWrite) applySplit() {
	if w.splitFrom == nil {
		return
	}
	for _, pl := range w.moved {
		pl.shard = w.shard
		if m := w.machineOf[pl]; m.shard == w.splitFrom {
			m.shard = w.shard
		}
	}
	for _, e := range w.movedCompleted {
		i := slices.IndexFunc(w.splitFrom.uncompacted, func(o uncompacted) bool { return o.task == e.task })
		if i >= 0 {
			w.splitFrom.uncompacted = slices.Delete(w.splitFrom.uncompacted, i, i+1)
		}
		w.shard.uncompacted = append(w.shard.uncompacted, e)
	}
}

// CommitTooLarge settles a commit that the service's limits refuse. Smaller ones are tried; a
// record that alone is too large waits until some of it has gone.
func (p *Partition) CommitTooLarge(c *Commit, now time.Time) {
	if len(c.Shards) == 1 || c.Shards[1].splitFrom != nil {
		s := c.Shards[0].shard
		s.pausedUntil = now.Add(2 * time.Second)
		if len(c.Shards) == 1 && s.revision != 0 {
			s.bytes = max(s.bytes, p.cfg.ValueBytes) // whatever we thought: it is to be split
		}
	} else {
		p.ShrinkCommits()
	}
	p.CommitRefused(c)
}
