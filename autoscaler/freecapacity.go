package autoscaler

import (
	"cmp"
	"maps"
	"slices"

	"junipershelf/job"
)

// minFreeCPUs is the least number of free CPUs with which a machine counts as having free capacity. It
// exceeds the rounding error of sums of CPUs.
const minFreeCPUs = 1e-6

// machineGroup is a number of machines that each have the same free resources.
type machineGroup struct {
	free  job.Resources // of each machine
	count int
}

// freeCapacity is the capacity that is free, requested or booting, by offer. It is kept for each machine:
// a task runs on one machine, so the free resources of several machines are no room for a task
// that fits on none of them.
type freeCapacity map[Offer]*offerCapacity

// offerCapacity is the free capacity of one offer, in groups of machines.
type offerCapacity struct {
	groups []machineGroup
	// unfitting are needs of tasks that fit on none of the machines. They make a plan's work grow
	// with its machines and jobs, rather than with their product.
	unfitting []job.Resources
}

// maxUnfitting bounds offerCapacity.unfitting.
const maxUnfitting = 16

// add adds a number of machines of an offer with the same free resources.
func (c freeCapacity) add(offer Offer, free job.Resources, count int) {
	free = free.ClampToZero()
	if free.CPUs < minFreeCPUs || count <= 0 {
		return
	}
	if c[offer] == nil {
		c[offer] = &offerCapacity{}
	}
	c[offer].add(machineGroup{free, count})
}

// offers lists the offers in a fixed order.
func (c freeCapacity) offers() []Offer { return slices.SortedFunc(maps.Keys(c), compareOffers) }

// compact merges the machines of each offer with equal free resources, and sorts them so that the
// fullest are reserved first, as the scheduler does.
func (c freeCapacity) compact() {
	for _, capacity := range c {
		capacity.compact()
	}
}

// fits returns how many tasks fit on the machines of an offer, at most maximum.
func (c freeCapacity) fits(offer Offer, need job.Resources, maximum int) int {
	capacity := c[offer]
	if capacity == nil || capacity.knownUnfitting(need) {
		return 0
	}
	fitting := 0
	for _, group := range capacity.groups {
		if fitting >= maximum {
			break
		}
		fitting += min(need.FitCount(group.free)*group.count, maximum)
	}
	return min(fitting, maximum)
}

// remove removes one machine of an offer that has the given free resources, and reports whether there is
// one: there is none if its resources are reserved.
func (c freeCapacity) remove(offer Offer, free job.Resources) bool {
	free = free.ClampToZero()
	if free.CPUs < minFreeCPUs {
		return true // it was never added
	}
	capacity := c[offer]
	if capacity == nil {
		return false
	}
	i := slices.IndexFunc(capacity.groups, func(g machineGroup) bool { return compareResources(g.free, free) == 0 })
	if i < 0 {
		return false
	}
	if capacity.groups[i].count--; capacity.groups[i].count == 0 {
		capacity.groups = slices.Delete(capacity.groups, i, i+1)
	}
	return true
}

// count returns how many machines of an offer have the given free resources.
func (c freeCapacity) count(offer Offer, free job.Resources) (machines int) {
	if c[offer] == nil {
		return 0
	}
	for _, group := range c[offer].groups {
		if compareResources(group.free, free) == 0 {
			machines += group.count
		}
	}
	return machines
}

// reserve takes the resources of up to maximum tasks from the machines of an offer, and returns for how
// many tasks there were resources.
func (c freeCapacity) reserve(offer Offer, need job.Resources, maximum int) int {
	capacity := c[offer]
	if capacity == nil || capacity.knownUnfitting(need) {
		return 0
	}
	return capacity.reserve(need, maximum)
}

// addInUse adds a number of empty machines to an offer, after reserving resources on them for up to maximum
// tasks. It returns for how many tasks there were resources.
func (c freeCapacity) addInUse(offer Offer, capacity job.Resources, count int, need job.Resources, maximum int) int {
	added := offerCapacity{groups: []machineGroup{{capacity, count}}}
	reserved := added.reserve(need, maximum)
	for _, group := range added.groups {
		c.add(offer, group.free, group.count)
	}
	return reserved
}

