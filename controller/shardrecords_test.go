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

// recordSnapshot is the content of all shard records at one point in time.
type recordSnapshot struct {
	cluster   *simulatedCluster
	view      membership.View
	buckets   map[int]*bucketRecords
	placed    map[string]string   // by task: its machine
	recordsOf map[string][]string // by task: the keys of the records that list it as placed or completed
}

// readRecords reads all shard records once all goroutines are blocked. It checks that both versions
// can decode each record and that its machines belong to its bucket.
func (c *simulatedCluster) readRecords() *recordSnapshot {
	c.t.Helper()
	synctest.Wait()
	r := &recordSnapshot{cluster: c, buckets: map[int]*bucketRecords{}, placed: map[string]string{}, recordsOf: map[string][]string{}}
	if !c.store.Read(membership.ViewKey, &r.view) {
		c.t.Fatal("the key-value store has no view")
	}
	for _, key := range c.store.Keys(partition.ShardPrefix) {
		var raw cbor.RawMessage
		if !c.store.Read(key, &raw) {
			c.t.Fatalf("%s cannot be decoded", key)
		}
		r.add(key, raw)
	}
	return r
}

// add decodes and checks one record.
func (r *recordSnapshot) add(key string, raw []byte) {
	r.cluster.t.Helper()
	var record partition.Record
	var prodRec prodRecord
	if err := protocol.Unmarshal(roundTripRecord(r.cluster.t, key, raw), &prodRec); err != nil {
		r.cluster.t.Fatalf("%s: production version cannot decode it: %v", key, err)
	}
	if err := protocol.Unmarshal(raw, &record); err != nil {
		r.cluster.t.Fatalf("%s: new version cannot decode it: %v", key, err)
	}
	if err := record.Check(); err != nil {
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
	if err := r.buckets[bucket].merged.add(&prodRec); err != nil {
		r.cluster.t.Fatalf("%s: %v", key, err)
	}
	if err := r.addTasks(key, bucket, &prodRec); err != nil {
		r.cluster.t.Fatalf("%s: %v", key, err)
	}
}

// addTasks records which tasks a shard record lists.
func (r *recordSnapshot) addTasks(key string, bucket int, record *prodRecord) error {
	for _, m := range record.Machines {
		if want := r.view.BucketOf(m.ID); want != bucket {
			r.cluster.t.Errorf("%s lists machine %s, which belongs to bucket %d", key, m.ID, want)
		}
		for text := range strings.SplitSeq(m.Runs, ";") {
			run, err := parseProdRun(text, m.AgentEpoch)
			if err != nil {
				return err
			}
			for i := range run.tasks.All() {
				task := protocol.TaskName(record.Jobs[run.job].UID, i)
				r.placed[task] = m.ID
				r.recordsOf[task] = append(r.recordsOf[task], key)
			}
		}
	}
	for _, completed := range record.Completed {
		tasks, err := job.ParseRanges(completed.Tasks)
		if err != nil {
			return err
		}
		for i := range tasks.All() {
			task := protocol.TaskName(record.Jobs[completed.Job].UID, i)
			r.recordsOf[task] = append(r.recordsOf[task], key)
		}
	}
	return nil
}

// completedInJobRecord reports whether a task's job has ended or its job's record lists the task as completed.
func (c *simulatedCluster) completedInJobRecord(task string) bool {
	uid, i, _ := protocol.ParseTaskName(task)
	if c.store.Has(job.TerminalKey(uid)) {
		return true
	}
	var record prodJob
	if !c.store.Read(job.Key(uid), &record) {
		return false
	}
	done, err := job.ParseRanges(record.Done)
	return err == nil && done.Has(i)
}

// checkTasks checks that each started task was started only once and that no two shard records list it.
// A running task must be listed as placed. An ended task must be listed as placed or completed, unless
// its job has ended or its job's record lists it as completed. It returns the number of ended tasks.
func (r *recordSnapshot) checkTasks(when string, starts *startCounter) (completed int) {
	r.cluster.t.Helper()
	results := map[string]int{}
	r.cluster.cloud.WithLock(func() { maps.Copy(results, r.cluster.cloud.Results) })
	for task, count := range starts.all() {
		ended := results[task] > 0
		if ended {
			completed++
		}
		if count != 1 {
			r.cluster.t.Errorf("%s: %s was started %d times, want 1", when, task, count)
		}
		switch keys := r.recordsOf[task]; {
		case len(keys) > 1:
			r.cluster.t.Errorf("%s: %s is listed in %v, want one record", when, task, keys)
		case !ended && r.placed[task] == "":
			r.cluster.t.Errorf("%s: running task %s is placed in no record", when, task)
		case ended && len(keys) == 0 && !r.cluster.completedInJobRecord(task):
			r.cluster.t.Errorf("%s: completed task %s is in no record", when, task)
		}
	}
	return completed
}

// checkTasksDuring starts f and checks the tasks repeatedly for a duration.
func (c *simulatedCluster) checkTasksDuring(what string, starts *startCounter, duration time.Duration, f func()) {
	c.t.Helper()
	go f()
	for end := time.Now().Add(duration); time.Now().Before(end) && !c.t.Failed(); time.Sleep(200 * time.Millisecond) {
		c.readRecords().checkTasks(what, starts)
	}
}

// checkMachines checks, for each job with placed tasks, the machine with the lowest id of those that run
// tasks of the job: the records must place a task of the job on it.
func (r *recordSnapshot) checkMachines(when string) {
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
			r.cluster.t.Errorf("%s: %s runs on %s but is not placed there", when, uid, m)
		}
	}
}

// checkRecordCounts checks that each bucket has at least as many records as its placements fill, and at
// most as many as placements of four times that size would fill: a record leaves part of its value free,
// and reserves space to list all of its placed tasks as completed. It returns the number of buckets that
// need more than one record.
func (r *recordSnapshot) checkRecordCounts(when string, valueBytes int) (multiRecord int) {
	r.cluster.t.Helper()
	for bucket, b := range r.buckets {
		bytes, err := b.merged.bytes()
		if err != nil {
			r.cluster.t.Fatal(err)
		}
		minRecords, maxRecords := (bytes+valueBytes-1)/valueBytes, (4*bytes+valueBytes-1)/valueBytes
		if b.records < minRecords || b.records > maxRecords {
			r.cluster.t.Errorf("%s: bucket %d has %d records, want %d to %d for %d bytes of placements in records of at most %d bytes",
				when, bucket, b.records, minRecords, maxRecords, bytes, valueBytes)
		}
		if minRecords > 1 {
			multiRecord++
		}
	}
	return multiRecord
}
