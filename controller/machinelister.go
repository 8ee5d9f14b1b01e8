package controller

import (
	"context"
	"time"

	"junipershelf/cloud"
	"junipershelf/internal/ctxtime"
	"junipershelf/internal/limits"
)

const (
	// leaderCheckInterval is the interval at which a node that is not the leader checks whether it has
	// become the leader.
	leaderCheckInterval = 300 * time.Millisecond
	minListInterval     = 2 * time.Second
)

// machineLister reads the cloud's list of machines for the leader's autoscaler. It is stateless.
type machineLister struct {
	state       *nodeState
	cloud       *cloud.Client
	limitCounts *limitCounter
	interval    time.Duration // minimum interval between two reads of the list
}

// run reads the list at intervals until the context is cancelled.
func (l *machineLister) run(ctx context.Context) {
	for pause := time.Duration(0); ctxtime.Sleep(ctx, pause); {
		pause = l.listOnce(ctx)
	}
}

// listOnce reads the list if this node is the leader, and returns the delay until the next call.
func (l *machineLister) listOnce(ctx context.Context) time.Duration {
	l.state.mu.Lock()
	planner, leads := l.state.leader.autoscaler, l.state.leader.scheduler != nil
	l.state.mu.Unlock()
	if !leads {
		return leaderCheckInterval
	}
	machines, truncated, err := l.cloud.List(ctx)
	if err != nil {
		return cloudRetryDelay
	}
	if truncated {
		l.limitCounts.record(limits.MachineList)
	}
	l.state.mu.Lock()
	planner.ObserveList(time.Now(), machines)
	l.state.mu.Unlock()
	return max(l.interval, l.cloud.ListInterval(len(machines)))
}
