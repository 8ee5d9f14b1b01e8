package partition

import (
	"fmt"
	"slices"
	"testing"

	"junipershelf/preferredlist"
)

// The preferred list yields all targets, and in the same order, whether few targets are sorted or the
// whole list is walked.
func TestPreferredListKeepsItsOrderWithFewTargets(t *testing.T) {
	const fleet = 100
	p := New(testConfig, 5, 0, t0, quadCapacity, newJobCache(t))
	var all []FleetMachine
	for i := range fleet {
		all = append(all, FleetMachine{ID: fmt.Sprintf("m-%03d", i)})
	}
	for every := 1; every <= fleet+1; every += 9 {
		for i := range all {
			all[i].Underloaded = i%every == every-1
		}
		p.ResetFleet()
		p.ApplyFleetChanges(slices.Clone(all), nil)
		p.overflow.findTargets()
		for at := range fleet {
			var want []int
			for _, n := range preferredlist.List(at, fleet, fleet) {
				if all[n].Underloaded {
					want = append(want, n)
				}
			}
			got := slices.DeleteFunc(slices.Collect(p.overflow.fleet.preferredList(at)), func(n int) bool { return !all[n].Underloaded })
			if !slices.Equal(got, want) {
				t.Fatalf("every %d. machine a target: targets of machine %d: %v, want %v", every, at, got, want)
			}
			buddies := slices.Collect(p.overflow.fleet.buddySet(at, p.cfg.Buddies))
			if len(want) > 0 && !slices.Equal(buddies, preferredlist.List(at, fleet, p.cfg.Buddies)) {
				t.Fatalf("buddy set of machine %d: %v, want %v", at, buddies, preferredlist.List(at, fleet, p.cfg.Buddies))
			}
		}
	}
}
