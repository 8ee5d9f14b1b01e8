package controller

import (
	"context"
	"errors"
	"time"

	"junipershelf/cloud"
	"junipershelf/job"
	"junipershelf/membership"
	"junipershelf/partition"
	"junipershelf/protocol"
	"junipershelf/scheduler"
	"junipershelf/settings"
	"junipershelf/statestore"
)

const (
	// viewCheck is how often the view is looked at even if no change was signalled.
	viewCheck = time.Second
	// loadRetry is the pause after the records of a view could not be read.
	loadRetry = 200 * time.Millisecond
)

// viewLoop takes each new view over: it drops what was held in the last one, reads the
// view's records and sets up this node's partition.
func (c *Controller) viewLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.membership.Changed():
		case <-time.After(viewCheck):
		}
		view, self, seen := c.membership.Current()
		if !c.enterView(view, self) || view.IndexOf(self) < 0 {
			continue
		}
		if err := c.loadPartition(ctx, view, seen); err != nil {
			c.failures.failed("reading a view's records failed", err)
			if !sleep(ctx, loadRetry) {
				return
			}
			c.state.mu.Lock()
			c.state.current.view.Number = 0 // so that the next look tries again
			c.state.mu.Unlock()
		}
	}
}

// enterView drops all that was held in an earlier view and tells whether there was one, or
// whether this view's partition has yet to be read.
func (c *Controller) enterView(view membership.View, self membership.Member) (entered bool) {
	c.state.mu.Lock()
	defer c.state.mu.Unlock()
	s := &c.state.current
	if view.Number == s.view.Number && (s.partition != nil || s.index < 0) {
		return false
	}
	s.partition, c.state.leader.scheduler = nil, nil
	s.view, s.index, s.bucketOwners, s.fleetVersion = view, view.IndexOf(self), view.BucketOwners(), 0
	clear(s.runningTasks)
	c.store.SetShare(statestore.Share{Nodes: len(view.Members), Leader: s.index == 0})
	c.cloud.SetShare(cloud.Share{Nodes: len(view.Members), ScalesOut: s.index == 0})
	select {
	case <-s.loaded:
		s.loaded = make(chan struct{})
	default:
	}
	return true
}

// loadPartition reads the records of a view and makes the partition of this node from them,
// and the scheduler if it leads.
func (c *Controller) loadPartition(ctx context.Context, view membership.View, seen time.Time) error {
	if _, err := c.listJobs(ctx); err != nil {
		return err
	}
	entries, _, err := c.store.List(ctx, statestore.PriorityMembership, partition.ShardPrefix)
	if err != nil {
		return err
	}
	now := time.Now()
	c.state.mu.Lock()
	defer c.state.mu.Unlock()
	s := &c.state.current
	if s.view.Number != view.Number {
		return nil
	}
	p := partition.New(c.partitionConfig(view), view.Number, s.index, seen, c.catalogue.capacity, c.state.jobs)
	records, err := c.loadShards(p, entries, now)
	if err != nil {
		return err
	}
	if s.index == 0 {
		if c.state.leader.scheduler, err = c.newScheduler(view, records, now); err != nil {
			return err
		}
		c.state.leader.autoscaler = c.newAutoscaler()
	}
	s.partition = p
	close(s.loaded)
	machines, tasks, uncompacted := p.Load()
	c.log.Info("partition loaded", "view", view.Number, "index", s.index, "shards", len(entries), "machines", machines,
		"tasks", tasks, "uncompacted", uncompacted, "leader", s.index == 0, "after", time.Since(seen))
	return nil
}

// loadShards decodes all shards, loads this node's own into its partition, and gives them by
// owner. The caller holds the lock.
func (c *Controller) loadShards(p *partition.Partition, entries []protocol.Entry, now time.Time) ([][]partition.Record, error) {
	records := make([][]partition.Record, len(c.state.current.view.Members))
	var unreadable error
	for _, e := range entries {
		bucket, rec, err := decodeShard(e.Key, e.Data)
		if err != nil {
			c.failures.failed("shard cannot be read", err)
			unreadable = errors.Join(unreadable, err)
			continue
		}
		owner := c.state.current.view.OwnerOfBucket(bucket)
		if owner == c.state.current.index {
			if err := p.LoadShard(e.Key, rec, e.Revision, now); err != nil {
				return nil, err
			}
		}
		records[owner] = append(records[owner], rec)
	}
	// What stands in a record that cannot be read is held by somebody and counts against
	// limits: nothing is decided without it.
	return records, unreadable
}

