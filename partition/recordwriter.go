package partition

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"junipershelf/job"
)

// recordWriter builds a record from machines' rows and completed tasks, and adds the entries that
// they refer to by index.
type recordWriter struct {
	out       Record
	kinds     map[RecordKind]int // indices in the record
	resources map[RecordResources]int
	jobs      map[string]int
	attempts  map[uint64]int
	completed map[string][]int // indices of tasks by job
}

func newRecordWriter() *recordWriter {
	return &recordWriter{
		kinds: map[RecordKind]int{}, resources: map[RecordResources]int{}, jobs: map[string]int{}, attempts: map[uint64]int{},
		completed: map[string][]int{},
	}
}

// intern returns the index of a value in a list, and appends it if it is new.
func intern[K comparable](known map[K]int, list *[]K, value K) int {
	i, ok := known[value]
	if !ok {
		i = len(*list)
		known[value] = i
		*list = append(*list, value)
	}
	return i
}

// addMachine adds the row of a machine with some of its placements.
func (w *recordWriter) addMachine(m *Machine, placements []*Placement) {
	kind := RecordKind{MachineType: m.MachineType, Zone: m.Zone, Spot: m.Spot}
	row := RecordMachine{ID: m.ID, Kind: intern(w.kinds, &w.out.Kinds, kind), AgentEpoch: m.agentEpoch, Sequence: m.sequence}
	var text strings.Builder
	runs := w.runs(placements)
	for i := range runs {
		runs[i].write(&text, m.agentEpoch)
	}
	row.Runs = text.String()
	w.out.Machines = append(w.out.Machines, row)
}

// runKey is what the tasks of a run have in common.
type runKey struct {
	job, attempt int
	agentEpoch   uint64
}

// runs groups placements into runs.
func (w *recordWriter) runs(placements []*Placement) (runs []taskRun) {
	known := map[runKey]int{}
	for _, pl := range placements {
		key := runKey{w.placedJob(pl), intern(w.attempts, &w.out.Attempts, pl.Attempt), pl.AgentEpoch}
		i, ok := known[key]
		if !ok {
			i = len(runs)
			known[key] = i
			runs = append(runs, taskRun{job: key.job, attempt: key.attempt, agentEpoch: key.agentEpoch})
		}
		runs[i].tasks.Add(pl.Task.Index)
	}
	return runs
}

// write appends a run, with its agent epoch if that differs from the row's.
func (r *taskRun) write(b *strings.Builder, rowEpoch uint64) {
	if b.Len() > 0 {
		b.WriteByte(';')
	}
	fmt.Fprintf(b, "%d.%d", r.job, r.attempt)
	if r.agentEpoch != rowEpoch {
		fmt.Fprintf(b, "@%d", r.agentEpoch)
	}
	b.WriteByte(':')
	b.WriteString(r.tasks.String())
}

// jobIndex returns the index of a job's row, and adds it if it is new.
func (w *recordWriter) jobIndex(uid string) int {
	i, ok := w.jobs[uid]
	if !ok {
		i = len(w.out.Jobs)
		w.jobs[uid] = i
		w.out.Jobs = append(w.out.Jobs, RecordJob{UID: uid, Resources: noResources})
	}
	return i
}

// placedJob returns the index of the row of a placement's job, and sets the row's resources.
func (w *recordWriter) placedJob(pl *Placement) int {
	resources := intern(w.resources, &w.out.Resources, RecordResources{
		Team: pl.Team, CPUs: pl.Resources.CPUs, Accelerators: pl.Resources.Accelerators, MemoryGB: pl.Resources.MemoryGB,
	})
	i := w.jobIndex(pl.Task.Job)
	if w.out.Jobs[i].Resources == noResources {
		w.out.Jobs[i].Resources = resources
	}
	return i
}

// addCompleted adds a completed task.
func (w *recordWriter) addCompleted(t job.Task) {
	w.completed[t.Job] = append(w.completed[t.Job], t.Index)
}

// bytes returns an upper bound of the size of the record as built so far.
func (w *recordWriter) bytes() int {
	n := w.out.Bytes()
	for _, tasks := range w.completed {
		n += completedRangeBytes*len(tasks) + completedOverhead
	}
	return n
}

// record completes and returns the record.
func (w *recordWriter) record() *Record {
	for _, uid := range slices.Sorted(maps.Keys(w.completed)) {
		tasks := job.RangesOf(w.completed[uid]).String()
		w.out.Completed = append(w.out.Completed, RecordCompleted{Job: w.jobIndex(uid), Tasks: tasks})
	}
	if len(w.out.Attempts) > 0 {
		w.out.AttemptBase = slices.Min(w.out.Attempts)
		for i := range w.out.Attempts {
			w.out.Attempts[i] -= w.out.AttemptBase
		}
	}
	return &w.out
}
