package controller_test

import (
	"fmt"
	"math/rand/v2"
	"time"
)

func agentConnectionsBlocked(cluster *simulatedCluster, clients *checkingClients) map[string]int {
	clients.submit(jobBody("wk-1", "blue", 30))
	clients.submit(jobBody("wk-2", "red", 20))
	time.Sleep(25 * time.Second)
	cluster.net.SetBlocked(func(a, b string) bool { return inTwoThirdsOfMachines(a) && isNode(b) })
	clients.cancel("wk-2", 0)
	time.Sleep(30 * time.Second)
	cluster.net.SetBlocked(nil)
	return map[string]int{"wk-1": 30, "wk-2": 20}
}

func zoneConstraintsWithMachineLoss(cluster *simulatedCluster, clients *checkingClients) map[string]int {
	cluster.cloud.RunFor = func(string) time.Duration { return 15 * time.Second }
	for i, constraint := range []string{"together", "scatter", "yard"} {
		m := jobBody(fmt.Sprintf("wk-%d", i+1), []string{"blue", "red", "blue"}[i], 10)
		m[constraint] = true
		if constraint == "yard" {
			m["yard"] = "west"
		}
		clients.submit(m)
	}
	for range 6 {
		time.Sleep(8 * time.Second)
		if ids := cluster.cloud.Machines(); len(ids) > 0 {
			cluster.cloud.Reclaim(ids[len(ids)/2])
			cluster.cloud.Pause(ids[0], 15*time.Second)
		}
	}
	return map[string]int{"wk-1": 10, "wk-2": 10, "wk-3": 10}
}

func leaderChangesWithMixedRunTimes(cluster *simulatedCluster, clients *checkingClients) map[string]int {
	cluster.cloud.RunFor = func(task string) time.Duration {
		return time.Duration(1+20*int(task[len(task)-1]-'0')) * time.Second
	}
	jobs := map[string]int{}
	for i := range 8 {
		uid := fmt.Sprintf("wk-%d", i+1)
		jobs[uid] = 2 + i%2
		clients.submit(jobBody(uid, []string{"red", "blue"}[i%2], jobs[uid]))
	}
	for range 3 {
		time.Sleep(12 * time.Second)
		leader, _ := cluster.leader()
		cluster.crash(leader, 3*time.Second)
		for uid := range jobs {
			clients.pollAllNodes(uid, nil)
		}
	}
	return jobs
}

func delayedAgentReplies(cluster *simulatedCluster, clients *checkingClients) map[string]int {
	cluster.cloud.RunFor = func(string) time.Duration { return 6 * time.Second }
	clients.submit(jobBody("wk-1", "blue", 100))
	clients.submit(jobBody("wk-2", "red", 60))
	for i := range 8 {
		time.Sleep(5 * time.Second)
		cluster.net.SetBlocked(func(a, b string) bool { return isNode(a) && inTwoThirdsOfMachines(b) })
		if i == 4 {
			clients.cancel("wk-2", 1)
		}
		time.Sleep(3500 * time.Millisecond)
		cluster.net.SetBlocked(nil)
	}
	return map[string]int{"wk-1": 100, "wk-2": 60}
}

func staleHeartbeats(cluster *simulatedCluster, clients *checkingClients) map[string]int {
	rng := rand.New(rand.NewPCG(9, 9))
	cluster.cloud.DuplicateHeartbeat = func() (time.Duration, bool) {
		return time.Duration(2+30*rng.Float64()) * time.Second, rng.Float64() < 0.4
	}
	cluster.cloud.RunFor = func(string) time.Duration { return 8 * time.Second }
	clients.submit(jobBody("wk-1", "blue", 60))
	clients.submit(jobBody("wk-2", "red", 40))
	for range 4 {
		time.Sleep(10 * time.Second)
		if ids := cluster.cloud.Machines(); len(ids) > 1 {
			cluster.cloud.Pause(ids[0], 12*time.Second)
			cluster.cloud.Pause(ids[1], 6*time.Second)
		}
	}
	return map[string]int{"wk-1": 60, "wk-2": 40}
}

