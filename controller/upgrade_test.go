package controller_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"
)

// mixedVersionsDeployment is a deployment with limits to come, in which some nodes still run the
// production version. Its records grow beyond the limits to come while those alone serve.
func mixedVersionsDeployment(old ...string) deployment {
	setup := deployment250Machines
	setup.facts = strings.Replace(deployment250Machines.facts, "write_rps = 20.0", "write_rps = 12.0", 1)
	setup.newFacts = strings.Replace(setup.facts, "txn_ops = 16", "txn_ops = 16\n[facts.state.next]\nvalue_kb = 2.0\ntxn_ops = 5\nwrite_rps = 10.0", 1)
	setup.productionNodes = old
	return setup
}

// upgrade ends a node and starts it with the new version after a time.
func (c *simulatedCluster) upgrade(node string, away time.Duration) {
	c.mixed.setProduction(node, false)
	c.crash(node, away)
}

// downgrade ends a node and starts it with the production version after a time.
func (c *simulatedCluster) downgrade(node string, away time.Duration) {
	c.mixed.setProduction(node, true)
	c.crash(node, away)
}

// TestRollingUpgradeFromProductionVersion: old and new versions serve side by side. All that crosses between them
// goes through the production version's forms, and the invariants and the replies to clients are checked.
func TestRollingUpgradeFromProductionVersion(t *testing.T) {
	for _, c := range []struct {
		name string
		old  []string
		run  func(cluster *simulatedCluster)
	}{
		{"old leader, new owners, then a new leader with an old owner", []string{"n0"}, leaderChangeOldToNew},
		{"new leader, old owners, which change and take the lead", []string{"n1", "n2"}, leaderChangeNewToOld},
		{"a roll in which one comes back old before its turn", []string{"n0", "n1", "n2"}, rollingUpgradeWithDowngrade},
		{"all end at once, half of them upgraded", []string{"n0", "n1", "n2"}, simultaneousRestarts},
		{"the service refuses an old leader while a new owner confirms cancellations", []string{"n0"}, outageDuringCancellations},
		{"the service refuses a new leader while an old owner confirms cancellations", []string{"n1"}, outageDuringCancellations},
		{"limits fall during the roll", []string{"n0", "n1", "n2"}, limitsReducedDuringUpgrade},
		{"limits fall in an outage in which the last one is upgraded", []string{"n2"}, limitsReducedInOutage},
	} {
		t.Run(strings.NewReplacer(" ", "-", ",", "").Replace(c.name), func(t *testing.T) {
			runScenarioIn(t, mixedVersionsDeployment(c.old...), func(t *testing.T, cluster *simulatedCluster) {
				cluster.cloud.RunFor = func(piece string) time.Duration { return time.Duration(15+10*len(piece)%30) * time.Second }
				clients := newCheckingClients(cluster)
				jobs := map[string]int{}
				for i := range 20 {
					uid := fmt.Sprintf("wk-%d", i+1)
					jobs[uid] = 60
					clients.submit(jobBody(uid, []string{"red", "blue"}[i%2], 60))
				}
				time.Sleep(25 * time.Second)
				var looking sync.WaitGroup
				looking.Go(func() {
					for i := range 8 {
						clients.pollAllNodes(fmt.Sprintf("wk-%d", i+1), nil)
						clients.cancel(fmt.Sprintf("wk-%d", i+1), i)
						time.Sleep(4 * time.Second)
					}
				})
				c.run(cluster)
				looking.Wait()
				clients.awaitAllDone(jobs, 15*time.Minute)
				cluster.mixed.checkTranslated(t)
			})
		})
	}
}

// outageDuringCancellations has the key-value store refuse the leader, and then all, while
// jobs are cancelled through the others.
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
	cluster.crash("n1", 500*time.Millisecond) // an owner changes under the old leader
	time.Sleep(10 * time.Second)
	cluster.crash("n0", 3*time.Second) // and it comes back old, under a new leader
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
	cluster.downgrade("n0", time.Second) // dies, and its host still has the old program
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
