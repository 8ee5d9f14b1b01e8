package loadtest

import (
	"context"
	"hash/crc32"
	"sync"
	"time"

	"junipershelf/internal/ctxtime"
	"junipershelf/settings"
)

// The schedule of the faults, which are injected one after the other.
const (
	runParts           = 6 // equal parts that the run's duration is divided into
	partsBeforeFirst   = 2 // parts of the run before the first fault; each later fault follows one part after the previous one
	controllerDowntime = 5 * time.Second
	// disconnectedLeases is how long agents are disconnected, as a multiple of their lease, which
	// must expire meanwhile.
	disconnectedLeases = 1.3
	disconnectOneIn    = 3
)

// injectFaults kills a controller, disconnects a third of the agents until their leases have
// expired, and kills all controllers. It returns when all controllers have been restarted, or
// with an error if the first one cannot be restarted or the context ends.
func (c *cluster) injectFaults(ctx context.Context) error {
	part := c.Duration / runParts
	for _, fault := range []struct {
		after  time.Duration
		inject func(context.Context) error
	}{
		{partsBeforeFirst * part, c.killOneController},
		{part, c.disconnectAgents},
		{part, c.killAllControllers},
	} {
		if !ctxtime.Sleep(ctx, fault.after) {
			return ctx.Err()
		}
		if err := fault.inject(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (c *cluster) killOneController(ctx context.Context) error {
	c.printf("killing a controller")
	return c.controllers[0].restart(ctx, controllerDowntime)
}

// disconnectAgents selects agents by a hash of their machines' ids, so that each owner has some.
func (c *cluster) disconnectAgents(ctx context.Context) error {
	c.printf("disconnecting a third of the agents")
	c.network.SetBlocked(func(machine string) bool { return crc32.ChecksumIEEE([]byte(machine))%disconnectOneIn == 0 })
	if !ctxtime.Sleep(ctx, settings.Seconds(leaseS*disconnectedLeases)) {
		return ctx.Err()
	}
	c.printf("reconnecting the agents")
	c.network.SetBlocked(nil)
	return nil
}

// killAllControllers kills all controllers and restarts them one after the other, so that the
// first one runs alone for a while.
func (c *cluster) killAllControllers(ctx context.Context) error {
	c.printf("killing all controllers; they restart one after the other")
	var restarts sync.WaitGroup
	for i, p := range c.controllers {
		downtime := time.Duration(1+2*i) * time.Second
		restarts.Go(func() {
			if err := p.restart(ctx, downtime); err != nil {
				c.users.recordViolation("controller %s cannot be restarted: %v", p.name, err)
			}
		})
	}
	restarts.Wait()
	return nil
}
