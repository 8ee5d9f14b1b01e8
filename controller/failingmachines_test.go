package controller_test

import (
	"testing"
	"time"
)

// TestFailingMachinesAreTerminatedAndFailingJobsBackOff runs a machine on which all tasks fail, one that never
// boots, and a job that fails on all machines. The machines must be terminated, the other jobs must complete,
// and the failing job must be retried at a low rate until it is cancelled.
func TestFailingMachinesAreTerminatedAndFailingJobsBackOff(t *testing.T) {
	runScenario(t, func(t *testing.T, cluster *simulatedCluster) {
		cluster.cloud.WithLock(func() {
			cluster.cloud.FailingMachines["i-000001"] = true
			cluster.cloud.FailingJobs["wk-3"] = true
			cluster.cloud.NeverBoots = func(id string) bool { return id == "i-000002" }
		})
		cluster.submit(jobBody("wk-3", "red", 3))
		cluster.submit(jobBody("wk-1", "red", 12))
		cluster.submit(jobBody("wk-2", "blue", 16))
		cluster.awaitAllDone(map[string]int{"wk-1": 12, "wk-2": 16}, 4*time.Minute)
		for _, m := range cluster.cloud.Machines() {
			if m == "i-000001" || m == "i-000002" {
				t.Errorf("faulty machine %s was not terminated", m)
			}
		}
		before := 0
		cluster.cloud.WithLock(func() { before = cluster.cloud.Starts })
		time.Sleep(2 * time.Minute)
		cluster.cloud.WithLock(func() {
			if n := cluster.cloud.Starts - before; n > 30 {
				t.Errorf("failing job was started %d times in two minutes, want at most 30", n)
			}
		})
		if code, s := cluster.callAnyNode("POST", "/api/jobs/wk-3/cancel", map[string]any{}); code != 200 || s.Status != "cancelled" {
			t.Errorf("cancellation: code %d, status %q; want 200, cancelled", code, s.Status)
		}
	})
}
