package scheduler

import (
	"cmp"
	"slices"

	"junipershelf/job"
)

// Compaction is a job record to write: with completed tasks that so far only the shard records
// hold, or with the terminal state of a complete job.
type Compaction struct {
	UID      string
	Revision uint64 // of the record that is replaced
	Record   job.Record
	Final    *job.TerminalState // nil while the job is not complete
	missing  int                // number of completed tasks that the record lacks
}

// Changes returns the number of changes that the compaction adds to a transaction.
func (c *Compaction) Changes() int {
	if c.Final != nil {
		return 2
	}
	return 1
}

const (
	// maxCompletedFill is the fraction of a shard record that completed tasks may fill before those
	// of incomplete jobs are moved to the job records.
	maxCompletedFill = 0.35
	// maxPartialCompactions is the maximum number of records of incomplete jobs written at once.
	maxPartialCompactions = 2

	minRangeBytes       = 2    // minimum size of one range of completed tasks in a job record
	maxDescriptionBytes = 1500 // maximum size of a job record without its ranges
	descriptionPercent  = 30   // the same as a percentage of the maximum value size, for small values
)

// compactionPlanner decides which jobs to complete, and which completed tasks to move from the
// owners' shard records to the job records. It keeps no state.
//
// Only the leader writes completed tasks to job records, so that owners never conflict over a
// record. What it writes is valid in any view, and what it has not written yet is safe in the shard
// records. Below maxCompletedFill, completed tasks of incomplete jobs are not moved: the changes of
// a transaction are better spent on shard records, where they start and end tasks.
type compactionPlanner struct {
	cfg     *Config
	cluster *clusterState
}

// list returns the compactions of complete jobs and, while completed tasks fill more than
// maxCompletedFill of a shard record, of the incomplete jobs whose records lack the most completed
// tasks, up to a number of changes.
func (c *compactionPlanner) list(maxChanges int) []Compaction {
	var compactions []Compaction
	aboveMaxFill := c.maxOwnerFill() > maxCompletedFill
	for uid, live := range c.cluster.jobs.Jobs {
		missing := live.Completed.Len() - live.Compacted.Len()
		if missing == 0 {
			continue
		}
		compaction := Compaction{UID: uid, Revision: live.Revision, Record: live.Record, missing: missing}
		switch {
		case live.Completed.Len() >= live.Spec.Tasks:
			compaction.Final = &job.TerminalState{Status: job.StatusDone, Done: live.Spec.Tasks}
			compaction.Record.Done = live.Completed.String()
		case !aboveMaxFill || !c.fillRanges(&compaction, live):
			continue
		}
		compactions = append(compactions, compaction)
	}
	slices.SortFunc(compactions, compareCompactions)
	return limitChanges(compactions, maxChanges)
}

// fillRanges adds an incomplete job's completed tasks to its record. It returns false if their
// ranges are too long to fit. They become shorter once gaps between completed tasks are filled.
func (c *compactionPlanner) fillRanges(compaction *Compaction, live *job.CachedJob) bool {
	bytesLeft := c.cfg.ValueBytes - descriptionBytes(c.cfg)
	if live.Completed.Spans()*minRangeBytes > bytesLeft {
		return false // certainly too long, so the string need not be built
	}
	compaction.Record.Done = live.Completed.String()
	return len(compaction.Record.Done) <= bytesLeft
}

// compareCompactions orders complete jobs first, then by the number of missing tasks, descending.
func compareCompactions(a, b Compaction) int {
	if (a.Final != nil) != (b.Final != nil) {
		if a.Final != nil {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(b.missing, a.missing), cmp.Compare(a.UID, b.UID))
}

// limitChanges truncates sorted compactions to a number of changes, and to maxPartialCompactions
// incomplete jobs.
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

// maxOwnerFill returns the largest fraction of a shard record that completed tasks fill, over all
// owners.
func (c *compactionPlanner) maxOwnerFill() float64 {
	fill := 0.0
	for i := range c.cluster.owners {
		fill = max(fill, c.cluster.owners[i].completedFill)
	}
	return fill
}

// descriptionBytes returns the size to reserve in a job record for everything but its ranges: the
// largest accepted size or, where values are small, a percentage of the value size. Nearly all jobs
// stay below that percentage.
func descriptionBytes(cfg *Config) int {
	return min(maxDescriptionBytes, cfg.ValueBytes*descriptionPercent/100)
}
