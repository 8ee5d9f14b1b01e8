package job_test

import (
	"errors"
	"testing"

	"junipershelf/job"
	"junipershelf/protocol"
)

// encode returns a record in its stored format.
func encode(t *testing.T, v any) []byte {
	t.Helper()
	data, err := protocol.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func TestRecordsAreDecodedAndChecked(t *testing.T) {
	rec, err := job.Decode("wk-1", encode(t, record("wk-1", "red", "0-3")))
	if err != nil || rec.Spec.UID != "wk-1" || rec.Done != "0-3" {
		t.Errorf("got record %+v, error %v", rec, err)
	}
	state, err := job.DecodeTerminalState("wk-1", encode(t, job.TerminalState{Status: job.StatusDone, Done: 4}))
	if err != nil || state != (job.TerminalState{Status: job.StatusDone, Done: 4}) {
		t.Errorf("got terminal state %+v, error %v", state, err)
	}
}

// Records that cannot be decoded, and records with invalid values, give an error with the record's key.
func TestInvalidRecordsAreRejected(t *testing.T) {
	decodeLive := func(data []byte) error { _, err := job.Decode("wk-1", data); return err }
	decodeTerminal := func(data []byte) error { _, err := job.DecodeTerminalState("wk-1", data); return err }
	var field *job.FieldError
	var ranges *job.RangesError
	for _, test := range []struct {
		name   string
		decode func([]byte) error
		data   []byte
		key    string
		cause  any // target of errors.As; nil: any cause
	}{
		{"a live job that is not a CBOR map", decodeLive, []byte{0x01}, "jobs/wk-1", nil},
		{"another job's record", decodeLive, encode(t, record("wk-2", "red", "")), "jobs/wk-1", &field},
		{"malformed ranges", decodeLive, encode(t, record("wk-1", "red", "3-1")), "jobs/wk-1", &ranges},
		{"a terminal state that is not a CBOR map", decodeTerminal, []byte{0x01}, "ended/wk-1", nil},
		{"a status that is not terminal", decodeTerminal, encode(t, job.TerminalState{Status: job.StatusRunning}), "ended/wk-1", &field},
	} {
		t.Run(test.name, func(t *testing.T) {
			err := test.decode(test.data)
			var decodeErr *protocol.DecodeError
			if !errors.As(err, &decodeErr) || decodeErr.Source != test.key {
				t.Fatalf("got error %v, want a DecodeError of %s", err, test.key)
			}
			if test.cause != nil && !errors.As(err, test.cause) {
				t.Errorf("got error %v, want one with cause %T", err, test.cause)
			}
		})
	}
}
