package controller

import (
	"context"
	"reflect"
	"sync"
	"time"

	"junipershelf/autoscaler"
	"junipershelf/job"
	"junipershelf/protocol"
	"junipershelf/statestore"
)

// catalogueKey keeps the machine types in the state service: a node that starts while the
// cloud is down would know no sizes, and could place and accept nothing.
const catalogueKey = "catalogue"

const (
	catalogueInterval = time.Minute // prices move
	catalogueRetry    = time.Second
)

// catalogue holds the machine types. Its lock is taken after the controller's, never before.
type catalogue struct {
	mu    sync.Mutex
	types map[string]protocol.MachineType
	order []protocol.MachineType // as the cloud lists them
}

func newCatalogue() *catalogue { return &catalogue{types: map[string]protocol.MachineType{}} }

// set takes a catalogue and tells whether anything but prices is new.
func (c *catalogue) set(types []protocol.MachineType) (changed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, t := range types {
		old, known := c.types[t.Name]
		c.types[t.Name] = t
		t.Price, t.SpotPrice, old.Price, old.SpotPrice = 0, 0, 0, 0
		changed = changed || !known || !reflect.DeepEqual(old, t)
	}
	c.order = types
	return changed
}

// list gives the machine types as the cloud lists them.
func (c *catalogue) list() []protocol.MachineType {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.order
}

// empty tells whether no machine types are known yet.
func (c *catalogue) empty() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.types) == 0
}

// capacity is the size of a machine type.
func (c *catalogue) capacity(machineType string) (job.Resources, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t, ok := c.types[machineType]
	return autoscaler.Capacity(&t), ok
}

// cacheGB is what machines of a type keep of images.
func (c *catalogue) cacheGB(machineType string) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.types[machineType].CacheGB
}

// fetchRate is how fast machines fetch images, in GB a second: the slowest type's rate.
func (c *catalogue) fetchRate() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	slowest := 0.0
	for _, t := range c.types {
		if t.PullGBPerS > 0 && (slowest == 0 || t.PullGBPerS < slowest) {
			slowest = t.PullGBPerS
		}
	}
	return slowest
}

// hasRoomFor tells whether a task of a job fits any machine that the job allows.
func (c *catalogue) hasRoomFor(s *protocol.JobSpec) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	need := job.TaskResources(s)
	for name, t := range c.types {
		if !need.FitsIn(autoscaler.Capacity(&t)) {
			continue
		}
		for _, zone := range t.Zones {
			if job.AllowsMachine(s, name, zone, false) {
				return true
			}
		}
	}
	return false
}

// catalogueLoop reads the catalogue, and its moving prices once a minute.
func (c *Controller) catalogueLoop(ctx context.Context) {
	for pause := time.Duration(0); sleep(ctx, pause); {
		pause = catalogueRetry
		if c.readCatalogue(ctx) {
			pause = catalogueInterval
		}
	}
}

// readCatalogue reads the machine types from the cloud, or from the state service while the
// cloud does not answer a node that knows none. It tells whether the cloud has answered.
func (c *Controller) readCatalogue(ctx context.Context) bool {
	types, err := c.cloud.MachineTypes(ctx)
	if err != nil || len(types) == 0 {
		c.log.Debug("catalogue not read", "err", err)
		if c.catalogue.empty() {
			c.readKeptCatalogue(ctx)
		}
		return false
	}
	if c.setCatalogue(types) {
		c.keepCatalogue(ctx, types)
	}
	return true
}

// setCatalogue takes a catalogue over and tells whether anything but prices is new.
func (c *Controller) setCatalogue(types []protocol.MachineType) (changed bool) {
	c.state.mu.Lock()
	defer c.state.mu.Unlock()
	c.state.leader.autoscaler.Catalogue = types
	return c.catalogue.set(types)
}

// keepCatalogue writes the catalogue into the state service. It is guarded by nothing: all
// nodes write the same.
func (c *Controller) keepCatalogue(ctx context.Context, types []protocol.MachineType) {
	var t protocol.Transaction
	if err := t.Put(catalogueKey, protocol.Catalogue{MachineTypes: types}); err != nil || len(t.Changes[0].Data) >= c.store.ValueByteLimit() {
		return
	}
	if _, err := c.store.Commit(ctx, statestore.PriorityBackground, t); err != nil {
		c.log.Debug("catalogue not kept", "err", err)
	}
}

// readKeptCatalogue takes the catalogue that another node has kept.
func (c *Controller) readKeptCatalogue(ctx context.Context) {
	entry, err := c.store.Get(ctx, statestore.PriorityMembership, catalogueKey)
	if err != nil || entry.Revision == 0 {
		return
	}
	var kept protocol.Catalogue
	if err := protocol.DecodeRecord(catalogueKey, entry.Data, &kept); err != nil {
		c.failures.failed("catalogue not read", err)
		return
	}
	c.setCatalogue(kept.MachineTypes)
	c.log.Info("catalogue taken from the state service, the cloud does not answer")
}
