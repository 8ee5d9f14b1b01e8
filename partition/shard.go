package partition

import (
	"math"
	"slices"
	"time"
)

// shard is one record: the placements on machines of one bucket, and what completed
// there. A bucket has a second one when its first nears the size of a value; a machine's
// placements may then stand in both.
type shard struct {
	bucket, chunk  int
	key            string
	revision       uint64 // 0 if there is no record
	uncompacted    []uncompacted
	inflight       bool
	bytes          int       // when last written
	completedBytes int       // what of it is finished tasks
	pendingBytes   int       // what waits to be placed in it takes about so much
	changedSince   time.Time // first unwritten change
	pausedUntil    time.Time // it was too large for the service; not tried before this
}

// How full a record may be, in percent of a value: for a new placement to choose it, and to
// be written.
const (
	chooseFill = 85
	writeFill  = 95
	splitFill  = 80 // of the records that an oversize one is split into
)

// What a new placement takes in a record, and a machine's row: at the most, nearly
// always.
const (
	placementBytes = 24
	machineBytes   = 36
	// successorBytes is for the next task of a job behind another one: they are one range.
	successorBytes = 6
)

// placementSize is about what a new placement takes behind the one before it on its machine.
func placementSize(before, pl *Placement) int {
	if before != nil && before.shard != nil && before.Task.Job == pl.Task.Job && before.Task.Index+1 == pl.Task.Index {
		return successorBytes
	}
	return placementBytes
}

// shardsOf lists the records of a machine's bucket, one for each chunk there is, in their
// order.
func (p *Partition) shardsOf(m *Machine) (out []*shard, bucket int) {
	if p.cfg.BucketOf != nil {
		bucket = p.cfg.BucketOf(m.ID)
	}
	return p.shardsByBucket[bucket], bucket
}

// addShard takes a record in.
func (p *Partition) addShard(s *shard) {
	p.shards = append(p.shards, s)
	all := p.shardsByBucket[s.bucket]
	i, _ := slices.BinarySearchFunc(all, s.chunk, func(o *shard, chunk int) int { return o.chunk - chunk })
	p.shardsByBucket[s.bucket] = slices.Insert(all, i, s)
}

// chooseShard picks the record for a new placement: the machine's own while that has room,
// else the first of its bucket that has, so that there are as few as possible. Once each
// machine had one record, which took it with all that it could ever hold: with 64 CPUs
// that was three machines to a record that had room for sixty, and some 200 records to
// be written with 14 changes a second.
func (p *Partition) chooseShard(m *Machine, before, pl *Placement) {
	all, bucket := p.shardsOf(m)
	limit := p.cfg.ValueBytes * chooseFill / 100
	size := placementSize(before, pl)
	room := func(s *shard, limit int) bool {
		need := size
		if s != m.shard {
			need += machineBytes
		}
		return s.bytes+s.pendingBytes+need <= limit
	}
	var best *shard
	if m.shard != nil && room(m.shard, limit) {
		best = m.shard
	}
	for _, s := range all {
		// Into a record before its own only where there is much room, or machines
		// would stand in two of them all the time.
		if s == best || room(s, limit) && (best == nil || room(s, limit/2)) {
			best = s
			break
		}
	}
	if best == nil {
		best = &shard{bucket: bucket, chunk: len(all), key: ShardKey(bucket, len(all))}
		for i, s := range all {
			if s.chunk != i { // one that went with an earlier owner
				best.chunk, best.key = i, ShardKey(bucket, i)
				break
			}
		}
		p.addShard(best)
	}
	pl.shard = best
	best.pendingBytes += size
	if m.shard != best {
		best.pendingBytes += machineBytes
		m.shard = best
	}
}

// ShardFill is how full the fullest record is, as a part of a value.
func (p *Partition) ShardFill() float64 {
	most := 0
	for _, s := range p.shards {
		most = max(most, s.bytes)
	}
	return float64(most) / float64(max(p.cfg.ValueBytes, 1))
}

// CompletedFill is how much of a value the finished tasks take, where they take most.
func (p *Partition) CompletedFill() float64 {
	most := 0
	for _, s := range p.shards {
		most = max(most, s.completedBytes)
	}
	return float64(most) / float64(max(p.cfg.ValueBytes, 1))
}

