package partition

import (
	"cmp"
	"slices"
	"time"

	"junipershelf/job"
)

// shard is one record: placements on machines of one bucket, and what completed there. A bucket
// has a second one when its first nears the size of a value; a machine's placements may then
// stand in both.
type shard struct {
	bucket, chunk  int
	key            string
	revision       uint64 // 0 if there is no record
	uncompacted    []uncompactedTask
	inflight       bool      // a commit that writes it is yet to be settled
	bytes          int       // when last written
	completedBytes int       // what completed tasks take of them
	pendingBytes   int       // about what the placements take that are to be written into it
	changedSince   time.Time // first change that is not written
	pausedUntil    time.Time // it was too large for the service; it is not tried before this
}

// uncompactedTask has completed and is recorded so in its shard's record, but not yet in its job's.
type uncompactedTask struct {
	task    job.Task
	runS    float64 // seconds; 0: not known
	version uint64  // of the machine table, when it completed
}

// dropCompacted drops completed tasks that stand in their job's record by now, or whose job is
// over.
func (s *shard) dropCompacted(jobs *job.Cache) {
	s.uncompacted = slices.DeleteFunc(s.uncompacted, func(t uncompactedTask) bool {
		l := jobs.Get(t.task.Job)
		return l == nil || l.Compacted.Has(t.task.Index)
	})
}

// How full a record may be, in percent of a value.
const (
	assignFill = 85 // for a new placement to choose it
	writeFill  = 95 // to be written
	splitFill  = 80 // of the records that an oversize one is split into
)

// What a new placement takes in a record, and a machine's row: at the most, nearly always.
const (
	placementBytes = 24
	machineBytes   = 36
	// successorBytes is for the next task of a job behind another one: they are one range.
	successorBytes = 6
)

// placementSize is about what a new placement takes behind the one before it on its machine.
func placementSize(previous, pl *Placement) int {
	if previous != nil && previous.shard != nil && previous.Task.Job == pl.Task.Job && previous.Task.Index+1 == pl.Task.Index {
		return successorBytes
	}
	return placementBytes
}

// shardLayout holds an owner's shards, and chooses the one that a new placement goes to.
type shardLayout struct {
	valueBytes int
	bucketOf   func(machine string) int // nil: all are in bucket 0
	shards     []*shard
	byBucket   map[int][]*shard // in the order of their chunks
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

// newShard returns a shard of a bucket under the first number that none has, of the layout or
// of those in addition to it. It is not added.
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

// limit is a percentage of a value, in bytes.
func (l *shardLayout) limit(percent int) int { return l.valueBytes * percent / 100 }

// isOversize reports whether a stored record is larger than may be written.
func (l *shardLayout) isOversize(s *shard) bool {
	return s.revision != 0 && s.bytes > l.limit(writeFill)
}

// assignShard sets the shard of a new placement, behind the one before it on its machine: the machine's
// own while that has room, else the first of its bucket that has, so that there are as few as
// possible. Once each machine had one record, which took it with all that it could ever hold:
// with 64 CPUs that was three machines to a record that had room for sixty, and some 200 records
// to be written with 14 changes a second.
func (l *shardLayout) assignShard(m *Machine, previous, pl *Placement) {
	size := placementSize(previous, pl)
	s := l.findRoom(m, size)
	pl.shard = s
	s.pendingBytes += size
	if m.shard != s {
		s.pendingBytes += machineBytes
		m.shard = s
	}
}

// findRoom returns the shard with room for a placement on a machine, which may be a new one.
func (l *shardLayout) findRoom(m *Machine, size int) *shard {
	bucket := 0
	if l.bucketOf != nil {
		bucket = l.bucketOf(m.ID)
	}
	hasRoom := func(s *shard, limit int) bool {
		need := size
		if s != m.shard {
			need += machineBytes
		}
		return s.bytes+s.pendingBytes+need <= limit
	}
	limit := l.limit(assignFill)
	currentHasRoom := m.shard != nil && hasRoom(m.shard, limit)
	if currentHasRoom {
		// Into a record before its own only where there is much room, or machines
		// would stand in two of them all the time.
		limit /= 2
	}
	for _, s := range l.byBucket[bucket] {
		if currentHasRoom && s == m.shard || hasRoom(s, limit) {
			return s
		}
	}
	if currentHasRoom {
		return m.shard
	}
	s := l.newShard(bucket, nil)
	l.add(s)
	return s
}

// fill is how full the fullest record is, as a part of a value.
func (l *shardLayout) fill() float64 {
	return l.largest(func(s *shard) int { return s.bytes })
}

// completedFill is how much of a value the completed tasks take, where they take most.
func (l *shardLayout) completedFill() float64 {
	return l.largest(func(s *shard) int { return s.completedBytes })
}

// largest is the largest of the shards' sizes, as a part of a value.
func (l *shardLayout) largest(size func(*shard) int) float64 {
	maximum := 0
	for _, s := range l.shards {
		maximum = max(maximum, size(s))
	}
	return float64(maximum) / float64(max(l.valueBytes, 1))
}
