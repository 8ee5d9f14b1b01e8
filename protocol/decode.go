package protocol

import "fmt"

// DecodeError says that a record of the state service, or a message, cannot be read. What
// it holds is then unknown: it is never taken as empty.
type DecodeError struct {
	Source string // the record's key, or what the message is
	Sender string // who sent the message; empty for a record
	Err    error
}

func (e *DecodeError) Error() string {
	if e.Sender == "" {
		return fmt.Sprintf("%s cannot be decoded: %v", e.Source, e.Err)
	}
	return fmt.Sprintf("%s of %s cannot be decoded: %v", e.Source, e.Sender, e.Err)
}

func (e *DecodeError) Unwrap() error { return e.Err }

// DecodeRecord decodes the value of a key of the state service.
func DecodeRecord(key string, data []byte, out any) error {
	if err := Unmarshal(data, out); err != nil {
		return &DecodeError{Source: key, Err: err}
	}
	return nil
}
