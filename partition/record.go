package partition

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"junipershelf/job"
)

// Record is what one shard holds: the placements of many machines of one bucket,
// and tasks that completed there until their jobs' records have them. Every
// start and end within a moment shares one change of the state service, so the
// coding is compact: kinds, resources, jobs and attempts are named once, tasks are
// ranges.
type Record struct {
	Kinds       []RecordKind      `cbor:"k,omitempty"`
	Resources   []RecordResources `cbor:"n,omitempty"`
	Jobs        []RecordJob       `cbor:"j,omitempty"`
	AttemptBase uint64            `cbor:"b,omitempty"` // of the attempts
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

// RecordResources is what tasks of a team take. It stands here so that the team's limit
// can be counted even when the job is over.
type RecordResources struct {
	_            struct{} `cbor:",toarray"`
	Team         string
	CPUs         float64
	Accelerators float64
	MemoryGB     float64
}

// RecordJob is a job as its placements need it; Need is below 0 if it has none here.
type RecordJob struct {
	_         struct{} `cbor:",toarray"`
	UID       string
	Resources int
}

// RecordMachine is a machine with placements. Sequence is that of the last report taken:
// a new owner ignores copies of older ones. Runs are ranges of tasks that were
// placed together, "job.attempt:tasks" by their places in the lists, parted by
// semicolons; "job.attempt@session:tasks" where they belong to another session.
type RecordMachine struct {
	_          struct{} `cbor:",toarray"`
	ID         string
	Kind       int
	AgentEpoch uint64
	Sequence   uint64
	Runs       string
}

// taskRun is one of a machine's runs.
type taskRun struct {
	job, attempt int
	agentEpoch   uint64
	tasks        job.Ranges
}

func (r *taskRun) write(b *strings.Builder, shift uint64) {
	if b.Len() > 0 {
		b.WriteByte(';')
	}
	fmt.Fprintf(b, "%d.%d", r.job, r.attempt)
	if r.agentEpoch != shift {
		fmt.Fprintf(b, "@%d", r.agentEpoch)
	}
	b.WriteByte(':')
	b.WriteString(r.tasks.String())
}

func parseRun(s string, shift uint64) (r taskRun, err error) {
	head, tasks, ok := strings.Cut(s, ":")
	head, at, other := strings.Cut(head, "@")
	j, t, two := strings.Cut(head, ".")
	if !ok || !two {
		return r, fmt.Errorf("run: %q", s)
	}
	r.agentEpoch = shift
	if r.job, err = strconv.Atoi(j); err == nil {
		r.attempt, err = strconv.Atoi(t)
	}
	if err == nil && other {
		r.agentEpoch, err = strconv.ParseUint(at, 10, 64)
	}
	if err == nil {
		r.tasks, err = job.ParseRanges(tasks)
	}
	return r, err
}

// RecordCompleted is one job's finished tasks.
type RecordCompleted struct {
	_     struct{} `cbor:",toarray"`
	Job   int
	Tasks string
}

// ShardPrefix is common to all shards' keys.
const ShardPrefix = "shards/"

// ShardKey is where a shard of a bucket stands.
func ShardKey(bucket, chunk int) string { return fmt.Sprintf("%s%03d/%d", ShardPrefix, bucket, chunk) }

// ParseShardKey takes a shard's key apart.
func ParseShardKey(key string) (bucket, chunk int, err error) {
	_, err = fmt.Sscanf(strings.TrimPrefix(key, ShardPrefix), "%d/%d", &bucket, &chunk)
	return bucket, chunk, err
}

// digits is the length of a number in its JSON form.
func digits(n uint64) int {
	k := 1
	for ; n > 9; n /= 10 {
		k++
	}
	return k
}

// numberBytes is the length of a decimal number in its JSON form, with a comma. Once a need
// counted as 40 bytes whatever stood in it: in a value of 2 KiB with twenty needs a quarter
// of the room was for nothing.
func numberBytes(x float64) int {
	return len(strconv.FormatFloat(x, 'g', -1, 64)) + 3
}

// spanBytes is what a range of tasks takes.
const spanBytes = 8

// rowBytes is what a job's row of finished tasks takes beside their ranges.
const rowBytes = 9

// Bytes is the length of the record in its JSON form, at the most, with room for
// all that is placed to be done as well: what is done never makes a record outgrow
// its value.
func (r *Record) Bytes() int {
	n := 80
	for _, k := range r.Kinds {
		n += len(k.MachineType) + len(k.Zone) + 14
	}
	for _, k := range r.Resources {
		n += len(k.Team) + 6 + numberBytes(k.CPUs) + numberBytes(k.Accelerators) + numberBytes(k.MemoryGB)
	}
	for _, j := range r.Jobs {
		n += len(j.UID) + digits(uint64(j.Resources)) + 6 + rowBytes
	}
	for _, t := range r.Attempts {
		n += digits(t) + 1
	}
	for i := range r.Machines {
		m := &r.Machines[i]
		n += len(m.ID) + digits(uint64(m.Kind)) + digits(m.AgentEpoch) + digits(m.Sequence) + 11
		n += len(m.Runs) + 3
		for text := range strings.SplitSeq(m.Runs, ";") {
			_, tasks, _ := strings.Cut(text, ":")
			n += len(tasks) + 1 // once more as finished
		}
	}
	for _, d := range r.Completed {
		n += len(d.Tasks)
	}
	return n
}

// completedBytes is what of it the finished tasks take.
func (r *Record) completedBytes() (n int) {
	for _, d := range r.Completed {
		n += len(d.Tasks) + rowBytes
	}
	return n
}

// eachPlacement gives all placements of a record with their machines.
func (r *Record) eachPlacement(f func(m *RecordMachine, kind RecordKind, pl *Placement)) error {
	for i := range r.Machines {
		m := &r.Machines[i]
		if m.Kind < 0 || m.Kind >= len(r.Kinds) {
			return fmt.Errorf("machine %s: no such kind", m.ID)
		}
		for text := range strings.SplitSeq(m.Runs, ";") {
			run, err := parseRun(text, m.AgentEpoch)
			if err != nil {
				return fmt.Errorf("machine %s: %w", m.ID, err)
			}
			if run.job < 0 || run.job >= len(r.Jobs) || run.attempt < 0 || run.attempt >= len(r.Attempts) ||
				r.Jobs[run.job].Resources < 0 || r.Jobs[run.job].Resources >= len(r.Resources) {
				return fmt.Errorf("machine %s: no such job, resources or attempt", m.ID)
			}
			j := r.Jobs[run.job]
			need := r.Resources[j.Resources]
			for i := range run.tasks.All() {
				f(m, r.Kinds[m.Kind], &Placement{
					Task: job.Task{Job: j.UID, Index: i}, Attempt: r.AttemptBase + r.Attempts[run.attempt], AgentEpoch: run.agentEpoch,
					Resources: job.Resources{CPUs: need.CPUs, Accelerators: need.Accelerators, MemoryGB: need.MemoryGB}, Team: need.Team, committed: true,
				})
			}
		}
	}
	return nil
}

// isEmpty reports whether nothing stands in a record.
func (r *Record) isEmpty() bool { return len(r.Machines)+len(r.Completed) == 0 }

// attempts returns the attempt number of each task that is placed in a record, which may be nil.
func (r *Record) attempts() (map[job.Task]uint64, error) {
	attempts := map[job.Task]uint64{}
	if r == nil {
		return attempts, nil
	}
	err := r.eachPlacement(func(_ *RecordMachine, _ RecordKind, pl *Placement) { attempts[pl.Task] = pl.Attempt })
	return attempts, err
}

// Check tells whether all that a record holds can be read. A record that would be empty is
// deleted, so one that seems empty is no record.
func (r *Record) Check() error {
	if r.isEmpty() {
		return errors.New("no placements and no finished tasks")
	}
	if err := r.eachPlacement(func(*RecordMachine, RecordKind, *Placement) {}); err != nil {
		return err
	}
	return r.eachCompleted(func(job.Task) {})
}

// eachCompleted gives all finished tasks of a record.
func (r *Record) eachCompleted(f func(t job.Task)) error {
	for _, d := range r.Completed {
		tasks, err := job.ParseRanges(d.Tasks)
		if err != nil {
			return err
		}
		if d.Job < 0 || d.Job >= len(r.Jobs) {
			return fmt.Errorf("finished tasks: no such job")
		}
		for i := range tasks.All() {
			f(job.Task{Job: r.Jobs[d.Job].UID, Index: i})
		}
	}
	return nil
}

// StatesFromRecords gives the machines of an owner's records as an update would, for a leader
// that has not yet heard from it. A machine that stands in several of them is shown
// once, with all that it holds.
func StatesFromRecords(records []Record, capacityOf CapacityOf, now time.Time) (states []MachineState, done []CompletedTask, err error) {
	machines := map[string]*Machine{}
	var order []*Machine
	for i := range records {
		err := records[i].eachPlacement(func(rm *RecordMachine, k RecordKind, pl *Placement) {
			m := machines[rm.ID]
			if m == nil {
				m = &Machine{ID: rm.ID, MachineType: k.MachineType, Zone: k.Zone, Spot: k.Spot}
				m.capacity, _ = capacityOf(m.MachineType)
				machines[rm.ID] = m
				order = append(order, m)
			}
			pl.restore(now)
			m.placements = append(m.placements, pl)
		})
		if err == nil {
			err = records[i].eachCompleted(func(t job.Task) { done = append(done, CompletedTask{Task: t}) })
		}
		if err != nil {
			return nil, nil, err
		}
	}
	for _, m := range order {
		states = append(states, m.state(now, detailSecond))
	}
	return states, done, nil
}
