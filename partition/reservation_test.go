package partition

import (
	"fmt"
	"testing"
	"time"

	"junipershelf/job"
	"junipershelf/protocol"
)

// wideSpec returns a job of one task that needs most of a machine of type quad.
func wideSpec(uid string) protocol.JobSpec {
	return protocol.JobSpec{UID: uid, Tasks: 1, CPUs: 3, MemGB: 1, Image: "img"}
}

// reservationHarness is machine a of view 5 with its agent: it starts tasks, and reports those that run.
type reservationHarness struct {
	t         *testing.T
	partition *Partition
	sequence  uint64
	assigned  uint64
	revision  uint64
}

func newReservationHarness(t *testing.T, jobs *job.Cache) *reservationHarness {
	t.Helper()
	cfg := testConfig
	cfg.Lease = time.Hour
	h := &reservationHarness{t: t, partition: New(cfg, 5, 0, t0, quadCapacity, jobs)}
	h.heartbeat(1)
	return h
}

// assign assigns a task to the machine and commits its placement.
func (h *reservationHarness) assign(s float64, uid string, index int) {
	h.t.Helper()
	h.assigned++
	assignTask(h.partition, at(s), h.assigned, uid, index, "a", 0)
	h.tick(s)
}

// fill fills the machine with running tasks of wk-1, and returns their names.
func (h *reservationHarness) fill() (running []string) {
	h.t.Helper()
	for i := range 4 {
		h.assign(1, "wk-1", i)
		running = append(running, protocol.TaskName("wk-1", i))
	}
	h.heartbeat(2)
	h.heartbeat(3, running...)
	return running
}

// tick performs the periodic work, and commits what has changed.
func (h *reservationHarness) tick(s float64) {
	h.t.Helper()
	h.partition.Tick(at(s))
	if c := h.partition.NextCommit(at(s), 100); c != nil {
		h.revision++
		h.partition.HandleCommitApplied(c, h.revision, at(s))
	}
}

// heartbeat reports the given tasks as running, and returns the commands in the reply.
func (h *reservationHarness) heartbeat(s float64, running ...string) string {
	h.t.Helper()
	h.sequence++
	var reported []protocol.ReportedTask
	for _, name := range running {
		uid, index, err := protocol.ParseTaskName(name)
		if err != nil {
			h.t.Fatal(err)
		}
		pl := h.partition.machines.get("a").find(job.Task{Job: uid, Index: index})
		reported = append(reported, runningTask(uid, index, pl.Attempt))
	}
	h.partition.HandleHeartbeat(at(s), heartbeat("a", 1, h.sequence, 5, reported...))
	return commandText(h.partition.Commands(at(s), "a", 1, h.sequence))
}

// holds reports whether the owner holds a task, so that the leader does not assign it again.
func (h *reservationHarness) holds(task job.Task) bool {
	for _, state := range h.partition.States(at(0)) {
		for i := range state.Held {
			if state.Held[i].Job == task.Job && state.Held[i].Tasks.Has(task.Index) {
				return true
			}
		}
	}
	return false
}

// Guards against a task of an accepted job that never ran: it was pre-committed on a full machine, replicas
// overtook it and kept the machine for ever, and the leader was not told that it has no place. The shapes
// are those of jobs that may overflow and of jobs that may not.
func TestTaskBehindReplicasReturnsToTheLeader(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(spec *protocol.JobSpec)
	}{
		{"array", func(*protocol.JobSpec) {}},
		{"array in one zone", func(spec *protocol.JobSpec) { spec.SameZone = true }},
		{"array over several zones", func(spec *protocol.JobSpec) { spec.SpreadZones = true }},
		{"gang", func(spec *protocol.JobSpec) { spec.Shape = protocol.ShapeGang }},
		{"service that is less urgent", func(spec *protocol.JobSpec) { spec.Shape = protocol.ShapeService }},
	} {
		t.Run(c.name, func(t *testing.T) {
			waiting, service := wideSpec("wk-2"), protocol.JobSpec{UID: "wk-3", Tasks: 2, CPUs: 1, MemGB: 1, Shape: protocol.ShapeService, Priority: protocol.PriorityCritical}
			c.change(&waiting)
			jobs := newJobCache(t, jobSpec("wk-1", 4), waiting)
			addJob(t, jobs, service)
			h := newReservationHarness(t, jobs)
			h.fill()
			if waiting.Shape != protocol.ShapeService {
				h.assign(4, "wk-2", 0)
			}
			h.tick(5)
			h.assign(6, "wk-3", 0)
			h.assign(6, "wk-3", 1)
			if waiting.Shape == protocol.ShapeService {
				h.assign(6, "wk-2", 0) // behind the replicas of the other service
			}
			h.tick(7)
			h.tick(7.5)
			if h.holds(job.Task{Job: "wk-2"}) {
				t.Error("the task is still held behind replicas that leave it too little of the machine")
			}
			if !h.holds(job.Task{Job: "wk-3"}) || !h.holds(job.Task{Job: "wk-3", Index: 1}) {
				t.Error("a replica is not held any more")
			}
			if h.partition.Counts.Returned != 1 {
				t.Errorf("%d tasks are counted as returned, want 1", h.partition.Counts.Returned)
			}
		})
	}
}

