package controller

import (
	"testing"
	"time"
)

// A tracker that is full forgets workers that were redirected long ago to make room for others.
// A worker that finds no room is never taken for one that came back.
func TestRedirectTrackerLimit(t *testing.T) {
	refused, now := 0, time.Unix(1000, 0)
	tracker := newRedirectTracker(2, func() { refused++ })
	for _, step := range []struct {
		machine  string
		after    time.Duration // since the step before
		cameBack bool
		refused  int // so far
	}{
		{machine: "a"},
		{machine: "b"},
		{machine: "c", after: time.Second, refused: 1},
		{machine: "c", after: time.Second, refused: 2},
		{machine: "a", after: time.Second, cameBack: true, refused: 2},
		{machine: "c", after: 9 * time.Second, refused: 2},
		{machine: "c", after: time.Second, cameBack: true, refused: 2},
	} {
		now = now.Add(step.after)
		if cameBack := tracker.record(step.machine, now); cameBack != step.cameBack || refused != step.refused {
			t.Errorf("%+v: came back %v, refused %d times", step, cameBack, refused)
		}
	}
}
