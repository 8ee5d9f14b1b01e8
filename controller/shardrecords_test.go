package controller_test

import (
	"maps"
	"strings"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"

	"junipershelf/job"
	"junipershelf/membership"
	"junipershelf/partition"
	"junipershelf/protocol"
)

// recordsRead is the content of all shard records at one moment.
type recordsRead struct {
	cluster   *simulatedCluster
	view      membership.View
	buckets   map[int]*bucketRecords
	placed    map[string]string   // by task: the machine that it is placed on
	recordsOf map[string][]string // by task: the records that hold it, placed or finished
}

// readRecords reads all shard records while nothing changes. It checks each by itself: both
// versions read it, and its machines are of its bucket.
func (c *simulatedCluster) readRecords() *recordsRead {
	c.t.Helper()
	synctest.Wait()
	r := &recordsRead{cluster: c, buckets: map[int]*bucketRecords{}, placed: map[string]string{}, recordsOf: map[string][]string{}}
	if !c.store.Read(membership.ViewKey, &r.view) {
		c.t.Fatal("there is no view")
	}
	for _, key := range c.store.Keys(partition.ShardPrefix) {
		var raw cbor.RawMessage
		if !c.store.Read(key, &raw) {
			c.t.Fatalf("%s cannot be read", key)
		}
		r.add(key, raw)
	}
	return r
}

// add takes one record in.
func (r *recordsRead) add(key string, raw []byte) {
	r.cluster.t.Helper()
	var own partition.Record
	var rec prodShard
	if err := protocol.Unmarshal(throughRecord(r.cluster.t, key, raw), &rec); err != nil {
		r.cluster.t.Fatalf("%s: production cannot read it: %v", key, err)
	}
	if err := protocol.Unmarshal(raw, &own); err != nil {
		r.cluster.t.Fatalf("%s: %v", key, err)
	}
	if err := own.Check(); err != nil {
		r.cluster.t.Fatalf("%s: %v", key, err)
	}
	bucket, _, err := partition.ParseShardKey(key)
	if err != nil {
		r.cluster.t.Fatal(err)
	}
	if r.buckets[bucket] == nil {
		r.buckets[bucket] = &bucketRecords{}
	}
	r.buckets[bucket].records++
	if err := r.buckets[bucket].merged.add(&rec); err != nil {
		r.cluster.t.Fatalf("%s: %v", key, err)
	}
	if err := r.addTasks(key, bucket, &rec); err != nil {
		r.cluster.t.Fatalf("%s: %v", key, err)
	}
}

// addTasks notes which tasks stand in a record.
func (r *recordsRead) addTasks(key string, bucket int, rec *prodShard) error {
	for _, m := range rec.Machines {
		if want := r.view.BucketOf(m.ID); want != bucket {
			r.cluster.t.Errorf("%s holds %s, which is of bucket %d", key, m.ID, want)
		}
		for text := range strings.SplitSeq(m.Runs, ";") {
			run, err := parseProdRun(text, m.Shift)
			if err != nil {
				return err
			}
			for i := range run.tasks.All() {
				task := protocol.TaskName(rec.Jobs[run.job].UID, i)
				r.placed[task] = m.ID
				r.recordsOf[task] = append(r.recordsOf[task], key)
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
			r.recordsOf[task] = append(r.recordsOf[task], key)
		}
	}
	return nil
}

// finishedInJob reports whether a task is done by its job's own record, or its job is.
func (c *simulatedCluster) finishedInJob(task string) bool {
	uid, i, _ := protocol.ParseTaskName(task)
	if c.store.Has(job.TerminalKey(uid)) {
		return true
	}
	var rec prodJob
	if !c.store.Read(job.Key(uid), &rec) {
		return false
	}
	done, err := job.ParseRanges(rec.Done)
	return err == nil && done.Has(i)
}

// checkTasks checks that each task that began has begun once and is in one record: placed
// while it runs, and placed or finished from its end until its job's record has it. It returns how
// many are finished.
func (r *recordsRead) checkTasks(when string, starts *startCounts) (finished int) {
	r.cluster.t.Helper()
	results := map[string]int{}
	r.cluster.cloud.WithLock(func() { maps.Copy(results, r.cluster.cloud.Results) })
	for task, begun := range starts.all() {
		over := results[task] > 0
		if over {
			finished++
		}
		if begun != 1 {
			r.cluster.t.Errorf("%s: %s began %d times", when, task, begun)
		}
		switch in := r.recordsOf[task]; {
		case len(in) > 1:
			r.cluster.t.Errorf("%s: %s is in %v", when, task, in)
		case !over && r.placed[task] == "":
			r.cluster.t.Errorf("%s: %s runs and is placed in no record", when, task)
		case over && len(in) == 0 && !r.cluster.finishedInJob(task):
			r.cluster.t.Errorf("%s: %s is finished and in no record", when, task)
		}
	}
	return finished
}

// checkTasksDuring checks the tasks again and again while something goes on.
func (c *simulatedCluster) checkTasksDuring(what string, starts *startCounts, lasts time.Duration, f func()) {
	c.t.Helper()
	go f()
	for end := time.Now().Add(lasts); time.Now().Before(end) && !c.t.Failed(); time.Sleep(200 * time.Millisecond) {
		c.readRecords().checkTasks(what, starts)
	}
}

// checkMachines checks of each job that the first machine that runs it is one where its tasks
// are placed.
func (r *recordsRead) checkMachines(when string) {
	r.cluster.t.Helper()
	machines := map[string]map[string]bool{} // by job
	for task, m := range r.placed {
		uid, _, _ := protocol.ParseTaskName(task)
		if machines[uid] == nil {
			machines[uid] = map[string]bool{}
		}
		machines[uid][m] = true
	}
	for uid, placed := range machines {
		if m := r.cluster.cloud.MachineOf(uid); m != "" && !placed[m] {
			r.cluster.t.Errorf("%s: %s runs on %s and is not placed there", when, uid, m)
		}
	}
}

// checkCounts checks that each bucket has as many records as its placements need, and at the
// most four times the room that they take: a record keeps some of its value free, and room for
// all that is placed in it to be finished. It returns how many buckets need more than one.
func (r *recordsRead) checkCounts(when string, value int) (grown int) {
	r.cluster.t.Helper()
	for bucket, b := range r.buckets {
		bytes, err := b.merged.bytes()
		if err != nil {
			r.cluster.t.Fatal(err)
		}
		least, most := (bytes+value-1)/value, (4*bytes+value-1)/value
		if b.records < least || b.records > most {
			r.cluster.t.Errorf("%s: bucket %d has %d records for %d bytes of placements, of %d each", when, bucket, b.records, bytes, value)
		}
		if least > 1 {
			grown++
		}
	}
	return grown
}
