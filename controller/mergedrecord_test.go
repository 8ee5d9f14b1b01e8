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

// mergedRecord puts the rows of several records together as one record, in which each machine
// has one row and each kind, need, job and attempt is named once.
type mergedRecord struct {
	out  prodShard
	rows []map[mergedRun]*job.Ranges // of the machines
}

// mergedRun names a run of a machine's row: the places of its job and attempt, and its session.
type mergedRun struct {
	job, attempt int
	session      uint64
}

// indexOrAppend finds the place of a value in a list, which it joins if it is new.
func indexOrAppend[T comparable](list *[]T, x T) int {
	i := slices.Index(*list, x)
	if i < 0 {
		i = len(*list)
		*list = append(*list, x)
	}
	return i
}

func (w *mergedRecord) job(from *prodShard, i int) int {
	need := -1
	if n := from.Jobs[i].Need; n >= 0 {
		need = indexOrAppend(&w.out.Needs, from.Needs[n])
	}
	return indexOrAppend(&w.out.Jobs, prodRecJob{UID: from.Jobs[i].UID, Need: need})
}

func (w *mergedRecord) row(from *prodShard, m *prodRecMachine) map[mergedRun]*job.Ranges {
	i := slices.IndexFunc(w.out.Machines, func(o prodRecMachine) bool { return o.ID == m.ID })
	if i < 0 {
		i = len(w.out.Machines)
		w.out.Machines = append(w.out.Machines, prodRecMachine{ID: m.ID, Kind: indexOrAppend(&w.out.Kinds, from.Kinds[m.Kind]), Shift: m.Shift, Tick: m.Tick})
		w.rows = append(w.rows, map[mergedRun]*job.Ranges{})
	}
	return w.rows[i]
}

// add takes the placements of a record in.
func (w *mergedRecord) add(from *prodShard) error {
	for i := range from.Machines {
		m := &from.Machines[i]
		row := w.row(from, m)
		for text := range strings.SplitSeq(m.Runs, ";") {
			r, err := parseProdRun(text, m.Shift)
			if err != nil {
				return err
			}
			key := mergedRun{w.job(from, r.job), indexOrAppend(&w.out.Tries, from.Base+from.Tries[r.attempt]), r.session}
			if row[key] == nil {
				row[key] = &job.Ranges{}
			}
			row[key].Merge(r.tasks)
		}
	}
	return nil
}

// bytes is the length of the whole in its JSON form, without what is finished: no record that
// holds all of the bucket's placements is smaller.
func (w *mergedRecord) bytes() (int, error) {
	out := w.out
	out.Machines, out.Tries = slices.Clone(w.out.Machines), slices.Clone(w.out.Tries)
	if len(out.Tries) > 0 {
		out.Base = slices.Min(out.Tries)
	}
	for i := range out.Tries {
		out.Tries[i] -= out.Base
	}
	for i, row := range w.rows {
		var runs []string
		for run, tasks := range row {
			text := fmt.Sprintf("%d.%d:%s", run.job, run.attempt, tasks)
			if run.session != out.Machines[i].Shift {
				text = fmt.Sprintf("%d.%d@%d:%s", run.job, run.attempt, run.session, tasks)
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

// prodRun is one run of a machine's row in a record of the production version.
type prodRun struct {
	job, attempt int
	session      uint64
	tasks        job.Ranges
}

func parseProdRun(text string, session uint64) (r prodRun, err error) {
	head, tasks, _ := strings.Cut(text, ":")
	head, other, foreign := strings.Cut(head, "@")
	if _, err = fmt.Sscanf(head, "%d.%d", &r.job, &r.attempt); err != nil {
		return r, fmt.Errorf("run %q: %w", text, err)
	}
	r.session = session
	if foreign {
		if r.session, err = strconv.ParseUint(other, 10, 64); err != nil {
			return r, fmt.Errorf("run %q: %w", text, err)
		}
	}
	r.tasks, err = job.ParseRanges(tasks)
	return r, err
}
