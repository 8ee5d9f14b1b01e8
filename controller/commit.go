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

const (
	tickInterval = 200 * time.Millisecond
	// commitPause lets what comes up within a moment share the next transaction.
	commitPause = 100 * time.Millisecond
	// storeRetry is the pause before a transaction or a read is sent again.
	storeRetry = 100 * time.Millisecond
	// maxRefusals is how often a transaction that was surely not carried out is sent as it
	// is; then one is made up anew, of what is wanted by then and as large as may pass.
	maxRefusals = 3
)

// tickLoop lets time pass in the partition.
func (c *Controller) tickLoop(ctx context.Context) {
	for sleep(ctx, tickInterval) {
		c.state.mu.Lock()
		if c.state.current.partition != nil {
			c.state.current.partition.Tick(time.Now())
			signal(c.commitWanted)
		}
		c.state.mu.Unlock()
	}
}

// commitLoop writes placements, removals and finished tasks, one transaction at a time, each
// guarded on the view and on all that it changes.
func (c *Controller) commitLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.commitWanted:
		}
		for c.commitNext(ctx) && ctx.Err() == nil {
			sleep(ctx, commitPause)
		}
	}
}

// commitNext makes the next commit and settles it. It tells whether there may be more.
func (c *Controller) commitNext(ctx context.Context) bool {
	c.state.mu.Lock()
	p, view := c.state.current.partition, c.state.current.view
	var commit *partition.Commit
	if p != nil && p.View() == view.Number {
		// Few at once while the limit is short: so the most pressing ones go next.
		most := min(c.store.ChangesAvailable(), c.store.MaxChanges())
		commit = p.NextCommit(time.Now(), max(most, 1))
	}
	c.state.mu.Unlock()
	if commit == nil {
		return false
	}
	transaction, err := commitTransaction(view, commit)
	if err != nil {
		c.log.Error("commit cannot be encoded", "err", err)
		return false
	}
	return c.sendCommit(ctx, p, commit, transaction)
}

// sendCommit sends a commit until it is known what became of it. The same transaction again
// settles one that got no answer, since its guards hold only once.
func (c *Controller) sendCommit(ctx context.Context, p *partition.Partition, commit *partition.Commit, transaction protocol.Transaction) bool {
	began := time.Now()
	tries := retries{}
	for ctx.Err() == nil {
		revision, err := c.store.Commit(ctx, tries.priority(), transaction)
		if c.log.Enabled(ctx, slog.LevelDebug) {
			c.log.Debug("commit", "shards", len(commit.Shards), "bytes", commit.Bytes(), "took", time.Since(began), "err", err)
		}
		var conflict *statestore.ConflictError
		switch {
		case err == nil:
			c.metrics.commit(time.Since(began))
			c.state.mu.Lock()
			p.CommitApplied(commit, revision, time.Now())
			c.signalSettled()
			c.state.mu.Unlock()
			return true
		case errors.As(err, &conflict):
			return c.reconcileCommit(ctx, p, commit, conflict)
		case errors.Is(err, statestore.ErrTooLarge):
			// As it stands it never passes.
			c.state.mu.Lock()
			p.CommitTooLarge(commit, time.Now())
			c.state.mu.Unlock()
			c.log.Info("a commit is too large", "shards", len(commit.Shards), "bytes", commit.Bytes())
			return false
		}
		if !c.ownsPartition(p) {
			return false
		}
		if tries.failed(err) {
			// Smaller ones find room in the limit that large ones do not.
			c.state.mu.Lock()
			p.CommitRefused(commit)
			p.ShrinkCommits()
			c.state.mu.Unlock()
			signal(c.commitWanted)
			return false
		}
		sleep(ctx, storeRetry)
	}
	return false
}

// retries follows the attempts at one transaction.
type retries struct {
	last    error
	unknown bool // it may have been carried out
	count   int
}

// priority is how pressing the next attempt is. Only the first one pays for itself, since in
// an outage the others would run up a debt; but one that found no room in the limits waits
// like any other.
func (r *retries) priority() statestore.Priority {
	if r.last == nil || errors.Is(r.last, statestore.ErrRateLimited) {
		return statestore.PriorityPlacement
	}
	return statestore.PriorityUser
}

// failed takes an attempt's error and tells whether the transaction is to be given up: it
// was surely not carried out, and has waited for so long that more has come up.
func (r *retries) failed(err error) (giveUp bool) {
	r.last = err
	r.count++
	r.unknown = r.unknown || !errors.Is(err, statestore.ErrRefused)
	return !r.unknown && r.count >= maxRefusals
}

// commitTransaction is a commit as the state service takes it.
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

// viewGuarded is an empty transaction that passes only while a view holds.
func viewGuarded(view membership.View) protocol.Transaction {
	return protocol.Transaction{Guards: []protocol.Guard{{Key: membership.ViewKey, Revision: view.Revision}}}
}

// reconcileCommit reads what a commit touched whose guards failed, and settles it from that.
func (c *Controller) reconcileCommit(ctx context.Context, p *partition.Partition, commit *partition.Commit, conflict *statestore.ConflictError) bool {
	if slices.Contains(conflict.FailedGuards, membership.ViewKey) {
		c.handleDeposed(p)
		return false
	}
	for _, w := range commit.Shards {
		if !slices.Contains(conflict.FailedGuards, w.Key) {
			continue
		}
		entry, ok := c.reread(ctx, p, w.Key)
		if !ok {
			return false
		}
		if err := c.reconcileShard(p, commit, entry); err != nil {
			c.failures.failed("shard cannot be read", err)
			c.releasePartition(p)
			return false
		}
	}
	c.state.mu.Lock()
	defer c.state.mu.Unlock()
	p.CommitRefused(commit)
	p.ShrinkCommits()
	c.signalSettled()
	return true
}

// handleDeposed takes that a guard on the view of a partition has failed.
func (c *Controller) handleDeposed(p *partition.Partition) {
	c.log.Info("view is over", "view", p.View())
	c.membership.ObserveView(p.View() + 1)
	c.state.mu.Lock()
	defer c.state.mu.Unlock()
	if c.state.current.partition == p {
		c.state.current.partition, c.state.leader.scheduler = nil, nil
	}
	c.signalSettled()
}

// reconcileShard settles a commit's part in one shard from what stands there now.
func (c *Controller) reconcileShard(p *partition.Partition, commit *partition.Commit, entry protocol.Entry) error {
	var rec *partition.Record
	if entry.Revision != 0 {
		_, decoded, err := decodeShard(entry.Key, entry.Data)
		if err != nil {
			return err
		}
		rec = &decoded
	}
	c.state.mu.Lock()
	defer c.state.mu.Unlock()
	if err := p.ReconcileShard(commit, entry.Key, rec, entry.Revision, time.Now()); err != nil {
		return &protocol.DecodeError{Source: entry.Key, Err: err}
	}
	return nil
}

// reread reads a key for as long as a partition is this node's.
func (c *Controller) reread(ctx context.Context, p *partition.Partition, key string) (protocol.Entry, bool) {
	for ctx.Err() == nil && c.ownsPartition(p) {
		e, err := c.store.Get(ctx, statestore.PriorityPlacement, key)
		if err == nil {
			e.Key = key
			return e, true
		}
		sleep(ctx, storeRetry)
	}
	return protocol.Entry{}, false
}

// signalSettled lets the reports that wait for a commit look again. The caller holds the
// lock.
func (c *Controller) signalSettled() {
	close(c.state.commitSettled)
	c.state.commitSettled = make(chan struct{})
}
