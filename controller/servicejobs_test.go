package controller_test

import (
	"sync"
	"testing"
	"time"
)

// TestReplicasRunUntilCancelled: replicas run until their job is cancelled, and run again elsewhere when their
// machine is reclaimed or hangs, or when controllers end. The job is never done.
func TestReplicasRunUntilCancelled(t *testing.T) {
	runScenario(t, func(t *testing.T, cluster *simulatedCluster) {
		clients := newCheckingClients(cluster)
		clients.submit(jobBody("wk-9", "blue", 60))
		clients.submit(serviceBody("wk-1", "blue", 4))
		scatter := serviceBody("wk-2", "red", 5)
		scatter["scatter"] = true
		clients.submit(scatter)
		time.Sleep(25 * time.Second)
		up := func(when string) {
			t.Helper()
			cluster.checkReplicas(t, when, map[string]int{"wk-1": 4, "wk-2": 5})
			clients.pollAllNodes("wk-1", serviceBody("wk-1", "blue", 4))
		}
		up("after the start")
		cluster.cloud.Reclaim(cluster.machineOf(t, "wk-1"))
		time.Sleep(30 * time.Second)
		up("after the loss of a machine")
		cluster.cloud.Pause(cluster.machineOf(t, "wk-2"), 40*time.Second)
		time.Sleep(40 * time.Second)
		up("after a machine hung")
		var all sync.WaitGroup
		for _, n := range cluster.nodes {
			all.Go(func() { cluster.crash(n, 2*time.Second) })
		}
		all.Wait()
		time.Sleep(15 * time.Second)
		up("after the loss of all controllers")
		time.Sleep(2 * time.Minute) // nothing else runs: no scale-in evicts them
		up("on an idle fleet")
		starts := 0
		cluster.cloud.WithLock(func() { starts = cluster.cloud.Starts })
		time.Sleep(time.Minute)
		cluster.cloud.WithLock(func() {
			if cluster.cloud.Starts != starts {
				t.Error("replicas are moved for nothing")
			}
		})
		for _, uid := range []string{"wk-1", "wk-2"} {
			if s := clients.cancel(uid, 0); s != "cancelled" {
				t.Errorf("cancellation of %s: %s", uid, s)
			}
		}
		time.Sleep(15 * time.Second)
		cluster.checkReplicas(t, "after the cancellations", map[string]int{"wk-1": 0, "wk-2": 0})
		clients.awaitAllDone(map[string]int{"wk-9": 60}, 3*time.Minute)
	})
}

// TestServiceSubmissionsAreValidated submits services within and beyond what is allowed.
func TestServiceSubmissionsAreValidated(t *testing.T) {
	runScenario(t, func(t *testing.T, cluster *simulatedCluster) {
		time.Sleep(3 * time.Second)
		for name, c := range map[string]struct {
			change func(m map[string]any)
			code   int
		}{
			"all within the limit":  {func(m map[string]any) { m["uid"], m["pieces"] = "wk-5", 12 }, 201},
			"all beyond the limit":  {func(m map[string]any) { m["pieces"] = 13 }, 422},
			"without expected_s":    {func(m map[string]any) { delete(m, "expected_s") }, 400},
			"expected_s below zero": {func(m map[string]any) { m["expected_s"] = -1.0 }, 400},
		} {
			m := serviceBody("wk-6", "red", 2)
			c.change(m)
			if code, _ := cluster.callAnyNode("POST", "/api/jobs", m); code != c.code {
				t.Errorf("%s: %d, want %d", name, code, c.code)
			}
		}
	})
}
