package controller_test

import (
	"testing"
	"time"

	"junipershelf/protocol"
)

// checkInvariants checks that no invariant was violated, that each task of the jobs completed, and that
// no value was over the size limit. If the test has failed it prints the controllers' log.
func (c *simulatedCluster) checkInvariants(jobs map[string]int) {
	c.t.Helper()
	c.cloud.WithLock(func() {
		for _, violation := range c.cloud.Violations {
			c.t.Errorf("invariant violated: %s", violation)
		}
		for uid, n := range jobs {
			for i := range n {
				if c.cloud.Results[protocol.TaskName(uid, i)] == 0 {
					c.t.Errorf("job %s is reported as done, but task %d never completed", uid, i)
				}
			}
		}
	})
	if c.store.OversizedValues > 0 {
		c.t.Errorf("%d values over the size limit", c.store.OversizedValues)
	}
	if c.t.Failed() {
		c.t.Log(c.log.String())
	}
}

// checkNoStartsAfterCancellation checks that no start command was sent after a user had been told of the cancellation
// of its job. It is for scenarios that block no link of an agent: a start command that such a link holds
// may arrive later than that, although it was sent before.
func (c *simulatedCluster) checkNoStartsAfterCancellation() {
	c.t.Helper()
	c.cloud.WithLock(func() {
		if n := c.cloud.StartCommandsAfterCancel; n > 0 {
			c.t.Errorf("%d start commands were sent after users had been told that the job is cancelled", n)
		}
	})
}

// awaitAllDone waits until all jobs are done, each within the timeout, and checks the invariants.
func (c *simulatedCluster) awaitAllDone(jobs map[string]int, timeout time.Duration) {
	c.t.Helper()
	for uid := range jobs {
		if status := c.awaitTerminal(uid, timeout); status != "done" {
			c.t.Errorf("%s: status %s, want done", uid, status)
		}
	}
	c.checkInvariants(jobs)
}

// checkRunningTasks checks that at least a minimum of tasks run.
func (c *simulatedCluster) checkRunningTasks(when string, minimum int) {
	c.t.Helper()
	if n := c.cloud.RunningTasks(); n < minimum {
		c.t.Errorf("%s: %d tasks run, want at least %d", when, n, minimum)
	}
}

// checkCPUsInUse checks that active tasks use at least a minimum of CPUs; cpusPerTask is by job.
func (c *simulatedCluster) checkCPUsInUse(when string, cpusPerTask map[string]float64, minimum float64) {
	c.t.Helper()
	used := 0.0
	for uid, n := range cpusPerTask {
		used += n * float64(c.cloud.ActiveTasks(uid))
	}
	if used < minimum {
		c.t.Errorf("%s: tasks use %.0f CPUs, want at least %.0f", when, used, minimum)
	}
}

// awaitRunningTasks waits until at least a minimum of tasks run and returns how long that took.
func (c *simulatedCluster) awaitRunningTasks(when string, minimum int, timeout time.Duration) time.Duration {
	c.t.Helper()
	began := time.Now()
	for time.Since(began) < timeout {
		if c.cloud.RunningTasks() >= minimum {
			return time.Since(began)
		}
		time.Sleep(time.Second)
	}
	c.t.Errorf("%s: %d tasks run after %v, want at least %d", when, c.cloud.RunningTasks(), timeout, minimum)
	return timeout
}

// checkReplicas checks the number of active replicas of each job.
func (c *simulatedCluster) checkReplicas(t *testing.T, when string, want map[string]int) {
	t.Helper()
	for uid, n := range want {
		if active := c.cloud.ActiveTasks(uid); active != n {
			t.Errorf("%s: %d of %d replicas of %s are active", when, active, n, uid)
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

// checkLeader checks that a node is the leader.
func (c *simulatedCluster) checkLeader(node string) {
	c.t.Helper()
	if leader, _ := c.leader(); leader != node {
		c.t.Fatalf("%s is the leader, want %s", leader, node)
	}
}
