package partition

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"junipershelf/job"
	"junipershelf/protocol"
)

// A partition's records, over drawn histories: what is read back is what was placed, no record
// outgrows its value in JSON form even when all that runs completes, and what finds no room in
// one goes to the next or waits.
func TestRecordsHoldAllThatRunsOrHasCompleted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := newRecordsModel(t)
		actions := map[string]func(*rapid.T){
			"assign":        x.assign,
			"commit":        x.commit,
			"complete task": x.completeTask,
			"":              x.check,
		}
		for range recordsModelRepeats {
			t.Repeat(actions)
		}
	})
}

const (
	recordsModelMachines = 12
	recordsModelJobs     = 30
	// recordsModelRepeats makes histories of some 90 steps, as one repetition has 30.
	recordsModelRepeats = 3
)

// recordsModel is a partition with its workers and the key-value store. Its plain model is the
// lists of what runs on each machine and of what has completed.
type recordsModel struct {
	partition  *Partition
	now        time.Time
	assigned   uint64            // sequence number of the last assignment, and index of its task
	heartbeats map[string]uint64 // sequence number of the last one, by machine
	sentAt     map[string]time.Time
	revision   uint64
	stored     map[string]Record
	running    map[string]map[job.Task]uint64 // attempts by machine
	completed  map[job.Task]bool
}

func newRecordsModel(t *rapid.T) *recordsModel {
	jobs := job.NewCache(map[string]int{"red": 0})
	for i := range recordsModelJobs {
		spec := jobSpec(modelJob(i), 9000)
		spec.Team, spec.Priority, spec.SpotAllowed = "red", "normal", true
		if err := jobs.Set(spec.UID, job.Record{Spec: spec}, 1, t0); err != nil {
			t.Fatal(err)
		}
	}
	jobs.SetSyncedAt(t0.Add(time.Hour))
	cfg := testConfig
	cfg.ValueBytes = 1500
	capacity := func(string) (job.Resources, bool) { return job.Resources{CPUs: 8, MemoryGB: 64}, true }
	x := &recordsModel{
		partition: New(cfg, 5, 0, t0, capacity, jobs), now: at(1), heartbeats: map[string]uint64{}, sentAt: map[string]time.Time{},
		stored: map[string]Record{}, running: map[string]map[job.Task]uint64{}, completed: map[job.Task]bool{},
	}
	for i := range recordsModelMachines {
		x.running[modelMachine(i)] = map[job.Task]uint64{}
		x.sendHeartbeat(t, modelMachine(i), job.Task{})
	}
	return x
}

func modelJob(i int) string { return fmt.Sprintf("wk-%09d", i) }

func modelMachine(i int) string { return fmt.Sprintf("i-%06d", i) }

func drawMachine(t *rapid.T) string {
	return modelMachine(rapid.IntRange(0, recordsModelMachines-1).Draw(t, "machine"))
}

// tick lets time pass. Workers that have been silent for half a lease send a heartbeat, so that none
// loses its lease and stops its tasks.
func (x *recordsModel) tick(t *rapid.T) {
	x.now = x.now.Add(100 * time.Millisecond)
	for i := range recordsModelMachines {
		machine := modelMachine(i)
		if x.now.Sub(x.sentAt[machine]) >= x.partition.cfg.Lease/2 {
			x.sendHeartbeat(t, machine, job.Task{})
		}
	}
}

// assign assigns new tasks to a machine.
func (x *recordsModel) assign(t *rapid.T) {
	x.tick(t)
	machine := drawMachine(t)
	for range rapid.IntRange(1, 9).Draw(t, "tasks") {
		x.assigned++
		uid := modelJob(rapid.IntRange(0, recordsModelJobs-1).Draw(t, "job"))
		assignTask(x.partition, x.now, x.assigned, uid, int(x.assigned), machine, 0)
	}
	x.partition.Tick(x.now)
}

// commit carries the next commit out, or refuses it.
func (x *recordsModel) commit(t *rapid.T) {
	x.tick(t)
	c := x.partition.NextCommit(x.now, rapid.IntRange(1, 9).Draw(t, "limit"))
	if c == nil {
		return
	}
	if rapid.IntRange(0, 4).Draw(t, "fate") == 0 {
		x.partition.CommitRefused(c)
		return
	}
	x.revision++
	for _, w := range c.Shards {
		x.store(t, w)
	}
	x.partition.CommitApplied(c, x.revision, x.now)
}

// store stores a record, which must not be larger than a value or than was computed.
func (x *recordsModel) store(t *rapid.T, w ShardWrite) {
	if w.Record == nil {
		delete(x.stored, w.Key)
		return
	}
	x.stored[w.Key] = *w.Record
	if n := jsonBytes(t, w.Record); n > w.Bytes || n > x.partition.cfg.ValueBytes {
		t.Fatalf("%s takes %d bytes, computed as %d, of %d", w.Key, n, w.Bytes, x.partition.cfg.ValueBytes)
	}
}

// completeTask lets the first task of a machine complete, or sends a heartbeat if it runs none.
func (x *recordsModel) completeTask(t *rapid.T) {
	x.tick(t)
	machine := drawMachine(t)
	var first job.Task
	for task := range x.running[machine] {
		if first.Job == "" || task.Compare(first) < 0 {
			first = task
		}
	}
	x.sendHeartbeat(t, machine, first)
}

