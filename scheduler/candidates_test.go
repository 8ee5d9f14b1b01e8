package scheduler

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"junipershelf/job"
	"junipershelf/partition"
	"junipershelf/protocol"
)

// drawFleet draws a ledger of machines of several kinds, with images, queues and free room.
func drawFleet(t *rapid.T) (*Scheduler, []*jobEntry) {
	var specs []protocol.JobSpec
	for i := range 6 {
		spec := protocol.JobSpec{
			UID: fmt.Sprintf("wk-%d", i), Class: "q", Team: "red", Tasks: 30, ExpectedS: 40, ImageGB: 1,
			CPUs: float64(rapid.IntRange(1, 3).Draw(t, "cpus")), MemGB: float64(rapid.IntRange(1, 8).Draw(t, "memory")),
			Image:    fmt.Sprintf("img-%d", rapid.IntRange(0, 2).Draw(t, "image")),
			Priority: rapid.SampledFrom(protocol.Priorities).Draw(t, "priority"),
		}
		if rapid.Bool().Draw(t, "bound") {
			spec.MachineTypes = []string{"quad"}
		}
		if rapid.IntRange(0, 3).Draw(t, "zone") == 0 {
			spec.Zone = "a"
		}
		specs = append(specs, spec)
	}
	limits := []Team{{Name: "red", Guarantee: job.Resources{CPUs: 1000}, Limit: job.Resources{CPUs: 1000}}}
	cfg := testConfig
	cfg.MaxQueuedPerMachine, cfg.PullGBPerS = 3, func() float64 { return 0.1 }
	s := New(cfg, limits, 1, capacityOf, mirror(specs...))
	var states []partition.MachineState
	for i := range rapid.IntRange(1, 14).Draw(t, "machines") {
		m := machine(fmt.Sprintf("i-%02d", i))
		m.MachineType = rapid.SampledFrom([]string{"quad", "octa"}).Draw(t, "type")
		m.Zone = rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone")
		for image := range 3 {
			switch rapid.IntRange(0, 2).Draw(t, "has") {
			case 1:
				m.Images = append(m.Images, fmt.Sprintf("img-%d", image))
			case 2:
				m.Fetching = append(m.Fetching, fmt.Sprintf("img-%d", image))
			}
		}
		m.Free = job.Resources{CPUs: float64(rapid.IntRange(0, 4).Draw(t, "free")), MemoryGB: float64(rapid.IntRange(0, 32).Draw(t, "memory"))}
		held := specs[rapid.IntRange(0, 5).Draw(t, "held")]
		phase := rapid.SampledFrom([]partition.Phase{partition.PhaseRunning, partition.PhaseQueued}).Draw(t, "phase")
		m.Held = []partition.HeldTasks{{
			Job: held.UID, Team: "red", Resources: job.Resources{CPUs: held.CPUs, MemoryGB: held.MemGB},
			Tasks: tasks(i), Phase: phase, PhaseS: float64(rapid.IntRange(0, 40).Draw(t, "for")),
		}}
		states = append(states, m)
	}
	s.ApplyUpdate(0, firstUpdate(1, states...), t0)
	var entries []*jobEntry
	for _, spec := range specs {
		entries = append(entries, s.cluster.entry(spec.UID))
	}
	s.estimateReleases(t0)
	return s, entries
}

// The ordered lists choose what a look at every machine chooses, assignment after assignment.
func TestCandidatesChooseWhatAScanDoes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, entries := drawFleet(t)
		ps := pass{now: t0, freeRoom: rapid.Bool().Draw(t, "free room")}
		s.placer.candidates.collect(ps)
		for range 12 {
			e := rapid.SampledFrom(entries).Draw(t, "job")
			c := s.placer.newScorer(e, ps)
			c.imageRequired = rapid.Bool().Draw(t, "image required")
			if rapid.IntRange(0, 4).Draw(t, "avoid") == 0 {
				c.avoid = "i-00"
			}
			got, want := s.placer.candidates.best(c), s.placer.candidates.scan(c)
			if got != want {
				t.Fatalf("%s: the lists choose %+v, a scan %+v", e.uid, got, want)
			}
			if got == nil {
				continue
			}
			free := s.placer.nextTasks(e, 1, got.ID)
			if len(free) == 0 {
				continue
			}
			s.placer.candidates.remove(got)
			s.placer.assign(e, got, free, 0)
			s.placer.candidates.restore(got)
			open := 0
			for _, m := range s.placer.candidates.open {
				if !m.closed {
					open++
				}
			}
			if open != s.placer.candidates.openCount {
				t.Fatalf("%d machines are open, not %d", open, s.placer.candidates.openCount)
			}
		}
	})
}

// A machine that was gone for a moment still counts what its owner has yet to acknowledge,
// and a zone forgets what went with a machine.
func TestAssignmentsOutliveTheirMachine(t *testing.T) {
	spread := protocol.JobSpec{UID: "wk-1", Class: "q", Team: "red", CPUs: 1, MemGB: 1, Tasks: 2, SameZone: true}
	s := New(testConfig, teams(), 1, capacityOf, mirror(spread))
	s.ApplyUpdate(0, firstUpdate(1, machine("a")), t0)
	s.RunCycle(t0)
	if n := len(assignedTasks(s, 0)); n != 2 {
		t.Fatalf("%d tasks are assigned", n)
	}
	s.ApplyUpdate(0, partition.Update{Sequence: 2, BaseVersion: 1, Version: 2, Removed: []string{"a"}}, t0)
	s.ApplyUpdate(0, partition.Update{Sequence: 3, BaseVersion: 2, Version: 3, Machines: []partition.MachineState{machine("a")}}, t0)
	if m := s.Machine("a"); m.FreeNow.CPUs != 2 || m.unackedTasks != 2 {
		t.Errorf("after its return %v CPUs are free and %d tasks pending", m.FreeNow.CPUs, m.unackedTasks)
	}
	s.ApplyUpdate(0, partition.Update{Sequence: 4, BaseVersion: 3, Version: 4, Removed: []string{"a"}, AckedAssignment: s.cluster.owners[0].assignmentSequence}, t0)
	if n := s.cluster.entry("wk-1").zones["z"]; n != 0 {
		t.Errorf("%d tasks are counted in a zone that holds none", n)
	}
}
