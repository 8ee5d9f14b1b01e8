package controller

import (
	"context"
	"errors"
	"strings"
	"time"

	"junipershelf/internal/ctxtime"
	"junipershelf/internal/httpcall"
	"junipershelf/internal/limits"
	"junipershelf/job"
	"junipershelf/membership"
	"junipershelf/protocol"
	"junipershelf/statestore"
)

const (
	// jobWatchTimeout is how long a watch waits for changes. While there are none, the job cache is known
	// to be current as of the last watch but one, and the start lease depends on that time.
	jobWatchTimeout    = 750 * time.Millisecond
	jobListRetryDelay  = 300 * time.Millisecond
	jobWatchRetryDelay = 250 * time.Millisecond
	// jobWatchBatchDelay is the delay between watches. It batches changes, because one reply with many
	// changes costs less than many replies.
	jobWatchBatchDelay = 150 * time.Millisecond
)

// jobWatcher keeps the job cache in nodeState up to date from the key-value store: it lists the live
// jobs once, then watches for changes from the revision of the list. It also reports to the
// membership the time as of which all cancellations are known, on which the ownership lease depends.
//
// It acquires nodeState.mu for each change of the cache.
type jobWatcher struct {
	state       *nodeState
	store       *statestore.Client
	membership  *membership.Membership
	failures    *failureLogger
	limitCounts *limitCounter
}

// run keeps the cache up to date until the context is cancelled.
func (w *jobWatcher) run(ctx context.Context) {
	for ctx.Err() == nil {
		revision, err := w.list(ctx)
		if err != nil {
			ctxtime.Sleep(ctx, jobListRetryDelay)
			continue
		}
		w.watchFrom(ctx, revision)
	}
}

// watchFrom applies all changes after a revision, until the key-value store has compacted them or the
// context is cancelled. A store that was never written to has no revision to watch from, so it is
// listed again after each watch.
func (w *jobWatcher) watchFrom(ctx context.Context, revision uint64) {
	for ctx.Err() == nil {
		sent := time.Now()
		reply, err := w.store.Watch(ctx, job.Key(""), revision, jobWatchTimeout)
		if err != nil {
			if errors.Is(err, httpcall.ErrReplyTooLong) {
				w.limitCounts.record(limits.Replies)
			}
			ctxtime.Sleep(ctx, jobWatchRetryDelay)
			if revision == 0 || errors.Is(err, statestore.ErrRevisionCompacted) {
				return
			}
			continue
		}
		w.applyEvents(reply.Events, sent)
		revision = max(revision, reply.StoreRevision)
		ctxtime.Sleep(ctx, jobWatchBatchDelay)
		if revision == 0 {
			return
		}
	}
}

// applyEvents applies the events that a watch has returned. The watch was sent at the time sent.
func (w *jobWatcher) applyEvents(events []protocol.Event, sent time.Time) {
	w.state.mu.Lock()
	defer w.state.mu.Unlock()
	now := time.Now()
	for _, e := range events {
		if uid, ok := strings.CutPrefix(e.PutKey, job.Key("")); ok {
			w.applyRecord(uid, e.Data, e.Revision, now)
		} else if uid, ok := strings.CutPrefix(e.DeleteKey, job.Key("")); ok && uid != "" {
			w.state.jobs.Remove(uid, now)
		}
	}
	w.recordSynced(sent)
}

// list reads all live jobs into the cache and returns the revision of the list.
func (w *jobWatcher) list(ctx context.Context) (revision uint64, err error) {
	sent := time.Now()
	entries, revision, err := w.store.List(ctx, statestore.PriorityMembership, job.Key(""))
	if err != nil {
		return 0, err
	}
	w.state.mu.Lock()
	defer w.state.mu.Unlock()
	now := time.Now()
	listed := make(map[string]bool, len(entries))
	for _, e := range entries {
		uid := strings.TrimPrefix(e.Key, job.Key(""))
		listed[uid] = true
		w.applyRecord(uid, e.Data, e.Revision, now)
	}
	for uid, cached := range w.state.jobs.Jobs {
		if !listed[uid] && cached.Revision <= revision {
			w.state.jobs.Remove(uid, now)
		}
	}
	w.recordSynced(sent)
	return revision, nil
}

// applyRecord updates a job in the cache from its record at a revision. A job whose record cannot be
// decoded is marked unreadable: its tasks are neither started nor stopped. The caller holds the lock.
func (w *jobWatcher) applyRecord(uid string, data []byte, revision uint64, now time.Time) {
	record, err := job.Decode(uid, data)
	if err == nil {
		err = w.state.jobs.Set(uid, record, revision, now)
	}
	if err != nil {
		w.state.jobs.SetUnreadable(uid, now)
		w.failures.logFailure("job record could not be decoded", err)
	}
}

// recordSynced records that the cache reflects the key-value store as of the given time. The caller
// holds the lock.
func (w *jobWatcher) recordSynced(at time.Time) {
	w.state.jobs.SetSyncedAt(at)
	w.membership.RecordCancellationsKnown(at)
}
