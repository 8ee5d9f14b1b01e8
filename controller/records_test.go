package controller_test

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"

	"junipershelf/internal/emulator"
	"junipershelf/job"
	"junipershelf/membership"
	"junipershelf/partition"
	"junipershelf/protocol"
)

// bucketRecords is what stands in the records of one bucket.
type bucketRecords struct {
	records int
	whole   wholeRecord
}

// wholeRecord puts the rows of several records together as one record, in which each machine
// has one row and each kind, need, job and attempt is named once.
type wholeRecord struct {
	out  prodShard
	rows []map[wholeRun]*job.Ranges // of the machines
}

// wholeRun names a run of a machine's row: the places of its job and attempt, and its session.
type wholeRun struct {
	job, attempt int
	session      uint64
}

// place finds the place of a value in a list, which it joins if it is new.
func place[T comparable](list *[]T, x T) int {
	i := slices.Index(*list, x)
	if i < 0 {
		i = len(*list)
		*list = append(*list, x)
	}
	return i
}

func (w *wholeRecord) job(from *prodShard, i int) int {
	need := -1
	if n := from.Jobs[i].Need; n >= 0 {
		need = place(&w.out.Needs, from.Needs[n])
	}
	return place(&w.out.Jobs, prodRecJob{UID: from.Jobs[i].UID, Need: need})
}

func (w *wholeRecord) row(from *prodShard, m *prodRecMachine) map[wholeRun]*job.Ranges {
	i := slices.IndexFunc(w.out.Machines, func(o prodRecMachine) bool { return o.ID == m.ID })
	if i < 0 {
		i = len(w.out.Machines)
		w.out.Machines = append(w.out.Machines, prodRecMachine{ID: m.ID, Kind: place(&w.out.Kinds, from.Kinds[m.Kind]), Shift: m.Shift, Tick: m.Tick})
		w.rows = append(w.rows, map[wholeRun]*job.Ranges{})
	}
	return w.rows[i]
}

