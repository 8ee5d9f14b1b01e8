package controller

import (
	"context"
	"errors"
	"time"

	"junipershelf/internal/ctxtime"
	"junipershelf/protocol"
	"junipershelf/statestore"
)

const (
	// userCallTimeout is the maximum time for which a user's call is retried while it exceeds the
	// key-value store's rate limits. Calls that are still rate limited then, and all calls during an
	// outage, are refused.
	userCallTimeout = 300 * time.Millisecond
	// userRetryDelay is the delay before a user's rate-limited call is retried. It can be short: once
	// the client knows that the store grants a lower rate, it refuses calls beyond that rate without
	// sending them.
	userRetryDelay = 50 * time.Millisecond
)

// userStoreClient calls the key-value store on behalf of users: with user priority, and with retries
// for up to userCallTimeout while the rate limits are used up.
type userStoreClient struct {
	client *statestore.Client
}

// get reads a key. An entry with revision 0 means that the key does not exist.
func (c userStoreClient) get(ctx context.Context, key string) (protocol.Entry, error) {
	var entry protocol.Entry
	err := retryRateLimited(ctx, func(ctx context.Context) (err error) {
		entry, err = c.client.Get(ctx, statestore.PriorityUser, key)
		return err
	})
	return entry, err
}

// commit runs a transaction and returns the store's revision after it. It returns a
// *statestore.ConflictError if a guard failed.
func (c userStoreClient) commit(ctx context.Context, transaction protocol.Transaction) (uint64, error) {
	var revision uint64
	err := retryRateLimited(ctx, func(ctx context.Context) (err error) {
		revision, err = c.client.Commit(ctx, statestore.PriorityUser, transaction)
		return err
	})
	return revision, err
}

// retryRateLimited retries a rate-limited call for up to userCallTimeout.
func retryRateLimited(ctx context.Context, call func(context.Context) error) error {
	for deadline := time.Now().Add(userCallTimeout); ; {
		err := call(ctx)
		if !errors.Is(err, statestore.ErrRateLimited) || time.Now().After(deadline) || !ctxtime.Sleep(ctx, userRetryDelay) {
			return err
		}
	}
}

// isConflict reports whether a transaction failed because a guard did not hold.
func isConflict(err error) bool {
	_, ok := errors.AsType[*statestore.ConflictError](err)
	return ok
}
