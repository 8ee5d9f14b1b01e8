package scheduler

import (
	"time"

	"junipershelf/job"
	"junipershelf/partition"
	"junipershelf/protocol"
)

var t0 = time.Unix(1_000_000, 0)

var testConfig = Config{MaxQueuedPerMachine: 1, PreCommitWindow: time.Hour, Aging: time.Hour, FailurePause: 2 * time.Second, MaxFailurePause: time.Minute, QuarantineAfter: 2, ValueBytes: 8192}

func capacityOf(string) (job.Resources, bool) { return job.Resources{CPUs: 4, MemoryGB: 32}, true }

func teams() []Team {
	return []Team{
		{Name: "red", Guarantee: job.Resources{CPUs: 3}, Limit: job.Resources{CPUs: 5}},
		{Name: "blue", Guarantee: job.Resources{CPUs: 6}, Limit: job.Resources{CPUs: 12}},
	}
}

func mirror(specs ...protocol.JobSpec) *job.Cache {
	m := job.NewCache(map[string]int{"red": 0, "blue": 1})
	for _, s := range specs {
		if s.Priority == "" {
			s.Priority = "normal"
		}
		s.SpotAllowed = true
		if err := m.Set(s.UID, job.Record{Spec: s, SubmittedMS: t0.UnixMilli()}, 1, t0); err != nil {
			panic(err)
		}
	}
	return m
}

func machine(id string) partition.MachineState {
	return partition.MachineState{ID: id, MachineType: "quad", Zone: "z", Free: job.Resources{CPUs: 4, MemoryGB: 32}, Usable: true, Reported: true}
}

// firstUpdate makes the first update of an owner.
func firstUpdate(n uint64, states ...partition.MachineState) partition.Update {
	return partition.Update{Sequence: n, Version: n, Machines: states}
}

func tasks(list ...int) (r job.Ranges) {
	for _, i := range list {
		r.Add(i)
	}
	return r
}

// assignedTasks gives an owner's assignments task by task.
func assignedTasks(d *Scheduler, o int) (out []job.Task) {
	for _, a := range d.Unacknowledged(o) {
		for i := range a.Tasks.All() {
			out = append(out, job.Task{Job: a.Job, Index: i})
		}
	}
	return out
}
