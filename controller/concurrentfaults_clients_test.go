package controller_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"junipershelf/protocol"
)

func overloadWithNetworkLatency(cluster *simulatedCluster, clients *checkingClients) map[string]int {
	cluster.cloud.RunFor = func(string) time.Duration { return 4 * time.Second }
	cluster.net.SetLatency(60 * time.Millisecond)
	jobs := map[string]int{}
	for i := range 12 {
		m := jobBody(fmt.Sprintf("wk-%d", i+1), []string{"red", "blue"}[i%2], 20)
		m["urgency"] = []string{"urgent", "best_effort", "normal"}[i%3]
		jobs[uidOf(m)] = 20
		clients.submit(m)
	}
	time.Sleep(40 * time.Second)
	clients.cancel("wk-3", 1)
	cluster.net.SetLatency(time.Millisecond)
	return jobs
}

func concurrentStatusReads(cluster *simulatedCluster, clients *checkingClients) map[string]int {
	cluster.cloud.RunFor = func(task string) time.Duration { return time.Duration(1+len(task)%3) * time.Second }
	jobs := map[string]int{}
	var all sync.WaitGroup
	for i := range 24 {
		uid := fmt.Sprintf("wk-%d", i+1)
		jobs[uid] = 1 + i%3
		m := jobBody(uid, []string{"red", "blue"}[i%2], jobs[uid])
		all.Go(func() {
			clients.submit(m)
			clients.pollAllNodes(uid, m)
			if i%4 == 0 {
				clients.cancel(uid, i)
				clients.pollAllNodes(uid, m)
				return
			}
			for range 200 {
				clients.pollAllNodes(uid, nil)
				if s := clients.lastStatus(uid); s == "done" {
					clients.pollAllNodes(uid, m)
					return
				}
				time.Sleep(700 * time.Millisecond)
			}
		})
		time.Sleep(300 * time.Millisecond)
	}
	all.Wait()
	return jobs
}

func cancellationsAtCompletion(cluster *simulatedCluster, clients *checkingClients) map[string]int {
	jobs := map[string]int{}
	var all sync.WaitGroup
	for i := range 16 {
		uid := fmt.Sprintf("wk-%d", i+1)
		jobs[uid] = 1
		m := jobBody(uid, []string{"red", "blue"}[i%2], 1)
		clients.submit(m)
		all.Go(func() {
			for range 400 {
				n := 0
				cluster.cloud.WithLock(func() { n = cluster.cloud.Results[protocol.TaskName(uid, 0)] })
				if n > 0 {
					break
				}
				time.Sleep(100 * time.Millisecond)
			}
			time.Sleep(time.Duration(i*170) * time.Millisecond)
			go clients.pollAllNodes(uid, m)
			clients.cancel(uid, i)
			clients.pollAllNodes(uid, m)
		})
	}
	all.Wait()
	return jobs
}

func lateTransactions(cluster *simulatedCluster, clients *checkingClients) map[string]int {
	rng := rand.New(rand.NewPCG(7, 7))
	var mu sync.Mutex
	cluster.store.DelayTransactions(func() (time.Duration, bool) {
		mu.Lock()
		defer mu.Unlock()
		return time.Duration(2+10*rng.Float64()) * time.Second, rng.Float64() < 0.15
	})
	jobs := map[string]int{}
	for i := range 10 {
		uid := fmt.Sprintf("wk-%d", i+1)
		jobs[uid] = 5
		m := jobBody(uid, []string{"red", "blue"}[i%2], 5)
		clients.submit(m)
		clients.pollAllNodes(uid, m)
		if i%3 == 0 {
			time.Sleep(2 * time.Second)
			clients.cancel(uid, i)
			clients.pollAllNodes(uid, m)
		}
		if i == 4 || i == 7 {
			leader, _ := cluster.leader()
			cluster.crash(leader, time.Second)
		}
	}
	time.Sleep(20 * time.Second)
	cluster.store.DelayTransactions(nil)
	return jobs
}

func lostStoreReplies(cluster *simulatedCluster, clients *checkingClients) map[string]int {
	rng := rand.New(rand.NewPCG(8, 8))
	var mu sync.Mutex
	isLost := func() bool { mu.Lock(); defer mu.Unlock(); return rng.Float64() < 0.3 }
	cluster.store.SetReplyFaults(isLost, func() bool { return false })
	jobs := map[string]int{}
	for i := range 10 {
		uid := fmt.Sprintf("wk-%d", i+1)
		jobs[uid] = 4
		m := jobBody(uid, []string{"red", "blue"}[i%2], 4)
		clients.submit(m)
		clients.pollAllNodes(uid, m)
		if i%3 == 0 {
			clients.cancel(uid, i)
			clients.pollAllNodes(uid, m)
		}
	}
	time.Sleep(20 * time.Second)
	cluster.store.SetReplyFaults(nil, nil)
	return jobs
}
