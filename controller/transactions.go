package controller

import (
	"context"
	"errors"
	"time"

	"junipershelf/internal/ctxtime"
	"junipershelf/membership"
	"junipershelf/partition"
	"junipershelf/protocol"
	"junipershelf/statestore"
)

const (
	// storeRetryDelay is the delay before a transaction or a read is retried.
	storeRetryDelay = 100 * time.Millisecond
	// maxRefusals is the number of refused attempts after which a transaction that was certainly not
	// applied is given up. A new one is then built from the changes pending by that time, with a size
	// that fits the current rate limits.
	maxRefusals = 3
)

// viewGuarded returns an empty transaction that is guarded by a view: it fails once a later view
// exists.
func viewGuarded(view membership.View) protocol.Transaction {
	return protocol.Transaction{Guards: []protocol.Guard{{Key: membership.ViewKey, Revision: view.Revision}}}
}

// commitRetries is the retry state of one transaction that is sent until its outcome is known. The
// zero value is for a transaction that has not been sent yet.
type commitRetries struct {
	lastErr        error
	attempts       int
	outcomeUnknown bool // an attempt without a reply may have been applied
}

// priority returns the priority of the next attempt. Only the first attempt, and attempts after the
// rate limit was exceeded, have the priority of a placement: during an outage the other retries would
// overdraw the rate limit.
func (r *commitRetries) priority() statestore.Priority {
	if r.lastErr == nil || errors.Is(r.lastErr, statestore.ErrRateLimited) {
		return statestore.PriorityPlacement
	}
	return statestore.PriorityUser
}

// recordFailure records a failed attempt. It reports whether to give up the transaction: it was
// certainly not applied in any of maxRefusals attempts, and there are likely more changes to commit
// by now.
func (r *commitRetries) recordFailure(err error) (giveUp bool) {
	r.lastErr = err
	r.attempts++
	r.outcomeUnknown = r.outcomeUnknown || !errors.Is(err, statestore.ErrRefused)
	return !r.outcomeUnknown && r.attempts >= maxRefusals
}

// readWhileOwner reads a key, and retries until it succeeds. It reports false if the partition is no
// longer current or the context is cancelled.
func readWhileOwner(ctx context.Context, store *statestore.Client, state *nodeState, p *partition.Partition, key string) (protocol.Entry, bool) {
	for ctx.Err() == nil && state.ownsPartition(p) {
		entry, err := store.Get(ctx, statestore.PriorityPlacement, key)
		if err == nil {
			entry.Key = key
			return entry, true
		}
		ctxtime.Sleep(ctx, storeRetryDelay)
	}
	return protocol.Entry{}, false
}
