package controller

import (
	"context"
	"errors"
	"fmt"
	"time"

	"junipershelf/cloud"
	"junipershelf/fleet"
	"junipershelf/internal/bounds"
	"junipershelf/partition"
	"junipershelf/protocol"
	"junipershelf/scheduler"
	"junipershelf/settings"
)

const (
	returnInterval = 500 * time.Millisecond
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
	l := &c.leader
	if !l.scheduler.AllOwnersSynced() || !l.planner.HasList() || len(l.planner.Catalogue) == 0 {
		return
	}
	plan := l.planner.Plan(now, l.scheduler, waiting)
	for _, id := range plan.Drain {
		if c.once.first("drain " + id) {
			c.log.Info("machine is idle", "machine", id)
		}
	}
	for _, id := range plan.Discard {
		if c.once.first("discard " + id) {
			c.log.Info("machine is given up", "machine", id, "sick", l.scheduler.Sick[id])
		}
	}
	l.drain, l.discard = plan.Drain, plan.Discard
	for _, request := range plan.Requests {
		l.rentals++
		key := fmt.Sprintf("%s-%d-%d", c.settings.NodeName, c.current.view.Number, l.rentals)
		l.planner.RequestSent(request)
		go c.rent(ctx, l.planner, request, key)
	}
}

// rent rents machines. The same idempotency key again either does it or tells what it did.
func (c *Controller) rent(ctx context.Context, planner *fleet.Planner, request fleet.Request, key string) {
	rental := protocol.ScaleOutRequest{IdempotencyKey: key, MachineType: request.MachineType, Zone: request.Zone, Spot: request.Spot, Count: request.Count}
	ids, err := c.cloud.Rent(ctx, rental)
	if errors.Is(err, cloud.ErrUnknown) {
		sleep(ctx, cloudRetry)
		ids, err = c.cloud.Rent(ctx, rental)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	switch {
	case err == nil:
		planner.RequestGranted(request, ids, now)
		c.log.Info("rented", "type", request.MachineType, "zone", request.Zone, "spot", request.Spot, "wanted", request.Count, "got", len(ids))
	case errors.Is(err, cloud.ErrNoCapacity):
		planner.RequestRefused(request, now)
		c.log.Debug("no capacity", "type", request.MachineType, "zone", request.Zone, "spot", request.Spot)
	default:
		planner.RequestFailed(request, now)
		c.log.Info("rental failed", "err", err)
	}
}

// listLoop reads the cloud's machine list on the leader.
func (c *Controller) listLoop(ctx context.Context) {
	interval := max(settings.Seconds(c.settings.Facts.Cloud.ListLagS/2), minListInterval)
	for pause := time.Duration(0); sleep(ctx, pause); {
		c.mu.Lock()
		planner, leads := c.leader.planner, c.leader.scheduler != nil
		c.mu.Unlock()
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
			c.bounds.met(bounds.MachineList)
		}
		c.mu.Lock()
		planner.ObserveList(time.Now(), machines)
		c.mu.Unlock()
		pause = max(interval, c.cloud.ListInterval(len(machines)))
	}
}

// returnLoop gives machines back to the cloud.
func (c *Controller) returnLoop(ctx context.Context) {
	for pause := returnInterval; sleep(ctx, pause); {
		pause = returnInterval
		p, ids := c.machinesToReturn()
		if len(ids) == 0 {
			continue
		}
		if err := c.cloud.Return(ctx, ids); err != nil {
			c.log.Debug("return failed", "err", err)
			pause = cloudRetry
			continue
		}
		c.machinesReturned(p, ids)
	}
}

// machinesToReturn lists what one call may return now.
func (c *Controller) machinesToReturn() (*partition.Partition, []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.current.partition
	if p == nil || !c.membership.HasAuthority(c.current.view.Number) {
		return nil, nil
	}
	ids := p.MachinesToReturn(time.Now())
	return p, ids[:min(len(ids), cloud.MaxReturn)]
}

// machinesReturned notes that the cloud has taken machines back.
func (c *Controller) machinesReturned(p *partition.Partition, ids []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current.partition != p {
		return
	}
	p.MachinesReturned(ids, time.Now())
	c.log.Info("returned", "machines", ids)
	signal(c.commitWanted)
}
