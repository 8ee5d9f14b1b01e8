package controller_test

import (
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"
)

// TestIsolatedControllersUseMailboxes isolates the controllers from each other and restarts one. The
// leader of the new view must start tasks on its own machines immediately, and the other owners call it
// through mailboxes in the key-value store. Without mailboxes two thirds of the fleet became idle.
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
				t.Errorf("%d starts in 20 s on 20 slots with tasks of 5 s, want at least 45", n)
			}
		})
		if !regexp.MustCompile("via_mailbox=[1-9]").MatchString(cluster.log.String()) {
			t.Error("the log counts no call by mailbox")
		}
		cluster.net.SetBlocked(nil)
		cluster.awaitAllDone(map[string]int{"wk-1": 200}, 4*time.Minute)
	})
}

// TestIsolatedZoneRunsNoTaskTwice isolates a controller with half of the machines for three leases; held
// messages arrive at the end. The isolated controller replies to its agents until its ownership lease
// expires. The other controllers may run these tasks again only after the agents' leases have expired or
// the machines were terminated, and keep accepting jobs.
func TestIsolatedZoneRunsNoTaskTwice(t *testing.T) {
	for _, node := range []string{"n0", "n2"} { // the leader and another member
		t.Run(node, func(t *testing.T) {
			runScenario(t, func(_ *testing.T, cluster *simulatedCluster) {
				cluster.cloud.RunFor = func(string) time.Duration { return 12 * time.Second }
				cluster.submit(jobBody("wk-1", "blue", 60))
				cluster.submit(jobBody("wk-2", "red", 40))
				time.Sleep(25 * time.Second)
				isolated := func(h string) bool {
					return h == node || strings.HasPrefix(h, "i-") && (h[len(h)-1]-'0')%2 == 1
				}
				cluster.net.SetBlocked(func(a, b string) bool { return isolated(a) != isolated(b) })
				time.Sleep(15 * time.Second)
				cluster.submit(jobBody("wk-3", "blue", 10))
				time.Sleep(15 * time.Second)
				cluster.net.SetBlocked(nil)
				cluster.awaitAllDone(map[string]int{"wk-1": 60, "wk-2": 40, "wk-3": 10}, 5*time.Minute)
			})
		})
	}
}

// TestPausedControllerResumes pauses a controller for three leases: no message reaches or leaves it while
// its clock runs. Then all held messages arrive at the same time, including its own late calls.
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
							t.Error("no tasks start after the controller has resumed")
						}
					})
				}
				cluster.awaitAllDone(map[string]int{"wk-1": 600, "wk-2": 300}, 5*time.Minute)
			})
		})
	}
}

// TestMachineUnreachableForRepliesIsTerminated runs a machine that sends heartbeats but receives no replies.
// Its tasks must run elsewhere, it gets no new ones, and it is terminated.
func TestMachineUnreachableForRepliesIsTerminated(t *testing.T) {
	runScenario(t, func(t *testing.T, cluster *simulatedCluster) {
		cluster.cloud.RunFor = func(string) time.Duration { return 30 * time.Second }
		cluster.submit(jobBody("wk-1", "blue", 16))
		time.Sleep(25 * time.Second)
		cluster.cloud.WithLock(func() { cluster.cloud.UnreachableForReplies["i-000001"] = true })
		time.Sleep(45 * time.Second)
		if slices.Contains(cluster.cloud.Machines(), "i-000001") {
			t.Error("the machine still runs after four leases")
		}
		cluster.awaitAllDone(map[string]int{"wk-1": 16}, 3*time.Minute)
		if !strings.Contains(cluster.log.String(), "unreachable=1") {
			t.Error("the log does not count the machine as unreachable")
		}
	})
}
