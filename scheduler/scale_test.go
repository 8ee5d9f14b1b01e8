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
	ownersOfFleet   = benchsizes.Owners
	// machinesPerJob is the density of live jobs in the densest deployment.
	machinesPerJob = 3
)

// largeFleet is a leader's ledger of so many machines, and the jobs to go with it.
type largeFleet struct {
	scheduler *Scheduler
	specs     []protocol.JobSpec
	sequences [ownersOfFleet]uint64
}

// newLargeFleet makes a ledger without machines: jobs wait for more than the fleet can run.
func newLargeFleet(machines int) *largeFleet {
	f := &largeFleet{}
	for i := range machines / machinesPerJob {
		f.specs = append(f.specs, protocol.JobSpec{
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
	f.scheduler = New(cfg, limits, ownersOfFleet, func(string) (job.Resources, bool) { return job.Resources{CPUs: slotsPerMachine, MemoryGB: 64}, true }, mirror(f.specs...))
	return f
}

// state is a machine that is empty, or full of running tasks.
func (f *largeFleet) state(i int, full bool) partition.MachineState {
	s := machine(fmt.Sprintf("i-%06d", i))
	s.Free = job.Resources{CPUs: slotsPerMachine, MemoryGB: 64}
	if !full {
		return s
	}
	s.Free = job.Resources{MemoryGB: 56}
	spec := f.specs[i%len(f.specs)]
	first := i / len(f.specs) * slotsPerMachine
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

// show lets an owner show machines and acknowledge all that it was given.
func (f *largeFleet) show(owner int, states []partition.MachineState, removed []string) {
	f.sequences[owner]++
	n := f.sequences[owner]
	f.scheduler.ApplyUpdate(owner, partition.Update{
		Sequence: n, BaseVersion: n - 1, Version: n, Machines: states, Removed: removed,
		AckedAssignment: f.scheduler.cluster.owners[owner].assignmentSequence,
	}, t0)
}

// showAll lets all owners show the whole fleet.
func (f *largeFleet) showAll(machines int, full bool) {
	states := make([][]partition.MachineState, ownersOfFleet)
	for i := range machines {
		states[i%ownersOfFleet] = append(states[i%ownersOfFleet], f.state(i, full))
	}
	for owner := range states {
		f.show(owner, states[owner], nil)
	}
}

// BenchmarkSteadyCycle is a cycle of a full fleet of which a twelfth has changed, as in the
// 400 ms between two calls of each owner, with ten waiting tasks to a machine.
func BenchmarkSteadyCycle(b *testing.B) {
	benchsizes.Run(b, func(b *testing.B, machines int) {
		f := newLargeFleet(machines)
		f.showAll(machines, true)
		b.ReportAllocs()
		turn := 0
		for b.Loop() {
			for owner := range ownersOfFleet {
				var states []partition.MachineState
				for i := owner; i < machines; i += ownersOfFleet {
					if (i/ownersOfFleet)%12 == turn%12 {
						states = append(states, f.state(i, true))
					}
				}
				f.show(owner, states, nil)
			}
			f.scheduler.RunCycle(t0)
			turn++
		}
	})
}

// BenchmarkFirstCycle is the cycle that fills an empty fleet, and the owners' next calls.
func BenchmarkFirstCycle(b *testing.B) {
	benchsizes.Run(b, func(b *testing.B, machines int) {
		b.ReportAllocs()
		for b.Loop() {
			b.StopTimer()
			f := newLargeFleet(machines)
			f.showAll(machines, false)
			b.StartTimer()
			f.scheduler.RunCycle(t0)
			f.showAll(machines, true)
		}
	})
}

// BenchmarkThirdLost is the loss of a third of a fleet and its return.
func BenchmarkThirdLost(b *testing.B) {
	benchsizes.Run(b, func(b *testing.B, machines int) {
		f := newLargeFleet(machines)
		f.showAll(machines, true)
		b.ReportAllocs()
		for b.Loop() {
			for owner := range ownersOfFleet {
				var lost []string
				var back []partition.MachineState
				for i := owner; i < machines; i += 3 * ownersOfFleet {
					lost = append(lost, fmt.Sprintf("i-%06d", i))
					back = append(back, f.state(i, true))
				}
				f.show(owner, nil, lost)
				f.show(owner, back, nil)
			}
			f.scheduler.RunCycle(t0)
		}
	})
}

// BenchmarkLargestJob is a cycle while a job of the largest size has tasks finished in the
// order in which they happen to end.
func BenchmarkLargestJob(b *testing.B) {
	spec := protocol.JobSpec{UID: "wk-1", Class: "q", Team: "red", CPUs: 1, MemGB: 1, Tasks: protocol.MaxTasks, ExpectedS: 40}
	mirrored := mirror(spec)
	limits := []Team{{Name: "red", Guarantee: job.Resources{CPUs: 48000}, Limit: job.Resources{CPUs: 48000}}}
	d := New(testConfig, limits, 1, capacityOf, mirrored)
	done := func(from int) (out []partition.CompletedTask) {
		for i := range 300 {
			out = append(out, partition.CompletedTask{Task: job.Task{Job: "wk-1", Index: (2 * (from + i)) % spec.Tasks}})
		}
		return out
	}
	n := uint64(0)
	for range 50 { // 15,000 tasks are done, with a hole behind each
		n++
		d.ApplyUpdate(0, partition.Update{Sequence: n, BaseVersion: n - 1, Version: n, Completed: done(int(n) * 300)}, t0)
	}
	b.ReportAllocs()
	for b.Loop() {
		n++
		d.ApplyUpdate(0, partition.Update{Sequence: n, BaseVersion: n - 1, Version: n, Completed: done(int(n) * 300 % 15000)}, t0)
		d.RunCycle(t0)
	}
}
