package controller

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"strings"
	"time"

	"junipershelf/internal/ctxtime"
	"junipershelf/job"
	"junipershelf/membership"
	"junipershelf/partition"
	"junipershelf/protocol"
	"junipershelf/scheduler"
	"junipershelf/statestore"
)

const (
	compactionInterval = 200 * time.Millisecond
	// tooLargeRetryDelay is the delay after a transaction exceeded the store's size limits.
	tooLargeRetryDelay = 5 * time.Second
)

// compactor runs on the leader. It writes the terminal states of completed jobs and, while shard
// records are nearly full, moves completed tasks of other jobs from shard records into job records.
// Its fields are immutable.
type compactor struct {
	state          *nodeState
	store          *statestore.Client
	membership     *membership.Membership
	jobs           *jobWatcher
	terminalStates *terminalStateRecorder
	metrics        *nodeMetrics
	log            *slog.Logger
}

// compactionBatch holds the compactions that one transaction writes, with the partition and the view
// that they were built for.
type compactionBatch struct {
	partition   *partition.Partition
	view        membership.View
	compactions []scheduler.Compaction
}

// run compacts at intervals until the context is cancelled.
func (c *compactor) run(ctx context.Context) {
	for ctxtime.Sleep(ctx, compactionInterval) {
		c.compactNext(ctx)
	}
}

// compactNext compacts one batch, if there is anything to compact.
func (c *compactor) compactNext(ctx context.Context) {
	batch := c.nextBatch()
	if len(batch.compactions) == 0 {
		return
	}
	c.metrics.recordCompactions(len(batch.compactions))
	err := c.compact(ctx, batch)
	switch {
	case errors.Is(err, statestore.ErrTooLarge):
		c.log.Warn("compaction is too large for the key-value store", "jobs", len(batch.compactions))
		ctxtime.Sleep(ctx, tooLargeRetryDelay)
	case err != nil:
		c.log.Error("compaction could not be encoded", "err", err)
	}
}

// nextBatch returns the next batch. It is empty on a node that is not the leader.
func (c *compactor) nextBatch() *compactionBatch {
	c.state.mu.Lock()
	defer c.state.mu.Unlock()
	batch := &compactionBatch{partition: c.state.current.partition, view: c.state.current.view}
	if s := c.state.leader.scheduler; s != nil && batch.partition != nil {
		batch.compactions = s.Compactions(max(c.store.MaxChanges()/2, statestore.MinChanges))
	}
	return batch
}

// compact writes a batch in one transaction and applies the outcome. It returns an error if the
// batch cannot be encoded, and statestore.ErrTooLarge if it exceeds the store's size limits. Other
// failures return nil and leave the compactions to the next batch.
func (c *compactor) compact(ctx context.Context, batch *compactionBatch) error {
	transaction, err := batch.transaction()
	if err != nil {
		return err
	}
	var retries commitRetries
	for ctx.Err() == nil && c.state.ownsPartition(batch.partition) {
		revision, err := c.store.Commit(ctx, retries.priority(), transaction)
		var conflict *statestore.ConflictError
		switch {
		case err == nil:
			c.applyCommitted(batch, revision)
			return nil
		case errors.As(err, &conflict):
			c.reconcile(ctx, batch, conflict)
			return nil
		case errors.Is(err, statestore.ErrTooLarge):
			return err
		}
		if retries.recordFailure(err) {
			return nil // the next batch is smaller and may fit the store's rate limits
		}
		ctxtime.Sleep(ctx, storeRetryDelay)
	}
	return nil
}

// transaction encodes the batch. Each job's record is guarded by its revision, and replaced by the
// new record or by the job's terminal state.
func (b *compactionBatch) transaction() (protocol.Transaction, error) {
	t := viewGuarded(b.view)
	for _, compaction := range b.compactions {
		key := job.Key(compaction.UID)
		t.Guards = append(t.Guards, protocol.Guard{Key: key, Revision: compaction.Revision})
		if compaction.Final == nil {
			if err := t.Put(key, compaction.Record); err != nil {
				return t, err
			}
			continue
		}
		t.Changes = append(t.Changes, protocol.Change{DeleteKey: key})
		if err := t.Put(job.TerminalKey(compaction.UID), *compaction.Final); err != nil {
			return t, err
		}
	}
	return t, nil
}

// applyCommitted applies a batch that was committed at a revision.
func (c *compactor) applyCommitted(batch *compactionBatch, revision uint64) {
	now := time.Now()
	c.state.mu.Lock()
	defer c.state.mu.Unlock()
	for _, compaction := range batch.compactions {
		if compaction.Final != nil {
			c.terminalStates.recordLocked(compaction.UID, *compaction.Final)
			c.logDone(&compaction, now)
			continue
		}
		if err := c.state.jobs.Set(compaction.UID, compaction.Record, revision, now); err != nil {
			c.log.Error("job record that was just written could not be added to the job cache", "job", compaction.UID, "err", err)
		}
	}
}

// logDone logs the completion of a job.
func (c *compactor) logDone(compaction *scheduler.Compaction, now time.Time) {
	spec := &compaction.Record.Spec
	took := float64(now.UnixMilli()-compaction.Record.SubmittedMS) / 1000
	c.log.Debug("job done", "job", compaction.UID, "class", spec.Class, "tasks", compaction.Final.Done,
		"expected_s", spec.ExpectedS, "took_s", took)
}

// reconcile reads the records of the jobs whose guards failed. Such a job was cancelled concurrently,
// or an earlier attempt at the transaction was committed but its reply was lost.
func (c *compactor) reconcile(ctx context.Context, batch *compactionBatch, conflict *statestore.ConflictError) {
	if slices.Contains(conflict.FailedGuards, membership.ViewKey) {
		c.membership.ObserveView(batch.view.Number + 1)
		return
	}
	for _, key := range conflict.FailedGuards {
		entry, ok := readWhileOwner(ctx, c.store, c.state, batch.partition, key)
		if !ok {
			return
		}
		c.applyEntry(strings.TrimPrefix(key, job.Key("")), entry)
	}
}

// applyEntry applies a job's record as read from the store; revision 0 means that the record does
// not exist.
func (c *compactor) applyEntry(uid string, entry protocol.Entry) {
	now := time.Now()
	c.state.mu.Lock()
	defer c.state.mu.Unlock()
	if entry.Revision == 0 {
		c.state.jobs.Remove(uid, now)
		return
	}
	c.jobs.applyRecord(uid, entry.Data, entry.Revision, now)
}
