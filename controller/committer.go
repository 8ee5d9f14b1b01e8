package controller

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"time"

	"junipershelf/internal/ctxtime"
	"junipershelf/membership"
	"junipershelf/partition"
	"junipershelf/protocol"
	"junipershelf/statestore"
)

// commitBatchDelay is the delay between commits, which lets changes accumulate for the next
// transaction.
const commitBatchDelay = 100 * time.Millisecond

// committer writes the changes of this node's partition (placements, removals and completed tasks)
// to the key-value store, one transaction at a time. Each transaction is guarded by the view and by
// the revision of each record that it writes, so that it is applied at most once, and only while
// this node owns the partition.
//
// It is stateless. It acquires nodeState.mu to build a commit and to apply its outcome, and does not
// hold it while a transaction is in flight.
type committer struct {
	state        *nodeState
	store        *statestore.Client
	ownership    *ownership
	metrics      *nodeMetrics
	failures     *failureLogger
	log          *slog.Logger
	commitWanted chan struct{} // signalled when there may be changes to commit
}

func newCommitter(shared *sharedComponents) *committer {
	return &committer{
		state:        shared.state,
		store:        shared.store,
		ownership:    &ownership{state: shared.state, membership: shared.membership, log: shared.log},
		metrics:      shared.metrics,
		failures:     shared.failures,
		log:          shared.log,
		commitWanted: shared.commitWanted,
	}
}

// run commits pending changes each time that it is signalled, until the context is cancelled.
func (c *committer) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.commitWanted:
		}
		for c.commitNext(ctx) && ctx.Err() == nil {
			ctxtime.Sleep(ctx, commitBatchDelay)
		}
	}
}

// commitNext builds the next commit and sends it until its outcome is known. It reports whether
// there may be more to commit.
func (c *committer) commitNext(ctx context.Context) (hasMore bool) {
	p, view, commit := c.nextCommit()
	if commit == nil {
		return false
	}
	transaction, err := commitTransaction(view, commit)
	if err != nil {
		c.log.Error("commit could not be encoded", "err", err)
		return false
	}
	return c.send(ctx, p, commit, transaction)
}

// nextCommit builds the next commit of the partition. The commit is nil if there is nothing to
// commit.
func (c *committer) nextCommit() (*partition.Partition, membership.View, *partition.Commit) {
	c.state.mu.Lock()
	defer c.state.mu.Unlock()
	p, view := c.state.current.partition, c.state.current.view
	if p == nil || p.View() != view.Number {
		return p, view, nil
	}
	// Commits stay small while the rate limit is nearly used up, so that the most urgent changes
	// are written first.
	limit := min(c.store.ChangesAvailable(), c.store.MaxChanges())
	return p, view, p.NextCommit(time.Now(), max(limit, 1))
}

// commitTransaction encodes a commit as a transaction that is guarded by the view and by the
// revisions of all records that it writes.
func commitTransaction(view membership.View, commit *partition.Commit) (protocol.Transaction, error) {
	t := viewGuarded(view)
	for _, w := range commit.Shards {
		t.Guards = append(t.Guards, protocol.Guard{Key: w.Key, Revision: w.Revision})
		if w.Record == nil {
			t.Changes = append(t.Changes, protocol.Change{DeleteKey: w.Key})
			continue
		}
		if err := t.Put(w.Key, w.Record); err != nil {
			return t, err
		}
	}
	return t, nil
}

