package controller

import (
	"context"
	"errors"
	"strings"
	"time"

	"junipershelf/internal/httpcall"
	"junipershelf/internal/limits"
	"junipershelf/job"
	"junipershelf/protocol"
	"junipershelf/statestore"
)

const (
	jobWatchTimeout = 2 * time.Second
	jobListRetry    = 300 * time.Millisecond
	jobWatchRetry   = 250 * time.Millisecond
	// jobWatchPause lets changes come in bunches: one answer for many costs less.
	jobWatchPause = 150 * time.Millisecond
)

// jobWatchLoop keeps the mirror of the live jobs fresh with a watch.
func (c *Controller) jobWatchLoop(ctx context.Context) {
	var revision uint64 // up to which changes are known; 0: all is to be listed
	for ctx.Err() == nil {
		if revision == 0 {
			var err error
			if revision, err = c.listJobs(ctx); err != nil {
				revision = 0
				sleep(ctx, jobListRetry)
				continue
			}
		}
		sent := time.Now()
		reply, err := c.store.Watch(ctx, job.Key(""), revision, jobWatchTimeout)
		if err != nil {
			if errors.Is(err, statestore.ErrRevisionCompacted) {
				revision = 0
			}
			if errors.Is(err, httpcall.ErrReplyTooLong) {
				c.limitCounts.record(limits.Replies)
			}
			sleep(ctx, jobWatchRetry)
			continue
		}
		c.applyEvents(reply.Events, sent)
		revision = max(revision, reply.StoreRevision)
		sleep(ctx, jobWatchPause)
	}
}

// applyEvents takes what a watch that was sent at a time has seen.
func (c *Controller) applyEvents(events []protocol.Event, sent time.Time) {
	c.state.mu.Lock()
	defer c.state.mu.Unlock()
	now := time.Now()
	for _, e := range events {
		if uid, ok := strings.CutPrefix(e.PutKey, job.Key("")); ok {
			c.applyJob(uid, e.Data, e.Revision, now)
		} else if uid, ok := strings.CutPrefix(e.DeleteKey, job.Key("")); ok && uid != "" {
			c.state.jobs.Remove(uid, now)
		}
	}
	c.recordCacheSynced(sent)
}

// listJobs reads all live jobs anew and gives the revision that the list shows.
func (c *Controller) listJobs(ctx context.Context) (revision uint64, err error) {
	sent := time.Now()
	entries, revision, err := c.store.List(ctx, statestore.PriorityMembership, job.Key(""))
	if err != nil {
		return 0, err
	}
	c.state.mu.Lock()
	defer c.state.mu.Unlock()
	now := time.Now()
	listed := make(map[string]bool, len(entries))
	for _, e := range entries {
		uid := strings.TrimPrefix(e.Key, job.Key(""))
		listed[uid] = true
		c.applyJob(uid, e.Data, e.Revision, now)
	}
	for uid, l := range c.state.jobs.Jobs {
		if !listed[uid] && l.Revision <= revision {
			c.state.jobs.Remove(uid, now)
		}
	}
	c.recordCacheSynced(sent)
	return revision, nil
}

// applyJob takes a job's record. The caller holds the lock.
func (c *Controller) applyJob(uid string, data []byte, revision uint64, now time.Time) {
	rec, err := job.Decode(uid, data)
	if err == nil {
		err = c.state.jobs.Set(uid, rec, revision, now)
	}
	if err != nil {
		c.state.jobs.SetUnreadable(uid, now)
		c.failures.failed("a job cannot be read", err)
	}
}

// recordCacheSynced notes that the mirror shows all that stood in the state service at a time.
// The caller holds the lock.
func (c *Controller) recordCacheSynced(at time.Time) {
	c.state.jobs.SetSyncedAt(at)
	c.membership.CancellationsKnownAsOf(at)
}
