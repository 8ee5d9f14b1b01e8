package controller_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"
)

// TestJobsCompleteDespiteRandomFaults runs scenarios with crashes, restarts, isolation, outages, lost
// replies, late duplicates, and paused and reclaimed machines, drawn from a seed.
func TestJobsCompleteDespiteRandomFaults(t *testing.T) {
	for seed := uint64(1); seed <= 8; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			runScenario(t, func(_ *testing.T, cluster *simulatedCluster) { injectRandomFaults(cluster, seed) })
		})
	}
}

// injectRandomFaults submits jobs, injects a random fault after each, and checks that all jobs are done
// in the end.
func injectRandomFaults(cluster *simulatedCluster, seed uint64) {
	cluster.loseRepliesAndDuplicateHeartbeats(seed)
	rng := rand.New(rand.NewPCG(seed, 2))
	faults := (&faultInjector{cluster: cluster, rng: rng}).faults()
	jobs := map[string]int{}
	for i := range 8 {
		uid := fmt.Sprintf("wk-%d", i+1)
		team := []string{"red", "blue"}[rng.IntN(2)]
		jobs[uid] = 1 + rng.IntN(25)
		cluster.submit(jobBody(uid, team, jobs[uid]))
		time.Sleep(time.Duration(rng.IntN(4)) * time.Second)
		fault := rng.IntN(len(faults))
		node := cluster.nodes[rng.IntN(len(cluster.nodes))]
		faults[fault](node)
	}
	// After the faults each node must report each job's status well within 75 s.
	for uid := range jobs {
		for _, n := range cluster.nodes {
			cluster.awaitStatusReply(n, uid, 30*time.Second)
		}
	}
	cluster.awaitAllDone(jobs, 6*time.Minute)
}

// loseRepliesAndDuplicateHeartbeats makes the key-value store lose replies and apply transactions twice. With
// an even seed, copies of heartbeats also arrive up to 40 s late, which is longer than a lease.
func (c *simulatedCluster) loseRepliesAndDuplicateHeartbeats(seed uint64) {
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(seed, 3))
	chance := func(p float64) func() bool {
		return func() bool { mu.Lock(); defer mu.Unlock(); return rng.Float64() < p }
	}
	c.store.SetReplyFaults(chance(0.05), chance(0.05))
	if seed%2 != 0 {
		return
	}
	c.cloud.DuplicateHeartbeat = func() (time.Duration, bool) {
		mu.Lock()
		defer mu.Unlock()
		return time.Duration(rng.Float64() * 40 * float64(time.Second)), rng.Float64() < 0.2
	}
}

// faultInjector injects faults of random duration.
type faultInjector struct {
	cluster *simulatedCluster
	rng     *rand.Rand
}

// faults returns all faults; each takes the affected node. Random draws depend on their order.
func (f *faultInjector) faults() []func(node string) {
	return []func(string){
		f.crash, f.crashAll, f.isolateFromStore, f.isolateFromAgents, f.storeOutage,
		f.reclaimMachine, f.pauseMachine, f.storeRefusesNode, f.isolateFromAllButAgents, f.crashRepeatedly,
	}
}

// randomSeconds draws a duration of whole seconds from minimum to below minimum+spread.
func (f *faultInjector) randomSeconds(minimum, spread int) time.Duration {
	return time.Duration(minimum+f.rng.IntN(spread)) * time.Second
}

// blockRandomTime blocks network directions for a random time.
func (f *faultInjector) blockRandomTime(minimum, spread int, blocked func(a, b string) bool) {
	f.cluster.net.SetBlocked(blocked)
	time.Sleep(f.randomSeconds(minimum, spread))
	f.cluster.net.SetBlocked(nil)
}

// storeOutageRandomTime makes the key-value store refuse some callers for a random time.
func (f *faultInjector) storeOutageRandomTime(minimum, spread int, refused func(caller string) bool) {
	f.cluster.store.SetOutage(refused)
	time.Sleep(f.randomSeconds(minimum, spread))
	f.cluster.store.SetOutage(nil)
}

func (f *faultInjector) crash(node string) {
	f.cluster.crash(node, time.Duration(f.rng.IntN(5000))*time.Millisecond)
}

func (f *faultInjector) crashAll(string) {
	for _, n := range f.cluster.nodes {
		f.cluster.crash(n, 200*time.Millisecond)
	}
}

// isolateFromStore blocks the network between a node and the key-value store.
func (f *faultInjector) isolateFromStore(node string) {
	f.blockRandomTime(3, 12, func(a, b string) bool { return a == node && b == "state" || a == "state" && b == node })
}

func (f *faultInjector) isolateFromAgents(node string) {
	f.blockRandomTime(3, 12, func(a, b string) bool {
		return a == node && strings.HasPrefix(b, "i-") || b == node && strings.HasPrefix(a, "i-")
	})
}

func (f *faultInjector) storeOutage(string) {
	f.storeOutageRandomTime(2, 12, func(string) bool { return true })
}

func (f *faultInjector) reclaimMachine(string) {
	if machines := f.cluster.cloud.Machines(); len(machines) > 0 {
		f.cluster.cloud.Reclaim(machines[f.rng.IntN(len(machines))])
	}
}

func (f *faultInjector) pauseMachine(string) {
	if machines := f.cluster.cloud.Machines(); len(machines) > 0 {
		f.cluster.cloud.Pause(machines[f.rng.IntN(len(machines))], f.randomSeconds(0, 25))
	}
}

// storeRefusesNode makes the key-value store refuse one node.
func (f *faultInjector) storeRefusesNode(node string) {
	f.storeOutageRandomTime(3, 12, func(caller string) bool { return caller == node })
}

func (f *faultInjector) isolateFromAllButAgents(node string) {
	f.blockRandomTime(5, 25, func(a, b string) bool {
		isBlocked := func(a, b string) bool { return a == node && (b == "state" || b == "cloud" || b[0] == 'n') }
		return isBlocked(a, b) || isBlocked(b, a)
	})
}

// crashRepeatedly crashes a node four times with short downtimes, also during elections.
func (f *faultInjector) crashRepeatedly(node string) {
	for range 4 {
		f.cluster.crash(node, time.Duration(f.rng.IntN(400))*time.Millisecond)
		time.Sleep(time.Duration(f.rng.IntN(900)) * time.Millisecond)
	}
}
