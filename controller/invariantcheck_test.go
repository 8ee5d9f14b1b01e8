package controller_test

import (
	"testing"
	"time"

	"junipershelf/internal/emulator"
)

// TestInvariantCheckDetectsIgnoredTermination tests the invariant check itself: if the cloud reports a machine
// as terminated but lets it run, tasks run twice, and the check must find that.
func TestInvariantCheckDetectsIgnoredTermination(t *testing.T) {
	runScenario(t, func(t *testing.T, cluster *simulatedCluster) {
		cluster.cloud.IgnoreTermination = true
		cluster.cloud.RunFor = func(string) time.Duration { return time.Minute }
		cluster.submit(jobBody("wk-1", "red", 6))
		time.Sleep(15 * time.Second)
		isolated := cluster.cloud.MachineOf("wk-1")
		cluster.net.SetBlocked(func(a, b string) bool { return a == isolated || b == isolated })
		time.Sleep(30 * time.Second)
		cluster.net.SetBlocked(nil)
		found := false
		cluster.cloud.WithLock(func() {
			for _, violation := range cluster.cloud.Violations {
				found = found || violation.Rule == emulator.RuleRunsOnce
			}
		})
		if !found {
			t.Error("tasks ran on a machine that was not terminated and on another one, but the check reported no violation")
		}
	})
}
