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

// Guards against a gang that waited for ever beside a zone with room for all of it: its first task took the
// best machine, in a zone that lacked room for the others.
func TestGangInOneZoneTakesTheZoneThatFitsAllOfIt(t *testing.T) {
	cache := jobCache(protocol.JobSpec{UID: "wk-1", Team: "blue", CPUs: 2, Tasks: 3, Shape: protocol.ShapeGang, SameZone: true})
	sched := New(testConfig, teams(), 1, capacityOf, cache)
	update := firstUpdate(machine("a"), machine("b"), machine("c"))
	update.Machines[0].Free.CPUs = 2 // the fullest machine that fits a task is preferred
	update.Machines[1].Zone, update.Machines[2].Zone = "y", "y"
	sched.ApplyUpdate(0, update, t0)
	waiting := sched.RunCycle(t0)
	if got := len(assignedTasks(sched, 0)); got != 3 {
		t.Errorf("%d tasks are assigned, want 3", got)
	}
	for _, a := range sched.UnacknowledgedAssignments(0) {
		if a.Machine == "a" {
			t.Error("a task is assigned to the zone without room for all")
		}
	}
	if waiting[0].Tasks != 0 {
		t.Errorf("%d tasks count as waiting after all were assigned, want 0", waiting[0].Tasks)
	}
}
