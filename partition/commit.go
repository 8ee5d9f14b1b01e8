package partition

import (
	"slices"
	"sort"
	"time"

	"junipershelf/job"
)

// shard is one record: placements on machines of one part stand in it, and what
// completed there. A part has a second one when its first nears the size of a
// value; a machine's placements may then stand in both.
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

// ShardWrite is a shard's part of a commit: Rec is nil when the record goes.
type ShardWrite struct {
	Key            string
	Revision       uint64
	Record         *Record
	Bytes          int
	completedBytes int
	shard          *shard
	added          []*Placement
	removed        []*Placement
	machineOf      map[*Placement]*Machine

	// What comes here from a record that is split.
	moved          []*Placement
	movedCompleted []uncompacted
	splitFrom      *shard
}

// Commit is one transaction: its guards are the view, and the revisions of all
// shards that it writes.
type Commit struct {
	Shards []ShardWrite
}

// Bytes is about what the transaction takes in its JSON form.
func (c *Commit) Bytes() int {
	n := 300
	for _, w := range c.Shards {
		n += w.Bytes + 150
	}
	return n
}

// AwaitsCommit tells whether a machine could start more within moments: a task with
// room waits for its commit.
func (p *Partition) AwaitsCommit(id string) bool {
	m := p.machines[id]
	if m == nil || !p.usable(m) {
		return false
	}
	wants := false
	m.eachPending(func(pl *Placement, _ job.Resources, fits bool) {
		wants = wants || fits && (pl == nil || !pl.committed)
	})
	return wants
}

// HasSpareRoom tells whether a machine has room that nothing held there would take.
func (p *Partition) HasSpareRoom(id string) bool {
	m := p.machines[id]
	if m == nil || !p.usable(m) || m.unaccounted() || len(m.queue) > 0 {
		return false
	}
	room := m.room()
	for _, pl := range m.placements {
		if pl.isPending() {
			room = room.Minus(pl.Resources)
		}
	}
	return room.CPUs > 0 && room.MemoryGB > 0
}

// What a new placement takes in a record, and a machine's row: at the most, nearly
// always.
const (
	placementBytes = 24
	machineBytes   = 36
)

