package controller

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"junipershelf/cloud"
	"junipershelf/internal/ctxtime"
	"junipershelf/membership"
	"junipershelf/partition"
	"junipershelf/protocol"
	"junipershelf/scheduler"
	"junipershelf/statestore"
)

const (
	// viewCheckInterval is the interval at which the view is checked when no change is signalled.
	viewCheckInterval = time.Second
	// loadRetryDelay is the delay before a failed load of a view's records is retried.
	loadRetryDelay = 200 * time.Millisecond
)

// failover performs this node's view changes. For each new view that the membership reports:
//
//  1. beginView discards the state of the previous view.
//  2. readRecords reads the live jobs and the shard records from the key-value store.
//  3. buildPartition loads the records of the machines that this node now owns.
//  4. restoreScheduler restores the scheduler for the whole fleet, on the leader.
//  5. publish makes the partition visible to the other components.
//
// Steps 3 to 5 run in one critical section of nodeState.mu, so that no component sees a partition
// without its scheduler. If the records of a view cannot be read or decoded, the view change is
// retried until they can. See ownership for how a node loses its partition within a view.
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

func newFailover(shared *sharedComponents) *failover {
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

// run handles view changes until the context is cancelled.
func (f *failover) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.membership.Changed():
		case <-time.After(viewCheckInterval):
		}
		view, self, firstSeen := f.membership.Current()
		if !f.beginView(view, self) || !view.Contains(self) {
			continue
		}
		if err := f.takeOver(ctx, view, firstSeen); err != nil {
			f.failures.logFailure("reading a view's records failed", err)
			if !ctxtime.Sleep(ctx, loadRetryDelay) {
				return
			}
			f.retryView()
		}
	}
}

// beginView discards the state of the previous view. It reports whether the partition must be
// loaded: the view is new, or an earlier load failed.
func (f *failover) beginView(view membership.View, self membership.Member) (begun bool) {
	f.state.mu.Lock()
	defer f.state.mu.Unlock()
	current := &f.state.current
	if view.Number == current.view.Number && (current.partition != nil || current.nonMember) {
		return false
	}
	index, isMember := view.IndexOf(self)
	leads := isMember && index == 0
	if current.led() && !leads {
		f.state.logDeposed(f.log, view.Number)
	}
	f.state.dropPartition(f.log, dropNextView)
	current.view, current.index, current.nonMember = view, index, !isMember
	current.bucketOwners = view.BucketOwners()
	current.fleetVersion = 0
	clear(current.runningTasks)
	f.store.SetShare(statestore.Share{Nodes: len(view.Members), Leader: leads})
	f.cloud.SetShare(cloud.Share{Nodes: len(view.Members), ScalesOut: leads})
	select {
	case <-current.loaded:
		current.loaded = make(chan struct{})
	default: // nothing was loaded in the previous view: the waiters keep waiting on the same channel
	}
	return true
}

// takeOver loads this node's partition for a view that beginView has begun and, on the leader, the
// scheduler. Only run calls beginView, so the view cannot change while its records are read.
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

// readRecords reads the live jobs into the job cache and returns the shard records.
func (f *failover) readRecords(ctx context.Context) ([]protocol.Entry, error) {
	if _, err := f.jobs.list(ctx); err != nil {
		return nil, err
	}
	entries, _, err := f.store.List(ctx, statestore.PriorityMembership, partition.ShardPrefix)
	return entries, err
}

// buildPartition loads the shard records of this node's machines into a partition, and returns all
// records grouped by the index of the owning member. It fails if any record cannot be decoded: the
// tasks in that record are running and count against limits, so scheduling without it would be
// wrong. The caller holds the lock.
func (f *failover) buildPartition(p *partition.Partition, entries []protocol.Entry, now time.Time) ([][]partition.Record, error) {
	current := &f.state.current
	recordsByOwner := make([][]partition.Record, len(current.view.Members))
	var undecodable error
	for _, e := range entries {
		bucket, record, err := decodeShardRecord(e.Key, e.Data)
		if err != nil {
			f.failures.logFailure("shard record could not be decoded", err)
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

// restoreScheduler creates the leader's scheduler and autoscaler. The state of each owner is taken
// from its records until its first update arrives. The caller holds the lock.
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

// publish makes a loaded partition current and wakes the heartbeats that wait for it. The caller
// holds the lock.
func (f *failover) publish(p *partition.Partition) {
	f.state.current.partition = p
	close(f.state.current.loaded)
}

// retryView resets the view number so that the next check begins the view again.
func (f *failover) retryView() {
	f.state.mu.Lock()
	defer f.state.mu.Unlock()
	f.state.current.view.Number = 0
}
