package job_test

import (
	"errors"
	"testing"

	"junipershelf/job"
	"junipershelf/protocol"
)

// encode returns a record's bytes.
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
		t.Errorf("%+v, %v", rec, err)
	}
	state, err := job.DecodeTerminalState("wk-1", encode(t, job.TerminalState{Status: job.StatusDone, Done: 4}))
	if err != nil || state != (job.TerminalState{Status: job.StatusDone, Done: 4}) {
		t.Errorf("%+v, %v", state, err)
	}
}

// What decodes to what is never written is an error that names the key, as is what cannot be
// decoded.
func TestRecordsThatAreNeverWrittenAreRefused(t *testing.T) {
	decodeLive := func(data []byte) error { _, err := job.Decode("wk-1", data); return err }
	decodeTerminal := func(data []byte) error { _, err := job.DecodeTerminalState("wk-1", data); return err }
	var field *job.FieldError
	var ranges *job.RangesError
	for _, test := range []struct {
		name   string
		decode func([]byte) error
		data   []byte
		key    string
		cause  any // what errors.As finds; nil: any cause
	}{
		{"a live job that is no CBOR map", decodeLive, []byte{0x01}, "jobs/wk-1", nil},
		{"another job's record", decodeLive, encode(t, record("wk-2", "red", "")), "jobs/wk-1", &field},
		{"malformed ranges", decodeLive, encode(t, record("wk-1", "red", "3-1")), "jobs/wk-1", &ranges},
		{"a terminal state that is no CBOR map", decodeTerminal, []byte{0x01}, "ended/wk-1", nil},
		{"a status that is not terminal", decodeTerminal, encode(t, job.TerminalState{Status: job.StatusRunning}), "ended/wk-1", &field},
	} {
		t.Run(test.name, func(t *testing.T) {
			err := test.decode(test.data)
			var undecodable *protocol.DecodeError
			if !errors.As(err, &undecodable) || undecodable.Source != test.key {
				t.Fatalf("%v does not name %s", err, test.key)
			}
			if test.cause != nil && !errors.As(err, test.cause) {
				t.Errorf("the cause is %v", err)
			}
		})
	}
}
