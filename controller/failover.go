package controller

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"junipershelf/cloud"
	"junipershelf/membership"
	"junipershelf/partition"
	"junipershelf/protocol"
	"junipershelf/scheduler"
	"junipershelf/statestore"
)

const (
	// viewCheck is how often the view is compared even if no change was signalled.
	viewCheck = time.Second
	// loadRetry is the pause after the records of a view could not be read.
	loadRetry = 200 * time.Millisecond
)

// failover takes this node from view to view. For each new view that the membership reports:
//
//  1. beginView drops all that the node held in the last view.
//  2. readRecords reads the live jobs and the shard records from the key-value store.
//  3. buildPartition loads the records of the machines that this node now owns.
//  4. restoreScheduler does the same for the whole fleet, on the leader.
//  5. publish makes them those that the other parts act on.
//
// Steps 3 to 5 happen under one hold of the lock of nodeState, so that no part sees a partition
// without its scheduler. A view whose records cannot be read or decoded is begun again until
// they can be. What ends a node's ownership within a view is in ownership.
type failover struct {
	state      *nodeState
	store      *statestore.Client
	cloud      *cloud.Client
	membership *membership.Membership
	catalogue  *catalogue
	configs    *configurations
	jobs       *jobWatcher
	failures   *failureLogger
	log        *slog.Logger
}

func newFailover(shared *sharedParts) *failover {
	return &failover{
		state:      shared.state,
		store:      shared.store,
		cloud:      shared.cloud,
		membership: shared.membership,
		catalogue:  shared.catalogue,
		configs:    shared.configs,
		jobs:       shared.jobWatcher,
		failures:   shared.failures,
		log:        shared.log,
	}
}

// run takes over view after view until the context ends.
func (f *failover) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.membership.Changed():
		case <-time.After(viewCheck):
		}
		view, self, firstSeen := f.membership.Current()
		if !f.beginView(view, self) || !view.Contains(self) {
			continue
		}
		if err := f.takeOver(ctx, view, firstSeen); err != nil {
			f.failures.failed("reading a view's records failed", err)
			if !sleep(ctx, loadRetry) {
				return
			}
			f.retryView()
		}
	}
}

// beginView drops all that was held in an earlier view. It reports whether the partition of the
// view is to be loaded: the view is new, or loading it has failed.
func (f *failover) beginView(view membership.View, self membership.Member) (begun bool) {
	f.state.mu.Lock()
	defer f.state.mu.Unlock()
	current := &f.state.current
	if view.Number == current.view.Number && (current.partition != nil || current.outside) {
		return false
	}
	index, isMember := view.IndexOf(self)
	leads := isMember && index == 0
	if current.led() && !leads {
		f.state.logDeposed(f.log, view.Number)
	}
	f.state.dropPartition(f.log, dropNextView)
	current.view, current.index, current.outside = view, index, !isMember
	current.bucketOwners = view.BucketOwners()
	current.fleetVersion = 0
	clear(current.runningTasks)
	f.store.SetShare(statestore.Share{Nodes: len(view.Members), Leader: leads})
	f.cloud.SetShare(cloud.Share{Nodes: len(view.Members), ScalesOut: leads})
	select {
	case <-current.loaded:
		current.loaded = make(chan struct{})
	default: // nothing was loaded in the last view: those that wait for it wait on
	}
	return true
}

// takeOver loads the partition of this node in a view that it has begun, and the scheduler if it
// leads there. Only run begins views, so the view is still the same once its records are read.
func (f *failover) takeOver(ctx context.Context, view membership.View, firstSeen time.Time) error {
	entries, err := f.readRecords(ctx)
	if err != nil {
		return err
	}
	now := time.Now()
	f.state.mu.Lock()
	defer f.state.mu.Unlock()
	p := partition.New(f.configs.partitionConfig(view), view.Number, f.state.current.index, firstSeen, f.catalogue.capacity, f.state.jobs)
	recordsByOwner, err := f.buildPartition(p, entries, now)
	if err != nil {
		return err
	}
	if f.state.current.index == 0 {
		if err := f.restoreScheduler(recordsByOwner, now); err != nil {
			return err
		}
	}
	f.publish(p)
	machines, tasks, uncompacted := p.Load()
	f.log.Info("partition loaded", "view", view.Number, "index", f.state.current.index, "shards", len(entries), "machines", machines,
		"tasks", tasks, "uncompacted", uncompacted, "leader", f.state.current.index == 0, "after", time.Since(firstSeen))
	return nil
}

// readRecords reads the live jobs into the cache, and returns the shard records.
func (f *failover) readRecords(ctx context.Context) ([]protocol.Entry, error) {
	if _, err := f.jobs.list(ctx); err != nil {
		return nil, err
	}
	entries, _, err := f.store.List(ctx, statestore.PriorityMembership, partition.ShardPrefix)
	return entries, err
}

// buildPartition loads a partition from the shard records of this node's machines, and returns
// all records by the index of the member that owns them. A record that cannot be decoded fails
// it: the tasks that it holds run somewhere and count against limits, so nothing is decided
// without it. The caller holds the lock.
func (f *failover) buildPartition(p *partition.Partition, entries []protocol.Entry, now time.Time) ([][]partition.Record, error) {
	current := &f.state.current
	recordsByOwner := make([][]partition.Record, len(current.view.Members))
	var undecodable error
	for _, e := range entries {
		bucket, record, err := decodeShardRecord(e.Key, e.Data)
		if err != nil {
			f.failures.failed("shard record could not be decoded", err)
			undecodable = errors.Join(undecodable, err)
			continue
		}
		owner := current.view.OwnerOfBucket(bucket)
		if owner == current.index {
			if err := p.LoadShard(e.Key, record, e.Revision, now); err != nil {
				return nil, err
			}
		}
		recordsByOwner[owner] = append(recordsByOwner[owner], record)
	}
	return recordsByOwner, undecodable
}

// restoreScheduler makes the leader's scheduler and autoscaler. Until an owner's first update
// comes, the scheduler holds for it what its records show. The caller holds the lock.
func (f *failover) restoreScheduler(recordsByOwner [][]partition.Record, now time.Time) error {
	s := scheduler.New(f.configs.schedulerConfig(), f.configs.teams(), len(recordsByOwner), f.catalogue.capacity, f.state.jobs)
	for owner, records := range recordsByOwner {
		states, completed, err := partition.StatesFromRecords(records, f.catalogue.capacity, now)
		if err != nil {
			return err
		}
		s.RestoreOwner(owner, states, completed, now)
	}
	f.state.leader.scheduler = s
	f.state.leader.autoscaler = f.configs.newAutoscaler()
	return nil
}

// publish makes a partition the one that this node acts for, and wakes those that wait for it.
// The caller holds the lock.
func (f *failover) publish(p *partition.Partition) {
	f.state.current.partition = p
	close(f.state.current.loaded)
}

// retryView makes the next look at the view begin it again.
func (f *failover) retryView() {
	f.state.mu.Lock()
	defer f.state.mu.Unlock()
	f.state.current.view.Number = 0
}