// send sends a commit until its outcome is known, and applies the outcome to the partition. A
// transaction without a reply is resent unchanged, which is safe because its guards hold at most
// once. It reports whether there may be more to commit.
func (c *committer) send(ctx context.Context, p *partition.Partition, commit *partition.Commit, transaction protocol.Transaction) (hasMore bool) {
	began := time.Now()
	var retries commitRetries
	for ctx.Err() == nil {
		revision, err := c.store.Commit(ctx, retries.priority(), transaction)
		if c.log.Enabled(ctx, slog.LevelDebug) {
			c.log.Debug("commit sent", "shards", len(commit.Shards), "bytes", commit.Bytes(), "took", time.Since(began), "err", err)
		}
		if err == nil {
			c.metrics.recordCommit(time.Since(began))
			c.recordApplied(p, commit, revision)
			return true
		}
		if conflict, ok := errors.AsType[*statestore.ConflictError](err); ok {
			return c.reconcile(ctx, p, commit, conflict)
		}
		if errors.Is(err, statestore.ErrTooLarge) {
			c.recordTooLarge(p, commit)
			return false
		}
		if !c.state.ownsPartition(p) {
			return false
		}
		if retries.recordFailure(err) {
			c.giveUp(p, commit)
			return false
		}
		ctxtime.Sleep(ctx, storeRetryDelay)
	}
	return false
}

// recordApplied records that a commit was applied at a revision.
func (c *committer) recordApplied(p *partition.Partition, commit *partition.Commit, revision uint64) {
	c.state.mu.Lock()
	defer c.state.mu.Unlock()
	p.HandleCommitApplied(commit, revision, time.Now())
	c.state.notifyCommitSettled()
}

// recordTooLarge records that a commit exceeds the key-value store's size limits, so that resending
// it unchanged can never succeed.
func (c *committer) recordTooLarge(p *partition.Partition, commit *partition.Commit) {
	c.state.mu.Lock()
	defer c.state.mu.Unlock()
	p.HandleCommitTooLarge(commit, time.Now())
	c.log.Warn("commit is too large for the key-value store", "shards", len(commit.Shards), "bytes", commit.Bytes())
}

// giveUp drops a commit that was refused on every attempt. The next commits are smaller, and may fit
// the store's rate limits although this one does not.
func (c *committer) giveUp(p *partition.Partition, commit *partition.Commit) {
	c.state.mu.Lock()
	defer c.state.mu.Unlock()
	c.recordRefused(p, commit)
	signal(c.commitWanted)
}

// recordRefused records that a commit was not applied, and reduces the size of the next ones. The
// caller holds the lock.
func (c *committer) recordRefused(p *partition.Partition, commit *partition.Commit) {
	p.HandleCommitRefused(commit)
	p.ShrinkCommits()
}

// reconcile determines the outcome of a commit whose guards failed. If the view guard failed, a
// later view exists. Otherwise the records with failed guards are read, to find out whether an
// earlier attempt was applied but its reply was lost. If a record cannot be decoded, the node
// releases its partition. It reports whether there may be more to commit.
func (c *committer) reconcile(ctx context.Context, p *partition.Partition, commit *partition.Commit, conflict *statestore.ConflictError) (hasMore bool) {
	if slices.Contains(conflict.FailedGuards, membership.ViewKey) {
		c.ownership.handleViewSuperseded(p)
		return false
	}
	for _, w := range commit.Shards {
		if !slices.Contains(conflict.FailedGuards, w.Key) {
			continue
		}
		entry, ok := readWhileOwner(ctx, c.store, c.state, p, w.Key)
		if !ok {
			return false
		}
		if err := c.reconcileShard(p, commit, entry); err != nil {
			c.failures.logFailure("shard record could not be decoded", err)
			c.ownership.release(p)
			return false
		}
	}
	c.state.mu.Lock()
	defer c.state.mu.Unlock()
	c.recordRefused(p, commit)
	c.state.notifyCommitSettled()
	return true
}

// reconcileShard determines, from a shard record that was just read from the key-value store, whether
// the commit's change to this record was applied.
func (c *committer) reconcileShard(p *partition.Partition, commit *partition.Commit, entry protocol.Entry) error {
	var record *partition.Record // nil: the record was deleted
	if entry.Revision != 0 {
		_, decoded, err := decodeShardRecord(entry.Key, entry.Data)
		if err != nil {
			return err
		}
		record = &decoded
	}
	c.state.mu.Lock()
	defer c.state.mu.Unlock()
	if err := p.ReconcileShard(commit, entry.Key, record, entry.Revision, time.Now()); err != nil {
		return &protocol.DecodeError{Source: entry.Key, Err: err}
	}
	return nil
}
