package partition

import (
	"fmt"
	"testing"
	"time"

	"junipershelf/job"
	"junipershelf/protocol"
)

// The tests of this package simulate an agent, the leader and the key-value store: a test passes
// heartbeats and assignments to a Partition at chosen times (at), reads the commands (commandText) and
// the records to be written (nextCommit, recordText), and settles the commits
// (Partition.HandleCommitApplied, HandleCommitRefused, ReconcileShard). For example:
//
//	p := New(testConfig, 5, 0, t0, quadCapacity, newJobCache(t, jobSpec("wk-1", 2)))
//	p.HandleHeartbeat(at(1), heartbeat("a", 1, 1, 5))          // machine a: agent epoch 1, sequence 1, fencing token 5
//	assignTask(p, at(1), 1, "wk-1", 0, "a", 0)                 // the leader's assignment 1: task wk-1/0
//	p.Tick(at(1))                                              // creates its placement from the queue
//	p.HandleCommitApplied(nextCommit(t, p, at(1)), 10, at(1))  // its record is written at revision 10
//	p.Commands(at(1), "a", 1, 1)                               // the reply to the heartbeat: start wk-1/0
//
// Machines are of the type quad, which fits four tasks of jobSpec. The fencing token is the
// number of the view, so an agent that has received a reply in this view sends this view's number.

// t0 is the start time of the tests.
var t0 = time.Unix(1_000_000, 0)

// at returns the time s seconds after t0.
func at(s float64) time.Time { return t0.Add(time.Duration(s * float64(time.Second))) }

var testConfig = Config{
	Lease: 10 * time.Second, OwnershipLease: 6 * time.Second, HeartbeatInterval: time.Second, MaxCacheStaleness: time.Hour,
	Buddies: 10, LocalWait: 10 * time.Second, SilentLimit: 8 * time.Second, TransactionChanges: 16, ValueBytes: 8192, MaxPreCommitted: 2,
}

// quadCapacity is a CapacityOf that knows only the machine type quad.
func quadCapacity(machineType string) (job.Resources, bool) {
	return job.Resources{CPUs: 4, MemoryGB: 32}, machineType == "quad"
}

// newJobCache returns a job cache that stays fresh during a test, with jobs of normal priority.
func newJobCache(tb testing.TB, jobs ...protocol.JobSpec) *job.Cache {
	tb.Helper()
	cache := job.NewCache(map[string]int{"red": 0})
	for _, spec := range jobs {
		spec.Priority = "normal"
		addJob(tb, cache, spec)
	}
	cache.SetSyncedAt(t0.Add(time.Hour))
	return cache
}

// addJob adds a job of team red that may run on spot machines.
func addJob(tb testing.TB, cache *job.Cache, spec protocol.JobSpec) {
	tb.Helper()
	spec.Team, spec.SpotAllowed = "red", true
	if err := cache.Set(spec.UID, job.Record{Spec: spec}, 1, t0); err != nil {
		tb.Fatal(err)
	}
}

func jobSpec(uid string, tasks int) protocol.JobSpec {
	return protocol.JobSpec{UID: uid, Tasks: tasks, CPUs: 1, MemGB: 1, Image: "img"}
}

func heartbeat(machine string, agentEpoch, sequence, fencingToken uint64, tasks ...protocol.ReportedTask) *protocol.Heartbeat {
	return &protocol.Heartbeat{
		Machine: machine, MachineType: "quad", Zone: "z", Spot: true,
		AgentEpoch: agentEpoch, Sequence: sequence, FencingToken: fencingToken, Tasks: tasks,
	}
}

// assignTask applies an assignment of one task. gang is 0 if the task is in no gang.
func assignTask(p *Partition, now time.Time, seq uint64, uid string, index int, machine string, gang uint64) {
	var tasks job.Ranges
	tasks.Add(index)
	p.ApplyAssignments(now, []Assigned{{Seq: seq, Job: uid, Tasks: tasks, Machine: machine, Gang: gang}})
}

