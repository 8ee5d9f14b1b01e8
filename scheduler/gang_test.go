package scheduler

import (
	"testing"

	"junipershelf/job"
	"junipershelf/partition"
	"junipershelf/protocol"
)

// The tasks of a gang are assigned all together or not at all, not while a task of an earlier
// attempt is held, and with the same gang number.
func TestGangIsAssignedWholeOrNotAtAll(t *testing.T) {
	for _, c := range []struct {
		tasks, expected int
		hasHeldTask     bool
	}{{6, 6, false}, {9, 0, false}, {6, 0, true}} {
		cache := jobCache(protocol.JobSpec{UID: "wk-1", Team: "blue", CPUs: 1, Tasks: c.tasks, Shape: protocol.ShapeGang})
		sched := New(testConfig, teams(), 1, capacityOf, cache)
		update := firstUpdate(machine("a"), machine("b"))
		if c.hasHeldTask {
			update.Machines[0].Held = []partition.HeldTasks{{Job: "wk-1", Team: "blue", Resources: job.Resources{CPUs: 1}, Tasks: tasks(5), Phase: partition.PhaseStarting}}
		}
		sched.ApplyUpdate(0, update, t0)
		sched.RunCycle(t0)
		if got := len(assignedTasks(sched, 0)); got != c.expected {
			t.Errorf("%d tasks, one held already %v: %d assigned, want %d", c.tasks, c.hasHeldTask, got, c.expected)
		}
		for _, a := range sched.UnacknowledgedAssignments(0) {
			if a.Gang == 0 || a.Gang != sched.UnacknowledgedAssignments(0)[0].Gang {
				t.Errorf("gang numbers are 0 or differ: %+v", sched.UnacknowledgedAssignments(0))
			}
		}
	}
}
