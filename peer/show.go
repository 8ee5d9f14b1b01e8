package peer

import (
	"junipershelf/partition"
	"junipershelf/scheduler"
)

// NodeState describes a running controller to an operator. The names of its fields are those
// that `junipershelf show` prints, on which operators' scripts rely.
type NodeState struct {
	Node          string            `msgpack:"node"`
	View          uint64            `msgpack:"view"`
	Index         int               `msgpack:"index"` // in the view; below 0: no member
	Members       []string          `msgpack:"members"`
	HoldsLease    bool              `msgpack:"authority"` // the ownership lease of the view
	LiveJobs      int               `msgpack:"live_jobs"`
	StoreSilentMS int64             `msgpack:"state_silent_ms"` // milliseconds since the key-value store last answered
	Machines      []MachineState    `msgpack:"machines,omitempty"`
	Counts        *partition.Counts `msgpack:"counts,omitempty"`
	Leader        *LeaderState      `msgpack:"leader,omitempty"` // nil on all but the leader
}

// MachineState is one of the controller's own machines.
type MachineState struct {
	ID               string            `msgpack:"id"`
	Type             string            `msgpack:"type"`
	Zone             string            `msgpack:"zone"`
	Spot             bool              `msgpack:"spot"`
	Usable           bool              `msgpack:"usable"`
	Draining         bool              `msgpack:"draining"`
	PreemptionNotice bool              `msgpack:"noticed"`
	FreeCPUs         float64           `msgpack:"free_cpus"`
	Held             map[string]string `msgpack:"held"` // task numbers by job, in the form of job.Ranges
	Images           []string          `msgpack:"images"`
}

// LeaderState is what the leader knows of the teams.
type LeaderState struct {
	TeamCPUs         map[string]float64 `msgpack:"team_cpus"`
	TeamQueuedCPUs   map[string]float64 `msgpack:"team_queued_cpus"`
	TeamWaitingTasks map[string]int     `msgpack:"team_waiting_tasks"`
	Counts           scheduler.Counts   `msgpack:"counts"`
}
