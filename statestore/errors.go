package statestore

import (
	"errors"
	"fmt"

	"junipershelf/internal/httpcall"
)

// The outcomes that callers distinguish. Each error of a call wraps one of them or is a *ConflictError,
// except when the request could not be encoded.
var (
	// ErrRefused reports that the call was not executed: the store refused it, or the client's own rate
	// limits did not admit it before its context ended.
	ErrRefused = errors.New("key-value store call not executed")
	// ErrRateLimited is an ErrRefused caused by a rate limit: the same call can succeed a little later.
	ErrRateLimited = fmt.Errorf("%w: rate limited", ErrRefused)
	// ErrLeaseExpired reports that the lease has expired.
	ErrLeaseExpired = errors.New("lease expired")
	// ErrTooLarge reports that a value or a transaction exceeds the store's limits: retrying it cannot
	// succeed.
	ErrTooLarge = errors.New("value or transaction exceeds the key-value store's limits")
	// ErrRevisionCompacted reports that a watch can no longer start at the requested revision.
	ErrRevisionCompacted = errors.New("revision compacted")
	// ErrUnknown reports that the call may have been executed, or may still be.
	ErrUnknown = httpcall.ErrUnknown
)

// ConflictError reports a transaction that changed nothing because some of its guards did not hold.
type ConflictError struct{ FailedGuards []string } // keys of the guards

// Error lists the keys of the failed guards.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("transaction guards failed for keys %v", e.FailedGuards)
}

// CallError is a failed call to the key-value store.
type CallError struct {
	Operation Operation
	// Key identifies the target of the call: a key, a prefix, the first key of a transaction, or a
	// lease ID. It is empty when a lease is granted.
	Key string
	Err error
}

// Error returns the operation, its key and the cause.
func (e *CallError) Error() string {
	if e.Key == "" {
		return fmt.Sprintf("%s: %v", e.Operation, e.Err)
	}
	return fmt.Sprintf("%s %s: %v", e.Operation, e.Key, e.Err)
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }

// Operation is one kind of call to the key-value store.
type Operation string

// The operations.
const (
	OperationGet        Operation = "get"
	OperationList       Operation = "list"
	OperationCommit     Operation = "commit"
	OperationWatch      Operation = "watch"
	OperationGrantLease Operation = "grant lease"
	OperationRenewLease Operation = "renew lease"
)

// unexpectedStatus returns the error for a reply with a status that the API does not define for the call.
func unexpectedStatus(status int) error { return fmt.Errorf("%w: status %d", ErrUnknown, status) }
