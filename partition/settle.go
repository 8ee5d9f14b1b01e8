package partition

import (
	"slices"
	"time"

	"junipershelf/job"
)

// applied settles a commit that was carried out, at a revision.
func (c *commitPlanner) applied(commit *Commit, revision uint64, now time.Time) {
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

// applyWrite records that a shard's record was written, or deleted.
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
	// Meanwhile unwanted: it was never started, but is there.
	pl.end(outcomeLost)
	if !slices.Contains(m.placements, pl) {
		m.placements = append(m.placements, pl)
	}
}

// applyRemoval takes a placement out; what the worker still reports of it is to be
// forgotten, which a heartbeat that came meanwhile may already have shown.
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

// dropUncommitted drops placements that were never committed and are not wanted any more, unless a
// commit under way holds them. Machines that are terminated and hold nothing are dropped; others
// that hold nothing choose their shard anew.
func (c *commitPlanner) dropUncommitted() {
	var gone []*Machine
	for _, m := range c.machines.sorted {
		m.placements = slices.DeleteFunc(m.placements, func(pl *Placement) bool {
			return pl.hasEnded() && !pl.committed && (pl.shard == nil || !pl.shard.inflight)
		})
		if len(m.placements) > 0 {
			continue
		}
		m.shard = nil
		if m.termination == terminated {
			gone = append(gone, m)
		}
	}
	for _, m := range gone {
		c.unknown.forget(m)
		c.machines.remove(m)
	}
}

// reconcile settles one record of a commit whose guards failed with what is stored now.
func (c *commitPlanner) reconcile(commit *Commit, key string, rec *Record, revision uint64, now time.Time) error {
	attempts, err := rec.attempts()
	if err != nil {
		return err
	}
	for i := range commit.Shards {
		if w := &commit.Shards[i]; w.Key == key {
			c.reconcileWrite(w, attempts, revision, now)
			if rec != nil && w.splitFrom != nil {
				w.applySplit() // the split had passed unseen
			}
		}
	}
	return nil
}

// reconcileWrite settles a write by the attempts that stand in its record.
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

// refused settles what is left of a commit that was not carried out.
func (c *commitPlanner) refused(commit *Commit) {
	for i := range commit.Shards {
		commit.Shards[i].shard.inflight = false
	}
	c.dropUncommitted()
}

// tooLargePause is how long a record waits that the service has refused for its size.
const tooLargePause = 2 * time.Second

// tooLarge settles a commit that the service's limits refuse. Smaller ones are tried; a
// record that alone is too large waits until some of it has gone.
func (c *commitPlanner) tooLarge(commit *Commit, now time.Time) {
	first := commit.Shards[0].shard
	switch {
	case len(commit.Shards) == 1:
		first.pausedUntil = now.Add(tooLargePause)
		if first.revision != 0 {
			first.bytes = max(first.bytes, c.cfg.ValueBytes) // whatever was estimated: it is to be split
		}
	case commit.Shards[1].splitFrom != nil:
		first.pausedUntil = now.Add(tooLargePause)
	default:
		c.shrink()
	}
	c.refused(commit)
}
