package controller_test

import (
	"strings"
	"testing"
	"time"

	"junipershelf/internal/emulator"
	"junipershelf/protocol"
)

// deployment1800Machines has 1,800 machines. With its limits of the key-value store, all placements
// of a partition must share a few records.
var deployment1800Machines = deployment{
	facts: strings.NewReplacer("cpus = 8.0", "cpus = 3000.0", "cpus_max = 12.0", "cpus_max = 4000.0", "cpus_max = 20.0", "cpus_max = 5000.0",
		"report_s = 1.5", "report_s = 5.0", "lease_s = 10.0", "lease_s = 26.5", "cancel_s = 30.0", "cancel_s = 50.0",
		"rps = 500.0", "rps = 300.0", "write_rps = 200.0", "write_rps = 70.0", "max_sockets = 400", "max_sockets = 3000").Replace(smallFacts),
	invariants: emulator.Invariants{
		LeaseDuration: 26500 * time.Millisecond, HeartbeatInterval: 5 * time.Second, CancellationDeadline: 50 * time.Second,
		TeamCPULimits: map[string]float64{"red": 4000, "blue": 5000},
	},
	machineTypes: []protocol.MachineType{{Name: "quad", CPUs: 4, MemGB: 32, CacheGB: 70, PullGBPerS: 0.5, Price: 0.3, SpotPrice: 0.1, BootS: 15, Zones: []string{"east", "west"}}},
	capacity:     map[string]int{"quad": 1800},
}

// deployment250Machines is deployment1800Machines with a seventh of the machines and lower limits.
var deployment250Machines = deployment{
	facts:        strings.NewReplacer("cpus = 3000.0", "cpus = 430.0", "cpus_max = 4000.0", "cpus_max = 570.0", "cpus_max = 5000.0", "cpus_max = 710.0", "write_rps = 70.0", "write_rps = 20.0").Replace(deployment1800Machines.facts),
	invariants:   emulator.Invariants{LeaseDuration: deployment1800Machines.invariants.LeaseDuration, HeartbeatInterval: deployment1800Machines.invariants.HeartbeatInterval, CancellationDeadline: deployment1800Machines.invariants.CancellationDeadline, TeamCPULimits: map[string]float64{"red": 570, "blue": 710}},
	machineTypes: deployment1800Machines.machineTypes,
	capacity:     map[string]int{"quad": 250},
}

// TestFleetOf1800MachinesSurvivesLossOfAllControllers starts a large fleet and crashes all controllers
// together. At least 6,000 of 7,200 slots must be in use 40 s after the start, and no invariant may be
// violated while 1,800 machines reconnect to restarted controllers. Longer scenarios use
// deployment250Machines.
func TestFleetOf1800MachinesSurvivesLossOfAllControllers(t *testing.T) {
	runScenarioIn(t, deployment1800Machines, func(_ *testing.T, cluster *simulatedCluster) {
		cluster.cloud.RunFor = func(string) time.Duration { return 2 * time.Minute }
		cluster.submitJobs(12, 700)
		time.Sleep(40 * time.Second)
		cluster.checkRunningTasks("after the start", 6000)
		for _, n := range cluster.nodes {
			go cluster.crash(n, time.Second)
		}
		time.Sleep(12 * time.Second)
		cluster.checkRunningTasks("after the loss of all controllers", 6000)
		cluster.checkInvariants(nil)
	})
}

// TestFleetRecoversFromMassReconnection causes mass reconnections: loss of all controllers, isolation of a
// fifth of the machines for two leases with late delivery of the held messages, and isolation of the
// controllers from each other. Most of the fleet must be in use again soon after each fault, and all jobs
// must complete without a violated invariant.
func TestFleetRecoversFromMassReconnection(t *testing.T) {
	runScenarioIn(t, deployment250Machines, func(_ *testing.T, cluster *simulatedCluster) {
		cluster.cloud.RunFor = func(task string) time.Duration { return time.Duration(40+10*len(task)) * time.Second }
		jobs := cluster.submitJobs(10, 350)
		time.Sleep(45 * time.Second)
		cluster.checkRunningTasks("after the start", 800)

		for _, n := range cluster.nodes {
			go cluster.crash(n, 5*time.Second)
		}
		time.Sleep(25 * time.Second)
		cluster.checkRunningTasks("20 s after all controllers have restarted", 750)

		isolated := func(host string) bool { return strings.HasPrefix(host, "i-") && host[len(host)-1] < '2' }
		cluster.net.SetBlocked(func(a, b string) bool { return isolated(a) || isolated(b) })
		time.Sleep(50 * time.Second)
		cluster.net.SetBlocked(nil)
		time.Sleep(20 * time.Second)
		cluster.checkRunningTasks("20 s after a fifth was isolated", 700)

		cluster.net.SetBlocked(func(a, b string) bool { return a[0] == 'n' && b[0] == 'n' })
		time.Sleep(25 * time.Second)
		cluster.checkRunningTasks("while the controllers are isolated from each other", 700)
		cluster.net.SetBlocked(nil)
		cluster.awaitAllDone(jobs, 8*time.Minute)
	})
}
