package peer

import (
	"junipershelf/partition"
	"junipershelf/scheduler"
)

// NodeState describes a running controller to an operator. `junipershelf show` prints it under
// the names in the tags, on which operators' scripts rely.
type NodeState struct {
	Node          string            `msgpack:"node"`
	View          uint64            `msgpack:"view"`
	Index         int               `msgpack:"index"` // in the view; below 0: not a member
	Members       []string          `msgpack:"members"`
	HoldsLease    bool              `msgpack:"authority"` // the controller holds the ownership lease of the view
	LiveJobs      int               `msgpack:"live_jobs"`
	StoreSilentMS int64             `msgpack:"state_silent_ms"` // milliseconds since the last reply of the key-value store
	Machines      []MachineState    `msgpack:"machines,omitempty"`
	Counts        *partition.Counts `msgpack:"counts,omitempty"`
	Leader        *LeaderState      `msgpack:"leader,omitempty"` // nil on all but the leader
}

// MachineState describes one of the controller's own machines.
type MachineState struct {
	ID               string            `msgpack:"id"`
	Type             string            `msgpack:"type"`
	Zone             string            `msgpack:"zone"`
	Spot             bool              `msgpack:"spot"`
	Usable           bool              `msgpack:"usable"`
	Draining         bool              `msgpack:"draining"`
	PreemptionNotice bool              `msgpack:"noticed"`
	FreeCPUs         float64           `msgpack:"free_cpus"`
	Held             map[string]string `msgpack:"held"` // task indices by job, in the text form of job.Ranges
	Images           []string          `msgpack:"images"`
}

// LeaderState has the leader's figures for each team, and its counts.
type LeaderState struct {
	TeamCPUs         map[string]float64 `msgpack:"team_cpus"`
	TeamQueuedCPUs   map[string]float64 `msgpack:"team_queued_cpus"`
	TeamWaitingTasks map[string]int     `msgpack:"team_waiting_tasks"`
	JobWaits         map[string]string  `msgpack:"job_waits"` // by job: what its unassigned and queued tasks wait for
	Counts           scheduler.Counts   `msgpack:"counts"`
}
