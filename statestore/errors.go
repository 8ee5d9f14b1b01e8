package statestore

import (
	"errors"
	"fmt"

	"junipershelf/internal/httpcall"
)

// The outcomes that callers distinguish. Each error of a call wraps one of them or is a *ConflictError,
// unless the request could not be encoded.
var (
	// ErrRefused reports that the call was not executed: the store refused it, or no turn came before
	// the context's end.
	ErrRefused = errors.New("key-value store refused")
	// ErrRateLimited is an ErrRefused for want of room in the rate limits: the same call passes soon.
	ErrRateLimited = fmt.Errorf("%w: rate limited", ErrRefused)
	// ErrLeaseExpired reports that the lease has expired.
	ErrLeaseExpired = errors.New("lease expired")
	// ErrTooLarge reports that a value or a transaction is beyond the store's limits: the same one
	// never passes.
	ErrTooLarge = errors.New("beyond the key-value store's limits")
	// ErrRevisionCompacted reports that a watch cannot begin at its revision any more.
	ErrRevisionCompacted = errors.New("revision compacted")
	// ErrUnknown reports that the call may have been executed or may yet be.
	ErrUnknown = httpcall.ErrUnknown
)

// ConflictError reports a transaction of which guards did not hold; nothing was changed.
type ConflictError struct{ FailedGuards []string } // keys

// Error names the guards.
func (e *ConflictError) Error() string { return fmt.Sprintf("guards failed: %v", e.FailedGuards) }

// CallError is a call to the key-value store that failed.
type CallError struct {
	Operation Operation
	// Key is what the call was for: a key, a prefix, the first key of a transaction, the ID of a
	// lease. It is empty for a new lease.
	Key string
	Err error
}

// Error names the call and its failure.
func (e *CallError) Error() string {
	if e.Key == "" {
		return fmt.Sprintf("%s: %v", e.Operation, e.Err)
	}
	return fmt.Sprintf("%s %s: %v", e.Operation, e.Key, e.Err)
}

// Unwrap returns the failure.
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

// unexpectedStatus is the failure of a call whose reply has a status that its protocol does not know.
func unexpectedStatus(status int) error { return fmt.Errorf("%w: status %d", ErrUnknown, status) }
