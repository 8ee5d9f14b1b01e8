package loadtest

import (
	"fmt"

	"junipershelf/protocol"
	"junipershelf/settings"
)

// The load test has the slots per machine and the limits of the real deployment that has the lowest rates
// per machine.
const (
	controllerCount    = 3
	slotsPerMachine    = 8
	heartbeatIntervalS = 5.0
	leaseS             = 26.5
	cancelWithinS      = 51.5
	clockErrorMS       = 25.0
	storeRequestsPerS  = 300
	storeChangesPerS   = 70
	transactionChanges = 32
	valueKB            = 8
	cloudRequestsPerS  = 15.0
	cloudListLagS      = 6.0
	cpusPerController  = 0.5
	maxSockets         = 3000
)

var (
	teams = []string{"ocr", "routing", "hub"}
	zones = []string{"a", "b", "c"}

	// machineType is the only type that the cloud offers.
	machineType = protocol.MachineType{
		Name: "octa", CPUs: slotsPerMachine, MemGB: 64, CacheGB: 70, PullGBPerS: 0.5,
		Price: 0.6, SpotPrice: 0.2, BootS: 10, Zones: zones,
	}
)

// cloudSeed is fixed so that the emulated cloud makes the same random draws in each run.
const cloudSeed = 1

// The addresses of the store and the cloud, and the first of the controllers' ports.
const (
	storeAddr = "127.0.0.1:21080"
	cloudAddr = "127.0.0.1:21081"

	firstControllerPort = 21090
	portsPerController  = 2
)

func nodeName(node int) string { return fmt.Sprintf("node-%d", node) }

// apiAddr returns the address at which a controller serves users and agents.
func apiAddr(node int) string {
	return fmt.Sprintf("127.0.0.1:%d", firstControllerPort+portsPerController*node)
}

// internalAddr returns the address at which a controller serves its peers.
func internalAddr(node int) string {
	return fmt.Sprintf("127.0.0.1:%d", firstControllerPort+portsPerController*node+1)
}

func apiAddrs() []string {
	var addrs []string
	for i := range controllerCount {
		addrs = append(addrs, apiAddr(i))
	}
	return addrs
}

// teamLimit returns the number of CPUs that a team may use: half of the fleet's.
func (c *cluster) teamLimit() float64 { return float64(c.Machines*slotsPerMachine) / 2 }

// teamGuarantee returns the number of CPUs that a team is guaranteed: a quarter of the fleet's.
func (c *cluster) teamGuarantee() float64 { return float64(c.Machines*slotsPerMachine) / 4 }

// settings returns the settings of a controller.
func (c *cluster) settings(node int) *settings.Settings {
	s := &settings.Settings{
		NodeName:     nodeName(node),
		Domain:       zones[0],
		APIAddr:      apiAddr(node),
		InternalAddr: internalAddr(node),
		Services:     settings.ServiceAddresses{CloudAddr: cloudAddr, StoreAddr: storeAddr},
		Facts: settings.Facts{
			Nodes:        controllerCount,
			Zones:        zones,
			ClockErrorMS: clockErrorMS,
			Workers:      settings.WorkerTimes{HeartbeatIntervalS: heartbeatIntervalS, LeaseS: leaseS, CancelWithinS: cancelWithinS},
			Store: settings.StoreLimits{
				RPS: storeRequestsPerS, WriteRPS: storeChangesPerS, ValueKB: valueKB, TransactionChanges: transactionChanges,
			},
			Cloud:     settings.CloudLimits{RPS: cloudRequestsPerS, ListLagS: cloudListLagS},
			Resources: settings.Resources{CPU: cpusPerController, MemMB: c.MemMB, MaxSockets: maxSockets},
		},
	}
	for _, team := range teams {
		s.Facts.Teams = append(s.Facts.Teams, settings.Team{Name: team, CPUGuarantee: c.teamGuarantee(), CPULimit: c.teamLimit()})
	}
	for i := range controllerCount {
		if i != node {
			s.Peers = append(s.Peers, settings.Peer{NodeName: nodeName(i), Domain: zones[0], Addr: internalAddr(i)})
		}
	}
	return s
}
