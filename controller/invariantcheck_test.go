package controller_test

import (
	"testing"
	"time"

	"junipershelf/internal/emulator"
)

// TestInvariantCheckDetectsIgnoredTermination tests the check itself: with a cloud that
// reports a machine as terminated and lets it go on, tasks run twice, and the check finds that.
func TestInvariantCheckDetectsIgnoredTermination(t *testing.T) {
	runScenario(t, func(t *testing.T, cluster *simulatedCluster) {
		cluster.cloud.IgnoreTermination = true
		cluster.cloud.RunFor = func(string) time.Duration { return time.Minute }
		cluster.submit(jobBody("wk-1", "red", 6))
		time.Sleep(15 * time.Second)
		silent := cluster.cloud.MachineOf("wk-1")
		cluster.net.SetBlocked(func(a, b string) bool { return a == silent || b == silent })
		time.Sleep(30 * time.Second)
		cluster.net.SetBlocked(nil)
		seen := false
		cluster.cloud.WithLock(func() {
			for _, violation := range cluster.cloud.Violations {
				seen = seen || violation.Rule == emulator.RuleRunsOnce
			}
		})
		if !seen {
			t.Error("tasks ran on a machine that was not terminated and elsewhere, and the check found nothing")
		}
	})
}
