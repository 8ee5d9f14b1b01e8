package scheduler

import (
	"fmt"
	"testing"
	"time"

	"junipershelf/job"
	"junipershelf/partition"
	"junipershelf/protocol"
)

// BenchmarkCycle measures a cycle with 640 full machines, 400 jobs and thousands of waiting tasks,
// where 30 machines have changed since the previous cycle.
func BenchmarkCycle(b *testing.B) {
	var specs []protocol.JobSpec
	for i := range 400 {
		specs = append(specs, protocol.JobSpec{
			UID: fmt.Sprintf("wk-%06d", i), Class: "q", Team: []string{"red", "blue"}[i%2], CPUs: 1, MemGB: 1, Tasks: 100,
			ExpectedS: 40, DeadlineS: 160, Image: fmt.Sprintf("img-%d", i%24), ImageGB: 1,
		})
	}
	limits := []Team{{Name: "red", Guarantee: job.Resources{CPUs: 2000}, Limit: job.Resources{CPUs: 5000}}, {Name: "blue", Guarantee: job.Resources{CPUs: 2000}, Limit: job.Resources{CPUs: 5000}}}
	cfg := testConfig
	cfg.MaxQueuedPerMachine, cfg.PreCommitWindow, cfg.StarvationAfter = 3, 5*time.Second, 100*time.Second
	sched := New(cfg, limits, 1, func(string) (job.Resources, bool) { return job.Resources{CPUs: 8, MemoryGB: 64}, true }, jobCache(specs...))
	var states []partition.MachineState
	for i := range 640 {
		s := machine(fmt.Sprintf("i-%06d", i))
		s.Free = job.Resources{MemoryGB: 56}
		s.Held = []partition.HeldTasks{{Job: specs[i%400].UID, Team: specs[i%400].Team, Resources: job.Resources{CPUs: 1, MemoryGB: 1}, Tasks: tasks(0, 1, 2, 3, 4, 5, 6, 7), Phase: partition.PhaseRunning, PhaseS: float64(i % 40)}}
		states = append(states, s)
	}
	sched.ApplyUpdate(0, firstUpdate(states...), t0)
	b.ReportAllocs()
	n := uint64(1)
	for b.Loop() {
		n++
		update := partition.Update{Sequence: n, BaseVersion: n - 1, Version: n, AckedAssignment: sched.cluster.owners[0].assignmentSequence}
		for i := range 30 {
			update.Machines = append(update.Machines, states[(int(n)*30+i)%640])
		}
		sched.ApplyUpdate(0, update, t0)
		sched.RunCycle(t0)
	}
}
