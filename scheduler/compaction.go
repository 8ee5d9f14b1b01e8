package scheduler

import (
	"cmp"
	"slices"

	"junipershelf/job"
)

// Compaction is a job's record to write: with finished tasks that so far only the shard
// records hold, or with the terminal state of a job that is complete.
type Compaction struct {
	UID      string
	Revision uint64 // of the record that it replaces
	Record   job.Record
	Final    *job.TerminalState // nil while the job is not complete
	missing  int                // finished tasks that the record lacks
}

// Changes returns how many changes of a transaction the compaction takes.
func (c *Compaction) Changes() int {
	if c.Final != nil {
		return 2
	}
	return 1
}

const (
	// maxCompletedFill is the part of a shard record that finished tasks may take before those
	// of unfinished jobs move to the jobs' records.
	maxCompletedFill = 0.35
	// maxPartialCompactions is how many unfinished jobs' records are written at once.
	maxPartialCompactions = 2

	minRangeBytes      = 2    // of a range of finished tasks in a record
	maxDescription     = 1500 // bytes of a job's record beside its ranges
	descriptionPercent = 30   // of a value: the same, where values are small
)

// compactionPlanner decides which jobs to end, and which finished tasks to move from the owners' shard
// records to their jobs' records. It keeps no state.
//
// The leader alone writes finished tasks there, so that owners never conflict over a job's
// record; what it writes is true in any view, and what it does not write yet is safe in the
// shard records. Until these fill up with it, each change is worth more to the shards, where it
// starts and ends tasks.
type compactionPlanner struct {
	cfg     *Config
	cluster *clusterState
}

// list returns the compactions of the jobs that are complete, and while shard records are
// nearly full of those that lack most, up to a number of changes.
func (c *compactionPlanner) list(maxChanges int) []Compaction {
	var compactions []Compaction
	shardsFull := c.maxOwnerFill() > maxCompletedFill
	for uid, live := range c.cluster.jobs.Jobs {
		missing := live.Finished.Len() - live.Compacted.Len()
		if missing == 0 {
			continue
		}
		compaction := Compaction{UID: uid, Revision: live.Revision, Record: live.Record, missing: missing}
		switch {
		case live.Finished.Len() >= live.Spec.Tasks:
			compaction.Final = &job.TerminalState{Status: job.StatusDone, Done: live.Spec.Tasks}
			compaction.Record.Done = live.Finished.String()
		case !shardsFull || !c.fillRanges(&compaction, live):
			continue
		}
		compactions = append(compactions, compaction)
	}
	slices.SortFunc(compactions, compareCompactions)
	return limitChanges(compactions, maxChanges)
}

// fillRanges adds an unfinished job's finished tasks to its record; it returns false if they
// do not fit until holes between them are filled.
func (c *compactionPlanner) fillRanges(compaction *Compaction, live *job.CachedJob) bool {
	bytesLeft := c.cfg.ValueBytes - descriptionBytes(c.cfg)
	if live.Finished.Spans()*minRangeBytes > bytesLeft {
		return false // spares the string of what is surely too long
	}
	compaction.Record.Done = live.Finished.String()
	return len(compaction.Record.Done) <= bytesLeft
}

// compareCompactions orders complete jobs first, then those that lack most.
func compareCompactions(a, b Compaction) int {
	if (a.Final != nil) != (b.Final != nil) {
		if a.Final != nil {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(b.missing, a.missing), cmp.Compare(a.UID, b.UID))
}

// limitChanges cuts sorted compactions to a number of changes and of unfinished jobs.
func limitChanges(compactions []Compaction, maxChanges int) []Compaction {
	changes, partial := 0, 0
	for i := range compactions {
		if compactions[i].Final == nil {
			partial++
		}
		changes += compactions[i].Changes()
		if changes > maxChanges || partial > maxPartialCompactions {
			return compactions[:i]
		}
	}
	return compactions
}

// maxOwnerFill returns the part of a shard record that finished tasks take, the most of any
// owner.
func (c *compactionPlanner) maxOwnerFill() float64 {
	fill := 0.0
	for i := range c.cluster.owners {
		fill = max(fill, c.cluster.owners[i].completedFill)
	}
	return fill
}

// descriptionBytes returns what a job's record takes beside its ranges: at most as much as is
// accepted, and where values are small nearly always less.
func descriptionBytes(cfg *Config) int {
	return min(maxDescription, cfg.ValueBytes*descriptionPercent/100)
}
