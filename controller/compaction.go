package controller

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"strings"
	"time"

	"junipershelf/job"
	"junipershelf/membership"
	"junipershelf/partition"
	"junipershelf/protocol"
	"junipershelf/scheduler"
	"junipershelf/statestore"
)

const (
	compactionInterval = 200 * time.Millisecond
	// tooLargePause follows a transaction that the store can never take for its size.
	tooLargePause = 5 * time.Second
)

// compactor is the leader's: it ends the jobs that are complete and, while shard records are nearly
// full, moves finished tasks of other jobs from them into the jobs' records. Its fields are set once.
type compactor struct {
	state          *nodeState
	store          *statestore.Client
	membership     *membership.Membership
	jobs           *jobWatcher
	terminalStates *terminalStateRecorder
	metrics        *nodeMetrics
	log            *slog.Logger
}

// compactionBatch is what one transaction compacts, with the partition and the view that it
// was made for.
type compactionBatch struct {
	partition   *partition.Partition
	view        membership.View
	compactions []scheduler.Compaction
}

// run compacts until the context ends.
func (c *compactor) run(ctx context.Context) {
	for sleep(ctx, compactionInterval) {
		c.compactNext(ctx)
	}
}

// compactNext compacts one batch, if there is any to compact.
func (c *compactor) compactNext(ctx context.Context) {
	batch := c.nextBatch()
	if len(batch.compactions) == 0 {
		return
	}
	c.metrics.recordCompactions(len(batch.compactions))
	err := c.compact(ctx, batch)
	switch {
	case errors.Is(err, statestore.ErrTooLarge):
		c.log.Warn("compaction was too large", "jobs", len(batch.compactions))
		sleep(ctx, tooLargePause)
	case err != nil:
		c.log.Error("compaction could not be encoded", "err", err)
	}
}

// nextBatch returns what to compact next; on a node that does not lead it is empty.
func (c *compactor) nextBatch() *compactionBatch {
	c.state.mu.Lock()
	defer c.state.mu.Unlock()
	batch := &compactionBatch{partition: c.state.current.partition, view: c.state.current.view}
	if s := c.state.leader.scheduler; s != nil && batch.partition != nil {
		batch.compactions = s.Compactions(max(c.store.MaxChanges()/2, statestore.MinChanges))
	}
	return batch
}

// compact writes a batch in one transaction and applies its outcome. It returns an error if
// the batch cannot be encoded, and statestore.ErrTooLarge if the store cannot take it; other
// failures leave it to the next batch.
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
			return nil // the next batch is smaller and may find room in the store's limits
		}
		sleep(ctx, storeRetry)
	}
	return nil
}

// transaction returns the batch as the store takes it: each job's record is guarded by its
// revision, and replaced by the new one or by how the job has ended.
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

// applyCommitted applies a batch that the store has taken at a revision.
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
			c.log.Error("own job record could not be read", "job", compaction.UID, "err", err)
		}
	}
}

// logDone logs that a job is complete.
func (c *compactor) logDone(compaction *scheduler.Compaction, now time.Time) {
	spec := &compaction.Record.Spec
	took := float64(now.UnixMilli()-compaction.Record.SubmittedMS) / 1000
	c.log.Debug("job done", "job", compaction.UID, "class", spec.Class, "tasks", compaction.Final.Done,
		"expected_s", spec.ExpectedS, "took_s", took)
}

// reconcile reads the jobs whose guards failed: they were cancelled meanwhile, or the
// transaction had been committed although no reply came.
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

// applyEntry applies a job's record as the store has it; revision 0 says that it has none.
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
