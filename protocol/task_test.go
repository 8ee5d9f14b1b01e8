package protocol_test

import (
	"testing"

	"junipershelf/protocol"
)

func TestTaskNamesRoundTrip(t *testing.T) {
	for _, c := range []struct {
		name  string
		uid   string
		index int
	}{
		{"wk-1/0", "wk-1", 0},
		{"wk-000412/99999", "wk-000412", 99999},
	} {
		uid, index, err := protocol.ParseTaskName(c.name)
		if err != nil || uid != c.uid || index != c.index {
			t.Errorf("%s: job %q, index %d, error %v", c.name, uid, index, err)
		}
		if got := protocol.TaskName(c.uid, c.index); got != c.name {
			t.Errorf("job %q and index %d: name %q, want %q", c.uid, c.index, got, c.name)
		}
	}
}
