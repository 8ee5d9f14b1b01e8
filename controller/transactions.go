package controller

import (
	"context"
	"errors"
	"time"

	"junipershelf/membership"
	"junipershelf/partition"
	"junipershelf/protocol"
	"junipershelf/statestore"
)

const (
	// storeRetryDelay is the pause before a transaction or a read is sent again.
	storeRetryDelay = 100 * time.Millisecond
	// maxRefusals is how often a transaction that was surely not carried out is sent as it
	// is; then one is made up anew, of what is wanted by then and as large as may pass.
	maxRefusals = 3
)

// viewGuarded returns an empty transaction that passes only while a view is the present one.
func viewGuarded(view membership.View) protocol.Transaction {
	return protocol.Transaction{Guards: []protocol.Guard{{Key: membership.ViewKey, Revision: view.Revision}}}
}

// commitRetries is the retry policy of one transaction that is sent until its outcome is known.
// The zero value is a transaction that was not sent yet.
type commitRetries struct {
	lastErr        error
	attempts       int
	outcomeUnknown bool // an attempt without a reply may have been carried out
}

// priority returns that of the next attempt. Only the first attempt is charged as a placement,
// since in an outage the others would run up a debt; but one that found no room in the rate
// limits waits like any other.
func (r *commitRetries) priority() statestore.Priority {
	if r.lastErr == nil || errors.Is(r.lastErr, statestore.ErrRateLimited) {
		return statestore.PriorityPlacement
	}
	return statestore.PriorityUser
}

// recordFailure records a failed attempt. It reports whether the transaction is to be given up:
// it was surely not carried out, and has waited for so long that there is more to commit.
func (r *commitRetries) recordFailure(err error) (giveUp bool) {
	r.lastErr = err
	r.attempts++
	r.outcomeUnknown = r.outcomeUnknown || !errors.Is(err, statestore.ErrRefused)
	return !r.outcomeUnknown && r.attempts >= maxRefusals
}

// readWhileOwner reads a key, again and again if that fails, for as long as this node acts for a
// partition. It reports false once it does not, or the context has ended.
func readWhileOwner(ctx context.Context, store *statestore.Client, state *nodeState, p *partition.Partition, key string) (protocol.Entry, bool) {
	for ctx.Err() == nil && state.ownsPartition(p) {
		entry, err := store.Get(ctx, statestore.PriorityPlacement, key)
		if err == nil {
			entry.Key = key
			return entry, true
		}
		sleep(ctx, storeRetryDelay)
	}
	return protocol.Entry{}, false
}