// add takes the placements of a record in.
func (w *wholeRecord) add(from *prodShard) error {
	for i := range from.Machines {
		m := &from.Machines[i]
		row := w.row(from, m)
		for text := range strings.SplitSeq(m.Runs, ";") {
			r, err := parseProdRun(text, m.Shift)
			if err != nil {
				return err
			}
			key := wholeRun{w.job(from, r.job), place(&w.out.Tries, from.Base+from.Tries[r.attempt]), r.session}
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
func (w *wholeRecord) bytes() (int, error) {
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

// recordsRead is all that stands in the shard records at one moment.
type recordsRead struct {
	d       *day
	view    membership.View
	buckets map[int]*bucketRecords
	placed  map[string]string   // by task: the machine that it is placed on
	stands  map[string][]string // by task: the records that hold it, placed or finished
}

// readRecords reads all shard records while nothing changes. It checks each by itself: both
// versions read it, and its machines are of its bucket.
func (d *day) readRecords() *recordsRead {
	d.t.Helper()
	synctest.Wait()
	r := &recordsRead{d: d, buckets: map[int]*bucketRecords{}, placed: map[string]string{}, stands: map[string][]string{}}
	if !d.store.Read(membership.ViewKey, &r.view) {
		d.t.Fatal("there is no view")
	}
	for _, key := range d.store.Keys(partition.ShardPrefix) {
		var raw cbor.RawMessage
		if !d.store.Read(key, &raw) {
			d.t.Fatalf("%s cannot be read", key)
		}
		r.take(key, raw)
	}
	return r
}

// take takes one record in.
func (r *recordsRead) take(key string, raw []byte) {
	r.d.t.Helper()
	var own partition.Record
	var rec prodShard
	if err := protocol.Unmarshal(throughRecord(r.d.t, key, raw), &rec); err != nil {
		r.d.t.Fatalf("%s: production cannot read it: %v", key, err)
	}
	if err := protocol.Unmarshal(raw, &own); err != nil {
		r.d.t.Fatalf("%s: %v", key, err)
	}
	if err := own.Check(); err != nil {
		r.d.t.Fatalf("%s: %v", key, err)
	}
	bucket, _, err := partition.ParseShardKey(key)
	if err != nil {
		r.d.t.Fatal(err)
	}
	if r.buckets[bucket] == nil {
		r.buckets[bucket] = &bucketRecords{}
	}
	r.buckets[bucket].records++
	if err := r.buckets[bucket].whole.add(&rec); err != nil {
		r.d.t.Fatalf("%s: %v", key, err)
	}
	if err := r.takeTasks(key, bucket, &rec); err != nil {
		r.d.t.Fatalf("%s: %v", key, err)
	}
}

// takeTasks notes which tasks stand in a record.
func (r *recordsRead) takeTasks(key string, bucket int, rec *prodShard) error {
	for _, m := range rec.Machines {
		if want := r.view.BucketOf(m.ID); want != bucket {
			r.d.t.Errorf("%s holds %s, which is of bucket %d", key, m.ID, want)
		}
		for text := range strings.SplitSeq(m.Runs, ";") {
			run, err := parseProdRun(text, m.Shift)
			if err != nil {
				return err
			}
			for i := range run.tasks.All() {
				task := protocol.TaskName(rec.Jobs[run.job].UID, i)
				r.placed[task] = m.ID
				r.stands[task] = append(r.stands[task], key)
			}
		}
	}
	for _, done := range rec.Done {
		tasks, err := job.ParseRanges(done.Tasks)
		if err != nil {
			return err
		}
		for i := range tasks.All() {
			task := protocol.TaskName(rec.Jobs[done.Job].UID, i)
			r.stands[task] = append(r.stands[task], key)
		}
	}
	return nil
}

// startCounts counts how often each task began to run.
type startCounts struct {
	mu sync.Mutex
	n  map[string]int
}

// watchStarts lets tasks run for as long as f says, and counts their starts.
func (d *day) watchStarts(f func(task string) time.Duration) *startCounts {
	c := &startCounts{n: map[string]int{}}
	d.cloud.RunFor = func(task string) time.Duration {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.n[task]++
		return f(task)
	}
	return c
}

func (c *startCounts) all() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.n)
}

// finishedInJob tells whether a task is done by its job's own record, or its job is.
func (d *day) finishedInJob(task string) bool {
	uid, i, _ := protocol.ParseTaskName(task)
	if d.store.Has(job.TerminalKey(uid)) {
		return true
	}
	var rec prodJob
	if !d.store.Read(job.Key(uid), &rec) {
		return false
	}
	done, err := job.ParseRanges(rec.Done)
	return err == nil && done.Has(i)
}

// checkTasks checks that each task that began has begun once and stands in one record: placed
// while it runs, and placed or finished from its end until its job's record has it. It tells how
// many are finished.
func (r *recordsRead) checkTasks(when string, starts *startCounts) (finished int) {
	r.d.t.Helper()
	results := map[string]int{}
	r.d.cloud.WithLock(func() { maps.Copy(results, r.d.cloud.Results) })
	for task, begun := range starts.all() {
		over := results[task] > 0
		if over {
			finished++
		}
		if begun != 1 {
			r.d.t.Errorf("%s: %s began %d times", when, task, begun)
		}
		switch in := r.stands[task]; {
		case len(in) > 1:
			r.d.t.Errorf("%s: %s stands in %v", when, task, in)
		case !over && r.placed[task] == "":
			r.d.t.Errorf("%s: %s runs and is placed in no record", when, task)
		case over && len(in) == 0 && !r.d.finishedInJob(task):
			r.d.t.Errorf("%s: %s is finished and stands in no record", when, task)
		}
	}
	return finished
}

// checkTasksDuring checks the tasks again and again while something goes on.
func (d *day) checkTasksDuring(what string, starts *startCounts, lasts time.Duration, f func()) {
	d.t.Helper()
	go f()
	for end := time.Now().Add(lasts); time.Now().Before(end) && !d.t.Failed(); time.Sleep(200 * time.Millisecond) {
		d.readRecords().checkTasks(what, starts)
	}
}

// checkMachines checks of each job that the first machine that runs it is one where its tasks
// are placed.
func (r *recordsRead) checkMachines(when string) {
	r.d.t.Helper()
	machines := map[string]map[string]bool{} // by job
	for task, m := range r.placed {
		uid, _, _ := protocol.ParseTaskName(task)
		if machines[uid] == nil {
			machines[uid] = map[string]bool{}
		}
		machines[uid][m] = true
	}
	for uid, placed := range machines {
		if m := r.d.cloud.MachineOf(uid); m != "" && !placed[m] {
			r.d.t.Errorf("%s: %s runs on %s and is not placed there", when, uid, m)
		}
	}
}

// checkCounts checks that each bucket has as many records as its placements need, and at the
// most four times the room that they take: a record keeps some of its value free, and room for
// all that is placed in it to be finished. It tells how many buckets need more than one.
func (r *recordsRead) checkCounts(when string, value int) (grown int) {
	r.d.t.Helper()
	for bucket, b := range r.buckets {
		bytes, err := b.whole.bytes()
		if err != nil {
			r.d.t.Fatal(err)
		}
		least, most := (bytes+value-1)/value, (4*bytes+value-1)/value
		if b.records < least || b.records > most {
			r.d.t.Errorf("%s: bucket %d has %d records for %d bytes of placements, of %d each", when, bucket, b.records, bytes, value)
		}
		if least > 1 {
			grown++
		}
	}
	return grown
}
