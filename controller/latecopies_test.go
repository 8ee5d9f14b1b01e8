package controller_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"
)

// agentReplyTimeout is how long agents wait for a reply; they drop it later.
const agentReplyTimeout = 4 * time.Second

// replayDelays are when copies of old heartbeats arrive after a restart: from before the next view to well within
// it.
var replayDelays = []time.Duration{
	0, 300 * time.Millisecond, 600 * time.Millisecond, time.Second, 1500 * time.Millisecond, 2 * time.Second, 3 * time.Second, 4 * time.Second,
}

// lateCopies makes a part of the heartbeats arrive again at any node, up to longer than a lease late, and a part
// of the replies arrive late at the agents, some too late to be taken, or again.
func (c *simulatedCluster) lateCopies(seed uint64) {
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(seed, 44))
	within := func(limit time.Duration, share float64) (time.Duration, bool) {
		mu.Lock()
		defer mu.Unlock()
		return time.Duration(rng.Float64() * float64(limit)), rng.Float64() < share
	}
	c.cloud.WithLock(func() {
		c.cloud.DuplicateHeartbeat = func() (time.Duration, bool) { return within(16*time.Second, 0.5) }
		c.cloud.RepeatReply = func() (time.Duration, bool) { return within(agentReplyTimeout, 0.5) }
		c.cloud.DelayReply = func() time.Duration {
			delay, delayed := within(agentReplyTimeout+500*time.Millisecond, 0.3)
			if !delayed {
				return 0
			}
			return delay
		}
	})
}

// restarts are the restarts after which a process has lost its memory. Each takes a machine of a job.
var restarts = map[string]func(cluster *simulatedCluster, machine string){
	"no-restart": func(*simulatedCluster, string) {},
	"agent":      func(cluster *simulatedCluster, machine string) { cluster.cloud.RestartAgent(machine) },
	"owners": func(cluster *simulatedCluster, _ string) {
		_, others := cluster.leader()
		for _, node := range others {
			cluster.crash(node, 200*time.Millisecond)
		}
	},
	"leader": func(cluster *simulatedCluster, _ string) {
		leader, _ := cluster.leader()
		cluster.crash(leader, 200*time.Millisecond)
	},
	"all-controllers": func(cluster *simulatedCluster, _ string) {
		var all sync.WaitGroup
		for _, node := range cluster.nodes {
			all.Go(func() { cluster.crash(node, 300*time.Millisecond) })
		}
		all.Wait()
	},
}

// Guards against a late copy that starts a task once more: copies of heartbeats and late replies around each
// restart that loses a memory, while short tasks end and are forgotten, others are moved, and others are
// cancelled. The emulated agents report a start of an attempt that they have started before, a task that
// runs on two machines, and starts after a confirmed cancellation.
func TestLateCopiesStartNoTaskAgain(t *testing.T) {
	for name, restart := range restarts {
		for _, seed := range []uint64{1, 2} {
			t.Run(fmt.Sprintf("%s-%d", name, seed), func(t *testing.T) {
				runScenario(t, func(t *testing.T, cluster *simulatedCluster) {
					playLateCopies(t, cluster, seed, restart)
				})
			})
		}
	}
}

// playLateCopies runs short, moved and cancelled tasks with late copies, and one kind of restart five times. At
// each, copies of heartbeats from before the latest starts arrive at all nodes.
func playLateCopies(t *testing.T, cluster *simulatedCluster, seed uint64, restart func(cluster *simulatedCluster, machine string)) {
	t.Helper()
	clients := newCheckingClients(cluster)
	cluster.lateCopies(seed)
	runTimes := map[string]time.Duration{"wk-1": 300 * time.Millisecond}
	jobs := map[string]int{"wk-1": 150}
	clients.submit(jobBody("wk-1", "blue", 150))
	clients.submit(serviceBody("wk-8", "blue", 3))
	time.Sleep(12 * time.Second)
	cancelled := 0
	for round := range 5 {
		moved, called := fmt.Sprintf("wk-2%d", round), fmt.Sprintf("wk-3%d", round)
		runTimes[moved], runTimes[called] = 8*time.Second, time.Minute
		cluster.runTimes(runTimes)
		jobs[moved] = 8
		cluster.cloud.WithLock(func() { cluster.cloud.RecordHeartbeats = true })
		time.Sleep(1500 * time.Millisecond) // each machine sends a heartbeat
		clients.submit(jobBody(moved, "red", 8))
		clients.submit(longJobBody(called, "red", 4, time.Minute))
		time.Sleep(3500 * time.Millisecond)
		if machines := cluster.cloud.Machines(); len(machines) > 1 {
			if round%2 == 1 {
				cluster.cloud.Reclaim(machines[0])
			}
			restart(cluster, machines[1])
		}
		cluster.cloud.ReplayHeartbeatsAfter(replayDelays, cluster.nodes...)
		if clients.cancel(called, 0) == "cancelled" {
			cancelled++
		}
		time.Sleep(5 * time.Second)
	}
	if cancelled == 0 {
		t.Error("no cancellation was confirmed")
	}
	clients.cancel("wk-8", 0)
	clients.awaitAllDone(jobs, 3*time.Minute)
	cluster.checkNoStartsAfterCancellation()
}
