package controller_test

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

// blockBetween blocks the network between two sets of hosts in both directions.
func (c *simulatedCluster) blockBetween(groupA, groupB func(host string) bool) {
	c.net.SetBlocked(func(a, b string) bool { return groupA(a) && groupB(b) || groupA(b) && groupB(a) })
}

func isNode(h string) bool { return h[0] == 'n' }

func isMachine(h string) bool { return strings.HasPrefix(h, "i-") }

// inTwoThirdsOfMachines reports whether a host belongs to a fixed two thirds of the machines.
func inTwoThirdsOfMachines(h string) bool { return isMachine(h) && h[len(h)-1]%3 != 0 }

// beyondCancellationDeadline is longer than the time within which a cancellation must stop all tasks.
const beyondCancellationDeadline = 50 * time.Second

// TestConcurrentFaults combines two or more faults; docs/concurrent-faults.md lists the combinations. It
// checks the invariants and the consistency of the replies to all clients.
func TestConcurrentFaults(t *testing.T) {
	for _, scenario := range []struct {
		name string
		run  func(cluster *simulatedCluster, clients *checkingClients) map[string]int
	}{
		{"agents open no connection", agentConnectionsBlocked},
		{"more work than capacity over slow links", overloadWithNetworkLatency},
		{"zone-bound jobs lose machines", zoneConstraintsWithMachineLoss},
		{"leader cut from store and peers while others cancel", cancellationsWithIsolatedLeader},
		{"tasks that end far apart across a change of leader", leaderChangesWithMixedRunTimes},
		{"commands and replies delayed for seconds", delayedAgentReplies},
		{"status reads right after each change", concurrentStatusReads},
		{"slow store, then refusing the leader, then all", cancellationsWithSlowThenUnavailableStore},
		{"cancellation at the end of the last task", cancellationsAtCompletion},
		{"transactions applied late", lateTransactions},
		{"replies lost while others read", lostStoreReplies},
		{"cancellations as the store refuses the leader", cancellationsDuringStoreOutage},
		{"cancellations during failover", cancellationsDuringFailover},
		{"old heartbeats of earlier epochs and attempts", staleHeartbeats},
		{"old heartbeats at every controller as a new leader begins", staleHeartbeatsAtLeaderChange},
		{"all controllers absent for longer than a lease", allControllersDownBeyondLease},
		{"a zone cut off with a controller while jobs are cancelled", cancellationsWithIsolatedZone},
		{"leader ends while machines are cut off or unreachable", leaderCrashesWithUnreachableMachines},
		{"failover and back, all end, one returns", failoversThenTotalLoss},
		{"teams at their limits, machines cut off or paused, leader changes", teamLimitsWithMachineFaults},
		{"ten leaders in two minutes, also in an outage", tenLeaderCrashes},
	} {
		t.Run(strings.NewReplacer(" ", "-", ",", "").Replace(scenario.name), func(t *testing.T) {
			runScenario(t, func(_ *testing.T, cluster *simulatedCluster) {
				clients := newCheckingClients(cluster)
				clients.awaitAllDone(scenario.run(cluster, clients), 6*time.Minute)
			})
		})
	}
}

// TestLeaderCrashWithSlowStoreAndFastBoots guards against a new leader that misses machines or tasks
// which its predecessor started shortly before it crashed. Machines boot within two seconds and get tasks
// immediately, while writes to the key-value store are slow.
func TestLeaderCrashWithSlowStoreAndFastBoots(t *testing.T) {
	setup := smallDeployment
	setup.machineTypes = slices.Clone(smallDeployment.machineTypes)
	setup.machineTypes[0].BootS = 1.2
	runScenarioIn(t, setup, func(_ *testing.T, cluster *simulatedCluster) {
		clients := newCheckingClients(cluster)
		cluster.cloud.RunFor = func(string) time.Duration { return 9 * time.Second }
		jobs := map[string]int{}
		time.Sleep(3 * time.Second)
		for i := range 6 {
			uid := fmt.Sprintf("wk-%d", i+1)
			jobs[uid] = 15
			cluster.store.SetLatency(0)
			clients.submit(jobBody(uid, []string{"red", "blue"}[i%2], 15))
			cluster.store.SetLatency(time.Duration(400+200*(i%3)) * time.Millisecond)
			time.Sleep(2500 * time.Millisecond)
			leader, _ := cluster.leader()
			cluster.crash(leader, time.Duration(i%3)*time.Second)
			time.Sleep(6 * time.Second)
		}
		cluster.store.SetLatency(0)
		clients.awaitAllDone(jobs, 5*time.Minute)
	})
}

// TestSustainedSubmissionRate submits four one-task jobs per second for two minutes and cancels a quarter
// of them, with the lowest write rate of any deployment. Each job must be accepted within 20 s, none may be
// lost, and cancelled jobs stay cancelled.
func TestSustainedSubmissionRate(t *testing.T) {
	setup := smallDeployment
	setup.facts = strings.NewReplacer("rps = 500.0", "rps = 250.0", "write_rps = 200.0", "write_rps = 20.0").Replace(smallFacts)
	setup.limitStore = true
	runScenarioIn(t, setup, func(t *testing.T, cluster *simulatedCluster) {
		cluster.cloud.RunFor = func(string) time.Duration { return 3 * time.Second }
		clients := newCheckingClients(cluster)
		time.Sleep(5 * time.Second)
		jobs := map[string]int{}
		var all sync.WaitGroup
		var mu sync.Mutex
		var slowest time.Duration
		for i := range 480 {
			uid := fmt.Sprintf("wk-%d", i+1)
			jobs[uid] = 1
			all.Go(func() {
				began := time.Now()
				clients.submit(jobBody(uid, []string{"red", "blue"}[i%2], 1))
				mu.Lock()
				slowest = max(slowest, time.Since(began))
				mu.Unlock()
				if i%4 == 0 {
					time.Sleep(time.Second)
					clients.cancel(uid, i)
				}
			})
			time.Sleep(250 * time.Millisecond)
		}
		all.Wait()
		if slowest > 20*time.Second {
			t.Errorf("slowest submission took %v, want at most 20s", slowest)
		}
		clients.awaitAllDone(jobs, 5*time.Minute)
	})
}
