package partition

import (
	"testing"
	"time"

	"junipershelf/internal/limits"
	"junipershelf/job"
	"junipershelf/protocol"
)

// An update with more than maxDetailedTasks groups tasks by phase only, and still lists all of them.
func TestLargeUpdatesAreLessDetailed(t *testing.T) {
	for _, c := range []struct {
		tasks    int
		detailed bool
	}{{maxDetailedTasks, true}, {maxDetailedTasks + 1, false}} {
		p := New(testConfig, 5, 0, t0, quadCapacity, newJobCache(t, jobSpec("wk-1", c.tasks)))
		p.HandleHeartbeat(t0, heartbeat("a", 1, 1, 5))
		m := p.machines.get("a")
		for i := range c.tasks {
			m.placements = append(m.placements, &Placement{
				Task: job.Task{Job: "wk-1", Index: i}, Resources: job.Resources{CPUs: 1}, committed: true,
				start: startSent, status: protocol.TaskRunning, since: t0.Add(time.Duration(i%30) * time.Second),
			})
		}
		p.machines.markChanged(m)
		held := p.Update(at(60)).Machines[0].Held
		listed := 0
		for _, h := range held {
			listed += h.Tasks.Len()
		}
		if listed != c.tasks || (len(held) > 1) != c.detailed || (p.Limits[limits.UpdateDetail] == 0) != c.detailed {
			t.Errorf("%d tasks, want detailed %v: %d listed in %d groups, limit reached %d times", c.tasks, c.detailed, listed, len(held), p.Limits[limits.UpdateDetail])
		}
	}
}
