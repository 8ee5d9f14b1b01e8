package part

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"junipershelf/job"
)

// Record is what one shard holds: the placements of many machines of one part,
// and tasks that completed there until their jobs' records have them. Every
// start and end within a moment shares one change of the state service, so the
// coding is compact: kinds, needs, jobs and tries are named once, tasks are
// ranges.
type Record struct {
	Kinds    []RecKind    `cbor:"k,omitempty"`
	Needs    []RecNeed    `cbor:"n,omitempty"`
	Jobs     []RecJob     `cbor:"j,omitempty"`
	Base     uint64       `cbor:"b,omitempty"` // of the tries
	Tries    []uint64     `cbor:"t,omitempty"`
	Machines []RecMachine `cbor:"m,omitempty"`
	Done     []RecDone    `cbor:"d,omitempty"`
}

// RecKind is a type of machine in a zone.
type RecKind struct {
	_      struct{} `cbor:",toarray"`
	Flavor string
	Zone   string
	Spot   bool
}

// RecNeed is what tasks of a team take. It stands here so that the team's limit
// can be counted even when the job is over.
type RecNeed struct {
	_    struct{} `cbor:",toarray"`
	Team string
	CPUs float64
	Acc  float64
	Mem  float64
}

// RecJob is a job as its placements need it; Need is below 0 if it has none here.
type RecJob struct {
	_    struct{} `cbor:",toarray"`
	UID  string
	Need int
}

// RecMachine is a machine with placements. Tick is that of the last report taken:
// a new owner ignores copies of older ones. Runs are ranges of tasks that were
// placed together, "job.try:tasks" by their places in the lists, parted by
// semicolons; "job.try@shift:tasks" where they belong to another session.
type RecMachine struct {
	_     struct{} `cbor:",toarray"`
	ID    string
	Kind  int
	Shift uint64
	Tick  uint64
	Runs  string
}

// run is one of a machine's runs.
type run struct {
	job, try int
	shift    uint64
	tasks    job.Ranges
}

func (r *run) write(b *strings.Builder, shift uint64) {
	if b.Len() > 0 {
		b.WriteByte(';')
	}
	fmt.Fprintf(b, "%d.%d", r.job, r.try)
	if r.shift != shift {
		fmt.Fprintf(b, "@%d", r.shift)
	}
	b.WriteByte(':')
	b.WriteString(r.tasks.String())
}

func parseRun(s string, shift uint64) (r run, err error) {
	head, tasks, ok := strings.Cut(s, ":")
	head, at, other := strings.Cut(head, "@")
	j, t, two := strings.Cut(head, ".")
	if !ok || !two {
		return r, fmt.Errorf("run: %q", s)
	}
	r.shift = shift
	if r.job, err = strconv.Atoi(j); err == nil {
		r.try, err = strconv.Atoi(t)
	}
	if err == nil && other {
		r.shift, err = strconv.ParseUint(at, 10, 64)
	}
	if err == nil {
		r.tasks, err = job.ParseRanges(tasks)
	}
	return r, err
}

// RecDone is one job's finished tasks.
type RecDone struct {
	_     struct{} `cbor:",toarray"`
	Job   int
	Tasks string
}

// ShardPrefix is common to all shards' keys.
const ShardPrefix = "shards/"

// ShardKey is where a shard of a part stands.
func ShardKey(part, chunk int) string { return fmt.Sprintf("%s%03d/%d", ShardPrefix, part, chunk) }

