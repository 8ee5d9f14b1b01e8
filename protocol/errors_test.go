package protocol_test

import (
	"errors"
	"testing"

	"junipershelf/protocol"
)

func TestDecodeErrorNamesTheSource(t *testing.T) {
	cause := errors.New("body is not a map")
	for _, c := range []struct {
		name string
		err  protocol.DecodeError
		want string
	}{
		{"record", protocol.DecodeError{Source: "jobs/wk-1", Err: cause}, "jobs/wk-1 cannot be decoded: body is not a map"},
		{"message", protocol.DecodeError{Source: "sync", Sender: "b", Err: cause}, "sync from b cannot be decoded: body is not a map"},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := c.err.Error(); got != c.want {
				t.Errorf("got %q, want %q", got, c.want)
			}
			if !errors.Is(&c.err, cause) {
				t.Error("the cause is not wrapped")
			}
		})
	}
}

func TestDecodeRecordNamesTheKey(t *testing.T) {
	var entry protocol.Entry
	err := protocol.DecodeRecord("jobs/wk-1", []byte{0x07}, &entry)
	var undecodable *protocol.DecodeError
	if !errors.As(err, &undecodable) || undecodable.Source != "jobs/wk-1" || undecodable.Sender != "" {
		t.Errorf("error %#v", err)
	}
	if err := protocol.DecodeRecord("jobs/wk-1", []byte{0xa1, 0x63, 'k', 'e', 'y', 0x61, 'x'}, &entry); err != nil || entry.Key != "x" {
		t.Errorf("entry %+v, error %v", entry, err)
	}
}
