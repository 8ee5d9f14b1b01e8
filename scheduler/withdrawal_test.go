package scheduler

import (
	"testing"
	"time"

	"junipershelf/job"
	"junipershelf/partition"
	"junipershelf/protocol"
)

// Guards against a task that waits on a full machine beside an idle one of another owner: owners move no tasks of
// jobs with zone constraints and of gangs, so the leader withdraws them.
func TestQueuedTaskIsWithdrawnForAPlaceElsewhere(t *testing.T) {
	for _, c := range []struct {
		name    string
		change  func(spec *protocol.JobSpec)
		queuedS float64
		idle    func(m *partition.MachineState)
		want    int
	}{
		{"in one zone", func(spec *protocol.JobSpec) { spec.SameZone = true }, 11, nil, 1},
		{"over several zones", func(spec *protocol.JobSpec) { spec.SpreadZones = true }, 11, nil, 1},
		{"a gang", func(spec *protocol.JobSpec) { spec.Shape = protocol.ShapeGang }, 11, nil, 1},
		{"an array, which its owner moves", func(*protocol.JobSpec) {}, 11, nil, 0},
		{"not before withdrawAfter", func(spec *protocol.JobSpec) { spec.SameZone = true }, 8, nil, 0},
		{"outside the zone of the job's other task", func(spec *protocol.JobSpec) { spec.SameZone = true }, 11, func(m *partition.MachineState) { m.Zone = "y" }, 0},
		{"too little free", func(spec *protocol.JobSpec) { spec.SameZone = true }, 11, func(m *partition.MachineState) { m.Free.CPUs = 1 }, 0},
		{"a queue there too", func(spec *protocol.JobSpec) { spec.SameZone = true }, 11, func(m *partition.MachineState) { m.Free.Accelerators = -1 }, 0},
		{"about to be returned", func(spec *protocol.JobSpec) { spec.SameZone = true }, 11, func(m *partition.MachineState) { m.Evicting = true }, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			spec := protocol.JobSpec{UID: "wk-1", Team: "blue", CPUs: 2, Tasks: 3, ExpectedS: 10}
			c.change(&spec)
			sched := New(testConfig, teams(), 2, capacityOf, jobCache(spec, protocol.JobSpec{UID: "wk-2", Team: "blue", CPUs: 4, Tasks: 1, ExpectedS: 100}))
			full, idle := machine("a"), machine("b")
			full.Free.CPUs = -4
			full.Held = []partition.HeldTasks{
				{Job: "wk-2", Team: "blue", Resources: job.Resources{CPUs: 2}, Tasks: tasks(0), Phase: partition.PhaseRunning},
				{Job: "wk-1", Team: "blue", Resources: job.Resources{CPUs: 2}, Tasks: tasks(0), Phase: partition.PhaseRunning},
				{Job: "wk-1", Team: "blue", Resources: job.Resources{CPUs: 2}, Tasks: tasks(1), Phase: partition.PhaseQueued, PhaseS: c.queuedS},
				{Job: "wk-1", Team: "blue", Resources: job.Resources{CPUs: 2}, Tasks: tasks(2), Phase: partition.PhaseQueued, PhaseS: c.queuedS},
			}
			idle.Free.CPUs = 3 // one place
			if c.idle != nil {
				c.idle(&idle)
			}
			sched.ApplyUpdate(0, firstUpdate(full), t0)
			sched.ApplyUpdate(1, firstUpdate(idle), t0)
			for range 2 { // a second cycle withdraws nothing more while the first task is dropped
				sched.RunCycle(t0.Add(time.Second))
			}
			if got := len(sched.Preemptions(0)); got != c.want {
				t.Errorf("%d tasks are withdrawn, want %d", got, c.want)
			}
		})
	}
}

// Guards against a task that is withdrawn again and again: the request to drop it ends once its owner has dropped
// it, also while the policy allows no preemption, and it then runs where it has a place.
func TestWithdrawnTaskIsAssignedOnceDropped(t *testing.T) {
	for _, preemptAfter := range []time.Duration{0, time.Minute} {
		cfg := testConfig
		cfg.PreemptAfter = preemptAfter
		spec := protocol.JobSpec{UID: "wk-1", Team: "blue", CPUs: 2, Tasks: 1, ExpectedS: 10, SameZone: true}
		sched := New(cfg, teams(), 2, capacityOf, jobCache(spec, protocol.JobSpec{UID: "wk-2", Team: "blue", CPUs: 4, Tasks: 1, ExpectedS: 100}))
		running := partition.HeldTasks{Job: "wk-2", Team: "blue", Resources: job.Resources{CPUs: 4}, Tasks: tasks(0), Phase: partition.PhaseRunning}
		queued := partition.HeldTasks{Job: "wk-1", Team: "blue", Resources: job.Resources{CPUs: 2}, Tasks: tasks(0), Phase: partition.PhaseQueued, PhaseS: 20}
		full := machine("a")
		full.Free.CPUs, full.Held = -2, []partition.HeldTasks{running, queued}
		sched.ApplyUpdate(0, firstUpdate(full), t0)
		sched.ApplyUpdate(1, firstUpdate(machine("b")), t0)
		sched.RunCycle(t0)
		if len(sched.Preemptions(0)) != 1 {
			t.Fatal("the task is not withdrawn")
		}
		full.Free.CPUs, full.Held = 0, []partition.HeldTasks{running}
		sched.ApplyUpdate(0, partition.Update{Sequence: 2, BaseVersion: 1, Version: 2, Machines: []partition.MachineState{full}}, t0)
		sched.RunCycle(t0.Add(time.Second))
		if got := assignedTasks(sched, 1); len(got) != 1 {
			t.Fatalf("assigned to the machine with a place: %v, want the task", got)
		}
		holder := machine("b")
		holder.Free.CPUs, holder.Held = 2, []partition.HeldTasks{queued}
		holder.Held[0].Phase = partition.PhaseStarting
		sched.ApplyUpdate(1, partition.Update{Sequence: 2, BaseVersion: 1, Version: 2, AckedAssignment: 1, Machines: []partition.MachineState{holder}}, t0)
		sched.RunCycle(t0.Add(2 * time.Second))
		if got := sched.Preemptions(1); len(got) != 0 {
			t.Errorf("PreemptAfter %v: %v is to be stopped where it has its place", preemptAfter, got)
		}
	}
}
