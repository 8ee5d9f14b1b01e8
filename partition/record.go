package partition

import (
	"fmt"
	"strings"
)

// Record is what one shard holds: the placements of many machines of one bucket,
// and tasks that completed there until their jobs' records have them. Every
// start and end within a moment shares one change of the key-value store, so the
// coding is compact: kinds, resources, jobs and attempts are listed once, tasks are
// ranges.
type Record struct {
	Kinds       []RecordKind      `cbor:"k,omitempty"`
	Resources   []RecordResources `cbor:"n,omitempty"`
	Jobs        []RecordJob       `cbor:"j,omitempty"`
	AttemptBase uint64            `cbor:"b,omitempty"` // added to each of the attempts
	Attempts    []uint64          `cbor:"t,omitempty"`
	Machines    []RecordMachine   `cbor:"m,omitempty"`
	Completed   []RecordCompleted `cbor:"d,omitempty"`
}

// RecordKind is a type of machine in a zone.
type RecordKind struct {
	_           struct{} `cbor:",toarray"`
	MachineType string
	Zone        string
	Spot        bool
}

// RecordResources is what tasks of a team take. It is stored here so that the team's limit
// can be counted even when the job is over.
type RecordResources struct {
	_            struct{} `cbor:",toarray"`
	Team         string
	CPUs         float64
	Accelerators float64
	MemoryGB     float64
}

// RecordJob is a job as its placements need it. Resources is an index in the record's, or
// noResources if the job has no placements in the record.
type RecordJob struct {
	_         struct{} `cbor:",toarray"`
	UID       string
	Resources int
}

// noResources is how a record stores that a job has no placements in it.
const noResources = -1

// RecordMachine is a machine with placements. Sequence is that of the last heartbeat applied:
// a new owner ignores copies of older ones. Runs are ranges of tasks that were placed together,
// "job.attempt:tasks" by their indices in the lists, separated by semicolons;
// "job.attempt@epoch:tasks" where they belong to another agent epoch than the row.
type RecordMachine struct {
	_          struct{} `cbor:",toarray"`
	ID         string
	Kind       int // index in the record's
	AgentEpoch uint64
	Sequence   uint64
	Runs       string
}

// RecordCompleted is one job's completed tasks, as ranges. Job is an index in the record's.
type RecordCompleted struct {
	_     struct{} `cbor:",toarray"`
	Job   int
	Tasks string
}

// isEmpty reports whether a record has no content.
func (r *Record) isEmpty() bool { return len(r.Machines)+len(r.Completed) == 0 }

// ShardPrefix is common to all shards' keys.
const ShardPrefix = "shards/"

// ShardKey is the key of a bucket's record.
func ShardKey(bucket, chunk int) string { return fmt.Sprintf("%s%03d/%d", ShardPrefix, bucket, chunk) }

// ParseShardKey returns the bucket and the chunk of a shard's key.
func ParseShardKey(key string) (bucket, chunk int, err error) {
	_, err = fmt.Sscanf(strings.TrimPrefix(key, ShardPrefix), "%d/%d", &bucket, &chunk)
	return bucket, chunk, err
}