// dropCompacted drops finished tasks that stand in their job's record by now, or whose
// job is over.
func (p *Partition) dropCompacted(s *shard) {
	s.uncompacted = slices.DeleteFunc(s.uncompacted, func(e uncompacted) bool {
		l := p.jobs.Get(e.task.Job)
		return l == nil || l.Compacted.Has(e.task.Index)
	})
}

// buildShardWrite makes a shard's record anew. What would make it too large finds another one
// next time, the latest first: nothing of it is lost, it just is not placed yet.
func (p *Partition) buildShardWrite(s *shard, machines []*Machine) ShardWrite {
	p.dropCompacted(s)
	limit := p.cfg.ValueBytes * writeFill / 100
	w, adds := p.composeShard(s, machines, allPlacements)
	if w.Bytes <= limit || adds == 0 {
		return w
	}
	w = p.composeWithin(s, machines, adds, w.Bytes, limit)
	s.bytes = max(s.bytes, w.Bytes)
	releaseUncommitted(s, machines, w.added)
	return w
}

// composeWithin makes a record with as many new placements as fit, nearly: all of them, which
// take so many bytes, do not.
func (p *Partition) composeWithin(s *shard, machines []*Machine, all, bytes, limit int) ShardWrite {
	none, _ := p.composeShard(s, machines, 0)
	for most := all * max(limit-none.Bytes, 0) / max(bytes-none.Bytes, 1); most > 0; most = most * 7 / 8 {
		if w, _ := p.composeShard(s, machines, most); w.Bytes <= limit {
			return w
		}
	}
	return none
}

// allPlacements is more new placements than any record has.
const allPlacements = math.MaxInt

// releaseUncommitted lets what a shard has no room for look for another one.
func releaseUncommitted(s *shard, machines []*Machine, but []*Placement) {
	for _, m := range machines {
		for _, pl := range m.placements {
			if pl.shard == s && !pl.committed && !slices.Contains(but, pl) {
				pl.shard = nil
			}
		}
	}
}

// machinesByShard gives for each record the machines that stand in it or are to, by id.
func (p *Partition) machinesByShard() map[*shard][]*Machine {
	machines := map[*shard][]*Machine{}
	for _, id := range p.ids {
		m := p.machines[id]
		for _, pl := range m.placements {
			if in := machines[pl.shard]; len(in) == 0 || in[len(in)-1] != m {
				machines[pl.shard] = append(in, m)
			}
		}
	}
	return machines
}

// composeShard makes a shard's record, of the machines that stand in it, with at most so many
// new placements.
func (p *Partition) composeShard(s *shard, machines []*Machine, most int) (out ShardWrite, added int) {
	b := newShardBuilder(s)
	for _, u := range s.uncompacted {
		b.writer.addCompleted(u.task)
	}
	for _, m := range machines {
		var row []*Placement
		for _, pl := range m.placements {
			switch {
			case pl.shard != s:
			case pl.isObsolete():
				b.remove(m, pl)
			case pl.committed:
				row = append(row, pl)
			case !pl.hasEnded() && added < most:
				added++
				b.write.added = append(b.write.added, pl)
				b.write.machineOf[pl] = m
				row = append(row, pl)
			}
		}
		if len(row) > 0 {
			b.writer.addMachine(m, row)
		}
	}
	return b.finish(), added
}

// shardBuilder makes one shard's part of a commit.
type shardBuilder struct {
	writer *recordWriter
	write  ShardWrite
}

func newShardBuilder(s *shard) *shardBuilder {
	return &shardBuilder{newRecordWriter(), ShardWrite{Key: s.key, Revision: s.revision, shard: s, machineOf: map[*Placement]*Machine{}}}
}

// remove takes a placement out; one that completed stays as a finished task.
func (b *shardBuilder) remove(m *Machine, pl *Placement) {
	b.write.removed = append(b.write.removed, pl)
	b.write.machineOf[pl] = m
	if pl.outcome == outcomeCompleted {
		b.writer.addCompleted(pl.Task)
	}
}

// finish gives the write; the record goes if nothing stands in it.
func (b *shardBuilder) finish() ShardWrite {
	rec := b.writer.record()
	b.write.Bytes, b.write.completedBytes = rec.Bytes(), rec.completedBytes()
	if len(rec.Machines)+len(rec.Completed) > 0 {
		b.write.Record = rec
	}
	return b.write
}