// shardsOf lists the records of a machine's part, one for each chunk there is.
func (p *Partition) shardsOf(m *Machine) (out []*shard, part int) {
	if p.cfg.BucketOf != nil {
		part = p.cfg.BucketOf(m.ID)
	}
	for _, s := range p.shards {
		if s.bucket == part {
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(a, b *shard) int { return a.chunk - b.chunk })
	return out, part
}

// chooseShard picks the record for a new placement: the machine's own while that has room,
// else the first of its part that has, so that there are as few as possible. Once each
// machine had one record, which took it with all that it could ever hold: with 64 CPUs
// that was three machines to a record that had room for sixty, and some 200 records to
// be written with 14 changes a second.
func (p *Partition) chooseShard(m *Machine, pl *Placement) {
	all, part := p.shardsOf(m)
	limit := p.cfg.ValueBytes * 85 / 100
	room := func(s *shard, limit int) bool {
		need := placementBytes
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
		best = &shard{bucket: part, chunk: len(all), key: ShardKey(part, len(all))}
		for i, s := range all {
			if s.chunk != i { // one that went with an earlier owner
				best.chunk, best.key = i, ShardKey(part, i)
				break
			}
		}
		p.shards = append(p.shards, best)
	}
	pl.shard = best
	best.pendingBytes += placementBytes
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

// NextCommit collects what is to be committed, at most so many shards, or nil.
// Shards with tasks that could start come first, then those that wait longest.
// The commit must be settled before the next one is made.
func (p *Partition) NextCommit(now time.Time, most int) *Commit {
	if c := p.split(now); c != nil {
		p.commits++
		return c
	}
	most = max(min(most, p.cfg.TransactionChanges)>>p.commitHalvings, 1)
	score := map[*shard]float64{}
	for _, s := range p.shards {
		s.pendingBytes = 0
	}
	var fresh []*Placement
	on := map[*Placement]*Machine{}
	for _, id := range p.ids {
		m := p.machines[id]
		for _, pl := range m.placements {
			switch {
			case pl.ended && pl.committed:
				score[pl.shard] += p.changeScore(pl, 1)
			case pl.ended || pl.committed:
			case pl.shard != nil:
				pl.shard.pendingBytes += placementBytes
				score[pl.shard] += p.changeScore(pl, 2)
			default:
				fresh = append(fresh, pl)
				on[pl] = m
			}
		}
	}
	for _, pl := range fresh {
		p.chooseShard(on[pl], pl)
		score[pl.shard] += p.changeScore(pl, 2)
	}
	for _, id := range p.ids {
		p.machines[id].eachPending(func(pl *Placement, _ job.Resources, fits bool) {
			if pl != nil && !pl.committed && fits {
				score[pl.shard] += 20
			}
		})
	}
	var ready []*shard
	for s, n := range score {
		if s.inflight || now.Before(s.pausedUntil) {
			continue
		}
		if s.changedSince.IsZero() {
			s.changedSince = now
		}
		score[s] = n + 10*now.Sub(s.changedSince).Seconds()
		ready = append(ready, s)
	}
	sort.Slice(ready, func(i, j int) bool {
		a, b := ready[i], ready[j]
		if score[a] != score[b] {
			return score[a] > score[b]
		}
		return a.key < b.key
	})
	c := &Commit{}
	for _, s := range ready {
		if len(c.Shards) == most {
			break
		}
		w := p.buildShardWrite(s)
		if len(w.added)+len(w.removed) == 0 {
			continue
		}
		if w.Bytes > p.cfg.ValueBytes && len(w.added) == 0 && w.Record != nil && !p.oversize(s) {
			// What stands in it has outgrown a value by itself: it is split next time.
			s.bytes = w.Bytes
			continue
		}
		if len(c.Shards) > 0 && c.Bytes()+w.Bytes > maxCommit {
			continue
		}
		s.inflight = true
		c.Shards = append(c.Shards, w)
	}
	if len(c.Shards) == 0 {
		return nil
	}
	p.commits++
	return c
}

// replicaScore puts a shard with a replica to start, or one to be taken out so that it may
// start elsewhere, before all that have none. A record's turn comes each seven seconds where
// changes are scarce, and replicas that waited for it were most of what was not served.
const replicaScore = 1000

// changeScore is how pressing it is to commit a placement or its removal.
func (p *Partition) changeScore(pl *Placement, ordinary float64) float64 {
	if !pl.completed && p.isReplica(pl) {
		return replicaScore
	}
	return ordinary
}

// maxCommit bounds a transaction well below the 64 KiB of a request.
const maxCommit = 48 << 10

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
func (p *Partition) buildShardWrite(s *shard) ShardWrite {
	p.dropCompacted(s)
	for most := 1 << 30; ; most /= 2 {
		w, adds := p.composeShard(s, most)
		if w.Bytes > p.cfg.ValueBytes*95/100 && adds > 0 {
			most = min(most, adds)
			continue
		}
		if most < 1<<30 {
			s.bytes = max(s.bytes, w.Bytes)
			p.releaseUncommitted(s, w.added)
		}
		return w
	}
}

// releaseUncommitted lets what a shard has no room for look for another one.
func (p *Partition) releaseUncommitted(s *shard, but []*Placement) {
	for _, id := range p.ids {
		for _, pl := range p.machines[id].placements {
			if pl.shard == s && !pl.committed && !slices.Contains(but, pl) {
				pl.shard = nil
			}
		}
	}
}

// composeShard makes a shard's record with at most so many new placements.
func (p *Partition) composeShard(s *shard, most int) (out ShardWrite, adds int) {
	out = ShardWrite{Key: s.key, Revision: s.revision, shard: s, machineOf: map[*Placement]*Machine{}}
	w := newRecordWriter()
	for _, e := range s.uncompacted {
		w.addCompleted(e.task)
	}
	for _, id := range p.ids {
		m := p.machines[id]
		var row []*Placement
		for _, pl := range m.placements {
			switch {
			case pl.shard != s:
			case pl.ended && pl.committed:
				out.removed = append(out.removed, pl)
				out.machineOf[pl] = m
				if pl.completed {
					w.addCompleted(pl.Task)
				}
			case pl.committed:
				row = append(row, pl)
			case !pl.ended && adds < most:
				adds++
				out.added = append(out.added, pl)
				out.machineOf[pl] = m
				row = append(row, pl)
			}
		}
		if len(row) > 0 {
			w.addMachine(m, row)
		}
	}
	rec := w.record()
	out.Bytes, out.completedBytes = rec.Bytes(), rec.completedBytes()
	if len(rec.Machines)+len(rec.Completed) > 0 {
		out.Record = rec
	}
	return out, adds
}

// CommitApplied settles a commit that passed at an revision.
func (p *Partition) CommitApplied(c *Commit, epoch uint64, now time.Time) {
	p.commitHalvings = max(p.commitHalvings-1, 0)
	for i := range c.Shards {
		w := &c.Shards[i]
		s := w.shard
		s.inflight, s.changedSince, s.revision, s.bytes, s.completedBytes = false, time.Time{}, epoch, w.Bytes, w.completedBytes
		if w.Record == nil {
			s.revision = 0
		}
		for _, pl := range w.removed {
			p.removalCommitted(s, w.machineOf[pl], pl, now)
		}
		for _, pl := range w.added {
			p.placementCommitted(w.machineOf[pl], pl, now)
		}
		w.applySplit()
	}
	p.tidy()
}

// placementCommitted notes that a placement stands in its record.
func (p *Partition) placementCommitted(m *Machine, pl *Placement, now time.Time) {
	pl.committed = true
	pl.steps.committed = now
	p.markChanged(m)
	if m.returned || pl.ended {
		// Meanwhile unwanted: it was never ordered, but stands there.
		pl.ended = true
		if !slices.Contains(m.placements, pl) {
			m.placements = append(m.placements, pl)
		}
	}
}

// removalCommitted takes a placement out; what the worker still reports of it is to be
// forgotten, which a report that came meanwhile may already have told.
func (p *Partition) removalCommitted(s *shard, m *Machine, pl *Placement, now time.Time) {
	m.placements = slices.DeleteFunc(m.placements, func(o *Placement) bool { return o == pl })
	p.markChanged(m)
	p.countRemoval(pl, now)
	if pl.status == "ended" && pl.Session == m.session {
		m.unknown[pl.Task] = endedReportOf(pl)
	}
	if pl.completed {
		p.Counts.Done++
		s.uncompacted = append(s.uncompacted, uncompacted{task: pl.Task, runS: pl.runS, version: p.version})
	}
	if pl.requeue && p.usable(m) {
		m.queue = slices.Insert(m.queue, 0, queuedTask{task: pl.Task, resources: pl.Resources, since: pl.since, assignedAt: pl.steps.assigned})
	}
}

// tidy forgets machines that are gone and hold nothing, and lets empty ones
// choose their shard anew. Placements that were never committed and are not
// wanted any more go without a trace, unless a commit under way holds them.
func (p *Partition) tidy() {
	for i := 0; i < len(p.ids); i++ {
		m := p.machines[p.ids[i]]
		m.placements = slices.DeleteFunc(m.placements, func(pl *Placement) bool { return pl.ended && !pl.committed && (pl.shard == nil || !pl.shard.inflight) })
		if len(m.placements) > 0 {
			continue
		}
		m.shard = nil
		if m.returned {
			p.removeMachine(m)
			i--
		}
	}
}

// ShrinkCommits makes the next commits smaller: they find room in a limit that
// larger ones do not.
func (p *Partition) ShrinkCommits() { p.commitHalvings = min(p.commitHalvings+1, 2) }

// ReconcileShard settles one shard of a commit whose guards failed with what the store
// shows now. A write of ours that passed unseen stands in the record; what the
// record lacks was not placed and never will be, since its guard is stale.
func (p *Partition) ReconcileShard(c *Commit, key string, rec *Record, stamp uint64, now time.Time) error {
	have := map[job.Task]uint64{}
	if rec != nil {
		if err := rec.eachPlacement(func(_ *RecordMachine, _ RecordKind, pl *Placement) { have[pl.Task] = pl.Attempt }); err != nil {
			return err
		}
	}
	for i := range c.Shards {
		w := &c.Shards[i]
		if w.Key != key {
			continue
		}
		w.shard.revision = stamp
		for _, pl := range w.removed {
			if have[pl.Task] != pl.Attempt {
				p.removalCommitted(w.shard, w.machineOf[pl], pl, now)
			}
		}
		for _, pl := range w.added {
			if have[pl.Task] == pl.Attempt {
				p.placementCommitted(w.machineOf[pl], pl, now)
			}
		}
		if rec != nil && w.splitFrom != nil {
			w.applySplit() // the split had passed unseen
		}
	}
	return nil
}

// CommitRefused settles a commit that was surely not carried out, as far as Reread has
// not: all of it is still wanted.
func (p *Partition) CommitRefused(c *Commit) {
	for _, w := range c.Shards {
		w.shard.inflight = false
	}
	p.tidy()
}

// MachinesToReturn lists machines to give back to the cloud now.
func (p *Partition) MachinesToReturn(now time.Time) []string {
	silent, heard := 0, 0
	for _, m := range p.machines {
		if m.lastContact.IsZero() {
			continue
		}
		if now.Sub(m.lastContact) > 2*p.cfg.ReportInterval {
			silent++
		} else {
			heard++
		}
	}
	// When most are silent the fault is more likely here than there.
	trust := heard >= silent || silent <= 1
	var out []string
	for _, id := range p.ids {
		m := p.machines[id]
		if m.returned {
			continue
		}
		quiet := now.Sub(m.lastContact)
		if m.lastContact.IsZero() {
			// It has yet to show that it hears us.
			quiet = now.Sub(m.firstKnown)
		}
		idle := len(m.placements)+len(m.queue) == 0
		switch {
		case m.returning:
			out = append(out, id)
		case m.draining && (m.discard || idle), m.noticed && idle,
			!m.lastContact.IsZero() && trust && quiet > p.cfg.SilentLimit,
			quiet > 3*p.cfg.Lease:
			m.returning, m.returningSince = true, now
			p.markChanged(m)
			out = append(out, id)
		}
	}
	return out
}

// MachinesReturned notes that the cloud answered 200 to the return of machines: they
// and all on them are gone.
func (p *Partition) MachinesReturned(ids []string, now time.Time) {
	for _, id := range ids {
		p.version++
		p.returned[id] = returnedMachine{now, p.version}
		m := p.machines[id]
		if m == nil {
			continue
		}
		m.returned = true
		m.queue = nil
		for _, pl := range m.placements {
			if !pl.ended {
				p.countLoss(pl, m.lastContact, m.returningSince, now)
				p.endPlacement(m, pl)
			}
		}
		p.markChanged(m)
	}
	p.tidy()
}

func (p *Partition) removeMachine(m *Machine) {
	delete(p.machines, m.ID)
	p.version++
	p.removed[m.ID] = p.version
	if i, ok := slices.BinarySearch(p.ids, m.ID); ok {
		p.ids = slices.Delete(p.ids, i, i+1)
	}
}
