package part

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
func (p *Part) oversize(s *shard) bool {
	return s.stamp != 0 && s.size > p.cfg.ValueBytes*95/100
}

// split makes the next transaction that splits a record, or nil.
func (p *Part) split(now time.Time) *Commit {
	for _, s := range p.shards {
		if s.inflight || now.Before(s.pause) || !p.oversize(s) {
			continue
		}
		if c := p.splitOne(s); len(c.Shards) > 1 {
			for i := range c.Shards {
				c.Shards[i].shard.inflight = true
			}
			return c
		}
		// All that is left of it fits by now: it is written like any other.
		w, _ := p.compose(s, 0)
		s.size = w.Size
	}
	return nil
}

// splitOne fills the record itself and as many new ones as a transaction may write; what
// finds no room there stays in the record as well, for the next time.
func (p *Part) splitOne(s *shard) *Commit {
	p.prune(s)
	limit := p.cfg.ValueBytes * 80 / 100
	type target struct {
		w   *writer
		out ShardWrite
	}
	fresh := func(s *shard) *target {
		return &target{newWriter(), ShardWrite{Key: s.key, Stamp: s.stamp, shard: s, on: map[*Placement]*Machine{}}}
	}
	first := fresh(s)
	all := []*target{first}
	var made []*shard
	// next opens a new record, or gives the first one when there may be no more.
	next := func() *target {
		if len(all) >= max(p.cfg.TxnOps>>p.shrunk, 2) {
			return first
		}
		n := &shard{part: s.part, chunk: p.freeChunk(s.part, made)}
		n.key = ShardKey(n.part, n.chunk)
		made = append(made, n)
		t := fresh(n)
		t.out.endedOf = s
		all = append(all, t)
		return t
	}
	at := first
	turn := func() {
		if at.w.size() > limit && (at != first || len(all) == 1) {
			at = next()
		}
	}
	for _, e := range s.unmerged {
		turn()
		at.w.finished(e.Task)
		if at != first {
			at.out.ended = append(at.out.ended, e)
		}
	}
	for _, id := range p.ids {
		m := p.machines[id]
		var row []*Placement
		for _, pl := range m.runs {
			switch {
			case pl.shard != s || !pl.committed:
			case pl.gone:
				first.out.drop = append(first.out.drop, pl)
				first.out.on[pl] = m
				if pl.done {
					first.w.finished(pl.Task)
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
			at.w.machine(m, some)
			if at != first {
				at.out.moved = append(at.out.moved, some...)
				for _, pl := range some {
					at.out.on[pl] = m
				}
			}
		}
	}
	c := &Commit{}
	for _, t := range all {
		rec := t.w.record()
		t.out.Size, t.out.done = rec.Size(), rec.doneSize()
		if len(rec.Machines)+len(rec.Done) > 0 {
			t.out.Rec = rec
		}
		c.Shards = append(c.Shards, t.out)
	}
	if len(c.Shards) > 1 {
		p.shards = append(p.shards, made...)
	}
	return c
}

// freeChunk is a number that no record of a part has.
func (p *Part) freeChunk(part int, also []*shard) int {
	used := map[int]bool{}
	for _, s := range slices.Concat(p.shards, also) {
		if s.part == part {
			used[s.chunk] = true
		}
	}
	n := 0
	for used[n] {
		n++
	}
	return n
}

// settleMoved notes that what came from a split record stands here now.
func (w *ShardWrite) settleMoved() {
	if w.endedOf == nil {
		return
	}
	for _, pl := range w.moved {
		pl.shard = w.shard
		if m := w.on[pl]; m.shard == w.endedOf {
			m.shard = w.shard
		}
	}
	for _, e := range w.ended {
		i := slices.IndexFunc(w.endedOf.unmerged, func(o Ended) bool { return o.Task == e.Task })
		if i >= 0 {
			w.endedOf.unmerged = slices.Delete(w.endedOf.unmerged, i, i+1)
		}
		w.shard.unmerged = append(w.shard.unmerged, e)
	}
}

// TooLarge settles a commit that the service's limits refuse. Smaller ones are tried; a
// record that alone is too large waits until some of it has gone.
func (p *Part) TooLarge(c *Commit, now time.Time) {
	if len(c.Shards) == 1 || c.Shards[1].endedOf != nil {
		s := c.Shards[0].shard
		s.pause = now.Add(2 * time.Second)
		if len(c.Shards) == 1 && s.stamp != 0 {
			s.size = max(s.size, p.cfg.ValueBytes) // whatever we thought: it is to be split
		}
	} else {
		p.Conflicted()
	}
	p.Refused(c)
}
