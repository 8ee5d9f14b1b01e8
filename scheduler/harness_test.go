package scheduler

import (
	"time"

	"junipershelf/job"
	"junipershelf/partition"
	"junipershelf/protocol"
)

// t0 is the start time of all tests.
var t0 = time.Unix(1_000_000, 0)

var testConfig = Config{MaxQueuedPerMachine: 1, PreCommitWindow: time.Hour, Aging: time.Hour, FailurePause: 2 * time.Second, MaxFailurePause: time.Minute, QuarantineAfter: 2, ValueBytes: 8192}

// capacityOf returns the capacity of a machine type, which is the same for all types.
func capacityOf(string) (job.Resources, bool) { return job.Resources{CPUs: 4, MemoryGB: 32}, true }

func teams() []Team {
	return []Team{
		{Name: "red", Guarantee: job.Resources{CPUs: 3}, Limit: job.Resources{CPUs: 5}},
		{Name: "blue", Guarantee: job.Resources{CPUs: 6}, Limit: job.Resources{CPUs: 12}},
	}
}

// jobCache returns a cache of live jobs, submitted at t0.
func jobCache(specs ...protocol.JobSpec) *job.Cache {
	cache := job.NewCache(map[string]int{"red": 0, "blue": 1})
	for _, spec := range specs {
		if spec.Priority == "" {
			spec.Priority = "normal"
		}
		spec.SpotAllowed = true
		if err := cache.Set(spec.UID, job.Record{Spec: spec, SubmittedMS: t0.UnixMilli()}, 1, t0); err != nil {
			panic(err)
		}
	}
	return cache
}

// machine returns a machine without tasks that may be assigned some.
func machine(id string) partition.MachineState {
	return partition.MachineState{ID: id, MachineType: "quad", Zone: "z", Free: job.Resources{CPUs: 4, MemoryGB: 32}, Usable: true, Reported: true}
}

// firstUpdate returns the first update of an owner, with version 1.
func firstUpdate(states ...partition.MachineState) partition.Update {
	return partition.Update{Sequence: 1, Version: 1, Machines: states}
}

// tasks returns task indices as ranges.
func tasks(indices ...int) (ranges job.Ranges) {
	for _, i := range indices {
		ranges.Add(i)
	}
	return ranges
}

// assignedTasks returns the tasks of an owner's unacknowledged assignments.
func assignedTasks(sched *Scheduler, owner int) (assigned []job.Task) {
	for _, a := range sched.UnacknowledgedAssignments(owner) {
		for i := range a.Tasks.All() {
			assigned = append(assigned, job.Task{Job: a.Job, Index: i})
		}
	}
	return assigned
}