func staleHeartbeatsAtLeaderChange(cluster *simulatedCluster, clients *checkingClients) map[string]int {
	cluster.cloud.RunFor = func(string) time.Duration { return 12 * time.Second }
	clients.submit(jobBody("wk-1", "blue", 60))
	clients.submit(jobBody("wk-2", "red", 36))
	for range 3 {
		time.Sleep(10 * time.Second)
		cluster.cloud.WithLock(func() { cluster.cloud.RecordHeartbeats = true })
		time.Sleep(8 * time.Second)
		leader, others := cluster.leader()
		go cluster.crash(leader, 5*time.Second)
		for current := leader; current == leader; current, _ = cluster.leader() {
			time.Sleep(20 * time.Millisecond)
		}
		cluster.cloud.ReplayHeartbeats(others...)
		time.Sleep(300 * time.Millisecond)
	}
	time.Sleep(10 * time.Second)
	return map[string]int{"wk-1": 60, "wk-2": 36}
}

func cancellationsWithIsolatedZone(cluster *simulatedCluster, clients *checkingClients) map[string]int {
	cluster.cloud.RunFor = func(string) time.Duration { return 2 * time.Minute }
	clients.submit(jobBody("wk-1", "blue", 18))
	clients.submit(jobBody("wk-2", "red", 12))
	time.Sleep(25 * time.Second)
	leader, others := cluster.leader()
	isolated := func(h string) bool { return h == leader || inTwoThirdsOfMachines(h) }
	cluster.net.SetBlocked(func(a, b string) bool { return isolated(a) != isolated(b) && a != "user" && b != "user" })
	cluster.cancelAt(others[0], "wk-1")
	for range 8 {
		clients.pollAllNodes("wk-1", nil)
		time.Sleep(5 * time.Second)
	}
	cluster.net.SetBlocked(nil)
	return map[string]int{"wk-1": 18, "wk-2": 12}
}

func leaderCrashesWithUnreachableMachines(cluster *simulatedCluster, clients *checkingClients) map[string]int {
	cluster.cloud.RunFor = func(string) time.Duration { return beyondCancellationDeadline }
	clients.submit(jobBody("wk-1", "blue", 20))
	clients.submit(jobBody("wk-2", "red", 12))
	time.Sleep(25 * time.Second)
	cluster.net.SetBlocked(func(a, b string) bool { return inTwoThirdsOfMachines(a) && isNode(b) })
	leader, _ := cluster.leader()
	cluster.crash(leader, time.Second)
	time.Sleep(8 * time.Second)
	cluster.net.SetBlocked(nil)
	cluster.cloud.WithLock(func() {
		for _, id := range []string{"i-000001", "i-000002", "i-000003"} {
			cluster.cloud.UnreachableForReplies[id] = true
		}
	})
	leader, _ = cluster.leader()
	cluster.crash(leader, time.Second)
	clients.cancel("wk-2", 1)
	time.Sleep(25 * time.Second)
	cluster.cloud.WithLock(func() { clear(cluster.cloud.UnreachableForReplies) })
	return map[string]int{"wk-1": 20, "wk-2": 12}
}

func teamLimitsWithMachineFaults(cluster *simulatedCluster, clients *checkingClients) map[string]int {
	cluster.cloud.RunFor = func(string) time.Duration { return 40 * time.Second }
	jobs := map[string]int{}
	for i := range 8 {
		uid := fmt.Sprintf("wk-%d", i+1)
		jobs[uid] = 10
		clients.submit(jobBody(uid, []string{"red", "blue"}[i%2], 10))
	}
	time.Sleep(25 * time.Second)
	for round := range 3 {
		ids := cluster.cloud.Machines()
		cluster.blockBetween(inTwoThirdsOfMachines, isNode)
		for _, id := range ids[:len(ids)/3] {
			cluster.cloud.Pause(id, 9*time.Second)
		}
		go clients.cancel(fmt.Sprintf("wk-%d", 2*round+1), round)
		go clients.cancel(fmt.Sprintf("wk-%d", 2*round+2), round)
		time.Sleep(500 * time.Millisecond)
		leader, _ := cluster.leader()
		cluster.crash(leader, 500*time.Millisecond)
		time.Sleep(7 * time.Second)
		cluster.net.SetBlocked(nil)
		time.Sleep(8 * time.Second)
	}
	return jobs
}
