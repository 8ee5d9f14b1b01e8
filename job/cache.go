package job

import (
	"time"

	"junipershelf/internal/limits"
	"junipershelf/protocol"
)

// noTeam replaces the index of a team that the settings do not list.
const noTeam = -1

// CachedJob is a live job in a node's cache. Like the cache, it is guarded by the node's state lock
// (nodeState.mu of package controller), which is also held during calls to packages partition and
// scheduler.
type CachedJob struct {
	Record
	Revision  uint64    // of the record in the key-value store; 0 if Unreadable is set
	Compacted Ranges    // completed tasks that the job's record contains
	Completed Ranges    // Compacted, and the completed tasks that are only in machines' records; never shrinks
	Rank      int       // of the priority; 0 is the most urgent
	Team      int       // index of the team in the settings, valid if HasTeam
	FirstSeen time.Time // when this node first saw the job
	// Unreadable is set while the job's record cannot be decoded and no earlier one is known. The
	// job's tasks are then neither started nor stopped.
	Unreadable bool
}

// HasTeam reports whether the settings list the job's team. If they do not, the job is never
// scheduled and Team is not a valid index.
func (j *CachedJob) HasTeam() bool { return j.Team != noTeam }

// IsService reports whether the job's tasks are replicas that run until it is cancelled.
func (j *CachedJob) IsService() bool { return j.Spec.Shape == protocol.ShapeService }

// Resources returns the resources that each task takes.
func (j *CachedJob) Resources() Resources { return TaskResources(&j.Spec) }

// Limits on the ended jobs that a cache keeps: when there are more than maxEndedJobs, those that
// ended longer ago than endedRetention are dropped, at most once per pruneInterval.
const (
	maxEndedJobs   = 10000
	endedRetention = 10 * time.Minute
	pruneInterval  = time.Minute
)

// Cache is a node's copy of the live jobs, updated from a list and a watch of their records. Records
// may arrive late and in any order: an older one changes nothing, and a job that has ended is never
// added again.
//
// A cache has no lock of its own. It is guarded by the node's state lock (nodeState.mu of package
// controller).
type Cache struct {
	Jobs   map[string]*CachedJob // live jobs by UID
	Limits limits.Counts         // how often each limit was reached

	teams    map[string]int       // index of each team in the settings
	ended    map[string]time.Time // when this node learned that a job had ended
	prunedAt time.Time            // when ended was last pruned
	syncedAt time.Time            // see SyncedAt
}

// NewCache returns an empty cache. Teams has the index of each team in the settings, by name.
func NewCache(teams map[string]int) *Cache {
	return &Cache{Jobs: map[string]*CachedJob{}, Limits: limits.Counts{}, teams: teams, ended: map[string]time.Time{}}
}

// Get returns a live job, or nil if it is not in the cache.
func (c *Cache) Get(uid string) *CachedJob { return c.Jobs[uid] }

// Set applies a job's record with its revision. A record that is not newer than the known one, or that
// is of a job that has ended, changes nothing. The error is a *RangesError.
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
	cached.Completed.Merge(compacted)
	cached.Rank, _ = rec.Spec.Priority.Rank() // 0 if this version does not know the priority
	cached.Team = c.teamIndex(rec.Spec.Team)
	return nil
}

// teamIndex returns the index of a team in the settings, or noTeam.
func (c *Cache) teamIndex(team string) int {
	if index, ok := c.teams[team]; ok {
		return index
	}
	return noTeam
}

// SetUnreadable records a live job whose record cannot be decoded. A job that is already in the cache
// keeps its last readable record. A new one gets revision 0, so that no status read is answered
// from it.
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
	// Pruning scans all ended jobs, so it is not done each time a job ends.
	if len(c.ended) > maxEndedJobs && now.Sub(c.prunedAt) >= pruneInterval {
		c.pruneEnded(now)
	}
}

// pruneEnded drops the jobs that ended too long ago for a late copy of their record to arrive.
func (c *Cache) pruneEnded(now time.Time) {
	c.prunedAt = now
	c.Limits.Record(limits.EndedJobs)
	for uid, endedAt := range c.ended {
		if now.Sub(endedAt) > endedRetention {
			delete(c.ended, uid)
		}
	}
}

// HasEnded reports whether the cache has recorded the end of a job.
func (c *Cache) HasEnded(uid string) bool {
	_, ended := c.ended[uid]
	return ended
}

// SetSyncedAt records that the cache contains all changes that were in the key-value store at the given
// time. A time before SyncedAt changes nothing.
func (c *Cache) SetSyncedAt(at time.Time) {
	if at.After(c.syncedAt) {
		c.syncedAt = at
	}
}

// SyncedAt returns the last time as of which the cache is complete. The time since then is the cache's
// staleness.
func (c *Cache) SyncedAt() time.Time { return c.syncedAt }
