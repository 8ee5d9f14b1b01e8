package partition

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"junipershelf/internal/limits"
	"junipershelf/job"
)

// ShardWrite is a shard's part of a commit: Record is nil when the record goes.
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

// What a transaction takes beside its records: the guard on the view, and for each record a
// guard and a key.
const (
	transactionBytes = 300
	changeBytes      = 150
)

// Bytes is about what the transaction takes in its JSON form.
func (c *Commit) Bytes() int {
	n := transactionBytes
	for _, w := range c.Shards {
		n += w.Bytes + changeBytes
	}
	return n
}

// AwaitsCommit tells whether a machine could start more within moments: a task with
// room waits for its commit.
func (p *Partition) AwaitsCommit(id string) bool {
	m := p.machines[id]
	if m == nil || !m.usable() {
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
	if m == nil || !m.usable() || m.unaccounted() || len(m.queue) > 0 {
		return false
	}
	room := m.room()
	for _, pl := range m.placements {
		if pl.isPending() {
			room = room.Sub(pl.Resources)
		}
	}
	return room.CPUs > 0 && room.MemoryGB > 0
}

// NextCommit collects what is to be committed, at most so many shards, or nil.
// Shards with tasks that could start come first, then those that wait longest.
// The commit must be settled before the next one is made.
func (p *Partition) NextCommit(now time.Time, most int) *Commit {
	commit := p.split(now)
	if commit == nil {
		most = max(min(most, p.cfg.TransactionChanges)>>p.commitHalvings, 1)
		ready := p.shardsByUrgency(now)
		commit = p.fillCommit(ready, p.machinesByShard(), most)
	}
	if commit != nil {
		p.commits++
	}
	return commit
}

// fillCommit writes the first shards that have something to commit, at most so many.
func (p *Partition) fillCommit(ready []*shard, machines map[*shard][]*Machine, most int) *Commit {
	c := &Commit{}
	for _, s := range ready {
		if len(c.Shards) == most {
			break
		}
		w := p.buildShardWrite(s, machines[s])
		if len(w.added)+len(w.removed) == 0 {
			continue
		}
		if w.Bytes > p.cfg.ValueBytes && len(w.added) == 0 && w.Record != nil && !p.oversize(s) {
			// What stands in it has outgrown a value by itself: it is split next time.
			p.Limits.Record(limits.RecordSize)
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
	return c
}

// What makes a shard pressing: each change that waits, each start that has room, and each
// second that its first change has waited.
const (
	removalScore   = 1
	placementScore = 2
	startScore     = 20
	waitScore      = 10
)

// shardsByUrgency lists the shards with something to commit, the most pressing first.
func (p *Partition) shardsByUrgency(now time.Time) []*shard {
	score := p.shardUrgencies()
	var ready []*shard
	for s := range score {
		if s.inflight || now.Before(s.pausedUntil) {
			continue
		}
		if s.changedSince.IsZero() {
			s.changedSince = now
		}
		score[s] += waitScore * now.Sub(s.changedSince).Seconds()
		ready = append(ready, s)
	}
	slices.SortFunc(ready, func(a, b *shard) int {
		return cmp.Or(cmp.Compare(score[b], score[a]), strings.Compare(a.key, b.key))
	})
	return ready
}

// shardUrgencies adds up what waits to be committed in each shard. New placements choose theirs.
func (p *Partition) shardUrgencies() map[*shard]float64 {
	score := map[*shard]float64{}
	for _, s := range p.shards {
		s.pendingBytes = 0
	}
	type located struct {
		m          *Machine
		before, pl *Placement
	}
	var unplaced []located
	for _, id := range p.ids {
		m := p.machines[id]
		var before *Placement
		for _, pl := range m.placements {
			switch {
			case pl.isObsolete():
				score[pl.shard] += p.changeUrgency(pl, removalScore)
			case pl.hasEnded() || pl.committed:
			case pl.shard != nil:
				pl.shard.pendingBytes += placementSize(before, pl)
				score[pl.shard] += p.changeUrgency(pl, placementScore)
			default:
				unplaced = append(unplaced, located{m, before, pl})
			}
			before = pl
		}
	}
	for _, x := range unplaced {
		p.chooseShard(x.m, x.before, x.pl)
		score[x.pl.shard] += p.changeUrgency(x.pl, placementScore)
	}
	for _, id := range p.ids {
		p.machines[id].eachPending(func(pl *Placement, _ job.Resources, fits bool) {
			if pl != nil && !pl.committed && fits {
				score[pl.shard] += startScore
			}
		})
	}
	return score
}

// replicaScore puts a shard with a replica to start, or one to be taken out so that it may
// start elsewhere, before all that have none. A record's turn comes each seven seconds where
// changes are scarce, and replicas that waited for it were most of what was not served.
const replicaScore = 1000

// changeUrgency is how pressing it is to commit a placement or its removal.
func (p *Partition) changeUrgency(pl *Placement, ordinary float64) float64 {
	if pl.outcome != outcomeCompleted && p.isReplica(pl) {
		return replicaScore
	}
	return ordinary
}

// maxCommit bounds a transaction well below the 64 KiB of a request.
const maxCommit = 48 << 10

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
	pl.markCommitted(now)
	p.markChanged(m)
	if m.termination == terminated || pl.hasEnded() {
		// Meanwhile unwanted: it was never ordered, but stands there.
		pl.end(outcomeLost)
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
	if pl.status == "ended" && pl.AgentEpoch == m.agentEpoch {
		p.recordUnknown(m, pl.Task, endedTaskOf(pl))
	}
	if pl.outcome == outcomeCompleted {
		p.Counts.Done++
		s.uncompacted = append(s.uncompacted, uncompacted{task: pl.Task, runS: pl.runS, version: p.version})
	}
	if pl.outcome == outcomeReleased && m.usable() {
		m.queue = slices.Insert(m.queue, 0, queuedTask{task: pl.Task, resources: pl.Resources, since: pl.since, assignedAt: pl.steps.assigned})
	}
}

// tidy forgets machines that are gone and hold nothing, and lets empty ones
// choose their shard anew. Placements that were never committed and are not
// wanted any more go without a trace, unless a commit under way holds them.
func (p *Partition) tidy() {
	for i := 0; i < len(p.ids); i++ {
		m := p.machines[p.ids[i]]
		m.placements = slices.DeleteFunc(m.placements, func(pl *Placement) bool {
			return pl.hasEnded() && !pl.committed && (pl.shard == nil || !pl.shard.inflight)
		})
		if len(m.placements) > 0 {
			continue
		}
		m.shard = nil
		if m.termination == terminated {
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
