package scheduler

import (
	"fmt"
	"slices"
	"testing"

	"junipershelf/internal/limits"
	"junipershelf/partition"
)

// When there is one removal more than are retained, an owner that has not been sent the older ones
// is sent all machines again; an owner that is up to date is sent only changes.
func TestOwnerBehindPrunedRemovalsIsSentAllMachines(t *testing.T) {
	const retained = minRetainedRemovals
	s := New(testConfig, teams(), 1, capacityOf, jobCache())
	var states []partition.MachineState
	var ids []string
	for i := range retained + 1 {
		ids = append(ids, fmt.Sprintf("i-%05d", i))
		states = append(states, machine(ids[i]))
	}
	states = append(states, machine("z"))
	s.ApplyUpdate(0, firstUpdate(states...), t0)
	_, _, before := s.FleetSince(0)
	for i, step := range []struct {
		removed []string
		all     bool
	}{{ids[:retained], false}, {ids[retained:], true}} {
		n := uint64(i + 2)
		s.ApplyUpdate(0, partition.Update{Sequence: n, BaseVersion: n - 1, Version: n, Removed: step.removed}, t0)
		s.RunCycle(t0)
		known := s.BaseVersion(before)
		changed, removed, version := s.FleetSince(known)
		if (known == 0) != step.all || step.all != (s.Limits[limits.RemovedMachines] == 1) {
			t.Errorf("step %d: changes are sent since version %d and the limit was reached %d times, want all machines sent: %v", i, known, s.Limits[limits.RemovedMachines], step.all)
		}
		if step.all && (len(changed) != 1 || changed[0].ID != "z") || !step.all && len(removed) != retained {
			t.Errorf("step %d: %d changed and %d removed machines are sent", i, len(changed), len(removed))
		}
		if s.BaseVersion(version) != version {
			t.Errorf("step %d: an owner that is up to date is sent all machines", i)
		}
	}
}

// An owner is sent the removals that it does not know, except those of machines that have returned.
func TestChangeFeedListsRemovalsSinceAVersion(t *testing.T) {
	s := New(testConfig, teams(), 1, capacityOf, jobCache())
	s.ApplyUpdate(0, firstUpdate(machine("a"), machine("b"), machine("c")), t0)
	_, _, before := s.FleetSince(0)
	s.ApplyUpdate(0, partition.Update{Sequence: 2, BaseVersion: 1, Version: 2, Removed: []string{"c", "a"}}, t0)
	_, removed, after := s.FleetSince(before)
	if !slices.Equal(removed, []string{"a", "c"}) {
		t.Errorf("removed since the first version: %v, want [a c]", removed)
	}
	if _, removed, _ = s.FleetSince(after); len(removed) != 0 {
		t.Errorf("an owner that is up to date is sent %v as removed", removed)
	}
	s.ApplyUpdate(0, partition.Update{Sequence: 3, BaseVersion: 2, Version: 3, Machines: []partition.MachineState{machine("a")}}, t0)
	changed, removed, _ := s.FleetSince(before)
	if len(changed) != 1 || changed[0].ID != "a" || !slices.Equal(removed, []string{"c"}) {
		t.Errorf("after the return of a: changed %v, removed %v, want [a] and [c]", changed, removed)
	}
}
