package scheduler

import (
	"fmt"
	"testing"
	"time"

	"junipershelf/internal/benchsizes"
	"junipershelf/job"
	"junipershelf/partition"
	"junipershelf/protocol"
)

const (
	slotsPerMachine = benchsizes.SlotsPerMachine
	ownerCount      = benchsizes.Owners
	// machinesPerJob is the number of machines per live job in the deployment with the most jobs per
	// machine.
	machinesPerJob = 3
)

// largeCluster is a scheduler for a large number of machines, with jobs for them.
type largeCluster struct {
	scheduler *Scheduler
	specs     []protocol.JobSpec
	sequences [ownerCount]uint64
}

// newLargeCluster returns a scheduler that has no machines yet, and jobs with more tasks than the
// machines can run.
func newLargeCluster(machines int) *largeCluster {
	c := &largeCluster{}
	for i := range machines / machinesPerJob {
		c.specs = append(c.specs, protocol.JobSpec{
			UID: fmt.Sprintf("wk-%06d", i), Class: "q", Team: []string{"red", "blue"}[i%2], CPUs: 1, MemGB: 1,
			Tasks: 100, ExpectedS: 40, DeadlineS: 160, Image: fmt.Sprintf("img-%d", i%24), ImageGB: 1,
		})
	}
	cpus := float64(machines * slotsPerMachine)
	limits := []Team{
		{Name: "red", Guarantee: job.Resources{CPUs: cpus / 3}, Limit: job.Resources{CPUs: cpus}},
		{Name: "blue", Guarantee: job.Resources{CPUs: cpus / 3}, Limit: job.Resources{CPUs: cpus}},
	}
	cfg := testConfig
	cfg.MaxQueuedPerMachine, cfg.PreCommitWindow, cfg.StarvationAfter = 3, 5*time.Second, 100*time.Second
	c.scheduler = New(cfg, limits, ownerCount, func(string) (job.Resources, bool) { return job.Resources{CPUs: slotsPerMachine, MemoryGB: 64}, true }, jobCache(c.specs...))
	return c
}

// emptyMachine returns a machine without tasks.
func (c *largeCluster) emptyMachine(i int) partition.MachineState {
	s := machine(fmt.Sprintf("i-%06d", i))
	s.Free = job.Resources{CPUs: slotsPerMachine, MemoryGB: 64}
	return s
}

// fullMachine returns a machine whose slots all have running tasks.
func (c *largeCluster) fullMachine(i int) partition.MachineState {
	s := c.emptyMachine(i)
	s.Free = job.Resources{MemoryGB: 56}
	spec := c.specs[i%len(c.specs)]
	first := i / len(c.specs) * slotsPerMachine
	var running job.Ranges
	for k := range slotsPerMachine {
		running.Add(first + k)
	}
	s.Held = []partition.HeldTasks{{
		Job: spec.UID, Team: spec.Team, Resources: job.Resources{CPUs: 1, MemoryGB: 1}, Tasks: running,
		Phase: partition.PhaseRunning, PhaseS: float64(i % 40),
	}}
	return s
}

// report sends an owner's update with machines, which acknowledges all its assignments.
func (c *largeCluster) report(owner int, states []partition.MachineState, removed []string) {
	c.sequences[owner]++
	n := c.sequences[owner]
	c.scheduler.ApplyUpdate(owner, partition.Update{
		Sequence: n, BaseVersion: n - 1, Version: n, Machines: states, Removed: removed,
		AckedAssignment: c.scheduler.cluster.owners[owner].assignmentSequence,
	}, t0)
}

// reportAll sends updates of all owners with all their machines.
func (c *largeCluster) reportAll(machines int, stateOf func(i int) partition.MachineState) {
	states := make([][]partition.MachineState, ownerCount)
	for i := range machines {
		states[i%ownerCount] = append(states[i%ownerCount], stateOf(i))
	}
	for owner := range states {
		c.report(owner, states[owner], nil)
	}
}

// BenchmarkSteadyCycle measures a cycle with full machines, one twelfth of which has changed, as in
// the 400 ms between two updates of an owner, and with ten waiting tasks per machine.
func BenchmarkSteadyCycle(b *testing.B) {
	benchsizes.Run(b, func(b *testing.B, machines int) {
		c := newLargeCluster(machines)
		c.reportAll(machines, c.fullMachine)
		b.ReportAllocs()
		cycle := 0
		for b.Loop() {
			for owner := range ownerCount {
				var states []partition.MachineState
				for i := owner; i < machines; i += ownerCount {
					if (i/ownerCount)%12 == cycle%12 {
						states = append(states, c.fullMachine(i))
					}
				}
				c.report(owner, states, nil)
			}
			c.scheduler.RunCycle(t0)
			cycle++
		}
	})
}

// BenchmarkFirstCycle measures the cycle that fills empty machines, and the owners' next updates.
func BenchmarkFirstCycle(b *testing.B) {
	benchsizes.Run(b, func(b *testing.B, machines int) {
		b.ReportAllocs()
		for b.Loop() {
			b.StopTimer()
			c := newLargeCluster(machines)
			c.reportAll(machines, c.emptyMachine)
			b.StartTimer()
			c.scheduler.RunCycle(t0)
			c.reportAll(machines, c.fullMachine)
		}
	})
}

// BenchmarkThirdOfMachinesLost measures the removal and the return of a third of the machines, and
// the next cycle.
func BenchmarkThirdOfMachinesLost(b *testing.B) {
	benchsizes.Run(b, func(b *testing.B, machines int) {
		c := newLargeCluster(machines)
		c.reportAll(machines, c.fullMachine)
		b.ReportAllocs()
		for b.Loop() {
			for owner := range ownerCount {
				var lost []string
				var back []partition.MachineState
				for i := owner; i < machines; i += 3 * ownerCount {
					lost = append(lost, fmt.Sprintf("i-%06d", i))
					back = append(back, c.fullMachine(i))
				}
				c.report(owner, nil, lost)
				c.report(owner, back, nil)
			}
			c.scheduler.RunCycle(t0)
		}
	})
}

// BenchmarkLargestJob measures a cycle for a job of the maximum size whose completed tasks have
// gaps between them.
func BenchmarkLargestJob(b *testing.B) {
	spec := protocol.JobSpec{UID: "wk-1", Class: "q", Team: "red", CPUs: 1, MemGB: 1, Tasks: protocol.MaxTasks, ExpectedS: 40}
	cache := jobCache(spec)
	limits := []Team{{Name: "red", Guarantee: job.Resources{CPUs: 48000}, Limit: job.Resources{CPUs: 48000}}}
	sched := New(testConfig, limits, 1, capacityOf, cache)
	done := func(from int) (out []partition.CompletedTask) {
		for i := range 300 {
			out = append(out, partition.CompletedTask{Task: job.Task{Job: "wk-1", Index: (2 * (from + i)) % spec.Tasks}})
		}
		return out
	}
	n := uint64(0)
	for range 50 { // 15,000 tasks have completed, with a gap after each
		n++
		sched.ApplyUpdate(0, partition.Update{Sequence: n, BaseVersion: n - 1, Version: n, Completed: done(int(n) * 300)}, t0)
	}
	b.ReportAllocs()
	for b.Loop() {
		n++
		sched.ApplyUpdate(0, partition.Update{Sequence: n, BaseVersion: n - 1, Version: n, Completed: done(int(n) * 300 % 15000)}, t0)
		sched.RunCycle(t0)
	}
}
