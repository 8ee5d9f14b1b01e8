package controller

import (
	"context"
	"time"

	"junipershelf/internal/ctxtime"
	"junipershelf/membership"
)

const (
	// planInterval is the interval between fleet plans, and between scheduling cycles that are not
	// started by a sync call.
	planInterval = 500 * time.Millisecond
	// metricsInterval is the minimum interval between two sets of metric lines in the log.
	metricsInterval = 10 * time.Second
)

// schedulingLoop runs scheduling cycles and plans the fleet on the leader, and logs the metrics on
// every node.
//
// metricsLoggedAt is accessed only by the goroutine of run.
type schedulingLoop struct {
	state      *nodeState
	membership *membership.Membership
	cycle      *schedulingCycle
	scaler     *fleetScaler
	metricsLog *metricsLogger

	metricsLoggedAt time.Time
}

// run runs the loop until the context is cancelled, and returns once all cloud calls that it started
// have returned.
func (l *schedulingLoop) run(ctx context.Context) {
	defer l.scaler.wait()
	l.metricsLoggedAt = time.Now()
	for ctxtime.Sleep(ctx, planInterval) {
		l.runOnce(ctx, time.Now())
	}
}

// runOnce logs the metrics if they are due and, on the leader, runs a scheduling cycle and plans the
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
	// The cycle does not wait for the first sync call of every owner: nothing else has assigned
	// tasks in this view, so an owner that has not called yet holds exactly what its records show.
	// Waiting would stop all scheduling while controllers cannot connect to each other.
	waiting := l.cycle.run(now)
	if logDue {
		l.metricsLog.logScheduler()
	}
	l.scaler.plan(ctx, now, waiting)
}
