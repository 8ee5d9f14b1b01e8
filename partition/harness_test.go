package partition

import (
	"fmt"
	"testing"
	"time"

	"junipershelf/job"
	"junipershelf/protocol"
)

var t0 = time.Unix(1_000_000, 0)

func at(s float64) time.Time { return t0.Add(time.Duration(s * float64(time.Second))) }

var testConfig = Config{
	Lease: 10 * time.Second, OwnershipLease: 6 * time.Second, HeartbeatInterval: time.Second, MaxCacheStaleness: time.Hour,
	Buddies: 10, LocalWait: 10 * time.Second, SilentLimit: 8 * time.Second, TransactionChanges: 16, ValueBytes: 8192, MaxPreCommitted: 2,
}

func caps(f string) (job.Resources, bool) { return job.Resources{CPUs: 4, MemoryGB: 32}, f == "quad" }

func newMirror(t *testing.T, jobs ...protocol.JobSpec) *job.Cache {
	t.Helper()
	m := job.NewCache(map[string]int{"red": 0})
	for _, s := range jobs {
		s.Team, s.Priority, s.SpotAllowed = "red", "normal", true
		if err := m.Set(s.UID, job.Record{Spec: s}, 1, t0); err != nil {
			t.Fatal(err)
		}
	}
	m.SetSyncedAt(t0.Add(time.Hour))
	return m
}

func jobOf(uid string, pieces int) protocol.JobSpec {
	return protocol.JobSpec{UID: uid, Tasks: pieces, CPUs: 1, MemGB: 1, Image: "img"}
}

func report(host string, session, sequence, token uint64, tasks ...protocol.ReportedTask) *protocol.Heartbeat {
	return &protocol.Heartbeat{Machine: host, MachineType: "quad", Zone: "z", Spot: true, AgentEpoch: session, Sequence: sequence, FencingToken: token, Tasks: tasks}
}

func assign(p *Partition, now time.Time, seq uint64, uid string, i int, machine string, group uint64) {
	var r job.Ranges
	r.Add(i)
	p.ApplyAssignments(now, []Assigned{{Seq: seq, Job: uid, Tasks: r, Machine: machine, Gang: group}})
}

// commit takes the next commit, which must be there.
func commit(t *testing.T, p *Partition, now time.Time) *Commit {
	t.Helper()
	c := p.NextCommit(now, 100)
	if c == nil {
		t.Fatal("nothing to commit")
	}
	return c
}

// recordText reads the placements and finished tasks of a commit's only record.
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
		var back Record
		if err := protocol.Unmarshal(raw, &back); err != nil {
			t.Fatal(err)
		}
		if err := back.eachPlacement(func(m *RecordMachine, _ RecordKind, pl *Placement) { out += pl.Task.String() + "@" + m.ID + ";" }); err != nil {
			t.Fatal(err)
		}
		if err := back.eachCompleted(func(tk job.Task) { out += tk.String() + " done;" }); err != nil {
			t.Fatal(err)
		}
	}
	return out
}

// record makes a shard's record with placements of one machine.
func record(machine string, shift uint64, pls ...*Placement) Record {
	w := newRecordWriter()
	w.addMachine(&Machine{ID: machine, MachineType: "quad", Zone: "z", Spot: true, contact: contact{agentEpoch: shift}}, pls)
	return *w.record()
}

func placement(uid string, i int, try uint64) *Placement {
	return &Placement{Task: job.Task{Job: uid, Index: i}, Attempt: try, AgentEpoch: 1, Resources: job.Resources{CPUs: 1, MemoryGB: 1}, Team: "red"}
}

// hasCommit tells whether a machine has something that is to be committed.
func hasCommit(p *Partition, now time.Time) bool {
	c := p.NextCommit(now, 100)
	if c != nil {
		p.CommitRefused(c)
	}
	return c != nil
}

func commandText(orders []protocol.Command) string {
	s := ""
	for _, o := range orders {
		s += fmt.Sprintf("%s %s;", o.Kind, o.Task)
	}
	return s
}

func wantEqual(t *testing.T, what, got, want string) {
	t.Helper()
	if got != want {
		t.Errorf("%s: %q, want %q", what, got, want)
	}
}

// placed sets up a part of view 5 with wk-1/0 committed on machine a.
func placed(t *testing.T) (*Partition, *job.Cache) {
	t.Helper()
	m := newMirror(t, jobOf("wk-1", 2), jobOf("wk-2", 9))
	p := New(testConfig, 5, 0, t0, caps, m)
	p.HandleHeartbeat(at(1), report("a", 1, 1, 5))
	assign(p, at(1), 1, "wk-1", 0, "a", 0)
	p.Tick(at(1))
	wantEqual(t, "before the commit", commandText(p.Commands(at(1), "a", 1, 1)), "")
	c := commit(t, p, at(1))
	wantEqual(t, "commit", recordText(t, c), "wk-1/0@a;")
	p.CommitApplied(c, 10, at(1))
	return p, m
}

func attemptOf(p *Partition, id string, tk job.Task) uint64 { return p.machines.get(id).find(tk).Attempt }

func endedReport(uid string, i int, try uint64, cause protocol.EndCause) protocol.ReportedTask {
	return protocol.ReportedTask{Task: protocol.TaskName(uid, i), Attempt: try, Status: "ended", Cause: cause}
}

func runningReport(uid string, i int, try uint64) protocol.ReportedTask {
	return protocol.ReportedTask{Task: protocol.TaskName(uid, i), Attempt: try, Status: "running"}
}
