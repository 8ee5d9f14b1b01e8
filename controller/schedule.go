package controller

import (
	"context"
	"time"

	"junipershelf/scheduler"
)

const (
	planInterval       = 500 * time.Millisecond
	statisticsInterval = 10 * time.Second
)

// scheduleLoop is the leader's: it plans the fleet, and runs scheduling cycles where no
// owner's call has. On every node it logs the statistics.
func (c *Controller) scheduleLoop(ctx context.Context) {
	logged := time.Now()
	for sleep(ctx, planInterval) {
		now := time.Now()
		logNow := now.Sub(logged) >= statisticsInterval
		if logNow {
			logged = now
		}
		c.state.mu.Lock()
		if logNow {
			c.logMetrics()
		}
		if c.state.leader.scheduler != nil && c.membership.HoldsLease(c.state.current.view.Number) {
			// An owner that has not called yet holds what its records show, and no more:
			// nobody else has given it anything in this view. So the others need not wait for
			// it, as they once did for as long as controllers refused each other.
			waiting := c.runCycle(now)
			if logNow {
				c.logSchedule()
			}
			c.planFleet(ctx, now, waiting)
		}
		c.state.mu.Unlock()
	}
}

// runCycle runs one scheduling cycle. The caller holds the lock.
func (c *Controller) runCycle(now time.Time) []*scheduler.WaitingJob {
	c.state.leader.lastCycle = now
	waiting := c.state.leader.scheduler.RunCycle(now)
	c.state.current.placeableWork = false
	for _, w := range waiting {
		if w.Tasks > 0 && c.state.leader.scheduler.WithinLimit(w.Job) {
			c.state.current.placeableWork = true
			break
		}
	}
	c.metrics.cycle(time.Since(now))
	return waiting
}
