package controller

import (
	"context"
	"time"

	"junipershelf/membership"
)

const (
	// planInterval is the pause between two plans of the fleet, and between two scheduling cycles
	// that no owner's call has started.
	planInterval = 500 * time.Millisecond
	// metricsInterval is the shortest pause between two sets of metric lines in the log.
	metricsInterval = 10 * time.Second
)

// schedulingLoop runs scheduling cycles and plans the fleet on the leader, and logs the
// metrics on every node.
//
// metricsLoggedAt belongs to the goroutine of run.
type schedulingLoop struct {
	state      *nodeState
	membership *membership.Membership
	cycle      *schedulingCycle
	scaler     *fleetScaler
	metricsLog *metricsLogger

	metricsLoggedAt time.Time
}

// run works until the context ends, and returns once all calls of the cloud that it started
// have returned.
func (l *schedulingLoop) run(ctx context.Context) {
	defer l.scaler.wait()
	l.metricsLoggedAt = time.Now()
	for sleep(ctx, planInterval) {
		l.runOnce(ctx, time.Now())
	}
}

// runOnce logs the metrics if it is time to and, on the leader, runs a cycle and plans the
// fleet.
func (l *schedulingLoop) runOnce(ctx context.Context, now time.Time) {
	logDue := now.Sub(l.metricsLoggedAt) >= metricsInterval
	if logDue {
		l.metricsLoggedAt = now
	}
	l.state.mu.Lock()
	defer l.state.mu.Unlock()
	if logDue {
		l.metricsLog.logNode()
	}
	if l.state.leader.scheduler == nil || !l.membership.HoldsLease(l.state.current.view.Number) {
		return
	}
	// An owner that has not called yet holds what its records show, and no more: nobody else
	// has assigned it anything in this view. So the others need not wait for it, as they once
	// did for as long as controllers refused each other's connections.
	waiting := l.cycle.run(now)
	if logDue {
		l.metricsLog.logScheduler()
	}
	l.scaler.plan(ctx, now, waiting)
}
