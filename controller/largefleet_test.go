package controller_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"junipershelf/internal/emulator"
	"junipershelf/protocol"
)

// largeDeployment returns a deployment of largeFleetMachines machines with four slots each. The key-value
// store enforces the rate limits of the real deployment that has the lowest rates per machine.
func largeDeployment() deployment {
	slots := float64(4 * largeFleetMachines)
	text := smallFacts
	for _, change := range [][2]string{
		{"cpus = 8.0", fmt.Sprintf("cpus = %.1f", slots*0.4)},
		{"cpus_max = 12.0", fmt.Sprintf("cpus_max = %.1f", slots*0.7)},
		{"cpus_max = 20.0", fmt.Sprintf("cpus_max = %.1f", slots*0.7)},
		{"report_s = 1.5", "report_s = 5.0"},
		{"lease_s = 10.0", "lease_s = 26.5"},
		{"cancel_s = 30.0", "cancel_s = 50.0"},
		{"rps = 500.0", "rps = 300.0"},
		{"write_rps = 200.0", "write_rps = 70.0"},
		{"max_sockets = 400", "max_sockets = 3000"},
		{"mem_mb = 125.0", "mem_mb = 220.0"},
	} {
		text = strings.ReplaceAll(text, change[0], change[1])
	}
	return deployment{
		facts: text,
		invariants: emulator.Invariants{
			LeaseDuration: 26500 * time.Millisecond, HeartbeatInterval: 5 * time.Second, CancellationDeadline: 50 * time.Second,
			TeamCPULimits: map[string]float64{"red": slots * 0.7, "blue": slots * 0.7},
		},
		machineTypes: []protocol.MachineType{{Name: "quad", CPUs: 4, MemGB: 32, CacheGB: 70, PullGBPerS: 0.5, Price: 0.3, SpotPrice: 0.1, BootS: 15, Zones: []string{"east", "west"}}},
		capacity:     map[string]int{"quad": largeFleetMachines},
		limitStore:   true, directAgents: true,
	}
}

// fullFleetTasks is the minimum number of tasks that run on a fully used fleet, where some slots are
// between two tasks.
const fullFleetTasks = 4 * largeFleetMachines * 95 / 100

// TestLargeFleetSurvivesLossOfAllControllers starts a fleet, crashes an owner and then all controllers, which
// restart one after the other.
func TestLargeFleetSurvivesLossOfAllControllers(t *testing.T) {
	runScenarioIn(t, largeDeployment(), func(t *testing.T, cluster *simulatedCluster) {
		cluster.cloud.RunFor = func(string) time.Duration { return 3 * time.Minute }
		cluster.submitJobsConcurrently(40, largeFleetMachines/8, 3*time.Minute)
		t.Logf("fleet fully used %v after the jobs were accepted", cluster.awaitRunningTasks("after the start", fullFleetTasks, 90*time.Second))
		_, owners := cluster.leader()
		cluster.crash(owners[0], 4*time.Second)
		time.Sleep(10 * time.Second)
		cluster.checkRunningTasks("after the loss of an owner", fullFleetTasks)
		for i, n := range cluster.nodes {
			go cluster.crash(n, time.Duration(1+3*i)*time.Second)
		}
		time.Sleep(20 * time.Second)
		cluster.checkRunningTasks("after the loss of all controllers", fullFleetTasks)
		cluster.checkInvariants(nil)
	})
}

// TestLargeFleetRecoversFromSimultaneousHeartbeats lets all machines send their first heartbeat within two
// seconds. It then isolates a third of the machines and reconnects them simultaneously, and after that all
// machines of a zone.
func TestLargeFleetRecoversFromSimultaneousHeartbeats(t *testing.T) {
	setup := largeDeployment()
	setup.facts = strings.ReplaceAll(setup.facts, "rps = 20.0", "rps = 400.0")
	setup.machineTypes[0].BootS = 1.3
	runScenarioIn(t, setup, func(t *testing.T, cluster *simulatedCluster) {
		cluster.cloud.RunFor = func(string) time.Duration { return 5 * time.Minute }
		cluster.submitJobsConcurrently(40, largeFleetMachines/8, 5*time.Minute)
		t.Logf("fleet fully used %v after the jobs were accepted", cluster.awaitRunningTasks("after the start", fullFleetTasks, time.Minute))

		third := func(host string) bool { return strings.HasPrefix(host, "i-") && int(host[len(host)-1]-'0')%3 == 0 }
		cluster.net.SetBlocked(func(a, b string) bool { return third(a) || third(b) })
		time.Sleep(12 * time.Second)
		cluster.net.SetBlocked(nil)
		time.Sleep(15 * time.Second)
		cluster.checkRunningTasks("after a third of the machines was isolated for 12 s", fullFleetTasks)

		east := map[string]bool{}
		for _, id := range cluster.cloud.Machines() {
			east[id] = cluster.cloud.ZoneOf(id) == "east"
		}
		cluster.net.SetBlocked(func(a, b string) bool { return east[a] || east[b] })
		time.Sleep(40 * time.Second)
		cluster.net.SetBlocked(nil)
		t.Logf("fleet fully used again %v after the zone was reconnected", cluster.awaitRunningTasks("after the zone was reconnected", fullFleetTasks, 2*time.Minute))
		cluster.checkInvariants(nil)
	})
}

