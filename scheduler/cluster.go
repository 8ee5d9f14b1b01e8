package scheduler

import (
	"junipershelf/job"
	"junipershelf/partition"
)

// clusterState is the leader's copy of the owners' state: machines, tasks by job, and the resources
// that teams use. It is built from the shard records and the owners' updates, and includes the
// assignments made since.
type clusterState struct {
	jobs       *job.Cache
	capacityOf partition.CapacityOf
	owners     []ownerState
	machines   machineList
	entries    map[string]*jobEntry // by job
	quotas     quotas
	images     imageIndex
	changes    changeFeed

	// uncompactedTasks is the number of completed tasks missing from the job records, as of the
	// last refresh.
	uncompactedTasks int
}

func newClusterState(teams []Team, owners int, capacityOf partition.CapacityOf, jobs *job.Cache) *clusterState {
	return &clusterState{
		jobs: jobs, capacityOf: capacityOf, owners: make([]ownerState, owners),
		machines: machineList{byID: map[string]*Machine{}}, entries: map[string]*jobEntry{}, quotas: newQuotas(teams),
		images: imageIndex{numbers: map[string]int32{}, machines: map[int32]int{}}, changes: changeFeed{removed: map[string]uint64{}},
	}
}

// entry returns a job's entry, and creates it if there is none. It synchronizes the entry with the
// job cache.
func (c *clusterState) entry(uid string) *jobEntry {
	entry := c.entries[uid]
	if entry == nil {
		entry = &jobEntry{uid: uid}
		c.entries[uid] = entry
	}
	entry.setLive(c.jobs.Get(uid))
	return entry
}

// refresh adds new jobs from the job cache and drops those that are no longer in it.
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
		c.uncompactedTasks += live.Completed.Len() - live.Compacted.Len()
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

// unackedCount returns the number of unacknowledged assignments of all owners.
func (c *clusterState) unackedCount() int {
	count := 0
	for i := range c.owners {
		count += len(c.owners[i].unacked)
	}
	return count
}

// unackedMachines returns the machines with unacknowledged assignments of a job.
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
