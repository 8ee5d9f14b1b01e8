package autoscaler_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"junipershelf/autoscaler"
	"junipershelf/job"
	"junipershelf/partition"
	"junipershelf/protocol"
	"junipershelf/scheduler"
)

// A plan tells for each waiting job how many tasks have a place, and why the others have none.
func TestPlanTellsWhyTasksHaveNoPlace(t *testing.T) {
	spot := func(zone string) autoscaler.Request {
		return autoscaler.Request{Offer: autoscaler.Offer{MachineType: octa.Name, Zone: zone, Spot: true}, Count: 1}
	}
	wide := protocol.JobSpec{UID: "wk-1", Tasks: 2, CPUs: 5, MemGB: 1}
	for _, c := range []struct {
		name     string
		priority protocol.Priority // of the waiting job
		change   func(spec *protocol.JobSpec)
		prepare  func(scaler *autoscaler.Autoscaler, leader *scheduler.Scheduler)
		want     autoscaler.JobWait
	}{
		{"machines are requested", "normal", nil, nil, autoscaler.JobWait{Requested: 2}},
		{"a requested machine has a place", "normal", nil, func(scaler *autoscaler.Autoscaler, _ *scheduler.Scheduler) {
			scaler.RecordRequest(spot("a"))
		}, autoscaler.JobWait{Place: 1, Requested: 1}},
		{"the team's limit", "normal", nil, func(_ *autoscaler.Autoscaler, leader *scheduler.Scheduler) {
			leader.Teams[0].Limit.CPUs = 9
		}, autoscaler.JobWait{TeamLimit: 1, Requested: 1}},
		{"no type fits", "normal", func(spec *protocol.JobSpec) { spec.CPUs = 9 }, nil, autoscaler.JobWait{NoMachine: 2, Obstacle: autoscaler.NoTypeFits}},
		{"the cloud had none", "normal", func(spec *protocol.JobSpec) { spec.Zone = "a" }, func(scaler *autoscaler.Autoscaler, _ *scheduler.Scheduler) {
			scaler.RecordNoCapacity(spot("a"), t0)
		}, autoscaler.JobWait{NoMachine: 2, Obstacle: autoscaler.NoCapacity}},
		{"only spot machines at this priority", "normal", nil, func(scaler *autoscaler.Autoscaler, _ *scheduler.Scheduler) {
			scaler.Catalogue = []protocol.MachineType{{Name: "octa", CPUs: 8, MemGB: 64, BootS: 50, Zones: []string{"a"}, Price: 1}}
		}, autoscaler.JobWait{NoMachine: 2, Obstacle: autoscaler.OnDemandDenied}},
		{"on-demand machines later", "urgent", nil, func(scaler *autoscaler.Autoscaler, _ *scheduler.Scheduler) {
			scaler.Catalogue = []protocol.MachineType{{Name: "octa", CPUs: 8, MemGB: 64, BootS: 50, Zones: []string{"a"}, Price: 1}}
		}, autoscaler.JobWait{NoMachine: 2, Obstacle: autoscaler.OnDemandLater}},
		{"no zone is open", "normal", func(spec *protocol.JobSpec) { spec.SpreadZones = true }, func(scaler *autoscaler.Autoscaler, leader *scheduler.Scheduler) {
			scaler.Catalogue = []protocol.MachineType{{Name: "octa", CPUs: 8, MemGB: 64, BootS: 50, Zones: []string{"a"}, SpotPrice: 1}}
			running := octaMachine("m", "a", job.Resources{CPUs: 3, MemoryGB: 63})
			running.IdleS, running.Held = -1, []partition.HeldTasks{held("wk-1", job.Resources{CPUs: 5, MemoryGB: 1}, partition.PhaseRunning)}
			leader.ApplyUpdate(0, partition.Update{Sequence: 2, Version: 2, Machines: []partition.MachineState{running}}, t0)
		}, autoscaler.JobWait{NoMachine: 1, Obstacle: autoscaler.ZoneClosed}},
	} {
		t.Run(c.name, func(t *testing.T) {
			spec := wide
			spec.Priority = c.priority
			if c.change != nil {
				c.change(&spec)
			}
			scaler, leader := octaFleet(t, []protocol.JobSpec{spec})
			if c.prepare != nil {
				c.prepare(scaler, leader)
			}
			now := t0.Add(time.Second)
			c.want.Job, c.want.Age = "wk-1", time.Second
			if diff := cmp.Diff([]autoscaler.JobWait{c.want}, scaler.Plan(now, leader, leader.WaitingJobs(now)).Waits); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestWaitAsText(t *testing.T) {
	waits := []autoscaler.JobWait{
		{Age: 41 * time.Second, TeamLimit: 1, NoMachine: 2, Obstacle: autoscaler.NoCapacity},
		{Age: 3 * time.Second, Place: 4, Requested: 5},
	}
	for i, want := range []string{"41 s: 1 team_limit, 2 no_machine (no_capacity)", "3 s: 4 place, 5 requested"} {
		if got := waits[i].String(); got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
	if diff := cmp.Diff(autoscaler.JobWait{TeamLimit: 1, Place: 4, Requested: 5, NoMachine: 2}, autoscaler.TotalWaits(waits)); diff != "" {
		t.Error(diff)
	}
}
