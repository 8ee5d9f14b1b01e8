package controller_test

import (
	"testing"
	"time"

	"junipershelf/protocol"
)

// checkInvariants checks that no invariant was violated, that each task of the jobs completed, and that
// no value was over the limit. After a failure it logs what the controllers logged.
func (c *simulatedCluster) checkInvariants(jobs map[string]int) {
	c.t.Helper()
	c.cloud.WithLock(func() {
		for _, f := range c.cloud.Violations {
			c.t.Errorf("invariant violated: %s", f)
		}
		for uid, n := range jobs {
			for i := range n {
				if c.cloud.Results[protocol.TaskName(uid, i)] == 0 {
					c.t.Errorf("%s is called done, but task %d never completed", uid, i)
				}
			}
		}
	})
	if c.store.OversizedValues > 0 {
		c.t.Errorf("%d values over the limit", c.store.OversizedValues)
	}
	if c.t.Failed() {
		c.t.Log(c.log.String())
	}
}

// awaitAllDone waits until all jobs are done, each within the limit, and checks the invariants.
func (c *simulatedCluster) awaitAllDone(jobs map[string]int, limit time.Duration) {
	c.t.Helper()
	for uid := range jobs {
		if s := c.awaitTerminal(uid, limit); s != "done" {
			c.t.Errorf("%s: %s", uid, s)
		}
	}
	c.checkInvariants(jobs)
}

// checkRunningTasks checks that at least a number of tasks run.
func (c *simulatedCluster) checkRunningTasks(when string, least int) {
	c.t.Helper()
	if n := c.cloud.RunningTasks(); n < least {
		c.t.Errorf("%s: %d tasks run, want %d", when, n, least)
	}
}

// checkCPUsInUse checks how many CPUs the tasks on machines use at least; cpus has those of a task, by job.
func (c *simulatedCluster) checkCPUsInUse(when string, cpus map[string]float64, least float64) {
	c.t.Helper()
	used := 0.0
	for uid, n := range cpus {
		used += n * float64(c.cloud.ActiveTasks(uid))
	}
	if used < least {
		c.t.Errorf("%s: tasks take %.0f CPUs, want %.0f", when, used, least)
	}
}

// awaitRunningTasks waits until a number of tasks run and returns how long that took.
func (c *simulatedCluster) awaitRunningTasks(when string, least int, limit time.Duration) time.Duration {
	c.t.Helper()
	began := time.Now()
	for time.Since(began) < limit {
		if c.cloud.RunningTasks() >= least {
			return time.Since(began)
		}
		time.Sleep(time.Second)
	}
	c.t.Errorf("%s: %d tasks run after %v, want %d", when, c.cloud.RunningTasks(), limit, least)
	return limit
}

// checkReplicas checks how many replicas of each job run.
func (c *simulatedCluster) checkReplicas(t *testing.T, when string, want map[string]int) {
	t.Helper()
	for uid, n := range want {
		if on := c.cloud.ActiveTasks(uid); on != n {
			t.Errorf("%s: %d of %d replicas of %s", when, on, n, uid)
		}
	}
}

// machineOf returns a machine that runs a task of a job.
func (c *simulatedCluster) machineOf(t *testing.T, uid string) string {
	t.Helper()
	id := c.cloud.MachineOf(uid)
	if id == "" {
		t.Fatalf("no machine runs %s", uid)
	}
	return id
}

// expectLeader checks that a node is the leader.
func (c *simulatedCluster) expectLeader(node string) {
	c.t.Helper()
	if leader, _ := c.leader(); leader != node {
		c.t.Fatalf("%s leads, not %s", leader, node)
	}
}
