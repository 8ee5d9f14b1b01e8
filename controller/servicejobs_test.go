package controller_test

import (
	"sync"
	"testing"
	"time"
)

// TestReplicasRunUntilCancelled checks that the replicas of a service run until it is cancelled: through the
// loss of all controllers, on an idle fleet, and on another machine if theirs is reclaimed or hangs.
func TestReplicasRunUntilCancelled(t *testing.T) {
	runScenario(t, func(t *testing.T, cluster *simulatedCluster) {
		clients := newCheckingClients(cluster)
		clients.submit(jobBody("wk-9", "blue", 60))
		clients.submit(serviceBody("wk-1", "blue", 4))
		spread := serviceBody("wk-2", "red", 5)
		spread["scatter"] = true
		clients.submit(spread)
		time.Sleep(25 * time.Second)
		checkUp := func(when string) {
			t.Helper()
			cluster.checkReplicas(t, when, map[string]int{"wk-1": 4, "wk-2": 5})
			clients.pollAllNodes("wk-1", serviceBody("wk-1", "blue", 4))
		}
		checkUp("after the start")
		cluster.cloud.Reclaim(cluster.machineOf(t, "wk-1"))
		time.Sleep(30 * time.Second)
		checkUp("after the loss of a machine")
		cluster.cloud.Pause(cluster.machineOf(t, "wk-2"), 40*time.Second)
		time.Sleep(40 * time.Second)
		checkUp("after a machine hung")
		var all sync.WaitGroup
		for _, n := range cluster.nodes {
			all.Go(func() { cluster.crash(n, 2*time.Second) })
		}
		all.Wait()
		time.Sleep(15 * time.Second)
		checkUp("after the loss of all controllers")
		time.Sleep(2 * time.Minute) // no other job runs; scale-in must not evict replicas
		checkUp("on an idle fleet")
		starts := 0
		cluster.cloud.WithLock(func() { starts = cluster.cloud.Starts })
		time.Sleep(time.Minute)
		cluster.cloud.WithLock(func() {
			if cluster.cloud.Starts != starts {
				t.Error("replicas were restarted on an idle fleet")
			}
		})
		for _, uid := range []string{"wk-1", "wk-2"} {
			if s := clients.cancel(uid, 0); s != "cancelled" {
				t.Errorf("cancellation of %s: status %s, want cancelled", uid, s)
			}
		}
		time.Sleep(15 * time.Second)
		cluster.checkReplicas(t, "after the cancellations", map[string]int{"wk-1": 0, "wk-2": 0})
		clients.awaitAllDone(map[string]int{"wk-9": 60}, 3*time.Minute)
	})
}

// TestServiceSubmissionsAreValidated submits services with valid and invalid resources and run times.
func TestServiceSubmissionsAreValidated(t *testing.T) {
	runScenario(t, func(t *testing.T, cluster *simulatedCluster) {
		time.Sleep(3 * time.Second)
		for name, c := range map[string]struct {
			change func(m map[string]any)
			code   int
		}{
			"at the team's limit":    {func(m map[string]any) { m["uid"], m["pieces"] = "wk-5", 12 }, 201},
			"above the team's limit": {func(m map[string]any) { m["pieces"] = 13 }, 422},
			"without expected_s":     {func(m map[string]any) { delete(m, "expected_s") }, 400},
			"expected_s below zero":  {func(m map[string]any) { m["expected_s"] = -1.0 }, 400},
		} {
			m := serviceBody("wk-6", "red", 2)
			c.change(m)
			if code, _ := cluster.callAnyNode("POST", "/api/jobs", m); code != c.code {
				t.Errorf("%s: code %d, want %d", name, code, c.code)
			}
		}
	})
}
