package scheduler

import (
	"testing"

	"junipershelf/partition"
	"junipershelf/protocol"
)

// The unacknowledged assignments of a machine that is removed and returns still count, and the zone
// count of a job no longer includes the tasks of a removed machine.
func TestAssignmentsOutliveTheirMachine(t *testing.T) {
	spread := protocol.JobSpec{UID: "wk-1", Class: "q", Team: "red", CPUs: 1, MemGB: 1, Tasks: 2, SameZone: true}
	s := New(testConfig, teams(), 1, capacityOf, jobCache(spread))
	s.ApplyUpdate(0, firstUpdate(machine("a")), t0)
	s.RunCycle(t0)
	if n := len(assignedTasks(s, 0)); n != 2 {
		t.Fatalf("%d tasks are assigned, want 2", n)
	}
	s.ApplyUpdate(0, partition.Update{Sequence: 2, BaseVersion: 1, Version: 2, Removed: []string{"a"}}, t0)
	s.ApplyUpdate(0, partition.Update{Sequence: 3, BaseVersion: 2, Version: 3, Machines: []partition.MachineState{machine("a")}}, t0)
	if m := s.Machine("a"); m.FreeNow.CPUs != 2 || m.unackedTasks != 2 {
		t.Errorf("after the machine's return %v CPUs are free and %d tasks unacknowledged, want 2 and 2", m.FreeNow.CPUs, m.unackedTasks)
	}
	s.ApplyUpdate(0, partition.Update{Sequence: 4, BaseVersion: 3, Version: 4, Removed: []string{"a"}, AckedAssignment: s.cluster.owners[0].assignmentSequence}, t0)
	if n := s.cluster.entry("wk-1").zones["z"]; n != 0 {
		t.Errorf("%d tasks are counted in a zone without machines, want 0", n)
	}
}
