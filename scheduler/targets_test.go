package scheduler

import (
	"testing"
	"time"

	"junipershelf/protocol"
)

// With several targets for a class the nearest one that can be met comes first, whatever its kind.
// If start targets came before deadlines and only two targets were tried, deadlines would be ignored.
func TestNearestReachableTargetComesFirst(t *testing.T) {
	cfg := testConfig
	cfg.Targets = map[string][]Target{"q": {{Start: true, Within: 100 * time.Second}, {Within: 350 * time.Second}, {Times: 1}, {Times: 1.5}}}
	sched := New(cfg, teams(), 1, capacityOf, jobCache(protocol.JobSpec{UID: "wk-1", Class: "q", Team: "red", CPUs: 1, Tasks: 1, ExpectedS: 20, DeadlineS: 60}))
	sched.ApplyUpdate(0, firstUpdate(machine("a")), t0)
	for _, c := range []struct{ at, want time.Duration }{{0, 60 * time.Second}, {50 * time.Second, 90 * time.Second}, {80 * time.Second, 120 * time.Second}, {150 * time.Second, 350 * time.Second}} {
		w := sched.WaitingJobs(t0.Add(c.at))
		if got := w[0].target.Sub(t0); len(w) != 1 || got != c.want {
			t.Errorf("after %v: target %v, want %v", c.at, got, c.want)
		}
	}
}
