package controller_test

import (
	"strings"
	"testing"
	"time"
)

// TestRestartDuringCloudOutageStartsTasks restarts all nodes while the cloud is unavailable. They once knew
// no machine types then, so that nothing was placed or accepted until the outage was over (incident 002).
func TestRestartDuringCloudOutageStartsTasks(t *testing.T) {
	runScenario(t, func(t *testing.T, cluster *simulatedCluster) {
		cluster.submit(jobBody("wk-1", "red", 60))
		time.Sleep(20 * time.Second)
		cluster.cloud.WithLock(func() { cluster.cloud.Unavailable = true })
		for _, n := range cluster.nodes {
			cluster.crash(n, 100*time.Millisecond)
		}
		time.Sleep(5 * time.Second)
		before := 0
		cluster.cloud.WithLock(func() { before = cluster.cloud.Starts })
		start := time.Now()
		cluster.submit(jobBody("wk-2", "blue", 2))
		if took := time.Since(start); took > 3*time.Second {
			t.Errorf("accepted after %v", took)
		}
		time.Sleep(20 * time.Second)
		cluster.cloud.WithLock(func() {
			if cluster.cloud.Starts == before {
				t.Error("nothing was started during the outage")
			}
			cluster.cloud.Unavailable = false
		})
		cluster.awaitAllDone(map[string]int{"wk-1": 60, "wk-2": 2}, 5*time.Minute)
	})
}

// TestStoreOutageKeepsTasksWhileAllPeersConfirm: an outage of the key-value store of several leases ends no
// task while the nodes reach each other and each confirms that it knows of no later view.
func TestStoreOutageKeepsTasksWhileAllPeersConfirm(t *testing.T) {
	runScenario(t, func(t *testing.T, cluster *simulatedCluster) {
		cluster.cloud.RunFor = func(string) time.Duration { return 80 * time.Second }
		cluster.submit(jobBody("wk-1", "blue", 10))
		time.Sleep(25 * time.Second)
		if n := cluster.cloud.ActiveTasks("wk-1"); n != 10 {
			t.Fatalf("%d tasks run", n)
		}
		cluster.store.SetOutage(func(string) bool { return true })
		time.Sleep(35 * time.Second)
		if n := cluster.cloud.ActiveTasks("wk-1"); n != 10 {
			t.Errorf("%d of 10 tasks are left after an outage of 35 s", n)
		}
		cluster.store.SetOutage(nil)
		starts := 0
		cluster.cloud.WithLock(func() { starts = cluster.cloud.Starts })
		if starts != 10 {
			t.Errorf("%d starts", starts)
		}
		cluster.awaitAllDone(map[string]int{"wk-1": 10}, 3*time.Minute)
	})
}

// TestStoreOutageWithUnreachablePeerEndsTasks: with one node unreachable nobody knows what it has seen, so the
// ownership leases expire, and the agents' leases after them.
func TestStoreOutageWithUnreachablePeerEndsTasks(t *testing.T) {
	runScenario(t, func(t *testing.T, cluster *simulatedCluster) {
		cluster.cloud.RunFor = func(string) time.Duration { return 80 * time.Second }
		cluster.submit(jobBody("wk-1", "blue", 10))
		time.Sleep(25 * time.Second)
		cluster.net.SetBlocked(func(a, b string) bool {
			return a == "n2" && strings.HasPrefix(b, "n") || b == "n2" && strings.HasPrefix(a, "n")
		})
		cluster.store.SetOutage(func(string) bool { return true })
		time.Sleep(30 * time.Second)
		if n := cluster.cloud.ActiveTasks("wk-1"); n != 0 {
			t.Errorf("%d tasks still run, though their owners' leases have expired", n)
		}
		cluster.net.SetBlocked(nil)
		cluster.store.SetOutage(nil)
		cluster.awaitAllDone(map[string]int{"wk-1": 10}, 5*time.Minute)
	})
}
