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
	return s.revision != 0 && s.bytes > p.cfg.ValueBytes*writeFill/100
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
		w, _ := p.composeShard(s, p.machinesByShard()[s], 0)
		s.bytes = w.Bytes
	}
	return nil
}

// splitter distributes a record over itself and as many new ones as a transaction may write;
// what finds no room there stays in the record as well, for the next time.
type splitter struct {
	p       *Partition
	source  *shard
	first   *shardBuilder // the record itself
	current *shardBuilder
	all     []*shardBuilder
	made    []*shard
}

// splitOne makes the transaction that splits a record.
func (p *Partition) splitOne(s *shard) *Commit {
	p.dropCompacted(s)
	first := newShardBuilder(s)
	x := &splitter{p: p, source: s, first: first, current: first, all: []*shardBuilder{first}}
	for _, u := range s.uncompacted {
		x.addCompleted(u)
	}
	for _, id := range p.ids {
		x.addMachine(p.machines[id])
	}
	commit := &Commit{}
	for _, b := range x.all {
		commit.Shards = append(commit.Shards, b.finish())
	}
	if len(commit.Shards) > 1 {
		for _, s := range x.made {
			p.addShard(s)
		}
	}
	return commit
}

// advance goes on to a new record when the present one is full. The last one takes all that
// is left.
func (x *splitter) advance() {
	limit := x.p.cfg.ValueBytes * splitFill / 100
	if x.current.writer.bytes() <= limit || x.current == x.first && len(x.all) > 1 {
		return
	}
	if len(x.all) >= max(x.p.cfg.TransactionChanges>>x.p.commitHalvings, 2) {
		x.current = x.first
		return
	}
	n := &shard{bucket: x.source.bucket, chunk: x.p.freeChunk(x.source.bucket, x.made)}
	n.key = ShardKey(n.bucket, n.chunk)
	x.made = append(x.made, n)
	x.current = newShardBuilder(n)
	x.current.write.splitFrom = x.source
	x.all = append(x.all, x.current)
}

// addCompleted puts a finished task into a record.
func (x *splitter) addCompleted(u uncompacted) {
	x.advance()
	x.current.writer.addCompleted(u.task)
	if x.current != x.first {
		x.current.write.movedCompleted = append(x.current.write.movedCompleted, u)
	}
}

// addMachine puts a machine's placements into records; it may stand in several.
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
	for some := range slices.Chunk(row, splitRow) {
		x.advance()
		x.current.writer.addMachine(m, some)
		if x.current == x.first {
			continue
		}
		x.current.write.moved = append(x.current.write.moved, some...)
		for _, pl := range some {
			x.current.write.machineOf[pl] = m
		}
	}
}

// freeChunk is a number that no record of a bucket has.
func (p *Partition) freeChunk(bucket int, also []*shard) int {
	used := map[int]bool{}
	for _, s := range slices.Concat(p.shardsByBucket[bucket], also) {
		used[s.chunk] = true
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

// tooLargePause is how long a record waits that the service has refused for its size.
const tooLargePause = 2 * time.Second

// CommitTooLarge settles a commit that the service's limits refuse. Smaller ones are tried; a
// record that alone is too large waits until some of it has gone.
func (p *Partition) CommitTooLarge(c *Commit, now time.Time) {
	if len(c.Shards) == 1 || c.Shards[1].splitFrom != nil {
		s := c.Shards[0].shard
		s.pausedUntil = now.Add(tooLargePause)
		if len(c.Shards) == 1 && s.revision != 0 {
			s.bytes = max(s.bytes, p.cfg.ValueBytes) // whatever we thought: it is to be split
		}
	} else {
		p.ShrinkCommits()
	}
	p.CommitRefused(c)
}
