package controller

import (
	"context"
	"errors"
	"fmt"
	"time"

	"junipershelf/autoscaler"
	"junipershelf/cloud"
	"junipershelf/internal/limits"
	"junipershelf/partition"
	"junipershelf/protocol"
	"junipershelf/scheduler"
	"junipershelf/settings"
)

const (
	scaleInInterval = 500 * time.Millisecond
	// cloudRetry is the pause after a call of the cloud failed.
	cloudRetry = time.Second
	// followerListCheck is how often a node looks whether it has come to lead.
	followerListCheck = 300 * time.Millisecond
	minListInterval   = 2 * time.Second
)

// planFleet rents what waiting work needs and picks the machines to return. Of the fleet
// nothing is known that an owner has not told: it is not planned until all have called. The
// caller holds the lock.
func (c *Controller) planFleet(ctx context.Context, now time.Time, waiting []*scheduler.WaitingJob) {
	l := &c.state.leader
	if !l.scheduler.AllOwnersSynced() || !l.autoscaler.HasList() || len(l.autoscaler.Catalogue) == 0 {
		return
	}
	plan := l.autoscaler.Plan(now, l.scheduler, waiting)
	for _, id := range plan.Evict {
		if c.logDedup.first("drain " + id) {
			c.log.Info("machine is idle", "machine", id)
		}
	}
	for _, id := range plan.Terminate {
		if c.logDedup.first("discard " + id) {
			c.log.Info("machine is given up", "machine", id, "sick", l.scheduler.Quarantined[id])
		}
	}
	l.evict, l.terminate = plan.Evict, plan.Terminate
	for _, request := range plan.Requests {
		l.scaleOutCalls++
		key := fmt.Sprintf("%s-%d-%d", c.settings.NodeName, c.state.current.view.Number, l.scaleOutCalls)
		l.autoscaler.RecordRequest(request)
		go c.scaleOut(ctx, l.autoscaler, request, key)
	}
}

// scaleOut rents machines. The same idempotency key again either does it or tells what it did.
func (c *Controller) scaleOut(ctx context.Context, planner *autoscaler.Autoscaler, request autoscaler.Request, key string) {
	rental := protocol.ScaleOutRequest{IdempotencyKey: key, MachineType: request.MachineType, Zone: request.Zone, Spot: request.Spot, Count: request.Count}
	ids, err := c.cloud.ScaleOut(ctx, rental)
	if errors.Is(err, cloud.ErrUnknown) {
		sleep(ctx, cloudRetry)
		ids, err = c.cloud.ScaleOut(ctx, rental)
	}
	c.state.mu.Lock()
	defer c.state.mu.Unlock()
	now := time.Now()
	switch {
	case err == nil:
		planner.RecordGrant(request, ids, now)
		c.log.Info("rented", "type", request.MachineType, "zone", request.Zone, "spot", request.Spot, "wanted", request.Count, "got", len(ids))
	case errors.Is(err, cloud.ErrNoCapacity):
		planner.RecordNoCapacity(request, now)
		c.log.Debug("no capacity", "type", request.MachineType, "zone", request.Zone, "spot", request.Spot)
	default:
		planner.RecordFailure(request, now)
		c.log.Info("rental failed", "err", err)
	}
}

// listLoop reads the cloud's machine list on the leader.
func (c *Controller) listLoop(ctx context.Context) {
	interval := max(settings.Seconds(c.settings.Facts.Cloud.ListLagS/2), minListInterval)
	for pause := time.Duration(0); sleep(ctx, pause); {
		c.state.mu.Lock()
		planner, leads := c.state.leader.autoscaler, c.state.leader.scheduler != nil
		c.state.mu.Unlock()
		if !leads {
			pause = followerListCheck
			continue
		}
		machines, cut, err := c.cloud.List(ctx)
		if err != nil {
			pause = cloudRetry
			continue
		}
		if cut {
			c.limitCounts.record(limits.MachineList)
		}
		c.state.mu.Lock()
		planner.ObserveList(time.Now(), machines)
		c.state.mu.Unlock()
		pause = max(interval, c.cloud.ListInterval(len(machines)))
	}
}

// scaleInLoop gives machines back to the cloud.
func (c *Controller) scaleInLoop(ctx context.Context) {
	for pause := scaleInInterval; sleep(ctx, pause); {
		pause = scaleInInterval
		p, ids := c.machinesToTerminate()
		if len(ids) == 0 {
			continue
		}
		if err := c.cloud.Terminate(ctx, ids); err != nil {
			c.log.Debug("return failed", "err", err)
			pause = cloudRetry
			continue
		}
		c.machinesTerminated(p, ids)
	}
}

// machinesToTerminate lists what one call may return now.
func (c *Controller) machinesToTerminate() (*partition.Partition, []string) {
	c.state.mu.Lock()
	defer c.state.mu.Unlock()
	p := c.state.current.partition
	if p == nil || !c.membership.HoldsLease(c.state.current.view.Number) {
		return nil, nil
	}
	ids := p.MachinesToTerminate(time.Now())
	return p, ids[:min(len(ids), cloud.MaxTerminate)]
}

// machinesTerminated notes that the cloud has taken machines back.
func (c *Controller) machinesTerminated(p *partition.Partition, ids []string) {
	c.state.mu.Lock()
	defer c.state.mu.Unlock()
	if c.state.current.partition != p {
		return
	}
	p.HandleTerminated(ids, time.Now())
	c.log.Info("returned", "machines", ids)
	signal(c.commitWanted)
}
