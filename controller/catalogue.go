package controller

import (
	"reflect"
	"sync"

	"junipershelf/autoscaler"
	"junipershelf/job"
	"junipershelf/protocol"
)

// catalogue holds the cloud's machine types. mu guards all of it; see nodeState for the order
// of locks.
type catalogue struct {
	mu    sync.Mutex
	types map[string]protocol.MachineType // by name; all that were ever listed
	order []protocol.MachineType          // as the cloud lists them
}

func newCatalogue() *catalogue { return &catalogue{types: map[string]protocol.MachineType{}} }

// set replaces the machine types and reports whether anything but prices has changed.
func (c *catalogue) set(types []protocol.MachineType) (changed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, t := range types {
		old, known := c.types[t.Name]
		c.types[t.Name] = t
		if !known || !equalButPrices(old, t) {
			changed = true
		}
	}
	c.order = types
	return changed
}

// equalButPrices reports whether two machine types differ in nothing but their prices.
func equalButPrices(a, b protocol.MachineType) bool {
	a.Price, a.SpotPrice = 0, 0
	b.Price, b.SpotPrice = 0, 0
	return reflect.DeepEqual(a, b)
}

// list returns the machine types as the cloud lists them.
func (c *catalogue) list() []protocol.MachineType {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.order
}

// empty reports whether no machine types are known yet.
func (c *catalogue) empty() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.types) == 0
}

// capacity returns the size of a machine type, and reports whether it is known.
func (c *catalogue) capacity(machineType string) (job.Resources, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t, ok := c.types[machineType]
	return autoscaler.Capacity(&t), ok
}

// cacheGB returns the size of the image cache of machines of a type, 0 if it is not known.
func (c *catalogue) cacheGB(machineType string) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.types[machineType].CacheGB
}

// fetchRate returns the rate at which machines fetch images, in GB a second: that of the
// slowest type, 0 if none is known.
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

// hasRoomFor reports whether a task of a job fits any machine that the job allows.
func (c *catalogue) hasRoomFor(spec *protocol.JobSpec) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	need := job.TaskResources(spec)
	for name, t := range c.types {
		if !need.FitsIn(autoscaler.Capacity(&t)) {
			continue
		}
		for _, zone := range t.Zones {
			if job.AllowsMachine(spec, name, zone, false) {
				return true
			}
		}
	}
	return false
}
