package scheduler

import (
	"fmt"
	"testing"
	"time"

	"junipershelf/job"
	"junipershelf/partition"
	"junipershelf/protocol"
)

// Preemption: urgent work stops the cheapest lower work; a team within its
// guarantee stops what another runs beyond its own; nothing else is stopped.
func TestPreemption(t *testing.T) {
	cfg := testConfig
	cfg.MaxQueuedPerMachine, cfg.PreemptAfter, cfg.MinRunBeforeStop, cfg.MaxPreemptionLoss = 0, 4*time.Second, 30*time.Second, 42*time.Second
	for _, c := range []struct {
		name     string
		urgency  string
		team     string
		used     map[string][]string // urgency of held jobs by team, one CPU each
		expected string
	}{
		{"urgent stops what saves", "urgent", "blue", map[string][]string{"blue": {"normal", "best_effort", "normal", "normal"}}, "wk-blue1"},
		{"equal stays", "urgent", "blue", map[string][]string{"blue": {"urgent", "urgent", "urgent", "urgent"}}, ""},
		{"guarantee stops borrowed", "best_effort", "blue", map[string][]string{"red": {"urgent", "urgent", "urgent", "urgent"}}, "wk-red0"},
		{"guarantee leaves guarantee", "best_effort", "red", map[string][]string{"blue": {"urgent", "urgent", "urgent", "urgent"}}, ""},
	} {
		specs := []protocol.JobSpec{{UID: "wk-new", Team: c.team, CPUs: 1, Tasks: 1, Priority: c.urgency}}
		g := firstUpdate(1, machine("a"))
		g.Machines[0].Free.CPUs = 0
		for team, urgencies := range c.used {
			for i, u := range urgencies {
				s := protocol.JobSpec{UID: fmt.Sprintf("wk-%s%d", team, i), Team: team, CPUs: 1, Tasks: 1, Priority: u, ExpectedS: 600}
				if u == "best_effort" {
					s.CheckpointIntervalS, s.CheckpointDurationS = 30, 3
				}
				specs = append(specs, s)
				g.Machines[0].Held = append(g.Machines[0].Held, partition.HeldTasks{
					Job: s.UID, Team: team, Resources: job.Resources{CPUs: 1},
					Tasks: tasks(0), Phase: partition.PhaseRunning, PhaseS: float64(31 + i),
				})
			}
		}
		d := New(cfg, teams(), 1, capacityOf, mirror(specs...))
		d.ApplyUpdate(0, g, t0)
		d.RunCycle(t0.Add(3 * time.Second))
		if s := d.Preemptions(0); len(s) != 0 {
			t.Errorf("%s: stopped at once: %v", c.name, s)
		}
		d.RunCycle(t0.Add(5 * time.Second))
		d.RunCycle(t0.Add(6 * time.Second))
		got := ""
		for _, s := range d.Preemptions(0) {
			got += s.Job
		}
		if got != c.expected {
			t.Errorf("%s: stops %q, want %q", c.name, got, c.expected)
		}
	}
}

// Room for replicas is made at once, and each goes to the machine whose tasks are stopped
// for it; never beyond its team's limit, not for work that has run for long, and with two
// machines to choose from not twice on one.
func TestRoomForReplicas(t *testing.T) {
	cfg := testConfig
	cfg.MaxQueuedPerMachine, cfg.PreemptAfter, cfg.MinRunBeforeStop, cfg.MaxPreemptionLoss = 0, 20*time.Second, 30*time.Second, 5*time.Second
	for _, c := range []struct {
		name     string
		replicas int
		ran      float64
		want     int
	}{{"two of two", 2, 10, 2}, {"up to the limit of five", 9, 10, 5}, {"none of what ran for long", 2, 25, 0}} {
		specs := []protocol.JobSpec{
			{UID: "wk-1", Team: "red", CPUs: 1, Tasks: c.replicas, Priority: "critical", Shape: protocol.ShapeService},
			{UID: "wk-2", Team: "blue", CPUs: 1, Tasks: 8, ExpectedS: 100},
		}
		g := firstUpdate(1, machine("a"), machine("b"))
		for i := range g.Machines {
			g.Machines[i].Free.CPUs = 0
			g.Machines[i].Held = []partition.HeldTasks{{Job: "wk-2", Team: "blue", Resources: job.Resources{CPUs: 1}, Tasks: tasks(4*i, 4*i+1, 4*i+2, 4*i+3), Phase: partition.PhaseRunning, PhaseS: c.ran}}
		}
		d := New(cfg, teams(), 1, capacityOf, mirror(specs...))
		d.ApplyUpdate(0, g, t0)
		d.RunCycle(t0.Add(500 * time.Millisecond))
		if len(d.Preemptions(0)) > 0 {
			t.Errorf("%s: stops before it has waited at all", c.name)
		}
		for s := 1; s < 4; s++ {
			d.RunCycle(t0.Add(time.Duration(s) * 1200 * time.Millisecond))
		}
		on := map[string]int{}
		for _, a := range d.Unacknowledged(0) {
			on[a.Machine] += a.Tasks.Len()
		}
		if n := on["a"] + on["b"]; n != c.want || len(d.Preemptions(0)) != c.want {
			t.Errorf("%s: %d replicas given, %d tasks stopped, want %d", c.name, n, len(d.Preemptions(0)), c.want)
		}
		if c.want == 2 && (on["a"] != 1 || on["b"] != 1) {
			t.Errorf("%s: %v", c.name, on)
		}
	}
}
