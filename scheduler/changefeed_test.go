package scheduler

import (
	"fmt"
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
