package controller

import (
	"sync"
	"time"

	"junipershelf/autoscaler"
	"junipershelf/internal/limits"
	"junipershelf/job"
	"junipershelf/membership"
	"junipershelf/partition"
	"junipershelf/scheduler"
)

// nodeState is what the parts of a node decide on: the jobs, the view that the node acts in,
// the partition that it owns there and, on the leader, the scheduler and the autoscaler.
//
// mu guards all of it, and what partition, scheduler and autoscaler hold. It is held for
// decisions only, never for I/O. The locks of the limit counter, the metrics, the log
// deduplicator, the terminal states' log, membership and the clients are taken after it,
// never before.
type nodeState struct {
	mu             sync.Mutex
	jobs           *job.Cache
	terminalStates *terminalStateCache
	current        viewState
	leader         leaderState
	commitSettled  chan struct{} // closed and renewed after each commit
}

func newNodeState(teams map[string]int, counter *limitCounter) *nodeState {
	return &nodeState{
		jobs:           job.NewCache(teams),
		terminalStates: newTerminalStateCache(maxTerminalStates, func() { counter.record(limits.TerminalStates) }),
		current:        viewState{runningTasks: map[string]int{}, loaded: make(chan struct{})},
		commitSettled:  make(chan struct{}),
	}
}

// viewState is what a node holds in the view that it acts in. Nothing of it outlives the
// view but the channel.
type viewState struct {
	view          membership.View
	index         int // of this node among the members; below 0: it is none
	bucketOwners  []int
	partition     *partition.Partition // nil while the view's records are read
	fleetVersion  uint64               // what the leader has told of the fleet
	runningTasks  map[string]int       // by job, as the leader tells
	placeableWork bool                 // work waits that could be placed
	loaded        chan struct{}        // closed once the partition has been read
}

// leaderState is what the leader holds beside it.
type leaderState struct {
	scheduler     *scheduler.Scheduler // nil on all other nodes
	autoscaler    *autoscaler.Autoscaler
	lastCycle     time.Time
	evict         []string // machines to drain
	terminate     []string // machines to return without waiting for their tasks
	scaleOutCalls int      // calls so far; they make the idempotency keys
}
