package partition

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"junipershelf/internal/limits"
)

// Commit is one transaction, guarded on the view and on the revisions of all shards that it writes.
type Commit struct {
	Shards []ShardWrite
}

// Estimated overhead of a transaction in addition to its records.
const (
	transactionBytes = 300 // the transaction itself, with its guard on the view
	changeBytes      = 150 // each record's guard and key
)

// Bytes estimates the size of the transaction in its JSON form.
func (c *Commit) Bytes() int {
	n := transactionBytes
	for _, w := range c.Shards {
		n += w.Bytes + changeBytes
	}
	return n
}

// commitPlanner selects what is committed next, and settles commits.
type commitPlanner struct {
	*shared

	attempts *attemptNumbers
	layout   *shardLayout
	halvings int // how often the size limit of the next commit is halved
}

const maxHalvings = 2

// next returns the next commit, or nil. Splits of oversize records come first, whatever the limit, then
// at most limit shards in order of urgency.
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

// maxChanges returns how many records the next transaction may write.
func (c *commitPlanner) maxChanges() int { return c.cfg.TransactionChanges >> c.halvings }

// shrink makes the next commits smaller.
func (c *commitPlanner) shrink() { c.halvings = min(c.halvings+1, maxHalvings) }

// grow makes the next commits larger.
func (c *commitPlanner) grow() { c.halvings = max(c.halvings-1, 0) }

// maxCommitBytes bounds a transaction well below the 64 KiB of a request.
const maxCommitBytes = 48 << 10

// collect returns a commit of the most urgent shards, at most limit, or nil.
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

// composeWrite builds the write of a shard's record. It returns false if there is nothing to write,
// or if the record has to be split first.
func (c *commitPlanner) composeWrite(s *shard, machines []*Machine) (w ShardWrite, ok bool) {
	s.dropCompacted(c.jobs)
	w = composeWithinLimit(s, machines, c.layout.limit(writeFill))
	if len(w.added)+len(w.removed) == 0 {
		return w, false
	}
	if w.Bytes > c.cfg.ValueBytes && len(w.added) == 0 && w.Record != nil && !c.layout.isOversize(s) {
		// The record exceeds the value size even without new placements: the next commit splits it.
		c.Limits.Record(limits.RecordSize)
		s.bytes = w.Bytes
		return w, false
	}
	return w, true
}

// Scores that add up to a shard's urgency.
const (
	removalScore   = 1  // for each placement to remove
	placementScore = 2  // for each new placement
	startScore     = 20 // for each new placement for which its machine has free resources
	waitScore      = 10 // for each second since the shard's first uncommitted change
)

// shardsByUrgency returns the shards with changes to commit, the most urgent first.
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

// shardScores adds up the scores of the changes to commit in each shard, and assigns new placements
// to shards.
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

// unassignedPlacement is a new placement that has no shard yet.
type unassignedPlacement struct {
	machine             *Machine
	previous, placement *Placement // previous: the one before it on its machine, or nil
}

// scoreChanges adds the scores of the changes whose shard is known, and returns the placements that
// have no shard yet.
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

// replicaScore gives precedence to shards with a replica to start, or with one to remove so that it
// can start elsewhere. If the key-value store allows few changes per second, each record is written
// only about every seven seconds, and waiting for that write would be most of a replica's downtime.
const replicaScore = 1000

// changeScore returns the score of committing a placement or its removal: defaultScore, or
// replicaScore for a replica.
func (c *commitPlanner) changeScore(pl *Placement, defaultScore float64) float64 {
	if pl.outcome != outcomeCompleted && c.isReplica(pl) {
		return replicaScore
	}
	return defaultScore
}
