package scheduler

import (
	"junipershelf/job"
	"junipershelf/partition"
)

// clusterState is the leader's copy of what the owners hold: machines, tasks by job, and what
// teams use. It is built from the shard records and the owners' updates, and counts what was
// assigned since.
type clusterState struct {
	jobs       *job.Cache
	capacityOf partition.CapacityOf
	owners     []ownerState
	machines   machineList
	entries    map[string]*jobEntry // by job
	quotas     quotas
	images     imageIndex
	changes    changeFeed

	// uncompactedTasks are finished tasks missing from the jobs' records; as of refresh.
	uncompactedTasks int
}

func newClusterState(teams []Team, owners int, capacityOf partition.CapacityOf, jobs *job.Cache) *clusterState {
	return &clusterState{
		jobs: jobs, capacityOf: capacityOf, owners: make([]ownerState, owners),
		machines: machineList{byID: map[string]*Machine{}}, entries: map[string]*jobEntry{}, quotas: newQuotas(teams),
		images: imageIndex{numbers: map[string]int32{}, machines: map[int32]int{}}, changes: changeFeed{removed: map[string]uint64{}},
	}
}

// entry returns a job's entry, and makes it if there is none. It brings the entry up to date
// with the job cache.
func (c *clusterState) entry(uid string) *jobEntry {
	entry := c.entries[uid]
	if entry == nil {
		entry = &jobEntry{uid: uid}
		c.entries[uid] = entry
	}
	entry.setLive(c.jobs.Get(uid))
	return entry
}

// refresh takes over new jobs from the job cache and drops those that are over.
func (c *clusterState) refresh() {
	c.checkGuarantees()
	for uid, entry := range c.entries {
		if c.jobs.Get(uid) != nil {
			continue
		}
		entry.live = nil
		if entry.held == 0 {
			delete(c.entries, uid)
		}
	}
	c.uncompactedTasks = 0
	for _, live := range c.jobs.Jobs {
		c.uncompactedTasks += live.Finished.Len() - live.Compacted.Len()
	}
}

// allOwnersSynced reports whether every owner has sent an update in this view.
func (c *clusterState) allOwnersSynced() bool {
	for i := range c.owners {
		if !c.owners[i].synced {
			return false
		}
	}
	return true
}

// unackedCount returns how many assignments no owner has acknowledged.
func (c *clusterState) unackedCount() int {
	count := 0
	for i := range c.owners {
		count += len(c.owners[i].unacked)
	}
	return count
}

// unackedMachines returns the machines to which tasks of a job are assigned that their owners
// have not acknowledged.
func (c *clusterState) unackedMachines(uid string) map[string]bool {
	machines := map[string]bool{}
	for i := range c.owners {
		for _, a := range c.owners[i].unacked {
			if a.Job == uid {
				machines[a.Machine] = true
			}
		}
	}
	return machines
}
