package controller

import (
	"testing"
	"time"
)

// A full tracker evicts agents that were redirected longer than returnWindow ago. An agent that was
// not recorded because the tracker was full is never reported as returned.
func TestRedirectTrackerLimit(t *testing.T) {
	refused, now := 0, time.Unix(1000, 0)
	tracker := newRedirectTracker(2, func() { refused++ })
	for _, step := range []struct {
		machine  string
		after    time.Duration // time since the previous step
		returned bool
		refused  int // total so far
	}{
		{machine: "a"},
		{machine: "b"},
		{machine: "c", after: time.Second, refused: 1},
		{machine: "c", after: time.Second, refused: 2},
		{machine: "a", after: time.Second, returned: true, refused: 2},
		{machine: "c", after: 9 * time.Second, refused: 2},
		{machine: "c", after: time.Second, returned: true, refused: 2},
	} {
		now = now.Add(step.after)
		if returned := tracker.record(step.machine, now); returned != step.returned || refused != step.refused {
			t.Errorf("%+v: got returned %v, refused %d times", step, returned, refused)
		}
	}
}
