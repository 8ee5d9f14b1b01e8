package job

import (
	"fmt"

	"junipershelf/protocol"
)

// The statuses of a job in the API. The last two are terminal.
const (
	StatusPending   = "pending"
	StatusRunning   = "running"
	StatusDone      = "done"
	StatusCancelled = "cancelled"
)

const (
	liveKeyPrefix     = "jobs/"
	terminalKeyPrefix = "ended/"
)

// Key returns the key of a live job's record. When a job ends, one transaction replaces this record by
// the one at TerminalKey, and no transaction ever does the reverse. A reader that reads Key first and
// TerminalKey next therefore does not miss the job.
func Key(uid string) string { return liveKeyPrefix + uid }

// TerminalKey returns the key of a job's terminal state.
func TerminalKey(uid string) string { return terminalKeyPrefix + uid }

// Record is the record of a live job in the key-value store.
type Record struct {
	Spec        protocol.JobSpec `cbor:"spec"`
	SubmittedMS int64            `cbor:"at"`   // Unix time of the submission in milliseconds
	Done        string           `cbor:"done"` // completed tasks in the format of Ranges.String
}

// TerminalState is the record of an ended job in the key-value store.
type TerminalState struct {
	Status string `cbor:"status"`
	Done   int    `cbor:"done"` // number of completed tasks
}

// FieldError reports a record field with an invalid value.
type FieldError struct {
	Field string
	Value string
}

// Error returns the field and its value.
func (e *FieldError) Error() string {
	return fmt.Sprintf("record field %s has invalid value %q", e.Field, e.Value)
}

// Check returns a *FieldError if the record is of a job with another UID, or a *RangesError if its
// completed tasks are malformed.
func (r *Record) Check(uid string) error {
	if r.Spec.UID != uid {
		return &FieldError{Field: "uid", Value: r.Spec.UID}
	}
	_, err := ParseRanges(r.Done)
	return err
}

// Check returns a *FieldError if the status is not terminal.
func (s *TerminalState) Check() error {
	if s.Status != StatusDone && s.Status != StatusCancelled {
		return &FieldError{Field: "status", Value: s.Status}
	}
	return nil
}

// Decode decodes and checks a live job's record. Every error is a *protocol.DecodeError with the
// record's key as its source.
func Decode(uid string, data []byte) (Record, error) {
	var rec Record
	if err := protocol.DecodeRecord(Key(uid), data, &rec); err != nil {
		return rec, err
	}
	if err := rec.Check(uid); err != nil {
		return rec, &protocol.DecodeError{Source: Key(uid), Err: err}
	}
	return rec, nil
}

// DecodeTerminalState decodes and checks the record of an ended job. Every error is a
// *protocol.DecodeError with the record's key as its source.
func DecodeTerminalState(uid string, data []byte) (TerminalState, error) {
	var state TerminalState
	if err := protocol.DecodeRecord(TerminalKey(uid), data, &state); err != nil {
		return state, err
	}
	if err := state.Check(); err != nil {
		return state, &protocol.DecodeError{Source: TerminalKey(uid), Err: err}
	}
	return state, nil
}
