package controller

import (
	"context"
	"errors"
	"time"

	"junipershelf/protocol"
	"junipershelf/statestore"
)

const (
	// userCallTimeout is how long a user's call may wait for room in the key-value store's rate
	// limits. What finds none within it, and all calls during an outage, are refused.
	userCallTimeout = 300 * time.Millisecond
	// userRetryPause is the pause before such a call is repeated. Once the store is known to grant
	// less, what is beyond that is refused by the client and not sent.
	userRetryPause = 50 * time.Millisecond
)

// userStoreClient calls the key-value store on behalf of users: at their priority, and with
// retries for a short time while the store's rate limits are used up.
type userStoreClient struct {
	client *statestore.Client
}

// get reads a key. An entry of revision 0 says that there is none.
func (c userStoreClient) get(ctx context.Context, key string) (protocol.Entry, error) {
	var entry protocol.Entry
	err := retryRateLimited(ctx, func(ctx context.Context) (err error) {
		entry, err = c.client.Get(ctx, statestore.PriorityUser, key)
		return err
	})
	return entry, err
}

// commit runs a transaction and returns the store's revision after it. The error is a
// *statestore.ConflictError if a guard failed.
func (c userStoreClient) commit(ctx context.Context, transaction protocol.Transaction) (uint64, error) {
	var revision uint64
	err := retryRateLimited(ctx, func(ctx context.Context) (err error) {
		revision, err = c.client.Commit(ctx, statestore.PriorityUser, transaction)
		return err
	})
	return revision, err
}

// retryRateLimited repeats a call that found no room in the rate limits, until userCallTimeout.
func retryRateLimited(ctx context.Context, call func(context.Context) error) error {
	for end := time.Now().Add(userCallTimeout); ; {
		err := call(ctx)
		if !errors.Is(err, statestore.ErrRateLimited) || time.Now().After(end) || !sleep(ctx, userRetryPause) {
			return err
		}
	}
}

// isConflict reports whether a transaction failed since a guard did not hold.
func isConflict(err error) bool {
	_, ok := errors.AsType[*statestore.ConflictError](err)
	return ok
}
