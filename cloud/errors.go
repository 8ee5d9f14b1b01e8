package cloud

import (
	"errors"
	"fmt"

	"junipershelf/internal/httpcall"
)

// The outcomes that callers distinguish. The client's errors wrap one of them, unless a request could
// not be encoded.
var (
	// ErrNoCapacity reports that no machine of the type can be had in the zone now.
	ErrNoCapacity = errors.New("no capacity")
	// ErrRefused reports that the request was not executed.
	ErrRefused = errors.New("cloud refused")
	// ErrUnknown reports that the request may have been executed or may yet be.
	ErrUnknown = httpcall.ErrUnknown
)

// RequestError is a request to the cloud that failed.
type RequestError struct {
	Operation Operation
	// Subject is what the request was for: the idempotency key of a scale-out, how many machines to
	// terminate, the machine after which a page of the list begins. It may be empty.
	Subject string
	Err     error
}

// Error names the request and its failure.
func (e *RequestError) Error() string {
	if e.Subject == "" {
		return fmt.Sprintf("%s: %v", e.Operation, e.Err)
	}
	return fmt.Sprintf("%s (%s): %v", e.Operation, e.Subject, e.Err)
}

// Unwrap returns the failure.
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
