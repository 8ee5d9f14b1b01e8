package partition

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"junipershelf/internal/limits"
)

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

// commitPlanner chooses what is committed next, and settles commits.
type commitPlanner struct {
	*shared

	attempts *attemptNumbers
	layout   *shardLayout
	halvings int // of the next commit's size
}

// maxHalvings bounds how far commits shrink.
const maxHalvings = 2

// next returns what is to be committed, of at most a number of shards, or nil: first, oversize
// records are split; then shards with tasks that could start come first, then those that wait
// longest.
func (c *commitPlanner) next(now time.Time, limit int) *Commit {
	commit := c.split(now)
	if commit == nil {
		commit = c.collect(now, max(min(limit, c.cfg.TransactionChanges)>>c.halvings, 1))
	}
	if commit != nil {
		c.attempts.commits++
	}
	return commit
}

// maxChanges is how many records the next transaction may write.
func (c *commitPlanner) maxChanges() int { return c.cfg.TransactionChanges >> c.halvings }

// shrink makes the next commits smaller.
func (c *commitPlanner) shrink() { c.halvings = min(c.halvings+1, maxHalvings) }

// grow makes the next commits larger.
func (c *commitPlanner) grow() { c.halvings = max(c.halvings-1, 0) }

// maxCommitBytes bounds a transaction well below the 64 KiB of a request.
const maxCommitBytes = 48 << 10

// collect returns the writes of the most urgent shards, at most a number, or nil.
func (c *commitPlanner) collect(now time.Time, limit int) *Commit {
	ready := c.shardsByUrgency(now)
	machines := c.machines.machinesByShard()
	commit := &Commit{}
	for _, s := range ready {
		if len(commit.Shards) == limit {
			break
		}
		w, ok := c.composeWrite(s, machines[s])
		if !ok || len(commit.Shards) > 0 && commit.Bytes()+w.Bytes > maxCommitBytes {
			continue
		}
		s.inflight = true
		commit.Shards = append(commit.Shards, w)
	}
	if len(commit.Shards) == 0 {
		return nil
	}
	return commit
}

// composeWrite makes a shard's record anew. It reports false if there is nothing to write, or if
// it has to be split first.
func (c *commitPlanner) composeWrite(s *shard, machines []*Machine) (w ShardWrite, ok bool) {
	s.dropCompacted(c.jobs)
	w = composeWithinLimit(s, machines, c.layout.limit(writeFill))
	if len(w.added)+len(w.removed) == 0 {
		return w, false
	}
	if w.Bytes > c.cfg.ValueBytes && len(w.added) == 0 && w.Record != nil && !c.layout.isOversize(s) {
		// Its content has outgrown a value by itself: it is split next time.
		c.Limits.Record(limits.RecordSize)
		s.bytes = w.Bytes
		return w, false
	}
	return w, true
}

// What makes a shard urgent: each change that waits, each start that has room, and each
// second that its first change has waited.
const (
	removalScore   = 1
	placementScore = 2
	startScore     = 20
	waitScore      = 10
)

// shardsByUrgency lists the shards with something to commit, the most urgent first.
func (c *commitPlanner) shardsByUrgency(now time.Time) []*shard {
	score := c.shardScores()
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

// shardScores adds up what waits to be committed in each shard. New placements choose theirs.
func (c *commitPlanner) shardScores() map[*shard]float64 {
	score := map[*shard]float64{}
	for _, u := range c.scoreChanges(score) {
		c.layout.assignShard(u.machine, u.previous, u.placement)
		score[u.placement.shard] += c.changeScore(u.placement, placementScore)
	}
	for _, m := range c.machines.sorted {
		for pl, fits := range m.pendingPlacements() {
			if fits && !pl.committed {
				score[pl.shard] += startScore
			}
		}
	}
	return score
}

// unassignedPlacement is a placement that is yet to choose its shard.
type unassignedPlacement struct {
	machine             *Machine
	previous, placement *Placement // before it on its machine; nil: it is the first
}

// scoreChanges adds the scores of the changes whose shard is known, and returns the other ones.
func (c *commitPlanner) scoreChanges(score map[*shard]float64) (unassigned []unassignedPlacement) {
	for _, s := range c.layout.shards {
		s.pendingBytes = 0
	}
	for _, m := range c.machines.sorted {
		var previous *Placement
		for _, pl := range m.placements {
			switch {
			case pl.isObsolete():
				score[pl.shard] += c.changeScore(pl, removalScore)
			case pl.hasEnded() || pl.committed:
			case pl.shard != nil:
				pl.shard.pendingBytes += placementSize(previous, pl)
				score[pl.shard] += c.changeScore(pl, placementScore)
			default:
				unassigned = append(unassigned, unassignedPlacement{m, previous, pl})
			}
			previous = pl
		}
	}
	return unassigned
}

// replicaScore puts a shard with a replica to start, or one to be taken out so that it may
// start elsewhere, before all that have none. A record's turn comes each seven seconds where
// changes are scarce, and replicas that waited for it were most of what was not served.
const replicaScore = 1000

// changeScore is how urgent it is to commit a placement or its removal.
func (c *commitPlanner) changeScore(pl *Placement, ordinary float64) float64 {
	if pl.outcome != outcomeCompleted && c.isReplica(pl) {
		return replicaScore
	}
	return ordinary
}