// ParseShardKey takes a shard's key apart.
func ParseShardKey(key string) (part, chunk int, err error) {
	_, err = fmt.Sscanf(strings.TrimPrefix(key, ShardPrefix), "%d/%d", &part, &chunk)
	return part, chunk, err
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

// rowBytes is what a job's row of finished tasks takes beside their ranges.
const rowBytes = 9

// Size is the length of the record in its JSON form, at the most, with room for
// all that is placed to be done as well: what ends never makes a record outgrow
// its value.
func (r *Record) Size() int {
	n := 80
	for _, k := range r.Kinds {
		n += len(k.Flavor) + len(k.Zone) + 14
	}
	for _, k := range r.Needs {
		n += len(k.Team) + 6 + numberBytes(k.CPUs) + numberBytes(k.Acc) + numberBytes(k.Mem)
	}
	for _, j := range r.Jobs {
		n += len(j.UID) + digits(uint64(j.Need)) + 6 + rowBytes
	}
	for _, t := range r.Tries {
		n += digits(t) + 1
	}
	for i := range r.Machines {
		m := &r.Machines[i]
		n += len(m.ID) + digits(uint64(m.Kind)) + digits(m.Shift) + digits(m.Tick) + 11
		n += len(m.Runs) + 3
		for text := range strings.SplitSeq(m.Runs, ";") {
			_, tasks, _ := strings.Cut(text, ":")
			n += len(tasks) + 1 // once more as finished
		}
	}
	for _, d := range r.Done {
		n += len(d.Tasks)
	}
	return n
}

// doneSize is what of it the finished tasks take.
func (r *Record) doneSize() (n int) {
	for _, d := range r.Done {
		n += len(d.Tasks) + rowBytes
	}
	return n
}

// each gives all placements of a record with their machines.
func (r *Record) each(f func(m *RecMachine, kind RecKind, pl *Placement)) error {
	for i := range r.Machines {
		m := &r.Machines[i]
		if m.Kind < 0 || m.Kind >= len(r.Kinds) {
			return fmt.Errorf("machine %s: no such kind", m.ID)
		}
		for text := range strings.SplitSeq(m.Runs, ";") {
			run, err := parseRun(text, m.Shift)
			if err != nil {
				return fmt.Errorf("machine %s: %w", m.ID, err)
			}
			if run.job < 0 || run.job >= len(r.Jobs) || run.try < 0 || run.try >= len(r.Tries) ||
				r.Jobs[run.job].Need < 0 || r.Jobs[run.job].Need >= len(r.Needs) {
				return fmt.Errorf("machine %s: no such job, need or try", m.ID)
			}
			j := r.Jobs[run.job]
			need := r.Needs[j.Need]
			for i := range run.tasks.All() {
				f(m, r.Kinds[m.Kind], &Placement{Task: job.Task{Job: j.UID, Index: i}, Try: r.Base + r.Tries[run.try], Session: run.shift,
					Need: job.Need{CPUs: need.CPUs, Acc: need.Acc, Mem: need.Mem}, Team: need.Team, committed: true})
			}
		}
	}
	return nil
}

// Check tells whether all that a record holds can be read. A record that would be empty is
// deleted, so one that seems empty is no record.
func (r *Record) Check() error {
	if len(r.Machines)+len(r.Done) == 0 {
		return errors.New("no placements and no finished tasks")
	}
	if err := r.each(func(*RecMachine, RecKind, *Placement) {}); err != nil {
		return err
	}
	return r.done(func(job.Task) {})
}

// done gives all finished tasks of a record.
func (r *Record) done(f func(t job.Task)) error {
	for _, d := range r.Done {
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

// writer builds a record.
type writer struct {
	rec   Record
	kinds map[RecKind]int
	needs map[RecNeed]int
	jobs  map[string]int
	tries map[uint64]int
	done  map[string]*job.Ranges
}

func newWriter() *writer {
	return &writer{kinds: map[RecKind]int{}, needs: map[RecNeed]int{}, jobs: map[string]int{}, tries: map[uint64]int{}, done: map[string]*job.Ranges{}}
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

// machine writes the row of a machine.
func (w *writer) machine(m *Machine, all []*Placement) {
	row := RecMachine{ID: m.ID, Kind: intern(w.kinds, &w.rec.Kinds, RecKind{Flavor: m.Flavor, Zone: m.Zone, Spot: m.Spot}), Shift: m.shift, Tick: m.tick}
	type key struct {
		job, try int
		shift    uint64
	}
	at := map[key]int{}
	var runs []run
	for _, pl := range all {
		need := intern(w.needs, &w.rec.Needs, RecNeed{Team: pl.Team, CPUs: pl.Need.CPUs, Acc: pl.Need.Acc, Mem: pl.Need.Mem})
		k := key{w.job(pl.Task.Job, need), intern(w.tries, &w.rec.Tries, pl.Try), pl.Session}
		i, ok := at[k]
		if !ok {
			i = len(runs)
			at[k] = i
			runs = append(runs, run{job: k.job, try: k.try, shift: k.shift})
		}
		runs[i].tasks.Add(pl.Task.Index)
	}
	var text strings.Builder
	for i := range runs {
		runs[i].write(&text, m.shift)
	}
	row.Runs = text.String()
	w.rec.Machines = append(w.rec.Machines, row)
}

// job finds or makes a job's row.
func (w *writer) job(uid string, need int) int {
	j, ok := w.jobs[uid]
	if !ok {
		j = len(w.rec.Jobs)
		w.jobs[uid] = j
		w.rec.Jobs = append(w.rec.Jobs, RecJob{UID: uid, Need: need})
	} else if need >= 0 && w.rec.Jobs[j].Need < 0 {
		w.rec.Jobs[j].Need = need
	}
	return j
}

// finished adds a task that completed.
func (w *writer) finished(t job.Task) {
	if w.done[t.Job] == nil {
		w.done[t.Job] = &job.Ranges{}
	}
	w.done[t.Job].Add(t.Index)
}

// size is about what the record takes as far as it is written.
func (w *writer) size() int {
	n := w.rec.Size()
	for _, r := range w.done {
		n += 8*r.Spans() + rowBytes
	}
	return n
}

func (w *writer) record() *Record {
	for _, uid := range slices.Sorted(maps.Keys(w.done)) {
		w.rec.Done = append(w.rec.Done, RecDone{Job: w.job(uid, -1), Tasks: w.done[uid].String()})
	}
	if len(w.rec.Tries) > 0 {
		w.rec.Base = slices.Min(w.rec.Tries)
		for i := range w.rec.Tries {
			w.rec.Tries[i] -= w.rec.Base
		}
	}
	return &w.rec
}

// Shown gives the machines of an owner's records as a digest would, for a divider
// that has not yet heard from it. A machine that stands in several of them is shown
// once, with all that it holds.
func Shown(records []Record, caps Caps, now time.Time) (states []State, done []DoneTask, err error) {
	machines := map[string]*Machine{}
	var order []*Machine
	for i := range records {
		err := records[i].each(func(rm *RecMachine, k RecKind, pl *Placement) {
			m := machines[rm.ID]
			if m == nil {
				m = &Machine{ID: rm.ID, Flavor: k.Flavor, Zone: k.Zone, Spot: k.Spot}
				m.cap, _ = caps(m.Flavor)
				machines[rm.ID] = m
				order = append(order, m)
			}
			pl.inherited, pl.since = true, now
			m.runs = append(m.runs, pl)
		})
		if err == nil {
			err = records[i].done(func(t job.Task) { done = append(done, DoneTask{Task: t}) })
		}
		if err != nil {
			return nil, nil, err
		}
	}
	for _, m := range order {
		states = append(states, m.state(now))
	}
	return states, done, nil
}
