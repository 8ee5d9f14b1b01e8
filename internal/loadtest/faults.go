package loadtest

import (
	"context"
	"hash/crc32"
	"sync"
	"time"

	"junipershelf/settings"
)

// The faults are injected one after the other, each after a part of the run.
const (
	runParts         = 6 // that the duration is divided into
	partsBeforeFirst = 2
	controllerAway   = 5 * time.Second
	// cutLeases is how long agents are cut off, as a multiple of their lease: it expires.
	cutLeases     = 1.3
	cutOneAgentIn = 3
)

// injectFaults kills a controller, cuts off a third of the agents until their leases have
// expired, and kills all controllers. It returns when all controllers are back, or with an
// error when one cannot be started or the context has ended.
func (c *cluster) injectFaults(ctx context.Context) error {
	part := c.Duration / runParts
	for _, fault := range []struct {
		after  time.Duration
		inject func(context.Context) error
	}{
		{partsBeforeFirst * part, c.killOneController},
		{part, c.cutAgentsOff},
		{part, c.killAllControllers},
	} {
		if !sleep(ctx, fault.after) {
			return ctx.Err()
		}
		if err := fault.inject(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (c *cluster) killOneController(ctx context.Context) error {
	c.printf("a controller is killed")
	return c.controllers[0].restart(ctx, controllerAway)
}

// cutAgentsOff chooses agents by a hash of their machines' ids, so that each owner has some.
func (c *cluster) cutAgentsOff(ctx context.Context) error {
	c.printf("a third of the worker agents is cut off")
	c.network.SetBlocked(func(machine string) bool { return crc32.ChecksumIEEE([]byte(machine))%cutOneAgentIn == 0 })
	if !sleep(ctx, settings.Seconds(leaseS*cutLeases)) {
		return ctx.Err()
	}
	c.printf("they are connected again")
	c.network.SetBlocked(nil)
	return nil
}

// killAllControllers starts them again one after the other, so that the first is alone for a
// while.
func (c *cluster) killAllControllers(ctx context.Context) error {
	c.printf("all controllers are killed; one is back first")
	var restarts sync.WaitGroup
	for i, p := range c.controllers {
		away := time.Duration(1+2*i) * time.Second
		restarts.Go(func() {
			if err := p.restart(ctx, away); err != nil {
				c.users.recordViolation("%s does not start: %v", p.name, err)
			}
		})
	}
	restarts.Wait()
	return nil
}
