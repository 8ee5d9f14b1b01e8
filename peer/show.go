package peer

import (
	"junipershelf/partition"
	"junipershelf/scheduler"
)

// NodeState describes a running node to an operator.
type NodeState struct {
	Node          string            `msgpack:"node"`
	View          uint64            `msgpack:"view"`
	Index         int               `msgpack:"index"`
	Members       []string          `msgpack:"members"`
	HoldsLease    bool              `msgpack:"authority"`
	LiveJobs      int               `msgpack:"live_jobs"`
	StoreSilentMS int64             `msgpack:"state_silent_ms"`
	Machines      []MachineState    `msgpack:"machines,omitempty"`
	Counts        *partition.Counts `msgpack:"counts,omitempty"`
	Leader        *LeaderState      `msgpack:"leader,omitempty"`
}

// MachineState is one of the node's machines.
type MachineState struct {
	ID               string            `msgpack:"id"`
	Type             string            `msgpack:"type"`
	Zone             string            `msgpack:"zone"`
	Spot             bool              `msgpack:"spot"`
	Usable           bool              `msgpack:"usable"`
	Draining         bool              `msgpack:"draining"`
	PreemptionNotice bool              `msgpack:"noticed"`
	FreeCPUs         float64           `msgpack:"free_cpus"`
	Held             map[string]string `msgpack:"held"` // task numbers by job
	Images           []string          `msgpack:"images"`
}

// LeaderState is what the leader's ledger holds.
type LeaderState struct {
	TeamCPUs         map[string]float64 `msgpack:"team_cpus"`
	TeamQueuedCPUs   map[string]float64 `msgpack:"team_queued_cpus"`
	TeamWaitingTasks map[string]int     `msgpack:"team_waiting_tasks"`
	Counts           scheduler.Counts   `msgpack:"counts"`
}
