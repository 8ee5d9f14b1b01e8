package controller

import (
	"testing"
	"time"

	"junipershelf/settings"
)

// A reply is held for a fraction of the heartbeat interval, within fixed bounds, because agents
// time out after 4 s.
func TestReplyHoldDependsOnHeartbeatInterval(t *testing.T) {
	for _, c := range []struct {
		intervalS float64
		want      time.Duration
	}{
		{1, minReplyHold},
		{3, 1200 * time.Millisecond},
		{30, maxReplyHold},
	} {
		if got := replyHold(settings.WorkerTimes{HeartbeatIntervalS: c.intervalS}); got != c.want {
			t.Errorf("heartbeat interval %v s: reply held for %v, want %v", c.intervalS, got, c.want)
		}
	}
}
