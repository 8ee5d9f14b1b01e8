package controller_test

import (
	"strings"
	"testing"
	"time"
)

// TestRestartDuringCloudOutageStartsTasks guards against incident 002: nodes that restarted while the cloud was
// unavailable knew no machine types, so no task was placed and no job accepted until the end of the outage.
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
			t.Errorf("job was accepted after %v, want at most 3s", took)
		}
		time.Sleep(20 * time.Second)
		cluster.cloud.WithLock(func() {
			if cluster.cloud.Starts == before {
				t.Error("no task was started during the outage")
			}
			cluster.cloud.Unavailable = false
		})
		cluster.awaitAllDone(map[string]int{"wk-1": 60, "wk-2": 2}, 5*time.Minute)
	})
}

// TestStoreOutageKeepsTasksWhileAllPeersConfirm checks that an outage of the key-value store for several leases
// stops no task while all nodes reach each other and confirm that they know of no later view.
func TestStoreOutageKeepsTasksWhileAllPeersConfirm(t *testing.T) {
	runScenario(t, func(t *testing.T, cluster *simulatedCluster) {
		cluster.cloud.RunFor = func(string) time.Duration { return 80 * time.Second }
		cluster.submit(jobBody("wk-1", "blue", 10))
		time.Sleep(25 * time.Second)
		if n := cluster.cloud.ActiveTasks("wk-1"); n != 10 {
			t.Fatalf("%d tasks run, want 10", n)
		}
		cluster.store.SetOutage(func(string) bool { return true })
		time.Sleep(35 * time.Second)
		if n := cluster.cloud.ActiveTasks("wk-1"); n != 10 {
			t.Errorf("%d of 10 tasks are active after an outage of 35 s", n)
		}
		cluster.store.SetOutage(nil)
		starts := 0
		cluster.cloud.WithLock(func() { starts = cluster.cloud.Starts })
		if starts != 10 {
			t.Errorf("%d starts, want 10", starts)
		}
		cluster.awaitAllDone(map[string]int{"wk-1": 10}, 3*time.Minute)
	})
}

// TestStoreOutageWithUnreachablePeerEndsTasks checks that all tasks stop if a node is unreachable during an outage
// of the key-value store: it may know of a later view, so the ownership leases expire, and then the agents' leases.
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
			t.Errorf("%d tasks are active although the leases of their owners have expired, want none", n)
		}
		cluster.net.SetBlocked(nil)
		cluster.store.SetOutage(nil)
		cluster.awaitAllDone(map[string]int{"wk-1": 10}, 5*time.Minute)
	})
}