// decodeShard decodes a record of placements and checks all that it holds.
func decodeShard(key string, data []byte) (bucket int, rec partition.Record, err error) {
	if bucket, _, err = partition.ParseShardKey(key); err != nil {
		return 0, rec, &protocol.DecodeError{Source: key, Err: err}
	}
	if err = protocol.DecodeRecord(key, data, &rec); err != nil {
		return 0, rec, err
	}
	if err = rec.Check(); err != nil {
		return 0, rec, &protocol.DecodeError{Source: key, Err: err}
	}
	return bucket, rec, nil
}

// partitionConfig holds the times and sizes that an owner keeps to.
func (c *Controller) partitionConfig(view membership.View) partition.Config {
	workers := c.settings.Facts.Workers
	return partition.Config{
		Lease:              c.workerLease,
		OwnershipLease:     c.membership.Config().OwnershipLease,
		HeartbeatInterval:  settings.Seconds(workers.ReportS),
		MaxCacheStaleness:  settings.Seconds(c.policy.MaxCacheStalenessS),
		Buddies:            c.policy.Buddies,
		Threshold:          c.policy.Threshold,
		LocalWait:          settings.Seconds(c.policy.LocalWaitS),
		MaxPreCommitted:    c.policy.MaxQueuedPerMachine,
		SilentLimit:        settings.Seconds(workers.LeaseS * c.policy.SilentShare),
		TransactionChanges: c.settings.Facts.State.TxnOps,
		ValueBytes:         c.store.ValueByteLimit(),
		BucketOf:           view.BucketOf,
		CacheGB:            c.catalogue.cacheGB,
		MaxMachines:        c.nodeLimits.Machines,
	}
}

// newScheduler makes the leader's ledger. Until an owner's first update comes, what it holds
// is what its records show.
func (c *Controller) newScheduler(view membership.View, records [][]partition.Record, now time.Time) (*scheduler.Scheduler, error) {
	facts := c.settings.Facts
	teams := make([]scheduler.Team, len(facts.Teams))
	for i, t := range facts.Teams {
		teams[i] = scheduler.Team{
			Name:      t.Name,
			Guarantee: job.Resources{CPUs: t.CPUs, Accelerators: t.GPUs},
			Limit:     job.Resources{CPUs: t.CPUsMax, Accelerators: t.GPUsMax},
			Weight:    c.policy.TeamWeights[t.Name],
		}
	}
	s := scheduler.New(scheduler.Config{
		MaxQueuedPerMachine: c.policy.MaxQueuedPerMachine,
		PreCommitWindow:     settings.Seconds(c.policy.PreCommitWindowS),
		Aging:               settings.Seconds(c.policy.AgingS),
		StarvationAfter:     settings.Seconds(c.policy.StarvationAfterS),
		FailurePause:        settings.Seconds(c.policy.FailurePauseS),
		MaxFailurePause:     settings.Seconds(c.policy.MaxFailurePauseS),
		QuarantineAfter:     c.policy.QuarantineAfter,
		ValueBytes:          c.store.ValueByteLimit(),
		MaxFinishedTasks:    c.nodeLimits.FinishedTasks,
		Targets:             targetsByClass(facts.Objectives),
		GuaranteeWithin:     guaranteeWithin(facts.Objectives),
		PreemptAfter:        settings.Seconds(c.policy.PreemptAfterS),
		MinRunBeforeStop:    settings.Seconds(c.policy.MinRunBeforeStopS),
		MaxPreemptionLoss:   settings.Seconds(c.policy.MaxPreemptionLossS),
		ImagePatience:       c.policy.ImagePatience,
		PullGBPerS:          c.catalogue.fetchRate,
	}, teams, len(view.Members), c.catalogue.capacity, c.state.jobs)
	for owner, held := range records {
		states, completed, err := partition.StatesFromRecords(held, c.catalogue.capacity, now)
		if err != nil {
			return nil, err
		}
		s.RestoreOwner(owner, states, completed, now)
	}
	return s, nil
}

// releasePartition gives a partition up whose records could not be settled: what stands in
// them is not known. The node joins anew, so that it takes its partition in a later view:
// within the same one it would forget which machines it has answered and which starts are
// on their way.
func (c *Controller) releasePartition(p *partition.Partition) {
	c.state.mu.Lock()
	defer c.state.mu.Unlock()
	if c.state.current.partition != p {
		return
	}
	c.state.current.partition, c.state.leader.scheduler = nil, nil
	c.signalSettled()
	c.membership.Rejoin()
}

// ownsPartition tells whether a partition is still the one that this node acts for.
func (c *Controller) ownsPartition(p *partition.Partition) bool {
	c.state.mu.Lock()
	defer c.state.mu.Unlock()
	return c.state.current.partition == p
}

// ownerOf is the member that owns a machine, below 0 before there is a view. The caller
// holds the lock.
func (c *Controller) ownerOf(machine string) int {
	if len(c.state.current.bucketOwners) == 0 {
		return -1
	}
	return c.state.current.bucketOwners[c.state.current.view.BucketOf(machine)]
}
