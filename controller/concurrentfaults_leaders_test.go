package controller_test

import (
	"fmt"
	"sync"
	"time"
)

func cancellationsWithIsolatedLeader(cluster *simulatedCluster, clients *checkingClients) map[string]int {
	clients.submit(jobBody("wk-1", "blue", 16))
	clients.submit(jobBody("wk-2", "red", 12))
	time.Sleep(25 * time.Second)
	leader, others := cluster.leader()
	cluster.blockBetween(func(h string) bool { return h == leader }, func(h string) bool { return h == "state" || isNode(h) })
	time.Sleep(time.Second)
	cluster.cancelAt(others[0], "wk-1")
	clients.pollAllNodes("wk-1", nil)
	time.Sleep(12 * time.Second)
	cluster.cancelAt(others[1], "wk-2")
	for range 8 {
		clients.pollAllNodes("wk-1", nil)
		clients.pollAllNodes("wk-2", nil)
		time.Sleep(4 * time.Second)
	}
	cluster.checkNoStartsAfterCancellation()
	cluster.net.SetBlocked(nil)
	return map[string]int{"wk-1": 16, "wk-2": 12}
}

func cancellationsWithSlowThenUnavailableStore(cluster *simulatedCluster, clients *checkingClients) map[string]int {
	cluster.cloud.RunFor = func(string) time.Duration { return beyondCancellationDeadline }
	clients.submit(jobBody("wk-1", "blue", 16))
	clients.submit(jobBody("wk-2", "red", 12))
	time.Sleep(25 * time.Second)
	cluster.store.SetLatency(700 * time.Millisecond)
	time.Sleep(10 * time.Second)
	clients.cancel("wk-1", 2)
	clients.pollAllNodes("wk-1", nil)
	leader, _ := cluster.leader()
	cluster.store.SetOutage(func(from string) bool { return from == leader })
	time.Sleep(2 * time.Second)
	clients.cancel("wk-2", 1)
	cluster.store.SetOutage(func(string) bool { return true })
	time.Sleep(40 * time.Second)
	clients.pollAllNodes("wk-2", nil)
	cluster.store.SetOutage(nil)
	cluster.store.SetLatency(0)
	return map[string]int{"wk-1": 16, "wk-2": 12}
}

func cancellationsDuringStoreOutage(cluster *simulatedCluster, clients *checkingClients) map[string]int {
	cluster.cloud.RunFor = func(string) time.Duration { return 4 * time.Minute }
	jobs := map[string]int{}
	for i := range 6 {
		uid := fmt.Sprintf("wk-%d", i+1)
		jobs[uid] = 5
		clients.submit(jobBody(uid, []string{"red", "blue"}[i%2], 5))
	}
	time.Sleep(25 * time.Second)
	leader, _ := cluster.leader()
	cluster.store.SetOutage(func(from string) bool { return from == leader })
	var all sync.WaitGroup
	for i := range 6 {
		all.Go(func() {
			time.Sleep(time.Duration(i*150) * time.Millisecond)
			clients.cancel(fmt.Sprintf("wk-%d", i+1), i)
		})
	}
	time.Sleep(time.Second)
	cluster.store.SetOutage(func(string) bool { return true })
	time.Sleep(42 * time.Second)
	cluster.store.SetOutage(nil)
	all.Wait()
	return jobs
}

func cancellationsDuringFailover(cluster *simulatedCluster, clients *checkingClients) map[string]int {
	cluster.cloud.RunFor = func(string) time.Duration { return beyondCancellationDeadline }
	jobs := map[string]int{}
	for i := range 9 {
		uid := fmt.Sprintf("wk-%d", i+1)
		jobs[uid] = 4
		clients.submit(jobBody(uid, []string{"red", "blue"}[i%2], 4))
	}
	time.Sleep(25 * time.Second)
	for round := range 3 {
		var all sync.WaitGroup
		for k := range 2 {
			all.Go(func() {
				time.Sleep(time.Duration(500+2500*k) * time.Millisecond)
				uid := fmt.Sprintf("wk-%d", round*3+k+1)
				clients.cancel(uid, round)
				clients.pollAllNodes(uid, nil)
			})
		}
		cluster.crash(cluster.nodes[round], 4*time.Second)
		all.Wait()
		time.Sleep(6 * time.Second)
	}
	cluster.checkNoStartsAfterCancellation()
	return jobs
}

func allControllersDownBeyondLease(cluster *simulatedCluster, clients *checkingClients) map[string]int {
	cluster.cloud.RunFor = func(string) time.Duration { return beyondCancellationDeadline }
	clients.submit(jobBody("wk-1", "blue", 24))
	clients.submit(jobBody("wk-2", "red", 12))
	time.Sleep(25 * time.Second)
	clients.cancel("wk-2", 0)
	var all sync.WaitGroup
	for _, n := range cluster.nodes {
		all.Go(func() { cluster.crash(n, 14*time.Second) })
	}
	all.Wait()
	return map[string]int{"wk-1": 24, "wk-2": 12}
}

func failoversThenTotalLoss(cluster *simulatedCluster, clients *checkingClients) map[string]int {
	cluster.cloud.RunFor = func(string) time.Duration { return 15 * time.Second }
	clients.submit(jobBody("wk-1", "blue", 60))
	clients.submit(jobBody("wk-2", "red", 36))
	time.Sleep(22 * time.Second)
	for _, downtime := range []time.Duration{200 * time.Millisecond, 5 * time.Second} {
		for range 2 {
			leader, _ := cluster.leader()
			cluster.crash(leader, downtime)
			time.Sleep(1500 * time.Millisecond)
		}
	}
	clients.cancel("wk-2", 0)
	var all sync.WaitGroup
	for i, n := range cluster.nodes {
		all.Go(func() { cluster.crash(n, time.Duration(300+9000*i)*time.Millisecond) })
	}
	time.Sleep(4 * time.Second)
	clients.pollAllNodes("wk-2", nil)
	all.Wait()
	return map[string]int{"wk-1": 60, "wk-2": 36}
}

func tenLeaderCrashes(cluster *simulatedCluster, clients *checkingClients) map[string]int {
	cluster.cloud.RunFor = func(string) time.Duration { return 15 * time.Second }
	clients.submit(jobBody("wk-1", "blue", 80))
	clients.submit(jobBody("wk-2", "red", 40))
	time.Sleep(20 * time.Second)
	for i := range 10 {
		leader, _ := cluster.leader()
		cluster.crash(leader, time.Duration(100+700*(i%4))*time.Millisecond)
		switch i {
		case 3, 7:
			cluster.store.SetOutage(func(string) bool { return true })
		case 5, 8:
			cluster.store.SetOutage(nil)
		}
		time.Sleep(8 * time.Second)
	}
	clients.cancel("wk-2", 1)
	return map[string]int{"wk-1": 80, "wk-2": 40}
}
