package scheduler

import (
	"sort"

	"junipershelf/job"
)

// Compaction is a job whose record is to take finished tasks that so far stand only
// in shards, or which is over.
type Compaction struct {
	UID      string
	Revision uint64
	Record   job.Record
	Final    *job.TerminalState
	missing  int
}

// Changes is how many changes it takes.
func (c *Compaction) Changes() int {
	if c.Final != nil {
		return 2
	}
	return 1
}

// maxCompletedFill is how much of a shard's record finished tasks may take before those of
// unfinished jobs move to the jobs' records, and maxPartialCompactions how many jobs' at once.
const (
	maxCompletedFill      = 0.35
	maxPartialCompactions = 2
)

// Compactions lists what the jobs' records lack, by at most so many changes: of the jobs that
// are complete, and while shards are nearly full, of those that lack most. The
// leader is the only one who writes finished tasks there, so that owners never
// get into each other's way; what it writes is true in any view, and what it does
// not write yet is safe in the shards. Until they fill up with it, each change is worth
// more to the shards, where it starts and ends tasks.
func (s *Scheduler) Compactions(changes int) []Compaction {
	var out []Compaction
	full := s.CompletedFill() > maxCompletedFill
	for uid, l := range s.jobs.Jobs {
		have := l.Finished.Len()
		compaction := Compaction{UID: uid, Revision: l.Revision, Record: l.Record, missing: have - l.Compacted.Len()}
		if compaction.missing == 0 {
			continue
		}
		if have >= l.Spec.Tasks {
			compaction.Final = &job.TerminalState{Status: job.StatusDone, Done: l.Spec.Tasks}
		} else if !full {
			continue
		}
		if compaction.Final == nil && l.Finished.Spans()*minSpanBytes+s.descriptionBytes() > s.cfg.ValueBytes {
			continue // surely too long
		}
		compaction.Record.Done = l.Finished.String()
		if compaction.Final == nil && len(compaction.Record.Done)+s.descriptionBytes() > s.cfg.ValueBytes {
			continue // later, when the holes are filled
		}
		out = append(out, compaction)
	}
	sort.Slice(out, func(i, j int) bool {
		a, b := &out[i], &out[j]
		if (a.Final != nil) != (b.Final != nil) {
			return a.Final != nil
		}
		if a.missing != b.missing {
			return a.missing > b.missing
		}
		return a.UID < b.UID
	})
	partial := 0
	for i := range out {
		if out[i].Final == nil {
			partial++
		}
		if changes -= out[i].Changes(); changes < 0 || partial > maxPartialCompactions {
			return out[:i]
		}
	}
	return out
}

// CompletedFill is how much of a record finished tasks take, at the most of any owner.
func (s *Scheduler) CompletedFill() (most float64) {
	for i := range s.owners {
		most = max(most, s.owners[i].completedFill)
	}
	return most
}

// descriptionBytes is what a job's record takes beside its ranges, at the most that is
// accepted; where values are small nearly always.
func (s *Scheduler) descriptionBytes() int {
	return min(maxDescription, s.cfg.ValueBytes*descriptionPercent/100)
}

const (
	minSpanBytes       = 2 // a range of finished tasks, at the least
	maxDescription     = 1500
	descriptionPercent = 30
)
