package controller_test

import (
	"testing"
	"time"
)

// TestLeaderWithoutStoreLearnsOfCancellations guards against incident 015: the key-value store refuses
// only the leader, another controller confirms a cancellation, and then the store is unavailable to all for
// longer than cancel_s. The leader kept replying to its agents, because its peers confirmed that there was
// no later view, but did not know of the cancellation, so the tasks ran until the end of the outage.
func TestLeaderWithoutStoreLearnsOfCancellations(t *testing.T) {
	runScenario(t, func(t *testing.T, cluster *simulatedCluster) {
		cluster.cloud.RunFor = func(string) time.Duration { return 10 * time.Minute }
		cluster.submit(jobBody("wk-1", "blue", 16))
		cluster.submit(jobBody("wk-2", "red", 8))
		time.Sleep(30 * time.Second)
		if n := cluster.cloud.ActiveTasks("wk-1"); n != 16 {
			t.Fatalf("%d tasks of wk-1 run, want 16", n)
		}
		for _, uid := range []string{"wk-1", "wk-2"} {
			leader, others := cluster.leader()
			cluster.store.SetOutage(func(from string) bool { return from == leader })
			time.Sleep(time.Second)
			cluster.cancelAt(others[0], uid)
			time.Sleep(time.Second)
			cluster.store.SetOutage(func(string) bool { return true })
			time.Sleep(45 * time.Second)
			if uid == "wk-1" && cluster.cloud.ActiveTasks("wk-2") != 8 {
				t.Error("tasks of wk-2 were lost in the outage")
			}
			cluster.store.SetOutage(nil)
			time.Sleep(20 * time.Second)
		}
		cluster.checkInvariants(nil)
	})
}

// TestNoStartAfterConfirmedCancellation checks that no start command is sent after any node has confirmed a
// cancellation. For this, a node notifies the reachable owners before it confirms. If owners relied on the job
// cache alone, they would start more tasks of the job while a slow key-value store delays the cache's watch.
func TestNoStartAfterConfirmedCancellation(t *testing.T) {
	runScenario(t, func(t *testing.T, cluster *simulatedCluster) {
		cluster.cloud.RunFor = func(string) time.Duration { return time.Second }
		jobs := []string{"wk-1", "wk-2", "wk-3", "wk-4", "wk-5", "wk-6"}
		for i, uid := range jobs {
			cluster.submit(jobBody(uid, []string{"red", "blue"}[i%2], 400))
		}
		time.Sleep(25 * time.Second)
		cluster.store.SetLatency(500 * time.Millisecond)
		for i, uid := range jobs {
			cluster.cancelAt(cluster.nodes[i%3], uid)
			time.Sleep(3 * time.Second)
		}
		cluster.cloud.WithLock(func() {
			if cluster.cloud.Starts < 100 {
				t.Errorf("%d starts, want at least 100 for a meaningful test", cluster.cloud.Starts)
			}
		})
		cluster.checkNoStartsAfterCancellation()
		cluster.checkInvariants(nil)
	})
}
