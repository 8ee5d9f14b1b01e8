package scheduler

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"junipershelf/job"
	"junipershelf/partition"
	"junipershelf/protocol"
)

// drawCluster draws machines of several kinds, with images, queues and free capacity.
func drawCluster(t *rapid.T) (*Scheduler, []*jobEntry) {
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
	limited := []Team{{Name: "red", Guarantee: job.Resources{CPUs: 1000}, Limit: job.Resources{CPUs: 1000}}}
	cfg := testConfig
	cfg.MaxQueuedPerMachine, cfg.PullGBPerS = 3, func() float64 { return 0.1 }
	s := New(cfg, limited, 1, capacityOf, jobCache(specs...))
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
	s.ApplyUpdate(0, firstUpdate(states...), t0)
	var entries []*jobEntry
	for _, spec := range specs {
		entries = append(entries, s.cluster.entry(spec.UID))
	}
	s.estimateReleases(t0)
	return s, entries
}

// The candidate lists yield the same machine as a scan of all machines, over a series of
// assignments.
func TestCandidateListsMatchFullScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sched, entries := drawCluster(t)
		ps := pass{now: t0, useFreeCapacity: rapid.Bool().Draw(t, "free capacity")}
		sched.placer.startPass(ps)
		for range 12 {
			entry := rapid.SampledFrom(entries).Draw(t, "job")
			scorer := drawScorer(t, sched, entry, ps)
			got, want := sched.placer.candidates.best(scorer), sched.placer.candidates.scan(scorer)
			if got != want {
				t.Fatalf("%s: the lists yield %+v, want %+v as found by the scan", entry.uid, got, want)
			}
			if got == nil {
				continue
			}
			if free := sched.placer.nextTasks(entry, 1, got.ID); len(free) > 0 {
				sched.placer.assignCandidate(entry, got, free, noGang)
				checkEligibleCount(t, &sched.placer.candidates)
			}
		}
	})
}

func drawScorer(t *rapid.T, sched *Scheduler, entry *jobEntry, ps pass) *placementScorer {
	scorer := sched.placer.newScorer(entry, ps)
	scorer.imageRequired = rapid.Bool().Draw(t, "image required")
	if rapid.IntRange(0, 4).Draw(t, "avoid") == 0 {
		scorer.avoid = "i-00"
	}
	return scorer
}

func checkEligibleCount(t *rapid.T, c *candidates) {
	t.Helper()
	eligible := 0
	for _, m := range c.machines {
		if !m.ineligible {
			eligible++
		}
	}
	if eligible != c.eligibleCount {
		t.Fatalf("eligibleCount is %d, want %d", c.eligibleCount, eligible)
	}
}
