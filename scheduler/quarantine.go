package scheduler

import "junipershelf/job"

// quarantine holds the machines on which tasks keep failing that are expected to complete on other
// machines. A machine stays quarantined until it is removed.
type quarantine struct {
	cfg      *Config
	cluster  *clusterState
	machines map[string]bool
	failures map[string]map[job.Task]bool // failed tasks by machine
}

func newQuarantine(cfg *Config, cluster *clusterState) *quarantine {
	return &quarantine{cfg: cfg, cluster: cluster, machines: map[string]bool{}, failures: map[string]map[job.Task]bool{}}
}

// recordFailure records that a task failed on a machine, and quarantines the machine when it
// reaches QuarantineAfter failures.
func (q *quarantine) recordFailure(machine string, task job.Task) {
	if q.failures[machine] == nil {
		q.failures[machine] = map[job.Task]bool{}
	}
	q.failures[machine][task] = true
	if q.countMachineFailures(machine) >= q.cfg.QuarantineAfter {
		q.machines[machine] = true
	}
}

// countMachineFailures counts the failures that are likely caused by the machine: those of jobs
// that do not fail everywhere.
func (q *quarantine) countMachineFailures(machine string) int {
	count := 0
	for task := range q.failures[machine] {
		if entry := q.cluster.entries[task.Job]; entry != nil && !entry.failsEverywhere() {
			count++
		}
	}
	return count
}

// forget drops the state of a machine that was removed.
func (q *quarantine) forget(machine string) {
	delete(q.failures, machine)
	delete(q.machines, machine)
}
