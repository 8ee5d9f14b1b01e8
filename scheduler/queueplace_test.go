package scheduler

import (
	"testing"
	"time"

	"junipershelf/job"
	"junipershelf/partition"
	"junipershelf/protocol"
)

// Guards against tasks that are assigned to the queue of a machine where they will not start: they count as
// assigned, so no machine is requested for them.
func TestTaskIsQueuedOnlyWhereItIsExpectedToStart(t *testing.T) {
	short := func(cpus, ranS float64) partition.HeldTasks {
		return partition.HeldTasks{Job: "wk-1", Team: "blue", Resources: job.Resources{CPUs: cpus}, Tasks: tasks(0), Phase: partition.PhaseRunning, PhaseS: ranS}
	}
	replica := func(phase partition.Phase, stopping bool) partition.HeldTasks {
		return partition.HeldTasks{Job: "wk-2", Team: "blue", Resources: job.Resources{CPUs: 2}, Tasks: tasks(0), Phase: phase, Stopping: stopping}
	}
	for _, c := range []struct {
		name    string
		held    []partition.HeldTasks
		unacked bool // a replica is assigned to the machine, and its owner does not know of it yet
		queued  bool
	}{
		{"behind a task that ends", []partition.HeldTasks{short(4, 5)}, false, true},
		{"behind an overdue task", []partition.HeldTasks{short(4, 21)}, false, false},
		{"beside a replica", []partition.HeldTasks{short(2, 5), replica(partition.PhaseRunning, false)}, false, false},
		{"beside a replica that waits there", []partition.HeldTasks{short(4, 5), replica(partition.PhaseQueued, false)}, false, false},
		{"beside a replica that is being stopped", []partition.HeldTasks{short(2, 5), replica(partition.PhaseRunning, true)}, false, true},
		{"beside a replica that was just assigned", []partition.HeldTasks{short(4, 5)}, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			specs := []protocol.JobSpec{
				{UID: "wk-1", Team: "blue", CPUs: 1, Tasks: 1, ExpectedS: 10},
				{UID: "wk-2", Team: "blue", CPUs: 2, Tasks: 1, Shape: protocol.ShapeService},
				{UID: "wk-3", Team: "blue", CPUs: 3, Tasks: 1, ExpectedS: 10},
			}
			cache := jobCache(specs...)
			sched := New(testConfig, teams(), 1, capacityOf, cache)
			m := machine("a")
			m.Held, m.Free = c.held, job.Resources{CPUs: 0, MemoryGB: 32}
			sched.ApplyUpdate(0, firstUpdate(m), t0)
			if c.unacked {
				sched.placer.assign(sched.cluster.entry("wk-2"), sched.Machine("a"), []int{0}, noGang)
				sched.Machine("a").QueuedTasks = 0 // the replica is counted by its resources alone
			}
			sched.RunCycle(t0.Add(time.Millisecond))
			queued := false
			for _, task := range assignedTasks(sched, 0) {
				queued = queued || task.Job == "wk-3"
			}
			if queued != c.queued {
				t.Errorf("the task is queued: %v, want %v", queued, c.queued)
			}
		})
	}
}
