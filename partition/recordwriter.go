package partition

import (
	"maps"
	"slices"
	"strings"

	"junipershelf/job"
)

// recordWriter builds a record.
type recordWriter struct {
	out       Record
	kinds     map[RecordKind]int
	resources map[RecordResources]int
	jobs      map[string]int
	attempts  map[uint64]int
	completed map[string][]int // task numbers by job
}

func newRecordWriter() *recordWriter {
	return &recordWriter{kinds: map[RecordKind]int{}, resources: map[RecordResources]int{}, jobs: map[string]int{}, attempts: map[uint64]int{}, completed: map[string][]int{}}
}

// intern finds the place of a value in a list, which it joins if it is new.
func intern[K comparable](seen map[K]int, list *[]K, k K) int {
	i, ok := seen[k]
	if !ok {
		i = len(*list)
		seen[k] = i
		*list = append(*list, k)
	}
	return i
}

// addMachine writes the row of a machine.
func (w *recordWriter) addMachine(m *Machine, all []*Placement) {
	row := RecordMachine{ID: m.ID, Kind: intern(w.kinds, &w.out.Kinds, RecordKind{MachineType: m.MachineType, Zone: m.Zone, Spot: m.Spot}), AgentEpoch: m.agentEpoch, Sequence: m.sequence}
	type runKey struct {
		job, attempt int
		session      uint64
	}
	places := map[runKey]int{}
	var runs []taskRun
	for _, pl := range all {
		need := intern(w.resources, &w.out.Resources, RecordResources{Team: pl.Team, CPUs: pl.Resources.CPUs, Accelerators: pl.Resources.Accelerators, MemoryGB: pl.Resources.MemoryGB})
		key := runKey{w.jobIndex(pl.Task.Job, need), intern(w.attempts, &w.out.Attempts, pl.Attempt), pl.AgentEpoch}
		i, ok := places[key]
		if !ok {
			i = len(runs)
			places[key] = i
			runs = append(runs, taskRun{job: key.job, attempt: key.attempt, agentEpoch: key.session})
		}
		runs[i].tasks.Add(pl.Task.Index)
	}
	var text strings.Builder
	for i := range runs {
		runs[i].write(&text, m.agentEpoch)
	}
	row.Runs = text.String()
	w.out.Machines = append(w.out.Machines, row)
}

// jobIndex finds or makes a job's row.
func (w *recordWriter) jobIndex(uid string, need int) int {
	j, ok := w.jobs[uid]
	if !ok {
		j = len(w.out.Jobs)
		w.jobs[uid] = j
		w.out.Jobs = append(w.out.Jobs, RecordJob{UID: uid, Resources: need})
	} else if need >= 0 && w.out.Jobs[j].Resources < 0 {
		w.out.Jobs[j].Resources = need
	}
	return j
}

// addCompleted adds a task that completed.
func (w *recordWriter) addCompleted(t job.Task) {
	w.completed[t.Job] = append(w.completed[t.Job], t.Index)
}

// bytes is what the record takes at the most, as far as it is written.
func (w *recordWriter) bytes() int {
	n := w.out.Bytes()
	for _, numbers := range w.completed {
		n += spanBytes*len(numbers) + rowBytes
	}
	return n
}

// record finishes the record.
func (w *recordWriter) record() *Record {
	for _, uid := range slices.Sorted(maps.Keys(w.completed)) {
		w.out.Completed = append(w.out.Completed, RecordCompleted{Job: w.jobIndex(uid, -1), Tasks: job.RangesOf(w.completed[uid]).String()})
	}
	if len(w.out.Attempts) > 0 {
		w.out.AttemptBase = slices.Min(w.out.Attempts)
		for i := range w.out.Attempts {
			w.out.Attempts[i] -= w.out.AttemptBase
		}
	}
	return &w.out
}