// TestLargeFleetScaleOutSurvivesLossOfLeader crashes the leader while most machines of a fleet are booting.
// The new leader must neither terminate them nor start replacements.
func TestLargeFleetScaleOutSurvivesLossOfLeader(t *testing.T) {
	runScenarioIn(t, largeDeployment(), func(t *testing.T, cluster *simulatedCluster) {
		cluster.cloud.RunFor = func(string) time.Duration { return 3 * time.Minute }
		cluster.cloud.Capacity["quad"] = 2 * largeFleetMachines
		cluster.submitJobsConcurrently(20, largeFleetMachines/10, 3*time.Minute)
		time.Sleep(5 * time.Second)
		leader, _ := cluster.leader()
		if booting := len(cluster.cloud.Machines()); booting < largeFleetMachines/4 {
			t.Errorf("%d machines are booting before the leader crashes, want at least %d", booting, largeFleetMachines/4)
		}
		cluster.crash(leader, 4*time.Second)
		cluster.awaitRunningTasks("after the leader's crash", 2*largeFleetMachines*95/100, time.Minute)
		if machines := len(cluster.cloud.Machines()); machines > largeFleetMachines*6/10 {
			t.Errorf("%d machines run for %d tasks with four slots per machine", machines, 2*largeFleetMachines)
		}
		cluster.checkInvariants(nil)
	})
}

// TestLargeFleetRunsAndCancelsTheLargestJob submits a job of the largest size to an empty fleet. The job must
// keep the fleet in use although its tasks have different run times. After a crash of the leader it is
// cancelled while thousands of its tasks run, and they must stop within the deadline.
func TestLargeFleetRunsAndCancelsTheLargestJob(t *testing.T) {
	setup := largeDeployment()
	setup.facts = strings.ReplaceAll(setup.facts, fmt.Sprintf("cpus_max = %.1f", 4*largeFleetMachines*0.7), fmt.Sprintf("cpus_max = %.1f", 4*largeFleetMachines*1.0))
	for team := range setup.invariants.TeamCPULimits {
		setup.invariants.TeamCPULimits[team] = 4 * largeFleetMachines
	}
	runScenarioIn(t, setup, func(t *testing.T, cluster *simulatedCluster) {
		cluster.cloud.RunFor = func(task string) time.Duration {
			return time.Duration(20+7*int(task[len(task)-1]-'0')) * time.Second
		}
		cluster.submit(longJobBody("wk-1", "red", protocol.MaxTasks, 50*time.Second))
		t.Logf("fleet fully used %v after the job was accepted", cluster.awaitRunningTasks("after the start", fullFleetTasks, 90*time.Second))
		fewest := 4 * largeFleetMachines
		for range 60 {
			time.Sleep(time.Second)
			fewest = min(fewest, cluster.cloud.RunningTasks())
		}
		if fewest < fullFleetTasks*6/10 {
			t.Errorf("only %d tasks ran on %d slots while tasks with different run times ended", fewest, 4*largeFleetMachines)
		}
		leader, others := cluster.leader()
		cluster.crash(leader, 4*time.Second)
		time.Sleep(15 * time.Second)
		t.Logf("fewest running tasks: %d; running at the cancellation: %d", fewest, cluster.cloud.RunningTasks())
		cluster.cancelAt(others[0], "wk-1")
		time.Sleep(52 * time.Second) // until after cancel_s, when the invariant check counts remaining tasks
		cluster.checkInvariants(nil)
	})
}

// TestLargeFleetSchedulesAtHalfTheStoreRates queues a hundred thousand tasks of many jobs and halves the
// key-value store's rates while they run.
func TestLargeFleetSchedulesAtHalfTheStoreRates(t *testing.T) {
	runScenarioIn(t, largeDeployment(), func(t *testing.T, cluster *simulatedCluster) {
		cluster.cloud.RunFor = func(task string) time.Duration { return time.Duration(60+len(task)) * time.Second }
		cluster.submitJobsConcurrently(250, largeFleetMachines/10, time.Minute)
		t.Logf("fleet fully used %v after the jobs were accepted", cluster.awaitRunningTasks("after the start", fullFleetTasks, 90*time.Second))
		cluster.store.LimitRates(150, 35)
		fewest := 4 * largeFleetMachines
		for range 75 {
			time.Sleep(time.Second)
			fewest = min(fewest, cluster.cloud.RunningTasks())
		}
		t.Logf("fewest running tasks at half the rates: %d", fewest)
		cluster.awaitRunningTasks("at half the rates", fullFleetTasks/2, 30*time.Second)
		cluster.checkInvariants(nil)
	})
}
