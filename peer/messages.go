package peer

import (
	"junipershelf/job"
	"junipershelf/partition"
	"junipershelf/scheduler"
)

// Sync is an owner's call to the leader, with what has changed on its machines. It may be
// retried: the leader ignores an update with a sequence number that it has already applied.
type Sync struct {
	//lint:ignore U1000 the msgpack library reads the tag of this field
	_msgpack     struct{} `msgpack:",as_array"`
	View         uint64
	Index        int    // of the owner in the view
	FleetVersion uint64 // of the fleet that the owner knows
	Update       partition.Update
}

// SyncReply is the leader's reply to a Sync.
type SyncReply struct {
	//lint:ignore U1000 the msgpack library reads the tag of this field
	_msgpack         struct{} `msgpack:",as_array"`
	View             uint64   // the leader's; if it is not the caller's, all other fields are invalid
	OK               bool
	UpdateVersion    uint64 // the last of the owner's update versions that the leader has applied
	Assignments      []scheduler.Assignment
	Evict            []string // machines to evict gracefully
	Terminate        []string // machines to terminate without waiting for their tasks
	Stop             []job.Task
	FleetBase        uint64 // version that Fleet and FleetRemoved are relative to; 0: Fleet is complete
	FleetVersion     uint64 // version that Fleet and FleetRemoved lead to
	Fleet            []partition.FleetMachine
	FleetRemoved     []string
	Running          map[string]int // running tasks by job
	HasPlaceableWork bool           // there is waiting work that could be placed
}

// Ping is the state that two controllers exchange, in a call and in its reply. A version that
// does not exchange cancellations omits the fields from LogID on, which leaves LogID 0.
type Ping struct {
	Node          string `msgpack:"n"`
	View          uint64 `msgpack:"v"` // 0: the sender has read none since its start
	StoreSilentMS int64  `msgpack:"s"` // milliseconds since the last reply of the key-value store

	// LogID identifies the sender's cancellation log, which has LogEnd entries. Cancellations are
	// those after the first LogFrom entries, as many as fit.
	LogID         uint64         `msgpack:"r,omitempty"`
	LogEnd        uint64         `msgpack:"h,omitempty"`
	LogFrom       uint64         `msgpack:"f,omitempty"`
	Cancellations []Cancellation `msgpack:"e,omitempty"`

	// PeerLogReceived is the number of entries that the sender has received of the receiver's
	// cancellation log, from the log's start. PeerLogID identifies that log.
	PeerLogID       uint64 `msgpack:"kr,omitempty"`
	PeerLogReceived uint64 `msgpack:"k,omitempty"`
}

// Cancellation is a job that a controller may have reported to a user as cancelled.
type Cancellation struct {
	UID  string `msgpack:"u"`
	Done int    `msgpack:"d,omitempty"` // number of completed tasks
}

// Forward forwards an agent's heartbeat to an owner that the agent cannot reach.
type Forward struct {
	Body []byte `msgpack:"b"` // as the agent sent it
}

// ForwardReply is the owner's response, to be returned to the agent.
type ForwardReply struct {
	Code int    `msgpack:"c"` // HTTP status
	Body []byte `msgpack:"b"`
}
