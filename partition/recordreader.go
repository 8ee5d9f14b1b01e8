package partition

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"junipershelf/job"
)

// RecordError says which row of a record cannot be read, and why.
type RecordError struct {
	Row string
	Err error
}

func (e *RecordError) Error() string { return e.Row + ": " + e.Err.Error() }

// Unwrap returns the reason.
func (e *RecordError) Unwrap() error { return e.Err }

// What makes a record unreadable. Those of a row come in a RecordError.
var (
	ErrEmptyRecord     = errors.New("no placements and no finished tasks")
	ErrNoSuchKind      = errors.New("no such kind")
	ErrNoSuchPlacement = errors.New("no such job, resources or attempt")
	ErrNoSuchJob       = errors.New("no such job")
)

// Check reports as an error what of a record cannot be read. A record that would be empty is
// deleted, so one that seems empty is no record.
func (r *Record) Check() error {
	if r.isEmpty() {
		return ErrEmptyRecord
	}
	if err := r.eachPlacement(func(*RecordMachine, RecordKind, *Placement) {}); err != nil {
		return err
	}
	return r.eachCompleted(func(job.Task) {})
}

// eachPlacement calls a function for each placement of a record, with the row and the kind of its
// machine.
func (r *Record) eachPlacement(f func(row *RecordMachine, kind RecordKind, pl *Placement)) error {
	for i := range r.Machines {
		row := &r.Machines[i]
		if row.Kind < 0 || row.Kind >= len(r.Kinds) {
			return &RecordError{"machine " + row.ID, ErrNoSuchKind}
		}
		for text := range strings.SplitSeq(row.Runs, ";") {
			run, err := parseRun(text, row.AgentEpoch)
			if err == nil && !r.hasRun(&run) {
				err = ErrNoSuchPlacement
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

// hasRun reports whether the record lists what a run refers to.
func (r *Record) hasRun(run *taskRun) bool {
	if run.job < 0 || run.job >= len(r.Jobs) || run.attempt < 0 || run.attempt >= len(r.Attempts) {
		return false
	}
	resources := r.Jobs[run.job].Resources
	return resources >= 0 && resources < len(r.Resources)
}

// placement is the placement of a task of a run that the record has.
func (r *Record) placement(run *taskRun, index int) *Placement {
	j := &r.Jobs[run.job]
	resources := &r.Resources[j.Resources]
	return &Placement{
		Task: job.Task{Job: j.UID, Index: index}, Attempt: r.AttemptBase + r.Attempts[run.attempt], AgentEpoch: run.agentEpoch,
		Resources: job.Resources{CPUs: resources.CPUs, Accelerators: resources.Accelerators, MemoryGB: resources.MemoryGB},
		Team:      resources.Team, committed: true,
	}
}

// eachCompleted calls a function for each completed task of a record.
func (r *Record) eachCompleted(f func(t job.Task)) error {
	for _, completed := range r.Completed {
		tasks, err := job.ParseRanges(completed.Tasks)
		if err != nil {
			return err
		}
		if completed.Job < 0 || completed.Job >= len(r.Jobs) {
			return &RecordError{"finished tasks", ErrNoSuchJob}
		}
		for index := range tasks.All() {
			f(job.Task{Job: r.Jobs[completed.Job].UID, Index: index})
		}
	}
	return nil
}

// attempts returns the attempt number of each task that is placed in a record, which may be nil.
func (r *Record) attempts() (map[job.Task]uint64, error) {
	attempts := map[job.Task]uint64{}
	if r == nil {
		return attempts, nil
	}
	err := r.eachPlacement(func(_ *RecordMachine, _ RecordKind, pl *Placement) { attempts[pl.Task] = pl.Attempt })
	return attempts, err
}

// taskRun is one of a machine's runs: tasks of a job that were placed together.
type taskRun struct {
	job, attempt int // indices in the record
	agentEpoch   uint64
	tasks        job.Ranges
}

// parseRun reads a run of a machine whose row has an agent epoch.
func parseRun(text string, rowEpoch uint64) (r taskRun, err error) {
	head, tasks, hasTasks := strings.Cut(text, ":")
	head, epoch, hasEpoch := strings.Cut(head, "@")
	jobIndex, attempt, hasAttempt := strings.Cut(head, ".")
	if !hasTasks || !hasAttempt {
		return r, fmt.Errorf("run: %q", text)
	}
	r.agentEpoch = rowEpoch
	if r.job, err = strconv.Atoi(jobIndex); err != nil {
		return r, err
	}
	if r.attempt, err = strconv.Atoi(attempt); err != nil {
		return r, err
	}
	if hasEpoch {
		if r.agentEpoch, err = strconv.ParseUint(epoch, 10, 64); err != nil {
			return r, err
		}
	}
	r.tasks, err = job.ParseRanges(tasks)
	return r, err
}

// StatesFromRecords returns the machines of an owner's records as an update would, and the tasks
// that completed there, for a leader that has not yet received an update. A machine that is in
// several of the records is reported once, with all that it holds. The error names what cannot be
// read.
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
