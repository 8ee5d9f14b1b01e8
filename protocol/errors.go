package protocol

import "fmt"

// ErrorBody is the body of an error response.
type ErrorBody struct {
	Error string `cbor:"error"`
}

// ValidationError reports a field of a body that is missing or invalid. Its text is returned
// to the client in the body of a 400.
type ValidationError struct {
	Field  string // its name on the wire
	Reason string
}

func (e *ValidationError) Error() string { return e.Field + ": " + e.Reason }

// DecodeError reports a record of the key-value store, or a message, that cannot be
// decoded. Its content is unknown and must never be treated as empty.
type DecodeError struct {
	Source string // key of the record, or kind of the message
	Sender string // sender of the message; empty for a record
	Err    error  // why decoding failed
}

func (e *DecodeError) Error() string {
	if e.Sender == "" {
		return fmt.Sprintf("%s cannot be decoded: %v", e.Source, e.Err)
	}
	return fmt.Sprintf("%s from %s cannot be decoded: %v", e.Source, e.Sender, e.Err)
}

// Unwrap returns why decoding failed.
func (e *DecodeError) Unwrap() error { return e.Err }

// DecodeRecord decodes the value of a key of the key-value store into what out points to.
// The error is a *DecodeError with the key.
func DecodeRecord(key string, data []byte, out any) error {
	if err := Unmarshal(data, out); err != nil {
		return &DecodeError{Source: key, Err: err}
	}
	return nil
}
