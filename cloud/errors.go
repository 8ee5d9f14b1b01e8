package cloud

import (
	"errors"
	"fmt"

	"junipershelf/internal/httpcall"
)

// The outcomes that callers distinguish. Each error of the client wraps one of them, except when a request
// could not be encoded.
var (
	// ErrNoCapacity reports that no machine of the type is currently available in the zone.
	ErrNoCapacity = errors.New("no capacity for the machine type in the zone")
	// ErrRefused reports that the request was not executed.
	ErrRefused = errors.New("cloud request not executed")
	// ErrUnknown reports that the request may have been executed, or may still be.
	ErrUnknown = httpcall.ErrUnknown
)

// RequestError is a failed request to the cloud.
type RequestError struct {
	Operation Operation
	// Subject identifies the target of the request: the idempotency key of a scale-out, the number of
	// machines to terminate, or the machine after which a page of the list begins. It may be empty.
	Subject string
	Err     error
}

// Error returns the operation, its subject and the cause.
func (e *RequestError) Error() string {
	if e.Subject == "" {
		return fmt.Sprintf("%s: %v", e.Operation, e.Err)
	}
	return fmt.Sprintf("%s (%s): %v", e.Operation, e.Subject, e.Err)
}

// Unwrap returns the cause.
func (e *RequestError) Unwrap() error { return e.Err }

// Operation is one kind of request to the cloud.
type Operation string

// The operations.
const (
	OperationCatalogue Operation = "read the cloud's catalogue"
	OperationScaleOut  Operation = "scale out"
	OperationTerminate Operation = "terminate machines"
	OperationList      Operation = "list the cloud's machines"
)
