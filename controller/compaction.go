package controller

import (
	"context"
	"errors"
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
	// tooLargePause follows a compaction that is beyond the limits for its size.
	tooLargePause = 5 * time.Second
)

// compactionLoop is the leader's: it takes finished tasks over from the shards into the
// jobs' records and ends the jobs that are complete.
func (c *Controller) compactionLoop(ctx context.Context) {
	for sleep(ctx, compactionInterval) {
		c.state.mu.Lock()
		p, s, view := c.state.current.partition, c.state.leader.scheduler, c.state.current.view
		var compactions []scheduler.Compaction
		if p != nil && s != nil {
			compactions = s.Compactions(max(c.store.MaxChanges()/2, statestore.MinChanges))
		}
		c.state.mu.Unlock()
		if len(compactions) == 0 {
			continue
		}
		c.metrics.count(func(w *workMetrics) { w.compactions += len(compactions) })
		switch err := c.compact(ctx, p, view, compactions); {
		case errors.Is(err, statestore.ErrTooLarge):
			c.log.Info("a compaction is too large", "jobs", len(compactions))
			sleep(ctx, tooLargePause)
		case err != nil:
			c.log.Error("compaction cannot be encoded", "err", err)
		}
	}
}

// compact writes the jobs' records in one transaction and takes its outcome over.
func (c *Controller) compact(ctx context.Context, p *partition.Partition, view membership.View, compactions []scheduler.Compaction) error {
	transaction, err := compactionTransaction(view, compactions)
	if err != nil {
		return err
	}
	tries := retries{}
	for ctx.Err() == nil && c.ownsPartition(p) {
		revision, err := c.store.Commit(ctx, tries.priority(), transaction)
		var conflict *statestore.ConflictError
		switch {
		case err == nil:
			c.compacted(compactions, revision)
			return nil
		case errors.As(err, &conflict):
			c.reconcileCompaction(ctx, p, view, conflict)
			return nil
		case errors.Is(err, statestore.ErrTooLarge):
			return err
		}
		if tries.failed(err) {
			return nil // a smaller one is made up, which may find room
		}
		sleep(ctx, storeRetry)
	}
	return nil
}

func compactionTransaction(view membership.View, compactions []scheduler.Compaction) (protocol.Transaction, error) {
	t := viewGuarded(view)
	for _, x := range compactions {
		t.Guards = append(t.Guards, protocol.Guard{Key: job.Key(x.UID), Revision: x.Revision})
		if x.Final == nil {
			if err := t.Put(job.Key(x.UID), x.Record); err != nil {
				return t, err
			}
			continue
		}
		t.Changes = append(t.Changes, protocol.Change{DeleteKey: job.Key(x.UID)})
		if err := t.Put(job.TerminalKey(x.UID), *x.Final); err != nil {
			return t, err
		}
	}
	return t, nil
}

// compacted takes a transaction over that passed at a revision.
func (c *Controller) compacted(compactions []scheduler.Compaction, revision uint64) {
	now := time.Now()
	c.state.mu.Lock()
	defer c.state.mu.Unlock()
	for _, x := range compactions {
		if x.Final == nil {
			if err := c.state.jobs.Set(x.UID, x.Record, revision, now); err != nil {
				c.log.Error("a job's own record cannot be read", "job", x.UID, "err", err)
			}
			continue
		}
		c.peering.terminalStates.recordLocked(x.UID, *x.Final)
		spec := &x.Record.Spec
		c.log.Debug("job is done", "job", x.UID, "class", spec.Class, "tasks", x.Final.Done,
			"expected_s", spec.ExpectedS, "took_s", float64(now.UnixMilli()-x.Record.SubmittedMS)/1000)
	}
}

// reconcileCompaction reads the jobs whose guards failed: they were cancelled meanwhile, or
// the transaction had passed unseen.
func (c *Controller) reconcileCompaction(ctx context.Context, p *partition.Partition, view membership.View, conflict *statestore.ConflictError) {
	if slices.Contains(conflict.FailedGuards, membership.ViewKey) {
		c.membership.ObserveView(view.Number + 1)
		return
	}
	for _, key := range conflict.FailedGuards {
		entry, ok := c.reread(ctx, p, key)
		if !ok {
			return
		}
		uid := strings.TrimPrefix(key, job.Key(""))
		now := time.Now()
		c.state.mu.Lock()
		if entry.Revision == 0 {
			c.state.jobs.Remove(uid, now)
		} else {
			c.applyJob(uid, entry.Data, entry.Revision, now)
		}
		c.state.mu.Unlock()
	}
}
