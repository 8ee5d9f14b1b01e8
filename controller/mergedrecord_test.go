package controller_test

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"junipershelf/internal/emulator"
	"junipershelf/job"
	"junipershelf/protocol"
)

// bucketRecords is the content of the records of one bucket.
type bucketRecords struct {
	records int
	merged  mergedRecord
}

// mergedRecord merges several records into one, in which each machine has one row and each kind,
// resources, job and attempt is listed once.
type mergedRecord struct {
	out  prodRecord
	rows []map[mergedRun]*job.Ranges // by machine index
}

// mergedRun identifies the tasks in a machine's row that share a job, an attempt and an agent epoch. The
// job and the attempt are indices into the merged record's lists.
type mergedRun struct {
	job, attempt int
	epoch        uint64
}

// indexOrAppend returns the index of a value in a list, to which it appends the value if it is new.
func indexOrAppend[T comparable](list *[]T, x T) int {
	i := slices.Index(*list, x)
	if i < 0 {
		i = len(*list)
		*list = append(*list, x)
	}
	return i
}

func (w *mergedRecord) job(from *prodRecord, i int) int {
	resources := -1
	if n := from.Jobs[i].Resources; n >= 0 {
		resources = indexOrAppend(&w.out.Resources, from.Resources[n])
	}
	return indexOrAppend(&w.out.Jobs, prodRecordJob{UID: from.Jobs[i].UID, Resources: resources})
}

func (w *mergedRecord) row(from *prodRecord, m *prodRecordMachine) map[mergedRun]*job.Ranges {
	i := slices.IndexFunc(w.out.Machines, func(o prodRecordMachine) bool { return o.ID == m.ID })
	if i < 0 {
		i = len(w.out.Machines)
		w.out.Machines = append(w.out.Machines, prodRecordMachine{ID: m.ID, Kind: indexOrAppend(&w.out.Kinds, from.Kinds[m.Kind]), AgentEpoch: m.AgentEpoch, Sequence: m.Sequence})
		w.rows = append(w.rows, map[mergedRun]*job.Ranges{})
	}
	return w.rows[i]
}

// add merges the placements of a record.
func (w *mergedRecord) add(from *prodRecord) error {
	for i := range from.Machines {
		m := &from.Machines[i]
		row := w.row(from, m)
		for text := range strings.SplitSeq(m.Runs, ";") {
			r, err := parseProdRun(text, m.AgentEpoch)
			if err != nil {
				return err
			}
			key := mergedRun{w.job(from, r.job), indexOrAppend(&w.out.Attempts, from.AttemptBase+from.Attempts[r.attempt]), r.epoch}
			if row[key] == nil {
				row[key] = &job.Ranges{}
			}
			row[key].Merge(r.tasks)
		}
	}
	return nil
}

// bytes returns the length of the merged record in JSON without completed tasks. No record that
// has all placements of the bucket is smaller.
func (w *mergedRecord) bytes() (int, error) {
	out := w.out
	out.Machines, out.Attempts = slices.Clone(w.out.Machines), slices.Clone(w.out.Attempts)
	if len(out.Attempts) > 0 {
		out.AttemptBase = slices.Min(out.Attempts)
	}
	for i := range out.Attempts {
		out.Attempts[i] -= out.AttemptBase
	}
	for i, row := range w.rows {
		var runs []string
		for run, tasks := range row {
			text := fmt.Sprintf("%d.%d:%s", run.job, run.attempt, tasks)
			if run.epoch != out.Machines[i].AgentEpoch {
				text = fmt.Sprintf("%d.%d@%d:%s", run.job, run.attempt, run.epoch, tasks)
			}
			runs = append(runs, text)
		}
		out.Machines[i].Runs = strings.Join(runs, ";")
	}
	raw, err := protocol.Marshal(out)
	if err != nil {
		return 0, err
	}
	return emulator.JSONBytes(raw), nil
}

// prodRun is an entry in a machine's row of a production-version record, as decoded by parseProdRun: the
// tasks that share a job, an attempt and an agent epoch.
type prodRun struct {
	job, attempt int
	epoch        uint64
	tasks        job.Ranges
}

func parseProdRun(text string, epoch uint64) (r prodRun, err error) {
	head, tasks, _ := strings.Cut(text, ":")
	head, epochText, hasEpoch := strings.Cut(head, "@")
	if _, err = fmt.Sscanf(head, "%d.%d", &r.job, &r.attempt); err != nil {
		return r, fmt.Errorf("run %q: %w", text, err)
	}
	r.epoch = epoch
	if hasEpoch {
		if r.epoch, err = strconv.ParseUint(epochText, 10, 64); err != nil {
			return r, fmt.Errorf("run %q: %w", text, err)
		}
	}
	r.tasks, err = job.ParseRanges(tasks)
	return r, err
}
