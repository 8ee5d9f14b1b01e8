package protocol

import "fmt"

// ErrorBody is the body of a response that reports a failure.
type ErrorBody struct {
	Error string `cbor:"error"`
}

// ValidationError reports a field of a body that is missing or holds what it may not. Its
// text goes to the caller, in the body of a 400.
type ValidationError struct {
	Field  string // in the wire's words, as the caller knows it
	Reason string
}

func (e *ValidationError) Error() string { return e.Field + ": " + e.Reason }

// DecodeError reports a record of the key-value store, or a message, that cannot be
// decoded. What it holds is then unknown: it is never taken as empty.
type DecodeError struct {
	Source string // the record's key, or what the message is
	Sender string // who sent the message; empty for a record
	Err    error  // why decoding failed
}

func (e *DecodeError) Error() string {
	if e.Sender == "" {
		return fmt.Sprintf("%s cannot be decoded: %v", e.Source, e.Err)
	}
	return fmt.Sprintf("%s of %s cannot be decoded: %v", e.Source, e.Sender, e.Err)
}

// Unwrap returns why decoding failed.
func (e *DecodeError) Unwrap() error { return e.Err }

// DecodeRecord decodes the value of a key of the key-value store into what out points to.
// Its error is a *DecodeError that names the key.
func DecodeRecord(key string, data []byte, out any) error {
	if err := Unmarshal(data, out); err != nil {
		return &DecodeError{Source: key, Err: err}
	}
	return nil
}
