package controller_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"
)

// mixedVersionsDeployment returns a deployment in which some nodes run the production version. The new
// version's settings announce lower limits of the key-value store, beyond which the production version
// lets its records grow.
func mixedVersionsDeployment(productionNodes ...string) deployment {
	setup := deployment250Machines
	setup.facts = strings.Replace(deployment250Machines.facts, "write_rps = 20.0", "write_rps = 12.0", 1)
	setup.newFacts = strings.Replace(setup.facts, "txn_ops = 16", "txn_ops = 16\n[facts.state.next]\nvalue_kb = 2.0\ntxn_ops = 5\nwrite_rps = 10.0", 1)
	setup.productionNodes = productionNodes
	return setup
}

// upgrade crashes a node and restarts it with the new version after a downtime.
func (c *simulatedCluster) upgrade(node string, downtime time.Duration) {
	c.mixed.setProduction(node, false)
	c.crash(node, downtime)
}

// downgrade crashes a node and restarts it with the production version after a downtime.
func (c *simulatedCluster) downgrade(node string, downtime time.Duration) {
	c.mixed.setProduction(node, true)
	c.crash(node, downtime)
}

// TestRollingUpgradeFromProductionVersion runs the production and the new version in one cluster. All messages
// and records between them pass through the production version's formats, and the invariants and the replies
// to clients are checked.
func TestRollingUpgradeFromProductionVersion(t *testing.T) {
	for _, c := range []struct {
		name            string
		productionNodes []string
		run             func(cluster *simulatedCluster)
	}{
		{"leader changes from old to new version", []string{"n0"}, leaderChangeOldToNew},
		{"leader changes from new to old version", []string{"n1", "n2"}, leaderChangeNewToOld},
		{"rolling upgrade with a downgrade", []string{"n0", "n1", "n2"}, rollingUpgradeWithDowngrade},
		{"simultaneous restarts, first one node upgraded, then all", []string{"n0", "n1", "n2"}, simultaneousRestarts},
		{"store refuses old leader while new owners confirm cancellations", []string{"n0"}, outageDuringCancellations},
		{"store refuses new leader while old owner confirms cancellations", []string{"n1"}, outageDuringCancellations},
		{"store limits lowered during rolling upgrade", []string{"n0", "n1", "n2"}, limitsReducedDuringUpgrade},
		{"store limits lowered in outage with upgrade of last node", []string{"n2"}, limitsReducedInOutage},
	} {
		t.Run(strings.NewReplacer(" ", "-", ",", "").Replace(c.name), func(t *testing.T) {
			runScenarioIn(t, mixedVersionsDeployment(c.productionNodes...), func(t *testing.T, cluster *simulatedCluster) {
				cluster.cloud.RunFor = func(task string) time.Duration { return time.Duration(15+10*len(task)%30) * time.Second }
				clients := newCheckingClients(cluster)
				jobs := map[string]int{}
				for i := range 20 {
					uid := fmt.Sprintf("wk-%d", i+1)
					jobs[uid] = 60
					clients.submit(jobBody(uid, []string{"red", "blue"}[i%2], 60))
				}
				time.Sleep(25 * time.Second)
				var clientCalls sync.WaitGroup
				clientCalls.Go(func() {
					for i := range 8 {
						clients.pollAllNodes(fmt.Sprintf("wk-%d", i+1), nil)
						clients.cancel(fmt.Sprintf("wk-%d", i+1), i)
						time.Sleep(4 * time.Second)
					}
				})
				c.run(cluster)
				clientCalls.Wait()
				clients.awaitAllDone(jobs, 15*time.Minute)
				cluster.mixed.checkTranslated(t)
			})
		})
	}
}

// outageDuringCancellations makes the key-value store refuse the leader, cancels jobs at the other nodes,
// and then makes the store refuse all nodes.
func outageDuringCancellations(cluster *simulatedCluster) {
	leader, others := cluster.leader()
	cluster.store.SetOutage(func(from string) bool { return from == leader })
	time.Sleep(2 * time.Second)
	for i, n := range others {
		cluster.cancelAt(n, fmt.Sprintf("wk-%d", 15+i))
	}
	time.Sleep(time.Second)
	cluster.store.SetOutage(func(string) bool { return true })
	time.Sleep(55 * time.Second)
	cluster.store.SetOutage(nil)
	time.Sleep(10 * time.Second)
}

func leaderChangeOldToNew(cluster *simulatedCluster) {
	cluster.checkLeader("n0")
	time.Sleep(20 * time.Second)
	cluster.crash("n1", 500*time.Millisecond) // an owner restarts under a leader of the production version
	time.Sleep(10 * time.Second)
	cluster.crash("n0", 3*time.Second) // restarts with the production version under a leader of the new one
	time.Sleep(10 * time.Second)
}

func leaderChangeNewToOld(cluster *simulatedCluster) {
	cluster.checkLeader("n0")
	time.Sleep(20 * time.Second)
	cluster.crash("n2", 500*time.Millisecond)
	time.Sleep(10 * time.Second)
	cluster.crash("n0", 3*time.Second)
	time.Sleep(10 * time.Second)
	cluster.crash("n1", 200*time.Millisecond)
	time.Sleep(10 * time.Second)
}

func rollingUpgradeWithDowngrade(cluster *simulatedCluster) {
	cluster.upgrade("n0", 2*time.Second)
	time.Sleep(6 * time.Second)
	cluster.crash("n1", 2*time.Second)
	time.Sleep(6 * time.Second)
	cluster.downgrade("n0", time.Second) // crashed; its host still has the old binary
	time.Sleep(6 * time.Second)
	for _, n := range cluster.nodes {
		cluster.upgrade(n, 2*time.Second)
		time.Sleep(5 * time.Second)
	}
}

func simultaneousRestarts(cluster *simulatedCluster) {
	for _, upgraded := range [][]string{{"n1"}, {"n0", "n1", "n2"}} {
		for _, n := range upgraded {
			cluster.mixed.setProduction(n, false)
		}
		var all sync.WaitGroup
		for i, n := range cluster.nodes {
			all.Go(func() { cluster.crash(n, time.Duration(1+i)*time.Second) })
		}
		all.Wait()
		time.Sleep(12 * time.Second)
	}
}

func limitsReducedDuringUpgrade(cluster *simulatedCluster) {
	for i, n := range cluster.nodes {
		cluster.upgrade(n, 2*time.Second)
		time.Sleep(3 * time.Second)
		if i == 1 {
			cluster.store.LowerLimits(2048, 5, 10)
		}
	}
}

func limitsReducedInOutage(cluster *simulatedCluster) {
	cluster.store.SetOutage(func(string) bool { return true })
	time.Sleep(2 * time.Second)
	cluster.upgrade("n2", time.Second)
	cluster.store.LowerLimits(2048, 5, 10)
	time.Sleep(5 * time.Second)
	cluster.store.SetOutage(nil)
	time.Sleep(15 * time.Second)
}
