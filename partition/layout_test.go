package partition

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"junipershelf/job"
	"junipershelf/protocol"
)

// Over random histories, a partition's records contain all running and completed tasks, and no record
// exceeds the maximum value size in its JSON form, even when all its tasks complete. Tasks that do not
// fit into one record go to the next one or wait.
func TestRecordsHoldAllRunningAndCompletedTasks(t *testing.T) {
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
	// recordsModelRepeats gives histories of about 90 steps, as one call of Repeat has 30.
	recordsModelRepeats = 3
)

// recordsModel is a partition with a simulated key-value store and simulated agents. The reference
// model is the tasks that run on each machine and those that have completed.
type recordsModel struct {
	partition  *Partition
	now        time.Time
	assigned   uint64            // sequence number of the last assignment, which is also its task's index
	heartbeats map[string]uint64 // sequence number of the last heartbeat, by machine
	sentAt     map[string]time.Time
	revision   uint64
	stored     map[string]Record
	running    map[string]map[job.Task]uint64 // attempt numbers of running tasks, by machine
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

// tick advances the time. Agents that have been silent for half a lease send a heartbeat, so that no
// lease expires.
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

// commit applies or refuses the next commit.
func (x *recordsModel) commit(t *rapid.T) {
	x.tick(t)
	c := x.partition.NextCommit(x.now, rapid.IntRange(1, 9).Draw(t, "limit"))
	if c == nil {
		return
	}
	if rapid.IntRange(0, 4).Draw(t, "outcome") == 0 {
		x.partition.HandleCommitRefused(c)
		return
	}
	x.revision++
	for _, w := range c.Shards {
		x.store(t, w)
	}
	x.partition.HandleCommitApplied(c, x.revision, x.now)
}

// store stores a record. It must not exceed the computed size or the maximum value size.
func (x *recordsModel) store(t *rapid.T, w ShardWrite) {
	if w.Record == nil {
		delete(x.stored, w.Key)
		return
	}
	x.stored[w.Key] = *w.Record
	if n := jsonBytes(t, w.Record); n > w.Bytes || n > x.partition.cfg.ValueBytes {
		t.Fatalf("record %s has %d bytes, want at most the computed %d and the limit of %d", w.Key, n, w.Bytes, x.partition.cfg.ValueBytes)
	}
}

// completeTask completes the first task of a machine, or only sends a heartbeat if it runs none.
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

// sendHeartbeat sends a machine's heartbeat, which reports a task as completed if the machine runs it,
// and executes the start commands of the reply.
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
			t.Fatalf("%v started on %s while it runs on %s", task, machine, other)
		}
	}
	if x.completed[task] {
		t.Fatalf("%v started again after it completed", task)
	}
	x.running[machine][task] = c.Attempt
}

// check checks that the stored records contain all running tasks, and for each completed task its
// completion or, until that is committed, its placement.
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
				t.Fatalf("%v runs on %s, but is stored as placed on %q", task, machine, placed[task])
			}
		}
	}
	for task := range completed {
		if !x.completed[task] {
			t.Fatalf("%v is stored as completed, but has not completed", task)
		}
	}
	for task := range x.completed {
		if !completed[task] && placed[task] == "" {
			t.Fatalf("%v has completed, but is in no stored record", task)
		}
	}
}

// Records reserve no space for all tasks that a machine could hold: when they did, a record fitted only
// three machines of 64 CPUs, and 590 machines needed 200 records. A machine that is in two
// records is reported to a new leader with the tasks of both.
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
		p.HandleCommitApplied(c, 9, at(1))
	}
	placed := map[job.Task]bool{}
	for _, rec := range stored {
		_ = rec.eachPlacement(func(_ *RecordMachine, _ RecordKind, pl *Placement) { placed[pl.Task] = true })
	}
	if len(placed) != 480 || len(stored) > 3 {
		t.Errorf("%d tasks in %d records, want 480 in at most 3", len(placed), len(stored))
	}
	states, _, err := StatesFromRecords([]Record{recordOf(1, placementOf("wk-1", 0, 77)), recordOf(1, placementOf("wk-1", 1, 78))}, quadCapacity, t0)
	if err != nil || len(states) != 1 || len(states[0].Held) != 1 || states[0].Held[0].Tasks.Len() != 2 {
		t.Errorf("a machine in two records: states %+v, error %v, want one state with both tasks", states, err)
	}
}

// The placements of fleets of 4,000 and 6,000 machines fit into records at the smallest limits on
// values and transactions that the settings allow, with few more changes than there are records.
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
				t.Errorf("a record has %d bytes, want at most %d", s.bytes, c.valueBytes)
			}
		}
		if placed != len(x.ids)*slotsPerMachine {
			t.Errorf("%d machines: %d tasks are placed, want %d", c.fleet, placed, len(x.ids)*slotsPerMachine)
		}
		if minimum := bytes / c.valueBytes; changes > 2*minimum+14 {
			t.Errorf("%d machines: %d changes, want at most %d for %d records", c.fleet, changes, 2*minimum+14, minimum)
		}
		t.Logf("%d machines, values of %d bytes: %d tasks of one owner in %d records, written with %d changes", c.fleet, c.valueBytes, placed, len(x.partition.layout.shards), changes)
	}
}
