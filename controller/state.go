package controller

import (
	"sync"

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
// decisions only, never for I/O.
//
// Order of locks: mu comes first. The locks of the catalogue, the log of cancellations, the peer
// tracker, the rate limiter of users' requests, the metrics, the log deduplicator, membership and
// the clients are taken after it, never before, and none of them while another of them is held.
// The lock of the limit counter is the last: whatever reaches a limit counts it under its own lock.
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
	index         int  // of this node among the members; 0 leads
	outside       bool // this node is none of the members; index says nothing then
	bucketOwners  []int
	partition     *partition.Partition // nil while the view's records are read
	fleetVersion  uint64               // of the leader's list of machines, as applied here
	runningTasks  map[string]int       // by job, as the leader reports
	placeableWork bool                 // work waits that could be placed
	loaded        chan struct{}        // closed once the partition has been read
}

// leaderState is what the leader holds beside it.
type leaderState struct {
	scheduler  *scheduler.Scheduler // nil on all other nodes
	autoscaler *autoscaler.Autoscaler
	evict      []string // machines to terminate once they are idle
	terminate  []string // machines to terminate without waiting for their tasks
}

// leadingView returns the view that this node acts in, and reports whether it leads in it.
func (s *nodeState) leadingView() (membership.View, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current.view, s.leader.scheduler != nil
}
