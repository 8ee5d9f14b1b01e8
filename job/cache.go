package job

import (
	"time"

	"junipershelf/internal/limits"
	"junipershelf/protocol"
)

// noTeam is the dense index of a team that the settings do not list.
const noTeam = -1

// CachedJob is a live job as a node's cache has it. Like the cache, it is guarded by the lock of
// the node's decisions (nodeState.mu of package controller), which partition and scheduler are
// called under as well.
type CachedJob struct {
	Record
	Revision  uint64    // of the record in the key-value store; 0 while unreadable
	Compacted Ranges    // finished tasks that the job's record has
	Finished  Ranges    // these, and those that only machines' records have; never shrinks
	Rank      int       // of the priority, 0 the most urgent
	Team      int       // dense index of the team, valid if HasTeam
	FirstSeen time.Time // when this node first saw the job
	// Unreadable is set while the job's record cannot be decoded and nothing else of the job
	// is known: its tasks are neither started nor stopped.
	Unreadable bool
}

// HasTeam reports whether the settings list the job's team. A job without one is never
// scheduled, and its Team indexes nothing.
func (j *CachedJob) HasTeam() bool { return j.Team != noTeam }

// IsService reports whether the job's tasks are replicas that run until it is cancelled.
func (j *CachedJob) IsService() bool { return j.Spec.Shape == protocol.ShapeService }

// Resources returns what each task takes.
func (j *CachedJob) Resources() Resources { return TaskResources(&j.Spec) }

// What is remembered of jobs that have ended: once there are more than maxEndedJobs, those
// that ended longer ago than endedMemory are dropped, at most once in pruneInterval.
const (
	maxEndedJobs  = 10000
	endedMemory   = 10 * time.Minute
	pruneInterval = time.Minute
)

// Cache is a node's copy of the live jobs, fed by a list and a watch of their records. Copies
// of a record may come late and in any order: an older one changes nothing, and a job that has
// ended never lives again.
//
// A cache has no lock of its own. All of it is guarded by the lock of the node's decisions
// (nodeState.mu of package controller).
type Cache struct {
	Jobs   map[string]*CachedJob // live jobs by UID
	Limits limits.Counts         // limits that were reached

	teams    map[string]int       // dense index by team
	ended    map[string]time.Time // when this node learned that a job had ended
	prunedAt time.Time            // when ended was last pruned
	syncedAt time.Time
}

// NewCache returns an empty cache; teams has the dense index of each team in the settings.
func NewCache(teams map[string]int) *Cache {
	return &Cache{Jobs: map[string]*CachedJob{}, Limits: limits.Counts{}, teams: teams, ended: map[string]time.Time{}}
}

// Get returns a live job, or nil.
func (c *Cache) Get(uid string) *CachedJob { return c.Jobs[uid] }

// Set applies a job's record as read at a revision. One that is older than what is known, or
// of a job that has ended, changes nothing. The error is a *RangesError.
func (c *Cache) Set(uid string, rec Record, revision uint64, now time.Time) error {
	compacted, err := ParseRanges(rec.Done)
	if err != nil {
		return err
	}
	if c.HasEnded(uid) {
		return nil
	}
	cached := c.Jobs[uid]
	switch {
	case cached == nil || cached.Unreadable:
		cached = &CachedJob{FirstSeen: now}
		c.Jobs[uid] = cached
	case revision <= cached.Revision:
		return nil
	}
	cached.Record = rec
	cached.Revision = revision
	cached.Compacted = compacted
	cached.Finished.Merge(compacted)
	cached.Rank, _ = rec.Spec.Priority.Rank() // 0 for a priority that this version does not know
	cached.Team = c.teamIndex(rec.Spec.Team)
	return nil
}

// teamIndex returns the dense index of a team, or noTeam.
func (c *Cache) teamIndex(team string) int {
	if index, ok := c.teams[team]; ok {
		return index
	}
	return noTeam
}

// SetUnreadable records a live job whose record cannot be decoded. What was known of it stays;
// a job that was not known is kept without a revision, so that no status read is answered from
// it.
func (c *Cache) SetUnreadable(uid string, now time.Time) {
	if c.HasEnded(uid) || c.Jobs[uid] != nil {
		return
	}
	c.Jobs[uid] = &CachedJob{Record: Record{Spec: protocol.JobSpec{UID: uid}}, Team: noTeam, FirstSeen: now, Unreadable: true}
}

// Remove removes a job that has ended.
func (c *Cache) Remove(uid string, now time.Time) {
	delete(c.Jobs, uid)
	c.ended[uid] = now
	// Each pruning goes through all of them: not for each job that ends.
	if len(c.ended) > maxEndedJobs && now.Sub(c.prunedAt) >= pruneInterval {
		c.pruneEnded(now)
	}
}

// pruneEnded drops jobs that ended too long ago for a late copy of their record to come.
func (c *Cache) pruneEnded(now time.Time) {
	c.prunedAt = now
	c.Limits.Record(limits.EndedJobs)
	for uid, endedAt := range c.ended {
		if now.Sub(endedAt) > endedMemory {
			delete(c.ended, uid)
		}
	}
}

// HasEnded reports whether a job is known to have ended.
func (c *Cache) HasEnded(uid string) bool {
	_, ended := c.ended[uid]
	return ended
}

// SetSyncedAt records that the cache shows all that was in the key-value store at a time.
func (c *Cache) SetSyncedAt(at time.Time) {
	if at.After(c.syncedAt) {
		c.syncedAt = at
	}
}

// SyncedAt returns the last time as of which the cache is complete: its staleness is the time
// that has passed since.
func (c *Cache) SyncedAt() time.Time { return c.syncedAt }