// clone returns a copy that can be changed independently.
func (c freeCapacity) clone() freeCapacity {
	copied := make(freeCapacity, len(c))
	for offer, capacity := range c {
		copied[offer] = &offerCapacity{groups: slices.Clone(capacity.groups), unfitting: slices.Clone(capacity.unfitting)}
	}
	return copied
}

// compact implements freeCapacity.compact for one offer.
func (c *offerCapacity) compact() {
	slices.SortFunc(c.groups, func(a, b machineGroup) int { return compareResources(a.free, b.free) })
	merged := c.groups[:0]
	for _, group := range c.groups {
		if last := len(merged) - 1; last >= 0 && compareResources(merged[last].free, group.free) == 0 {
			merged[last].count += group.count
			continue
		}
		merged = append(merged, group)
	}
	c.groups = merged
}

// reserve implements freeCapacity.reserve for one offer.
func (c *offerCapacity) reserve(need job.Resources, maximum int) int {
	reserved := 0
	for i := 0; i < len(c.groups); i++ {
		if reserved >= maximum {
			return reserved
		}
		reserved += c.reserveFrom(&i, need, maximum-reserved)
	}
	if reserved == 0 && len(c.unfitting) < maxUnfitting {
		c.unfitting = append(c.unfitting, need)
	}
	return reserved
}

// add adds a group of machines.
func (c *offerCapacity) add(group machineGroup) {
	c.groups = append(c.groups, group)
	c.unfitting = slices.DeleteFunc(c.unfitting, func(need job.Resources) bool { return need.FitCount(group.free) > 0 })
}

// knownUnfitting reports whether a task is known to fit on none of the machines: one that needs no more
// does not.
func (c *offerCapacity) knownUnfitting(need job.Resources) bool {
	return slices.ContainsFunc(c.unfitting, func(smaller job.Resources) bool { return smaller.FitsIn(need) })
}

// reserveFrom reserves resources on the machines of the group at index *i, and returns for how many tasks.
// The machines that are used become groups of their own, and *i is set to the last of these groups.
func (c *offerCapacity) reserveFrom(i *int, need job.Resources, maximum int) int {
	group := c.groups[*i]
	perMachine := need.FitCount(group.free)
	if perMachine == 0 {
		return 0
	}
	full := min(maximum/perMachine, group.count) // machines that take as many tasks as fit
	reserved := full * perMachine
	rest := 0 // tasks on one more machine
	if full < group.count {
		rest = min(maximum-reserved, perMachine)
	}
	var used []machineGroup
	used = appendRemaining(used, group.free, need, perMachine, full)
	untouched := group.count - full
	if rest > 0 {
		used = appendRemaining(used, group.free, need, rest, 1)
		untouched--
	}
	if untouched > 0 {
		used = append(used, machineGroup{group.free, untouched})
	}
	c.groups = slices.Replace(c.groups, *i, *i+1, used...)
	*i += len(used) - 1
	return reserved + rest
}

// appendRemaining appends the group of machines that are left with some free resources after each has
// taken a number of tasks.
func appendRemaining(groups []machineGroup, free, need job.Resources, tasks, machines int) []machineGroup {
	remaining := free.Sub(times(need, tasks)).ClampToZero()
	if machines == 0 || remaining.CPUs < minFreeCPUs {
		return groups
	}
	return append(groups, machineGroup{remaining, machines})
}

// times returns resources multiplied by a count.
func times(each job.Resources, count int) job.Resources {
	n := float64(count)
	return job.Resources{CPUs: each.CPUs * n, Accelerators: each.Accelerators * n, MemoryGB: each.MemoryGB * n}
}

// compareResources orders resources by CPUs, then by accelerators, then by memory.
func compareResources(a, b job.Resources) int {
	return cmp.Or(cmp.Compare(a.CPUs, b.CPUs), cmp.Compare(a.Accelerators, b.Accelerators), cmp.Compare(a.MemoryGB, b.MemoryGB))
}
