package scheduler

import "junipershelf/job"

// quarantine holds the machines that fail tasks which other machines complete. A machine stays
// in it until it is gone.
type quarantine struct {
	cfg      *Config
	cluster  *clusterState
	machines map[string]bool
	failures map[string]map[job.Task]bool // by machine
}

func newQuarantine(cfg *Config, cluster *clusterState) *quarantine {
	return &quarantine{cfg: cfg, cluster: cluster, machines: map[string]bool{}, failures: map[string]map[job.Task]bool{}}
}

// recordFailure records that a task failed on a machine, and quarantines the machine once it
// has failed enough.
func (q *quarantine) recordFailure(machine string, task job.Task) {
	if q.failures[machine] == nil {
		q.failures[machine] = map[job.Task]bool{}
	}
	q.failures[machine][task] = true
	if q.countMachineFailures(machine) >= q.cfg.QuarantineAfter {
		q.machines[machine] = true
	}
}

// countMachineFailures counts the failures that are likely the machine's: of jobs that have not
// failed on other machines as well.
func (q *quarantine) countMachineFailures(machine string) int {
	count := 0
	for task := range q.failures[machine] {
		if entry := q.cluster.entries[task.Job]; entry != nil && !entry.failsEverywhere() {
			count++
		}
	}
	return count
}

// forget drops what is known of a machine that is gone.
func (q *quarantine) forget(machine string) {
	delete(q.failures, machine)
	delete(q.machines, machine)
}
