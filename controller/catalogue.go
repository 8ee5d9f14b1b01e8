package controller

import (
	"reflect"
	"sync"

	"junipershelf/autoscaler"
	"junipershelf/job"
	"junipershelf/protocol"
)

// catalogue holds the cloud's machine types. mu guards all fields; see nodeState for the lock order.
type catalogue struct {
	mu    sync.Mutex
	types map[string]protocol.MachineType // by name; includes types that are no longer listed
	order []protocol.MachineType          // in the order of the cloud's list
}

func newCatalogue() *catalogue { return &catalogue{types: map[string]protocol.MachineType{}} }

// set replaces the listed machine types. It reports whether any of them is new, or has
// changed in anything except its prices.
func (c *catalogue) set(types []protocol.MachineType) (changed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, t := range types {
		old, known := c.types[t.Name]
		c.types[t.Name] = t
		if !known || !equalExceptPrices(old, t) {
			changed = true
		}
	}
	c.order = types
	return changed
}

// equalExceptPrices reports whether two machine types are equal, ignoring prices.
func equalExceptPrices(a, b protocol.MachineType) bool {
	a.Price, a.SpotPrice = 0, 0
	b.Price, b.SpotPrice = 0, 0
	return reflect.DeepEqual(a, b)
}

// list returns the machine types in the order of the cloud's list.
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

// capacity returns the resources of a machine type, and reports whether the type is known.
func (c *catalogue) capacity(machineType string) (job.Resources, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t, ok := c.types[machineType]
	return autoscaler.Capacity(&t), ok
}

// cacheGB returns the image cache size of a machine type in GB, 0 if the type is not known.
func (c *catalogue) cacheGB(machineType string) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.types[machineType].CacheGB
}

// pullRate returns the rate at which machines of the slowest type pull images, in GB per second, 0 if
// none is known.
func (c *catalogue) pullRate() float64 {
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

// fitsAnyMachine reports whether a task of a job fits any machine type and zone that the job
// allows.
func (c *catalogue) fitsAnyMachine(spec *protocol.JobSpec) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	need := job.TaskResources(spec)
	for name, t := range c.types {
		if !need.FitsIn(autoscaler.Capacity(&t)) {
			continue
		}
		for _, zone := range t.Zones {
			if job.AllowsMachine(spec, job.MachineKind{MachineType: name, Zone: zone}) {
				return true
			}
		}
	}
	return false
}
