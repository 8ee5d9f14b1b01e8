package partition

import (
	"fmt"
	"strings"
)

// Record is the stored content of one shard: the placements of many machines of one bucket, and the
// tasks that completed there and are not yet in their jobs' records. The encoding is compact, so that
// many machines share one record and starts and ends at about the same time need only one change of
// the key-value store: kinds, resources, jobs and attempts are listed once, and tasks are ranges.
type Record struct {
	Kinds       []RecordKind      `cbor:"k,omitempty"`
	Resources   []RecordResources `cbor:"n,omitempty"`
	Jobs        []RecordJob       `cbor:"j,omitempty"`
	AttemptBase uint64            `cbor:"b,omitempty"` // added to each of Attempts
	Attempts    []uint64          `cbor:"t,omitempty"`
	Machines    []RecordMachine   `cbor:"m,omitempty"`
	Completed   []RecordCompleted `cbor:"d,omitempty"`
}

// RecordKind is a kind of machine: its type, its zone, and whether it is a spot machine.
type RecordKind struct {
	_           struct{} `cbor:",toarray"`
	MachineType string
	Zone        string
	Spot        bool
}

// RecordResources is the resources of a task, with its team. The team is stored here so that the task
// counts towards the team's limit even after its job has ended.
type RecordResources struct {
	_            struct{} `cbor:",toarray"`
	Team         string
	CPUs         float64
	Accelerators float64
	MemoryGB     float64
}

// RecordJob is a job that placements or completed tasks refer to. Resources is an index in
// Record.Resources, or noResources if the job has no placements in the record.
type RecordJob struct {
	_         struct{} `cbor:",toarray"`
	UID       string
	Resources int
}

// noResources is the value of RecordJob.Resources for a job without placements in the record.
const noResources = -1

// RecordMachine is a machine with placements. Sequence is that of the last heartbeat applied, so that
// a new owner ignores copies of older ones. Runs lists the placed tasks: runs of the form
// "job.attempt:tasks", or "job.attempt@epoch:tasks" if their agent epoch differs from the row's,
// separated by semicolons. job and attempt are indices in Record.Jobs and Record.Attempts.
type RecordMachine struct {
	_          struct{} `cbor:",toarray"`
	ID         string
	Kind       int // index in Record.Kinds
	AgentEpoch uint64
	Sequence   uint64
	Runs       string
}

// RecordCompleted is one job's completed tasks, as ranges. Job is an index in Record.Jobs.
type RecordCompleted struct {
	_     struct{} `cbor:",toarray"`
	Job   int
	Tasks string
}

// isEmpty reports whether a record has no placements and no completed tasks.
func (r *Record) isEmpty() bool { return len(r.Machines)+len(r.Completed) == 0 }

// ShardPrefix is the common prefix of all shard keys.
const ShardPrefix = "shards/"

// ShardKey returns the key of a shard's record.
func ShardKey(bucket, chunk int) string { return fmt.Sprintf("%s%03d/%d", ShardPrefix, bucket, chunk) }

// ParseShardKey returns the bucket and chunk in a shard's key.
func ParseShardKey(key string) (bucket, chunk int, err error) {
	_, err = fmt.Sscanf(strings.TrimPrefix(key, ShardPrefix), "%d/%d", &bucket, &chunk)
	return bucket, chunk, err
}
