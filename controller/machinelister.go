package controller

import (
	"context"
	"time"

	"junipershelf/cloud"
	"junipershelf/internal/limits"
)

const (
	// leaderCheckInterval is how often a node that does not lead looks whether it does by now.
	leaderCheckInterval = 300 * time.Millisecond
	minListInterval     = 2 * time.Second
)

// machineLister reads the cloud's list of machines for the leader's autoscaler. It has no
// state of its own.
type machineLister struct {
	state       *nodeState
	cloud       *cloud.Client
	limitCounts *limitCounter
	interval    time.Duration // between two lists, at the least
}

// run reads the list at intervals until the context ends.
func (l *machineLister) run(ctx context.Context) {
	for pause := time.Duration(0); sleep(ctx, pause); {
		pause = l.listOnce(ctx)
	}
}

// listOnce reads the list if this node leads, and returns the pause until the next one.
func (l *machineLister) listOnce(ctx context.Context) time.Duration {
	l.state.mu.Lock()
	planner, leads := l.state.leader.autoscaler, l.state.leader.scheduler != nil
	l.state.mu.Unlock()
	if !leads {
		return leaderCheckInterval
	}
	machines, cut, err := l.cloud.List(ctx)
	if err != nil {
		return cloudRetry
	}
	if cut {
		l.limitCounts.record(limits.MachineList)
	}
	l.state.mu.Lock()
	planner.ObserveList(time.Now(), machines)
	l.state.mu.Unlock()
	return max(l.interval, l.cloud.ListInterval(len(machines)))
}