// sendHeartbeat sends a heartbeat, which reports that a task has completed if the machine runs it,
// and obeys the commands of the reply.
func (x *recordsModel) sendHeartbeat(t *rapid.T, machine string, completed job.Task) {
	x.heartbeats[machine]++
	x.sentAt[machine] = x.now
	sequence := x.heartbeats[machine]
	var tasks []protocol.ReportedTask
	for task, attempt := range x.running[machine] {
		if task == completed {
			tasks = append(tasks, completedTask(task.Job, task.Index, attempt))
			x.completed[task] = true
		} else {
			tasks = append(tasks, runningTask(task.Job, task.Index, attempt))
		}
	}
	delete(x.running[machine], completed)
	x.partition.HandleHeartbeat(x.now, heartbeat(machine, 1, sequence, 5, tasks...))
	x.partition.TickMachine(x.now, machine)
	for _, c := range x.partition.Commands(x.now, machine, 1, sequence) {
		if c.Kind == protocol.CommandStart {
			x.start(t, machine, c)
		}
	}
}

// start starts a task, which must not run elsewhere and must not have completed.
func (x *recordsModel) start(t *rapid.T, machine string, c protocol.Command) {
	uid, index, err := protocol.ParseTaskName(c.Task)
	if err != nil {
		t.Fatal(err)
	}
	task := job.Task{Job: uid, Index: index}
	for other, running := range x.running {
		if running[task] != 0 {
			t.Fatalf("%v started on %s while on %s", task, machine, other)
		}
	}
	if x.completed[task] {
		t.Fatalf("%v started again", task)
	}
	x.running[machine][task] = c.Attempt
}

// check checks that the store knows of all that runs, and of all that has completed or, until
// that is committed, where it was placed.
func (x *recordsModel) check(t *rapid.T) {
	placed := map[job.Task]string{}
	completed := map[job.Task]bool{}
	for _, rec := range x.stored {
		_ = rec.eachPlacement(func(m *RecordMachine, _ RecordKind, pl *Placement) { placed[pl.Task] = m.ID })
		_ = rec.eachCompleted(func(task job.Task) { completed[task] = true })
	}
	for machine, running := range x.running {
		for task := range running {
			if placed[task] != machine {
				t.Fatalf("%v runs on %s, the store says %q", task, machine, placed[task])
			}
		}
	}
	for task := range completed {
		if !x.completed[task] {
			t.Fatalf("%v is recorded as completed", task)
		}
	}
	for task := range x.completed {
		if !completed[task] && placed[task] == "" {
			t.Fatalf("%v is lost from the store", task)
		}
	}
}

// Large machines stand in few records, whatever they could hold: once a record took
// each machine with all its CPUs, three of 64, and 590 machines needed 200 records. A
// machine that is in two of them is reported to a new leader with all that it holds.
func TestLargeMachinesShareFewRecords(t *testing.T) {
	jobs := newJobCache(t, protocol.JobSpec{UID: "wk-1", Tasks: 900, CPUs: 16, MemGB: 1})
	large := func(string) (job.Resources, bool) { return job.Resources{CPUs: 64, MemoryGB: 640}, true }
	p := New(testConfig, 5, 0, t0, large, jobs)
	sequence, stored := uint64(0), map[string]Record{}
	for n := range 120 {
		id := fmt.Sprintf("i-%06d", n)
		p.HandleHeartbeat(at(1), heartbeat(id, 1, 1, 5))
		for k := range 4 {
			sequence++
			assignTask(p, at(1), sequence, "wk-1", 4*n+k, id, 0)
		}
	}
	p.Tick(at(1))
	for range 9 {
		c := p.NextCommit(at(1), 1)
		if c == nil {
			break
		}
		for _, w := range c.Shards {
			stored[w.Key] = *w.Record
		}
		p.CommitApplied(c, 9, at(1))
	}
	placed := map[job.Task]bool{}
	for _, rec := range stored {
		_ = rec.eachPlacement(func(_ *RecordMachine, _ RecordKind, pl *Placement) { placed[pl.Task] = true })
	}
	if len(placed) != 480 || len(stored) > 3 {
		t.Errorf("%d of 480 tasks stand in %d records", len(placed), len(stored))
	}
	states, _, err := StatesFromRecords([]Record{recordOf(1, placementOf("wk-1", 0, 77)), recordOf(1, placementOf("wk-1", 1, 78))}, quadCapacity, t0)
	if err != nil || len(states) != 1 || len(states[0].Held) != 1 || states[0].Held[0].Tasks.Len() != 2 {
		t.Errorf("a machine of two records: %+v, %v", states, err)
	}
}

// A fleet of 4,000 and one of 6,000 machines find room in records at the smallest values and
// transactions that the settings allow, and each is written as few times as records hold it.
func TestLargeFleetsFitSmallRecords(t *testing.T) {
	for _, c := range []struct{ fleet, valueBytes, changes int }{{4000, 2048, 4}, {6000, 2048, 4}, {6000, 8192, 16}} {
		x := newLargePartition(t, c.fleet, c.valueBytes, c.changes)
		x.fill(0)
		changes := x.commitAll()
		placed, bytes := 0, 0
		for _, id := range x.ids {
			for _, pl := range x.partition.machines.get(id).placements {
				if pl.committed {
					placed++
				}
			}
		}
		for _, s := range x.partition.layout.shards {
			bytes += s.bytes
			if s.bytes > c.valueBytes {
				t.Errorf("a record of %d bytes in values of %d", s.bytes, c.valueBytes)
			}
		}
		if placed != len(x.ids)*slotsPerMachine {
			t.Errorf("%d of %d tasks are placed", placed, len(x.ids)*slotsPerMachine)
		}
		if minimum := bytes / c.valueBytes; changes > 2*minimum+14 {
			t.Errorf("%d machines: %d changes where %d records would do", c.fleet, changes, minimum)
		}
		t.Logf("%d machines, values of %d bytes: an owner's %d tasks in %d records, %d changes", c.fleet, c.valueBytes, placed, len(x.partition.layout.shards), changes)
	}
}
