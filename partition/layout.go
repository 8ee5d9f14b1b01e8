package partition

import (
	"cmp"
	"slices"
	"time"

	"junipershelf/job"
)

// shard is one record in the key-value store: placements on machines of one bucket, and tasks that
// completed there. A bucket gets further shards, called chunks, as the earlier ones near the maximum
// value size. The placements of one machine may be in several of them.
type shard struct {
	bucket, chunk  int
	key            string
	revision       uint64 // 0 if there is no record
	uncompacted    []uncompactedTask
	inflight       bool      // a commit that writes it is not settled yet
	bytes          int       // size when last written
	completedBytes int       // part of bytes that completed tasks take
	pendingBytes   int       // estimated size of placements that are yet to be written
	changedSince   time.Time // when the first unwritten change was found
	pausedUntil    time.Time // not written before this, after it was rejected for its size
}

// uncompactedTask is a completed task that is in its shard's record, but not yet in its job's record.
type uncompactedTask struct {
	task    job.Task
	runS    float64 // run time in seconds; 0: unknown
	version uint64  // version of the machine table when the task was added here
}

// dropCompacted drops completed tasks that are in their job's record by now, or whose job has ended.
func (s *shard) dropCompacted(jobs *job.Cache) {
	s.uncompacted = slices.DeleteFunc(s.uncompacted, func(t uncompactedTask) bool {
		cached := jobs.Get(t.task.Job)
		return cached == nil || cached.Compacted.Has(t.task.Index)
	})
}

// Limits on the size of a record, in percent of the maximum value size.
const (
	assignFill = 85 // no new placements are assigned to a larger record
	writeFill  = 95 // a larger record is oversize: placements are left out of it, or it is split
	splitFill  = 80 // a split continues in the next record when the current one is larger
)

// Estimates of what a new placement and a machine's row add to a record. The actual sizes are
// rarely larger.
const (
	placementBytes = 24
	machineBytes   = 36
	// successorBytes is for a placement whose task follows that of the previous placement, so that it
	// only extends a range.
	successorBytes = 6
)

// placementSize estimates what a new placement adds to a record, given the previous one on its
// machine or nil.
func placementSize(previous, pl *Placement) int {
	if previous != nil && previous.shard != nil && previous.Task.Job == pl.Task.Job && previous.Task.Index+1 == pl.Task.Index {
		return successorBytes
	}
	return placementBytes
}

// shardLayout holds an owner's shards, and assigns new placements to them.
type shardLayout struct {
	valueBytes int
	bucketOf   func(machine string) int // nil: all are in bucket 0
	shards     []*shard
	byBucket   map[int][]*shard // sorted by chunk
}

func newShardLayout(valueBytes int, bucketOf func(machine string) int) *shardLayout {
	return &shardLayout{valueBytes: valueBytes, bucketOf: bucketOf, byBucket: map[int][]*shard{}}
}

// add adds a shard.
func (l *shardLayout) add(s *shard) {
	l.shards = append(l.shards, s)
	bucket := l.byBucket[s.bucket]
	i, _ := slices.BinarySearchFunc(bucket, s.chunk, func(other *shard, chunk int) int { return cmp.Compare(other.chunk, chunk) })
	l.byBucket[s.bucket] = slices.Insert(bucket, i, s)
}

// newShard returns a shard of a bucket with the lowest chunk number that is free in the layout and
// among additional. It does not add the shard to the layout.
func (l *shardLayout) newShard(bucket int, additional []*shard) *shard {
	used := map[int]bool{}
	for _, s := range l.byBucket[bucket] {
		used[s.chunk] = true
	}
	for _, s := range additional {
		used[s.chunk] = true
	}
	chunk := 0
	for used[chunk] {
		chunk++
	}
	return &shard{bucket: bucket, chunk: chunk, key: ShardKey(bucket, chunk)}
}

// limit returns a percentage of the maximum value size, in bytes.
func (l *shardLayout) limit(percent int) int { return l.valueBytes * percent / 100 }

// isOversize reports whether a stored record is larger than writeFill allows.
func (l *shardLayout) isOversize(s *shard) bool {
	return s.revision != 0 && s.bytes > l.limit(writeFill)
}

// assignShard sets the shard of a new placement: the machine's current shard while that has space,
// otherwise the first of its bucket that has space, so that there are as few records as possible.
// Space is not reserved for all tasks that a machine could hold: with such reservations, a record that
// fits sixty machines of 64 CPUs got only three, and some 200 records had to be written at 14 changes
// per second.
func (l *shardLayout) assignShard(m *Machine, previous, pl *Placement) {
	size := placementSize(previous, pl)
	s := l.findShard(m, size)
	pl.shard = s
	s.pendingBytes += size
	if m.shard != s {
		s.pendingBytes += machineBytes
		m.shard = s
	}
}

// findShard returns a shard with space for a placement on a machine, and adds a new one if necessary.
func (l *shardLayout) findShard(m *Machine, size int) *shard {
	bucket := 0
	if l.bucketOf != nil {
		bucket = l.bucketOf(m.ID)
	}
	hasSpace := func(s *shard, limit int) bool {
		need := size
		if s != m.shard {
			need += machineBytes
		}
		return s.bytes+s.pendingBytes+need <= limit
	}
	limit := l.limit(assignFill)
	currentHasSpace := m.shard != nil && hasSpace(m.shard, limit)
	if currentHasSpace {
		// An earlier shard must have much free space, or machines would be split across two shards
		// most of the time.
		limit /= 2
	}
	for _, s := range l.byBucket[bucket] {
		if currentHasSpace && s == m.shard || hasSpace(s, limit) {
			return s
		}
	}
	if currentHasSpace {
		return m.shard
	}
	s := l.newShard(bucket, nil)
	l.add(s)
	return s
}

// fill returns the size of the largest record, as a fraction of the maximum value size.
func (l *shardLayout) fill() float64 {
	return l.largest(func(s *shard) int { return s.bytes })
}

// completedFill returns the largest size of completed tasks in any record, as a fraction of the
// maximum value size.
func (l *shardLayout) completedFill() float64 {
	return l.largest(func(s *shard) int { return s.completedBytes })
}

// largest returns the largest of the shards' sizes, as a fraction of the maximum value size.
func (l *shardLayout) largest(size func(*shard) int) float64 {
	maximum := 0
	for _, s := range l.shards {
		maximum = max(maximum, size(s))
	}
	return float64(maximum) / float64(max(l.valueBytes, 1))
}
