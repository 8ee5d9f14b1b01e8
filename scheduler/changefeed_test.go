package scheduler

import (
	"fmt"
	"slices"
	"testing"

	"junipershelf/internal/limits"
	"junipershelf/partition"
)

// With one removal more than is remembered, an owner that has not been sent the older ones is
// sent all machines anew; one that is up to date is sent what is new.
func TestOwnerBehindForgottenRemovalsIsSentAllMachines(t *testing.T) {
	const remembered = minRemembered
	s := New(testConfig, teams(), 1, capacityOf, jobCache())
	var states []partition.MachineState
	var ids []string
	for i := range remembered + 1 {
		ids = append(ids, fmt.Sprintf("i-%05d", i))
		states = append(states, machine(ids[i]))
	}
	states = append(states, machine("z"))
	s.ApplyUpdate(0, firstUpdate(states...), t0)
	_, _, before := s.FleetSince(0)
	for i, step := range []struct {
		removed []string
		all     bool
	}{{ids[:remembered], false}, {ids[remembered:], true}} {
		n := uint64(i + 2)
		s.ApplyUpdate(0, partition.Update{Sequence: n, BaseVersion: n - 1, Version: n, Removed: step.removed}, t0)
		s.RunCycle(t0)
		known := s.KnownVersion(before)
		changed, gone, version := s.FleetSince(known)
		if (known == 0) != step.all || step.all != (s.Limits[limits.RemovedMachines] == 1) {
			t.Errorf("step %d: sent from version %d, limit reached %d times", i, known, s.Limits[limits.RemovedMachines])
		}
		if step.all && (len(changed) != 1 || changed[0].ID != "z") || !step.all && len(gone) != remembered {
			t.Errorf("step %d: %d machines and %d gone are sent", i, len(changed), len(gone))
		}
		if s.KnownVersion(version) != version {
			t.Errorf("step %d: an owner that is up to date is sent all machines", i)
		}
	}
}

// An owner is sent the removals that it does not know, and not those of machines that are back.
func TestChangeFeedListsRemovalsSinceAVersion(t *testing.T) {
	s := New(testConfig, teams(), 1, capacityOf, jobCache())
	s.ApplyUpdate(0, firstUpdate(machine("a"), machine("b"), machine("c")), t0)
	_, _, before := s.FleetSince(0)
	s.ApplyUpdate(0, partition.Update{Sequence: 2, BaseVersion: 1, Version: 2, Removed: []string{"c", "a"}}, t0)
	_, gone, after := s.FleetSince(before)
	if !slices.Equal(gone, []string{"a", "c"}) {
		t.Errorf("gone: %v", gone)
	}
	if _, gone, _ = s.FleetSince(after); len(gone) != 0 {
		t.Errorf("an owner that is up to date is sent %v as gone", gone)
	}
	s.ApplyUpdate(0, partition.Update{Sequence: 3, BaseVersion: 2, Version: 3, Machines: []partition.MachineState{machine("a")}}, t0)
	changed, gone, _ := s.FleetSince(before)
	if len(changed) != 1 || changed[0].ID != "a" || !slices.Equal(gone, []string{"c"}) {
		t.Errorf("after its return: changed %v, gone %v", changed, gone)
	}
}
