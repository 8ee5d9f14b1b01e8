package controller

import (
	"time"

	"junipershelf/scheduler"
)

// minCycleInterval is the minimum time after a cycle before a sync call may start another one.
const minCycleInterval = 300 * time.Millisecond

// schedulingCycle runs the leader's scheduling cycles. The state's lock guards lastRun.
type schedulingCycle struct {
	state   *nodeState
	metrics *nodeMetrics

	lastRun time.Time
}

// due reports whether a sync call may start a cycle. The caller holds the state's lock.
func (c *schedulingCycle) due(now time.Time) bool { return now.Sub(c.lastRun) >= minCycleInterval }

// run runs one cycle on the leader and returns the waiting jobs. The caller holds the state's lock.
func (c *schedulingCycle) run(now time.Time) []*scheduler.WaitingJob {
	c.lastRun = now
	s := c.state.leader.scheduler
	waiting := s.RunCycle(now)
	c.state.current.hasPlaceableWork = hasPlaceableWork(s, waiting)
	c.metrics.recordCycle(time.Since(now))
	return waiting
}

// hasPlaceableWork reports whether any waiting job is within its team's limit, so that its tasks wait
// only for free resources.
func hasPlaceableWork(s *scheduler.Scheduler, waiting []*scheduler.WaitingJob) bool {
	for _, w := range waiting {
		if w.Tasks > 0 && s.WithinLimit(w.Job) {
			return true
		}
	}
	return false
}
