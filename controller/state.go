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

// nodeState is the state shared by the components of a node: the jobs, the current view, the
// partition that the node owns in it and, on the leader, the scheduler and the autoscaler.
//
// mu guards all fields and the contents of the partition, scheduler and autoscaler. It is never
// held during I/O.
//
// Lock order: mu is acquired first. The locks of the catalogue, the cancellation log, the peer
// tracker, the user rate limiter, the metrics, the log deduplicator, membership and the clients
// are acquired after mu, never before it, and never while another lock of this list is held. The
// lock of the limit counter is acquired last: components count a reached limit while holding their
// own lock.
type nodeState struct {
	mu             sync.Mutex
	jobs           *job.Cache
	terminalStates *terminalStateCache
	current        viewState
	leader         leaderState
	commitSettled  chan struct{} // closed and replaced once the outcome of a commit is known
}

func newNodeState(teams map[string]int, counter *limitCounter) *nodeState {
	return &nodeState{
		jobs:           job.NewCache(teams),
		terminalStates: newTerminalStateCache(maxTerminalStates, func() { counter.record(limits.TerminalStates) }),
		current:        viewState{runningTasks: map[string]int{}, loaded: make(chan struct{})},
		commitSettled:  make(chan struct{}),
	}
}

// viewState is a node's state in the current view. Only the loaded channel may be carried over to
// the next view.
type viewState struct {
	view             membership.View
	index            int  // of this node among the members; the member at index 0 is the leader
	nonMember        bool // this node is not a member of the view; index is meaningless
	bucketOwners     []int
	partition        *partition.Partition // nil while the view's records are being read
	fleetVersion     uint64               // version of the leader's fleet state that has been applied
	runningTasks     map[string]int       // by job, as reported by the leader
	hasPlaceableWork bool                 // the leader has tasks that wait only for free resources
	loaded           chan struct{}        // closed once the partition is loaded
}

// leaderState is the additional state of a leader.
type leaderState struct {
	scheduler  *scheduler.Scheduler // nil unless this node is the leader
	autoscaler *autoscaler.Autoscaler
	evict      []string             // machines to terminate once they are idle
	terminate  []string             // machines to terminate without waiting for their tasks to finish
	waits      []autoscaler.JobWait // what the waiting jobs wait for, as of the last plan
}

// leadingView returns the current view and reports whether this node is its leader.
func (s *nodeState) leadingView() (membership.View, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current.view, s.leader.scheduler != nil
}
