package partition

import (
	"testing"

	"junipershelf/protocol"
)

// The tasks of a gang share one attempt number, also when their machines have different owners.
func TestGangSharesItsAttemptNumberAcrossOwners(t *testing.T) {
	var attempts []uint64
	for index := range 2 {
		p := New(testConfig, 5, index, t0, quadCapacity, newJobCache(t, jobSpec("wk-1", 3)))
		p.HandleHeartbeat(at(1), heartbeat("a", 1, 1, 5))
		assignTask(p, at(1), 1, "wk-1", index, "a", 7)
		assignTask(p, at(1), 2, "wk-1", 2, "a", 0)
		p.Tick(at(1))
		for _, pl := range p.machines.get("a").placements {
			attempts = append(attempts, pl.Attempt)
		}
	}
	if attempts[0] != attempts[2] || attempts[0] == attempts[1] || attempts[1] == attempts[3] {
		t.Errorf("attempt numbers %v, want only the first and third to be equal", attempts)
	}
}

// On a full machine a few tasks are committed before they fit. They start in order, in the reply
// to the heartbeat that reports the end of another task, before that end is committed.
func TestPreCommittedTaskStartsInTheReplyThatReportsAnEnd(t *testing.T) {
	p := New(testConfig, 5, 0, t0, quadCapacity, newJobCache(t, jobSpec("wk-1", 40)))
	p.HandleHeartbeat(at(1), heartbeat("a", 1, 1, 5))
	for i := range 9 {
		assignTask(p, at(1), uint64(i+1), "wk-1", i, "a", 0)
	}
	p.Tick(at(1))
	c := nextCommit(t, p, at(1))
	assertEqual(t, "commit", recordText(t, c), "wk-1/0@a;wk-1/1@a;wk-1/2@a;wk-1/3@a;wk-1/4@a;wk-1/5@a;")
	p.HandleCommitApplied(c, 10, at(1))
	assertEqual(t, "first commands", commandText(p.Commands(at(1), "a", 1, 1)), "start wk-1/0;start wk-1/1;start wk-1/2;start wk-1/3;")
	attempt := attemptOf(p)
	p.HandleHeartbeat(at(2), heartbeat("a", 1, 2, 5, runningTask("wk-1", 0, attempt), completedTask("wk-1", 1, attempt),
		runningTask("wk-1", 2, attempt), runningTask("wk-1", 3, attempt)))
	p.TickMachine(at(2), "a")
	assertEqual(t, "commands after the end of a task", commandText(p.Commands(at(2), "a", 1, 2)), "start wk-1/4;")
	if s := p.Update(at(2)).Machines[0]; s.Free.CPUs != 4-8 {
		t.Errorf("reported free CPUs %v, want %v", s.Free.CPUs, 4-8)
	}
}

// An urgent task overtakes less urgent ones that wait on its machine, pre-committed or not, and gets
// the next slot. It does not overtake equally urgent ones.
func TestUrgentTasksOvertakeLessUrgentOnes(t *testing.T) {
	jobs := newJobCache(t, jobSpec("wk-1", 12))
	for _, spec := range []protocol.JobSpec{jobSpec("wk-2", 1), jobSpec("wk-3", 1)} {
		spec.Priority = "urgent"
		addJob(t, jobs, spec)
	}
	p := New(testConfig, 7, 0, t0, quadCapacity, jobs)
	p.HandleHeartbeat(at(0), heartbeat("a", 1, 1, 7))
	for i := range 9 {
		assignTask(p, at(0), uint64(i+1), "wk-1", i, "a", 0)
	}
	p.Tick(at(0))
	p.HandleCommitApplied(nextCommit(t, p, at(0)), 9, at(0))
	p.HandleHeartbeat(at(1), heartbeat("a", 1, 2, 7))
	starts := p.Commands(at(1), "a", 1, 2)
	assertEqual(t, "the first four", commandText(starts), "start wk-1/0;start wk-1/1;start wk-1/2;start wk-1/3;")
	assignTask(p, at(1), 10, "wk-2", 0, "a", 0)
	assignTask(p, at(1), 11, "wk-3", 0, "a", 0)
	p.Tick(at(1))
	p.HandleCommitApplied(nextCommit(t, p, at(1)), 10, at(1))
	var tasks []protocol.ReportedTask
	for _, c := range starts {
		tasks = append(tasks, runningTask("wk-1", len(tasks), c.Attempt))
	}
	tasks[0].Status, tasks[0].Cause = protocol.TaskEnded, protocol.CauseDone
	tasks[1].Status, tasks[1].Cause = protocol.TaskEnded, protocol.CauseDone
	p.HandleHeartbeat(at(2), heartbeat("a", 1, 3, 7, tasks...))
	assertEqual(t, "the next two slots", commandText(p.Commands(at(2), "a", 1, 3)), "start wk-2/0;start wk-3/0;")
}

// A replica overtakes tasks that wait on its machine and are not more urgent, pre-committed or not,
// and gets the next slot.
func TestReplicaOvertakesTasksThatAreNoMoreUrgent(t *testing.T) {
	service := jobSpec("wk-1", 1)
	service.Shape = protocol.ShapeService
	p := New(testConfig, 7, 0, t0, quadCapacity, newJobCache(t, service, jobSpec("wk-2", 12)))
	p.HandleHeartbeat(at(0), heartbeat("a", 1, 1, 7))
	for i := range 10 {
		assignTask(p, at(0), uint64(i+1), "wk-2", i, "a", 0)
	}
	p.Tick(at(0))
	p.HandleCommitApplied(nextCommit(t, p, at(0)), 9, at(0))
	p.HandleHeartbeat(at(1), heartbeat("a", 1, 2, 7))
	assertEqual(t, "the first four", commandText(p.Commands(at(1), "a", 1, 2)), "start wk-2/0;start wk-2/1;start wk-2/2;start wk-2/3;")
	assignTask(p, at(1), 11, "wk-1", 0, "a", 0)
	p.Tick(at(1))
	p.HandleCommitApplied(nextCommit(t, p, at(1)), 10, at(1))
	var tasks []protocol.ReportedTask
	for _, pl := range p.machines.get("a").placements {
		if pl.start == startSent {
			tasks = append(tasks, runningTask(pl.Task.Job, pl.Task.Index, pl.Attempt))
		}
	}
	tasks[0].Status, tasks[0].Cause = protocol.TaskEnded, protocol.CauseDone
	p.HandleHeartbeat(at(2), heartbeat("a", 1, 3, 7, tasks...))
	assertEqual(t, "the next slot", commandText(p.Commands(at(2), "a", 1, 3)), "start wk-1/0;")
}
