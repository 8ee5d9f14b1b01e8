package partition

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"junipershelf/job"
)

// RecordError is the error of a malformed row of a record.
type RecordError struct {
	Row string
	Err error
}

func (e *RecordError) Error() string { return e.Row + ": " + e.Err.Error() }

func (e *RecordError) Unwrap() error { return e.Err }

// Errors of a malformed record. Those of a row are wrapped in a RecordError.
var (
	ErrEmptyRecord        = errors.New("record has no placements and no completed tasks")
	ErrNoSuchKind         = errors.New("machine kind is not in the record")
	ErrRunIndexOutOfRange = errors.New("job, resources or attempt index is out of range")
	ErrNoSuchJob          = errors.New("job is not in the record")
)

// Check returns an error if the record is malformed. That includes an empty record: records that
// would be empty are deleted instead of written.
func (r *Record) Check() error {
	if r.isEmpty() {
		return ErrEmptyRecord
	}
	if err := r.eachPlacement(func(*RecordMachine, RecordKind, *Placement) {}); err != nil {
		return err
	}
	return r.eachCompleted(func(job.Task) {})
}

// eachPlacement calls f for each placement of a record, with the row and the kind of its machine.
func (r *Record) eachPlacement(f func(row *RecordMachine, kind RecordKind, pl *Placement)) error {
	for i := range r.Machines {
		row := &r.Machines[i]
		if row.Kind < 0 || row.Kind >= len(r.Kinds) {
			return &RecordError{"machine " + row.ID, ErrNoSuchKind}
		}
		for text := range strings.SplitSeq(row.Runs, ";") {
			run, err := parseRun(text, row.AgentEpoch)
			if err == nil && !r.hasRun(&run) {
				err = fmt.Errorf("run %q: %w", text, ErrRunIndexOutOfRange)
			}
			if err != nil {
				return &RecordError{"machine " + row.ID, err}
			}
			for index := range run.tasks.All() {
				f(row, r.Kinds[row.Kind], r.placement(&run, index))
			}
		}
	}
	return nil
}

// hasRun reports whether the record has the job, resources and attempt that a run refers to.
func (r *Record) hasRun(run *taskRun) bool {
	if run.job < 0 || run.job >= len(r.Jobs) || run.attempt < 0 || run.attempt >= len(r.Attempts) {
		return false
	}
	resources := r.Jobs[run.job].Resources
	return resources >= 0 && resources < len(r.Resources)
}

// placement returns the placement of a task of a run, which must satisfy hasRun.
func (r *Record) placement(run *taskRun, index int) *Placement {
	j := &r.Jobs[run.job]
	resources := &r.Resources[j.Resources]
	return &Placement{
		Task: job.Task{Job: j.UID, Index: index}, Attempt: r.AttemptBase + r.Attempts[run.attempt], AgentEpoch: run.agentEpoch,
		Resources: job.Resources{CPUs: resources.CPUs, Accelerators: resources.Accelerators, MemoryGB: resources.MemoryGB},
		Team:      resources.Team, committed: true,
	}
}

// eachCompleted calls f for each completed task of a record.
func (r *Record) eachCompleted(f func(t job.Task)) error {
	for _, completed := range r.Completed {
		tasks, err := job.ParseRanges(completed.Tasks)
		if err != nil {
			return &RecordError{"completed tasks", err}
		}
		if completed.Job < 0 || completed.Job >= len(r.Jobs) {
			return &RecordError{"completed tasks", ErrNoSuchJob}
		}
		for index := range tasks.All() {
			f(job.Task{Job: r.Jobs[completed.Job].UID, Index: index})
		}
	}
	return nil
}

// attempts returns the attempt number of each task that is placed in a record. The record may be nil.
func (r *Record) attempts() (map[job.Task]uint64, error) {
	attempts := map[job.Task]uint64{}
	if r == nil {
		return attempts, nil
	}
	err := r.eachPlacement(func(_ *RecordMachine, _ RecordKind, pl *Placement) { attempts[pl.Task] = pl.Attempt })
	return attempts, err
}

// taskRun is one run of a machine's row: tasks of a job with the same attempt number and agent epoch.
type taskRun struct {
	job, attempt int // indices in the record
	agentEpoch   uint64
	tasks        job.Ranges
}

// parseRun parses a run. Its agent epoch is the row's unless the run has its own.
func parseRun(text string, rowEpoch uint64) (r taskRun, err error) {
	head, tasks, hasTasks := strings.Cut(text, ":")
	head, epoch, hasEpoch := strings.Cut(head, "@")
	jobIndex, attempt, hasAttempt := strings.Cut(head, ".")
	if !hasTasks || !hasAttempt {
		return r, fmt.Errorf("run %q is not of the form job.attempt:tasks or job.attempt@epoch:tasks", text)
	}
	r.agentEpoch = rowEpoch
	if r.job, err = strconv.Atoi(jobIndex); err != nil {
		return r, fmt.Errorf("job index of run %q: %w", text, err)
	}
	if r.attempt, err = strconv.Atoi(attempt); err != nil {
		return r, fmt.Errorf("attempt index of run %q: %w", text, err)
	}
	if hasEpoch {
		if r.agentEpoch, err = strconv.ParseUint(epoch, 10, 64); err != nil {
			return r, fmt.Errorf("agent epoch of run %q: %w", text, err)
		}
	}
	r.tasks, err = job.ParseRanges(tasks)
	return r, err
}

// StatesFromRecords returns the machine states and completed tasks in an owner's records, for a
// leader that has not yet received an update from that owner. A machine that is in several records
// has one state with all its tasks. It returns an error if a record is malformed.
func StatesFromRecords(records []Record, capacityOf CapacityOf, now time.Time) (states []MachineState, completed []CompletedTask, err error) {
	machines := map[string]*Machine{}
	var order []*Machine
	add := func(row *RecordMachine, kind RecordKind, pl *Placement) {
		m := machines[row.ID]
		if m == nil {
			m = &Machine{ID: row.ID, MachineType: kind.MachineType, Zone: kind.Zone, Spot: kind.Spot}
			m.capacity, _ = capacityOf(m.MachineType)
			machines[row.ID] = m
			order = append(order, m)
		}
		pl.restore(now)
		m.placements = append(m.placements, pl)
	}
	for i := range records {
		if err := records[i].eachPlacement(add); err != nil {
			return nil, nil, err
		}
		err := records[i].eachCompleted(func(t job.Task) { completed = append(completed, CompletedTask{Task: t}) })
		if err != nil {
			return nil, nil, err
		}
	}
	for _, m := range order {
		states = append(states, m.state(now, detailSecond))
	}
	return states, completed, nil
}