// Guards against a task that waits for ever behind tasks that run much longer than expected: it returns to
// the leader once none of the tasks ahead of it has ended for twice the local wait, and not before.
func TestTaskReturnsToTheLeaderWhenNothingAheadOfItEnds(t *testing.T) {
	h := newReservationHarness(t, newJobCache(t, jobSpec("wk-1", 4), jobSpec("wk-2", 1)))
	running := h.fill()
	h.assign(4, "wk-2", 0)
	for s := 5.0; s <= 22; s++ {
		h.heartbeat(s, running...)
		h.tick(s)
	}
	if !h.holds(job.Task{Job: "wk-2"}) {
		t.Fatal("the task was returned before twice the local wait")
	}
	h.tick(26)
	if h.holds(job.Task{Job: "wk-2"}) {
		t.Error("the task is still held after twice the local wait")
	}
}

// A task that needs most of a machine keeps its reservation while the tasks ahead of it end one after the
// other, however long that takes: otherwise smaller tasks would take what becomes free, for ever.
func TestTaskKeepsItsReservationWhileTheMachineEmpties(t *testing.T) {
	h := newReservationHarness(t, newJobCache(t, jobSpec("wk-1", 4), wideSpec("wk-2")))
	running := h.fill()
	h.assign(4, "wk-2", 0)
	started := ""
	for s := 5.0; s <= 60 && started == ""; s++ {
		if int(s)%15 == 0 { // a task ends every 15 s
			running = running[:len(running)-1]
			ended := fmt.Sprintf("wk-1/%d", len(running))
			h.partition.machines.get("a").find(job.Task{Job: "wk-1", Index: len(running)}).end(outcomeCompleted)
			t.Log(s, "ended", ended)
		}
		started = h.heartbeat(s, running...)
		h.tick(s)
	}
	if started != "start wk-2/0;" {
		t.Errorf("the commands after three tasks have ended are %q, want the start of the wide task", started)
	}
}

// A queued task that replicas leave too little of the machine for returns at once, without a commit.
func TestQueuedTaskBehindReplicasReturnsToTheLeader(t *testing.T) {
	service := protocol.JobSpec{UID: "wk-3", Tasks: 2, CPUs: 1, MemGB: 1, Shape: protocol.ShapeService, Priority: protocol.PriorityCritical}
	jobs := newJobCache(t, wideSpec("wk-2"))
	addJob(t, jobs, service)
	cfg := testConfig
	cfg.MaxPreCommitted = 0
	p := New(cfg, 5, 0, t0, quadCapacity, jobs)
	p.HandleHeartbeat(at(1), heartbeat("a", 1, 1, 5))
	assignTask(p, at(1), 1, "wk-3", 0, "a", 0)
	assignTask(p, at(1), 2, "wk-3", 1, "a", 0)
	assignTask(p, at(1), 3, "wk-2", 0, "a", 0)
	p.Tick(at(1)) // creates the replicas' placements
	p.Tick(at(2))
	if m := p.machines.get("a"); len(m.queue) != 0 || len(m.placements) != 2 {
		t.Errorf("%d tasks are queued and %d placed, want none and 2", len(m.queue), len(m.placements))
	}
}
