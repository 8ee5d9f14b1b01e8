package peer

import (
	"junipershelf/job"
	"junipershelf/partition"
	"junipershelf/scheduler"
)

// Sync is an owner's call to the leader: what has changed on its machines. The caller may
// repeat it; Update says by versions what it builds on.
type Sync struct {
	//lint:ignore U1000 the msgpack library reads the tag of this field
	_msgpack     struct{} `msgpack:",as_array"`
	View         uint64
	Index        int    // of the owner in the view
	FleetVersion uint64 // of the fleet as the owner has it
	Update       partition.Update
}

// SyncReply is the leader's answer to a Sync.
type SyncReply struct {
	//lint:ignore U1000 the msgpack library reads the tag of this field
	_msgpack      struct{} `msgpack:",as_array"`
	View          uint64   // the leader's own; if it is not the caller's, nothing else holds
	OK            bool
	UpdateVersion uint64 // of the owner's updates, as the leader has them
	Assignments   []scheduler.Assignment
	Evict         []string // machines to evict gracefully
	Terminate     []string // machines to terminate without waiting for their tasks
	Stop          []job.Task
	FleetBase     uint64 // what is said of the fleet leads from this version; 0: it is complete
	FleetVersion  uint64 // up to this one
	Fleet         []partition.FleetMachine
	FleetRemoved  []string
	Running       map[string]int // running tasks by job
	PlaceableWork bool           // work waits that could be placed
}

// Ping is what controllers say of themselves to each other, in a call and in its answer. A
// version that knows nothing of cancellations leaves out the fields from LogID on, and LogID
// is 0 then.
type Ping struct {
	Node          string `msgpack:"n"`
	View          uint64 `msgpack:"v"` // 0: none read since the start
	StoreSilentMS int64  `msgpack:"s"` // milliseconds since the key-value store last answered

	// LogID names the sender's log of cancellations, which has LogEnd entries; Cancellations
	// are those after the first LogFrom, as many as fit.
	LogID         uint64         `msgpack:"r,omitempty"`
	LogEnd        uint64         `msgpack:"h,omitempty"`
	LogFrom       uint64         `msgpack:"f,omitempty"`
	Cancellations []Cancellation `msgpack:"e,omitempty"`

	// Of the receiver's log PeerLogID the sender has the first PeerLogKnown entries.
	PeerLogID    uint64 `msgpack:"kr,omitempty"`
	PeerLogKnown uint64 `msgpack:"k,omitempty"`
}

// Cancellation is a job that a controller may have reported to a user as cancelled.
type Cancellation struct {
	UID  string `msgpack:"u"`
	Done int    `msgpack:"d,omitempty"` // number of finished tasks
}

// Forward hands on a worker's heartbeat to an owner that the worker cannot reach.
type Forward struct {
	Body []byte `msgpack:"b"` // as the worker sent it
}

// ForwardReply is the owner's answer to hand back to the worker.
type ForwardReply struct {
	Code int    `msgpack:"c"` // HTTP status
	Body []byte `msgpack:"b"`
}
