package controller_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"junipershelf/internal/emulator"
	"junipershelf/protocol"
)

// fiveControllerDeployment has five controllers in one zone, a key-value store with a low write rate,
// and large machines with a long heartbeat interval.
var fiveControllerDeployment = deployment{
	facts: strings.NewReplacer("nodes = 3", "nodes = 5", `zones = ["east", "west"]`, `zones = ["east"]`, "cpus = 8.0", "cpus = 150.0",
		"cpus_max = 12.0", "cpus_max = 180.0", "cpus_max = 20.0", "cpus_max = 260.0",
		"report_s = 1.5", "report_s = 3.0", "lease_s = 10.0", "lease_s = 21.0", "cancel_s = 30.0", "cancel_s = 46.0",
		"rps = 500.0", "rps = 120.0", "write_rps = 200.0", "write_rps = 20.0", "txn_ops = 16", "txn_ops = 12").Replace(smallFacts),
	invariants: emulator.Invariants{
		LeaseDuration: 21 * time.Second, HeartbeatInterval: 3 * time.Second, CancellationDeadline: 46 * time.Second,
		TeamCPULimits: map[string]float64{"red": 180, "blue": 260},
	},
	machineTypes: []protocol.MachineType{{Name: "large", CPUs: 64, MemGB: 256, CacheGB: 60, PullGBPerS: 0.5, Price: 2.4, SpotPrice: 0.5, BootS: 5, Zones: []string{"east"}}},
	capacity:     map[string]int{"large": 7},
	controllers:  5, limitStore: true,
}

// TestFiveControllersSurviveLossOfFour submits thirty jobs at the same time with twenty changes per second,
// crashes one to four controllers together, and restarts all in turn. The machines must be in use again
// within 15 s of each loss, without a violated invariant.
func TestFiveControllersSurviveLossOfFour(t *testing.T) {
	runScenarioIn(t, fiveControllerDeployment, func(t *testing.T, cluster *simulatedCluster) {
		cluster.cloud.RunFor = func(task string) time.Duration { return time.Duration(25+10*(len(task)%3)) * time.Second }
		jobs, cpus := map[string]int{}, map[string]float64{}
		var wg sync.WaitGroup
		for i := range 30 {
			uid := fmt.Sprintf("wk-%d", i+1)
			jobs[uid] = 8 + 2*(i%12)
			m := jobBody(uid, []string{"red", "blue"}[i%2], jobs[uid])
			cpus[uid] = []float64{2, 16}[i/2%2]
			m["cpus"] = cpus[uid]
			wg.Go(func() { cluster.submit(m) })
		}
		began := time.Now()
		wg.Wait()
		if took := time.Since(began); took > 8*time.Second {
			t.Errorf("30 submissions took %v, want at most 8s", took)
		}
		time.Sleep(25 * time.Second)
		cluster.checkCPUsInUse("after the start", cpus, 400) // of 440, over all jobs
		for lost := 1; lost <= 4; lost++ {
			var restarts sync.WaitGroup
			for _, n := range cluster.nodes[:lost] {
				restarts.Go(func() { cluster.crash(n, 4*time.Second) })
			}
			time.Sleep(15 * time.Second)
			cluster.checkCPUsInUse(fmt.Sprintf("15 s after the loss of %d", lost), cpus, 280)
			restarts.Wait()
			time.Sleep(10 * time.Second)
		}
		for _, n := range cluster.nodes {
			cluster.crash(n, 4*time.Second)
			time.Sleep(5 * time.Second)
		}
		cluster.awaitAllDone(jobs, 10*time.Minute)
	})
}

// TestFiveControllersSurviveIsolationAndOutage isolates the controllers from each other, so that four call
// the leader by mailbox, then makes the key-value store refuse one of them, and then crashes all five
// during an outage of the store. Tasks must keep running.
func TestFiveControllersSurviveIsolationAndOutage(t *testing.T) {
	runScenarioIn(t, fiveControllerDeployment, func(_ *testing.T, cluster *simulatedCluster) {
		cluster.cloud.RunFor = func(string) time.Duration { return 30 * time.Second }
		jobs := cluster.submitJobs(14, 200)
		time.Sleep(30 * time.Second)
		cluster.checkRunningTasks("after the start", 300)

		cluster.net.SetBlocked(func(a, b string) bool { return a[0] == 'n' && b[0] == 'n' })
		time.Sleep(40 * time.Second)
		cluster.checkRunningTasks("while the controllers are isolated from each other", 200)
		cluster.net.SetBlocked(nil)
		time.Sleep(5 * time.Second)

		cluster.store.SetOutage(func(from string) bool { return strings.HasPrefix(from, "n3") })
		time.Sleep(45 * time.Second)
		cluster.checkRunningTasks("while the key-value store refuses one controller", 200)
		cluster.store.SetOutage(nil)
		time.Sleep(10 * time.Second)

		cluster.store.SetOutage(func(string) bool { return true })
		time.Sleep(6 * time.Second)
		for _, n := range cluster.nodes {
			go cluster.crash(n, 4*time.Second)
		}
		time.Sleep(6 * time.Second)
		cluster.store.SetOutage(nil)
		time.Sleep(25 * time.Second)
		cluster.checkRunningTasks("25 s after an outage in which all controllers crashed", 150)
		cluster.awaitAllDone(jobs, 10*time.Minute)
	})
}