// nextCommit returns the next commit, and fails the test if there is none.
func nextCommit(t *testing.T, p *Partition, now time.Time) *Commit {
	t.Helper()
	c := p.NextCommit(now, 100)
	if c == nil {
		t.Fatal("nothing to commit")
	}
	return c
}

// hasCommit reports whether there is something to commit, without committing it.
func hasCommit(p *Partition, now time.Time) bool {
	c := p.NextCommit(now, 100)
	if c != nil {
		p.HandleCommitRefused(c)
	}
	return c != nil
}

// recordText lists the placements and completed tasks in a commit's records after encoding and
// decoding, or returns "deleted" if one of the records is deleted.
func recordText(t *testing.T, c *Commit) string {
	t.Helper()
	out := ""
	for _, w := range c.Shards {
		if w.Record == nil {
			return "deleted"
		}
		raw, err := protocol.Marshal(w.Record)
		if err != nil {
			t.Fatal(err)
		}
		var stored Record
		if err := protocol.Unmarshal(raw, &stored); err != nil {
			t.Fatal(err)
		}
		err = stored.eachPlacement(func(m *RecordMachine, _ RecordKind, pl *Placement) { out += pl.Task.String() + "@" + m.ID + ";" })
		if err != nil {
			t.Fatal(err)
		}
		if err := stored.eachCompleted(func(task job.Task) { out += task.String() + " done;" }); err != nil {
			t.Fatal(err)
		}
	}
	return out
}

// recordOf returns a record with placements on machine a, whose row has the given agent epoch.
func recordOf(agentEpoch uint64, placements ...*Placement) Record {
	w := newRecordWriter()
	w.addMachine(&Machine{ID: "a", MachineType: "quad", Zone: "z", Spot: true, contact: contact{agentEpoch: agentEpoch}}, placements)
	return *w.record()
}

func placementOf(uid string, index int, attempt uint64) *Placement {
	return &Placement{
		Task: job.Task{Job: uid, Index: index}, Attempt: attempt, AgentEpoch: 1,
		Resources: job.Resources{CPUs: 1, MemoryGB: 1}, Team: "red",
	}
}

func commandText(commands []protocol.Command) string {
	text := ""
	for _, c := range commands {
		text += fmt.Sprintf("%s %s;", c.Kind, c.Task)
	}
	return text
}

func assertEqual(t *testing.T, what, got, want string) {
	t.Helper()
	if got != want {
		t.Errorf("%s: got %q, want %q", what, got, want)
	}
}

// newPartitionWithPlacement returns a partition of view 5 with wk-1/0 committed on machine a and not
// started, and its job cache.
func newPartitionWithPlacement(t *testing.T) (*Partition, *job.Cache) {
	t.Helper()
	jobs := newJobCache(t, jobSpec("wk-1", 2), jobSpec("wk-2", 9))
	p := New(testConfig, 5, 0, t0, quadCapacity, jobs)
	p.HandleHeartbeat(at(1), heartbeat("a", 1, 1, 5))
	assignTask(p, at(1), 1, "wk-1", 0, "a", 0)
	p.Tick(at(1))
	assertEqual(t, "before the commit", commandText(p.Commands(at(1), "a", 1, 1)), "")
	c := nextCommit(t, p, at(1))
	assertEqual(t, "commit", recordText(t, c), "wk-1/0@a;")
	p.HandleCommitApplied(c, 10, at(1))
	return p, jobs
}

// attemptOf returns the attempt number of task wk-1/0 on machine a.
func attemptOf(p *Partition) uint64 {
	return p.machines.get("a").find(job.Task{Job: "wk-1"}).Attempt
}

func completedTask(uid string, index int, attempt uint64) protocol.ReportedTask {
	return protocol.ReportedTask{Task: protocol.TaskName(uid, index), Attempt: attempt, Status: protocol.TaskEnded, Cause: protocol.CauseDone}
}

func runningTask(uid string, index int, attempt uint64) protocol.ReportedTask {
	return protocol.ReportedTask{Task: protocol.TaskName(uid, index), Attempt: attempt, Status: protocol.TaskRunning}
}
