package partition

import (
	"slices"
	"time"

	"junipershelf/job"
)

// settleApplied settles a commit that was applied at a revision.
func (c *commitPlanner) settleApplied(commit *Commit, revision uint64, now time.Time) {
	c.grow()
	for i := range commit.Shards {
		w := &commit.Shards[i]
		w.shard.applyWrite(w, revision)
		for _, t := range w.removed {
			c.applyRemoval(w.shard, t, now)
		}
		for _, t := range w.added {
			c.applyPlacement(t, now)
		}
		w.applySplit()
	}
	c.dropUncommitted()
}

// applyWrite records that a shard's record was written or deleted.
func (s *shard) applyWrite(w *ShardWrite, revision uint64) {
	s.inflight, s.changedSince = false, time.Time{}
	s.revision, s.bytes, s.completedBytes = revision, w.Bytes, w.completedBytes
	if w.Record == nil {
		s.revision = 0
	}
}

// applyPlacement records that a placement is in its record.
func (c *commitPlanner) applyPlacement(t machinePlacement, now time.Time) {
	m, pl := t.machine, t.placement
	pl.markCommitted(now)
	c.machines.markChanged(m)
	if m.termination != terminated && !pl.hasEnded() {
		return
	}
	// It was dropped while the commit was in flight: it never started, but must be removed from the
	// record.
	pl.end(outcomeLost)
	if !slices.Contains(m.placements, pl) {
		m.placements = append(m.placements, pl)
	}
}

// applyRemoval removes a placement whose removal from its record is committed. If the agent still
// reports the task as ended, the agent is commanded to forget it.
func (c *commitPlanner) applyRemoval(s *shard, t machinePlacement, now time.Time) {
	m, pl := t.machine, t.placement
	m.placements = slices.DeleteFunc(m.placements, func(other *Placement) bool { return other == pl })
	c.machines.markChanged(m)
	c.recordReplicaRemoval(pl, now)
	if pl.reportedEnded() && pl.AgentEpoch == m.agentEpoch {
		c.unknown.record(m, pl.Task, pl.endedTask())
	}
	switch {
	case pl.outcome == outcomeCompleted:
		c.Counts.Done++
		s.uncompacted = append(s.uncompacted, uncompactedTask{task: pl.Task, runS: pl.runS, version: c.machines.version})
	case pl.outcome == outcomeReleased && m.usable():
		m.requeue(pl)
	}
}

// dropUncommitted drops placements that ended before they were committed, unless a commit in flight
// includes them. It removes terminated machines without placements; other machines without
// placements are no longer assigned to a shard.
func (c *commitPlanner) dropUncommitted() {
	var terminatedMachines []*Machine
	for _, m := range c.machines.sorted {
		m.placements = slices.DeleteFunc(m.placements, func(pl *Placement) bool {
			return pl.hasEnded() && !pl.committed && (pl.shard == nil || !pl.shard.inflight)
		})
		if len(m.placements) > 0 {
			continue
		}
		m.shard = nil
		if m.termination == terminated {
			terminatedMachines = append(terminatedMachines, m)
		}
	}
	for _, m := range terminatedMachines {
		c.unknown.forget(m)
		c.machines.remove(m)
	}
}

// reconcile settles one record of a commit whose guards failed, using the stored record.
func (c *commitPlanner) reconcile(commit *Commit, key string, rec *Record, revision uint64, now time.Time) error {
	attempts, err := rec.attempts()
	if err != nil {
		return err
	}
	for i := range commit.Shards {
		if w := &commit.Shards[i]; w.Key == key {
			c.reconcileWrite(w, attempts, revision, now)
			if rec != nil && w.splitFrom != nil {
				w.applySplit() // the split was applied by an earlier attempt
			}
		}
	}
	return nil
}

// reconcileWrite settles a write by the attempt numbers in the stored record.
func (c *commitPlanner) reconcileWrite(w *ShardWrite, attempts map[job.Task]uint64, revision uint64, now time.Time) {
	w.shard.revision = revision
	for _, t := range w.removed {
		if attempts[t.placement.Task] != t.placement.Attempt {
			c.applyRemoval(w.shard, t, now)
		}
	}
	for _, t := range w.added {
		if attempts[t.placement.Task] == t.placement.Attempt {
			c.applyPlacement(t, now)
		}
	}
}

// settleRefused settles a commit that was not applied. Records that reconcile has settled before keep
// that result.
func (c *commitPlanner) settleRefused(commit *Commit) {
	for i := range commit.Shards {
		commit.Shards[i].shard.inflight = false
	}
	c.dropUncommitted()
}

// tooLargePause is how long a record is not written after the key-value store rejected it for its
// size.
const tooLargePause = 2 * time.Second

// settleTooLarge settles a commit that the key-value store rejected for its size. If the commit wrote
// one record or split one, that record is not written for tooLargePause; a single record that is
// stored already is split after the pause. Otherwise the next commits are smaller.
func (c *commitPlanner) settleTooLarge(commit *Commit, now time.Time) {
	first := commit.Shards[0].shard
	switch {
	case len(commit.Shards) == 1:
		first.pausedUntil = now.Add(tooLargePause)
		if first.revision != 0 {
			first.bytes = max(first.bytes, c.cfg.ValueBytes) // overrides the estimate, so that it is split
		}
	case commit.Shards[1].splitFrom != nil:
		first.pausedUntil = now.Add(tooLargePause)
	default:
		c.shrink()
	}
	c.settleRefused(commit)
}
