package controller_test

import (
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"
)

// TestIsolatedControllersUseMailboxes isolates controllers from each other: the leader of a new view
// still starts tasks on its own machines at once, and the others call it through mailboxes in the
// key-value store. Without the mailboxes two thirds of the fleet fell idle.
func TestIsolatedControllersUseMailboxes(t *testing.T) {
	runScenario(t, func(t *testing.T, cluster *simulatedCluster) {
		cluster.submit(jobBody("wk-1", "blue", 200))
		time.Sleep(25 * time.Second)
		cluster.net.SetBlocked(func(a, b string) bool { return a[0] == 'n' && b[0] == 'n' })
		cluster.crash("n0", 100*time.Millisecond)
		time.Sleep(8 * time.Second)
		before := 0
		cluster.cloud.WithLock(func() { before = cluster.cloud.Starts })
		time.Sleep(20 * time.Second)
		cluster.cloud.WithLock(func() {
			if n := cluster.cloud.Starts - before; n < 45 {
				t.Errorf("%d starts in 20 s on 20 slots, with tasks of 5 s", n)
			}
		})
		if !regexp.MustCompile("via_mailbox=[1-9]").MatchString(cluster.log.String()) {
			t.Error("no call was made by mailbox")
		}
		cluster.net.SetBlocked(nil)
		cluster.awaitAllDone(map[string]int{"wk-1": 200}, 4*time.Minute)
	})
}

// TestIsolatedZoneRunsNoTaskTwice isolates a zone with a controller and half of the machines in it, for
// three leases; messages held meanwhile arrive at the end. Inside, agents are answered until the
// controller's ownership lease expires; outside, their tasks run again only once the agents' leases are
// over or the machines were terminated. Submissions go on outside all the while.
func TestIsolatedZoneRunsNoTaskTwice(t *testing.T) {
	for _, node := range []string{"n0", "n2"} { // the leader, and another
		t.Run(node, func(t *testing.T) {
			runScenario(t, func(_ *testing.T, cluster *simulatedCluster) {
				cluster.cloud.RunFor = func(string) time.Duration { return 12 * time.Second }
				cluster.submit(jobBody("wk-1", "blue", 60))
				cluster.submit(jobBody("wk-2", "red", 40))
				time.Sleep(25 * time.Second)
				in := func(h string) bool {
					return h == node || strings.HasPrefix(h, "i-") && (h[len(h)-1]-'0')%2 == 1
				}
				cluster.net.SetBlocked(func(a, b string) bool { return in(a) != in(b) })
				time.Sleep(15 * time.Second)
				cluster.submit(jobBody("wk-3", "blue", 10))
				time.Sleep(15 * time.Second)
				cluster.net.SetBlocked(nil)
				cluster.awaitAllDone(map[string]int{"wk-1": 60, "wk-2": 40, "wk-3": 10}, 5*time.Minute)
			})
		})
	}
}

// TestPausedControllerResumes pauses a controller for three leases while its clocks run on: nothing
// reaches or leaves it, and then all held messages arrive at once, its own late calls too.
func TestPausedControllerResumes(t *testing.T) {
	for _, node := range []string{"n0", "n1"} {
		t.Run(node, func(t *testing.T) {
			runScenario(t, func(t *testing.T, cluster *simulatedCluster) {
				cluster.submit(jobBody("wk-1", "blue", 600))
				cluster.submit(jobBody("wk-2", "red", 300))
				time.Sleep(22 * time.Second)
				for range 2 {
					cluster.net.SetBlocked(func(a, b string) bool { return a == node || b == node })
					time.Sleep(30 * time.Second)
					before := 0
					cluster.cloud.WithLock(func() { before = cluster.cloud.Starts })
					cluster.net.SetBlocked(nil)
					time.Sleep(8 * time.Second)
					cluster.cloud.WithLock(func() {
						if cluster.cloud.Starts == before {
							t.Error("nothing starts once it goes on")
						}
					})
				}
				cluster.awaitAllDone(map[string]int{"wk-1": 600, "wk-2": 300}, 5*time.Minute)
			})
		})
	}
}

// TestMachineUnreachableForRepliesIsTerminated has a machine send heartbeats that no reply reaches: its
// tasks run elsewhere, it gets no new ones, and it is terminated.
func TestMachineUnreachableForRepliesIsTerminated(t *testing.T) {
	runScenario(t, func(t *testing.T, cluster *simulatedCluster) {
		cluster.cloud.RunFor = func(string) time.Duration { return 30 * time.Second }
		cluster.submit(jobBody("wk-1", "blue", 16))
		time.Sleep(25 * time.Second)
		cluster.cloud.WithLock(func() { cluster.cloud.UnreachableForReplies["i-000001"] = true })
		time.Sleep(45 * time.Second)
		if slices.Contains(cluster.cloud.Machines(), "i-000001") {
			t.Error("still runs after four leases")
		}
		cluster.awaitAllDone(map[string]int{"wk-1": 16}, 3*time.Minute)
		if !strings.Contains(cluster.log.String(), "unreachable=1") {
			t.Error("not distinguished from a machine that sends no heartbeats")
		}
	})
}
