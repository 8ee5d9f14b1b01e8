package controller

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"time"

	"junipershelf/membership"
	"junipershelf/partition"
	"junipershelf/protocol"
	"junipershelf/statestore"
)

// commitPause lets what comes up within a moment share the next transaction.
const commitPause = 100 * time.Millisecond

// committer writes the changes of this node's partition to the key-value store: placements,
// removals and finished tasks, one transaction at a time. Each transaction is guarded on the
// view and on the revision of each record that it writes, so that it passes once at most, and
// only while this node owns its partition.
//
// It has no state of its own. The lock of nodeState is taken to make a commit up and to apply
// its outcome, and is not held while a transaction is under way.
type committer struct {
	state     *nodeState
	store     *statestore.Client
	ownership *ownership
	metrics   *nodeMetrics
	failures  *failureLogger
	log       *slog.Logger
	wanted    chan struct{} // has a value when there may be something to commit
}

func newCommitter(shared *sharedParts) *committer {
	return &committer{
		state:     shared.state,
		store:     shared.store,
		ownership: &ownership{state: shared.state, membership: shared.membership, log: shared.log},
		metrics:   shared.metrics,
		failures:  shared.failures,
		log:       shared.log,
		wanted:    shared.commitWanted,
	}
}

// run commits whenever something may be to commit, until the context ends.
func (c *committer) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.wanted:
		}
		for c.commitNext(ctx) && ctx.Err() == nil {
			sleep(ctx, commitPause)
		}
	}
}

// commitNext makes up the next commit and sends it until its outcome is known. It reports
// whether there may be more to commit.
func (c *committer) commitNext(ctx context.Context) (more bool) {
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

// nextCommit makes up the next commit of the partition in its view; it is nil if there is
// nothing to commit.
func (c *committer) nextCommit() (*partition.Partition, membership.View, *partition.Commit) {
	c.state.mu.Lock()
	defer c.state.mu.Unlock()
	p, view := c.state.current.partition, c.state.current.view
	if p == nil || p.View() != view.Number {
		return p, view, nil
	}
	// Few at once while the rate limit is short: so the most urgent ones go next.
	limit := min(c.store.ChangesAvailable(), c.store.MaxChanges())
	return p, view, p.NextCommit(time.Now(), max(limit, 1))
}

// commitTransaction encodes a commit as a transaction that is guarded on the view and on all
// that it writes.
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

// send sends a commit until its outcome is known, and applies that to the partition. A
// transaction without a reply is sent again as it is: its guards hold only once. It reports
// whether there may be more to commit.
func (c *committer) send(ctx context.Context, p *partition.Partition, commit *partition.Commit, transaction protocol.Transaction) (more bool) {
	began := time.Now()
	var retries commitRetries
	for ctx.Err() == nil {
		revision, err := c.store.Commit(ctx, retries.priority(), transaction)
		if c.log.Enabled(ctx, slog.LevelDebug) {
			c.log.Debug("commit sent", "shards", len(commit.Shards), "bytes", commit.Bytes(), "took", time.Since(began), "err", err)
		}
		if err == nil {
			c.metrics.recordCommit(time.Since(began))
			c.applied(p, commit, revision)
			return true
		}
		if conflict, ok := errors.AsType[*statestore.ConflictError](err); ok {
			return c.reconcile(ctx, p, commit, conflict)
		}
		if errors.Is(err, statestore.ErrTooLarge) {
			c.tooLarge(p, commit)
			return false
		}
		if !c.state.ownsPartition(p) {
			return false
		}
		if retries.recordFailure(err) {
			c.giveUp(p, commit)
			return false
		}
		sleep(ctx, storeRetry)
	}
	return false
}

// applied records that a commit has passed at a revision.
func (c *committer) applied(p *partition.Partition, commit *partition.Commit, revision uint64) {
	c.state.mu.Lock()
	defer c.state.mu.Unlock()
	p.CommitApplied(commit, revision, time.Now())
	c.state.notifyCommitSettled()
}

// tooLarge records that a commit is beyond the limits of the key-value store: as it is it never
// passes.
func (c *committer) tooLarge(p *partition.Partition, commit *partition.Commit) {
	c.state.mu.Lock()
	defer c.state.mu.Unlock()
	p.CommitTooLarge(commit, time.Now())
	c.log.Warn("commit was too large", "shards", len(commit.Shards), "bytes", commit.Bytes())
}

// giveUp drops a commit that was refused each time. Smaller ones find room in the rate limits
// that large ones do not.
func (c *committer) giveUp(p *partition.Partition, commit *partition.Commit) {
	c.state.mu.Lock()
	defer c.state.mu.Unlock()
	c.refused(p, commit)
	signal(c.wanted)
}

// refused records that a commit was not carried out, and makes the next ones smaller. The
// caller holds the lock.
func (c *committer) refused(p *partition.Partition, commit *partition.Commit) {
	p.CommitRefused(commit)
	p.ShrinkCommits()
}

// reconcile settles a commit some of whose guards have failed. If the one on the view has, a
// later view exists. Otherwise the records with failed guards are read, which show whether an
// earlier attempt had passed without a reply. A record that cannot be decoded makes the node
// release its partition. It reports whether there may be more to commit.
func (c *committer) reconcile(ctx context.Context, p *partition.Partition, commit *partition.Commit, conflict *statestore.ConflictError) (more bool) {
	if slices.Contains(conflict.FailedGuards, membership.ViewKey) {
		c.ownership.handleViewEnded(p)
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
			c.failures.failed("shard record could not be decoded", err)
			c.ownership.release(p)
			return false
		}
	}
	c.state.mu.Lock()
	defer c.state.mu.Unlock()
	c.refused(p, commit)
	c.state.notifyCommitSettled()
	return true
}

// reconcileShard settles a commit's part in one shard from the record that the key-value store
// holds now.
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
