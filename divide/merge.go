package divide

import (
	"sort"

	"junipershelf/job"
)

// Merge is a job whose record is to take finished tasks that so far stand only
// in shards, or which is over.
type Merge struct {
	UID   string
	Stamp uint64
	Rec   job.Record
	Ended *job.Ended
	lacks int
}

// Ops is how many changes it takes.
func (m *Merge) Ops() int {
	if m.Ended != nil {
		return 2
	}
	return 1
}

// finishedMost is how much of a shard's record finished tasks may take before those of
// unfinished jobs move to the jobs' records, and partMerges how many jobs' at once.
const (
	finishedMost = 0.35
	partMerges   = 2
)

// Merges lists what the jobs' records lack, at most ops changes: of the jobs that
// are complete, and while shards are nearly full, of those that lack most. The
// divider is the only one who writes finished tasks there, so that owners never
// get into each other's way; what it writes is true in any view, and what it does
// not write yet is safe in the shards. Until they fill up with it, each change is worth
// more to the shards, where it starts and ends tasks.
func (d *Divider) Merges(ops int) []Merge {
	var out []Merge
	full := d.Finished() > finishedMost
	for uid, l := range d.jobs.Jobs {
		have := l.Finished.Len()
		m := Merge{UID: uid, Stamp: l.Stamp, Rec: l.Record, lacks: have - l.Merged.Len()}
		if m.lacks == 0 {
			continue
		}
		if have >= l.Spec.Pieces {
			m.Ended = &job.Ended{Status: job.Done, Done: l.Spec.Pieces}
		} else if !full {
			continue
		}
		m.Rec.Done = l.Finished.String()
		if m.Ended == nil && len(m.Rec.Done)+d.specRoom() > d.cfg.ValueBytes {
			continue // later, when the holes are filled
		}
		out = append(out, m)
	}
	sort.Slice(out, func(i, j int) bool {
		a, b := &out[i], &out[j]
		if (a.Ended != nil) != (b.Ended != nil) {
			return a.Ended != nil
		}
		if a.lacks != b.lacks {
			return a.lacks > b.lacks
		}
		return a.UID < b.UID
	})
	part := 0
	for i := range out {
		if out[i].Ended == nil {
			part++
		}
		if ops -= out[i].Ops(); ops < 0 || part > partMerges {
			return out[:i]
		}
	}
	return out
}

// Finished is how much of a record finished tasks take, at the most of any owner.
func (d *Divider) Finished() (most float64) {
	for i := range d.owners {
		most = max(most, d.owners[i].finished)
	}
	return most
}

// specRoom is what a job's record takes beside its ranges, at the most that is
// accepted; where values are small nearly always.
func (d *Divider) specRoom() int { return min(1500, d.cfg.ValueBytes*3/10) }
