package controller_test

import (
	"maps"
	"strings"
	"testing"
	"time"
)

// runTimes sets how long the tasks of each job run; 5 s for others.
func (c *simulatedCluster) runTimes(byJob map[string]time.Duration) {
	byJob = maps.Clone(byJob) // the agents read it while the caller may add jobs
	c.cloud.WithLock(func() {
		c.cloud.RunFor = func(task string) time.Duration {
			uid, _, _ := strings.Cut(task, "/")
			if runTime, known := byJob[uid]; known {
				return runTime
			}
			return 5 * time.Second
		}
	})
}

// setCapacity sets how many more machines the cloud provides.
func (c *simulatedCluster) setCapacity(machines int) {
	c.cloud.WithLock(func() { c.cloud.Capacity["quad"] = machines })
}

// checkDone checks that jobs are done within a timeout, and the invariants.
func (c *simulatedCluster) checkDone(timeout time.Duration, uids ...string) {
	c.t.Helper()
	for _, uid := range uids {
		if status := c.awaitTerminal(uid, timeout); status != "done" {
			c.t.Errorf("%s: status %s, want done", uid, status)
		}
	}
	c.checkInvariants(nil)
}

// Guards against a task of an accepted job that never ran beside free pieces of several machines, each too
// small for it: no machine was requested.
func TestTaskThatFitsOnNoMachineGetsAMachine(t *testing.T) {
	runScenario(t, func(t *testing.T, cluster *simulatedCluster) {
		service := serviceBody("wk-1", "blue", 2)
		service["cpus"] = 3.0
		cluster.submit(service)
		time.Sleep(25 * time.Second)
		cluster.checkReplicas(t, "on two machines with a CPU free on each", map[string]int{"wk-1": 2})
		wide := jobBody("wk-2", "red", 1)
		wide["cpus"] = 2.0
		cluster.submit(wide)
		cluster.checkDone(90*time.Second, "wk-2")
	})
}

// Guards against a task of an accepted job that was pre-committed on a full machine and never ran: the replicas
// of a service, whose machine the cloud took back, overtook it there, and no machine was requested for it.
// The job's shape decides whether its owner may move it to another machine.
func TestTaskBehindMovedReplicasRuns(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(body map[string]any)
		during func(cluster *simulatedCluster) // what happens when the task is behind the replicas
	}{
		{"array", func(map[string]any) {}, nil},
		{"in-one-zone", func(body map[string]any) { body["together"] = true }, nil},
		{"over-zones", func(body map[string]any) { body["scatter"] = true }, nil},
		{"array-and-the-leader-changes", func(map[string]any) {}, func(cluster *simulatedCluster) {
			leader, _ := cluster.leader()
			cluster.crash(leader, 2*time.Second)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			runScenario(t, func(t *testing.T, cluster *simulatedCluster) {
				cluster.setCapacity(2)
				cluster.runTimes(map[string]time.Duration{"wk-2": 25 * time.Second})
				service := serviceBody("wk-1", "blue", 2)
				service["cpus"], service["borrowed"] = 2.0, true
				cluster.submit(service)
				time.Sleep(20 * time.Second)
				cluster.checkReplicas(t, "on a spot machine", map[string]int{"wk-1": 2})
				lost := cluster.machineOf(t, "wk-1")
				batch := jobBody("wk-2", "blue", 2)
				batch["cpus"], batch["borrowed"], batch["urgency"] = 2.0, false, "critical"
				cluster.submit(batch)
				cluster.awaitRunningTasks("on an on-demand machine", 4, 30*time.Second)
				behind := jobBody("wk-3", "red", 1)
				behind["cpus"] = 2.0
				c.change(behind)
				cluster.submit(behind)
				time.Sleep(2 * time.Second)
				cluster.cloud.Reclaim(lost)
				time.Sleep(12 * time.Second) // the replicas are queued on the only machine
				cluster.setCapacity(8)
				if c.during != nil {
					c.during(cluster)
				}
				cluster.checkDone(2*time.Minute, "wk-2", "wk-3")
			})
		})
	}
}

// Guards against tasks that queue for minutes behind tasks that run much longer than expected, while machines
// could be had: they counted as assigned.
func TestTasksBehindOverdueTasksGetMachines(t *testing.T) {
	runScenario(t, func(_ *testing.T, cluster *simulatedCluster) {
		cluster.setCapacity(5)
		cluster.runTimes(map[string]time.Duration{"wk-1": 10 * time.Minute})
		cluster.submit(jobBody("wk-1", "blue", 20)) // its team's limit, on full machines; expected for 5 s
		cluster.awaitRunningTasks("before the others", 20, 40*time.Second)
		cluster.submit(jobBody("wk-2", "red", 6))
		time.Sleep(5 * time.Second)
		cluster.setCapacity(8)
		cluster.checkDone(90*time.Second, "wk-2")
	})
}
