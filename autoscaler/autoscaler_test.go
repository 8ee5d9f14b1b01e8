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

var t0 = time.Unix(1_000_000, 0)

var testConfig = autoscaler.Config{
	IdleFactor: 2, BootFactor: 3, BootSlack: 5 * time.Second, NoCapacityPause: 10 * time.Second,
	OnDemandRank: 1, OnDemandWait: 20 * time.Second, UnreportedLimit: 20 * time.Second, MinRunBeforeStop: 35 * time.Second, EvictionHeadroom: 0.1, ListLag: 4 * time.Second,
}

func capacityOf(string) (job.Resources, bool) { return job.Resources{CPUs: 4, MemoryGB: 32}, true }

func newAutoscaler(t *testing.T, priority protocol.Priority, tasks int, states ...partition.MachineState) (*autoscaler.Autoscaler, *scheduler.Scheduler) {
	t.Helper()
	m := job.NewCache(map[string]int{"red": 0})
	s := protocol.JobSpec{UID: "wk-1", Team: "red", Priority: priority, CPUs: 1, Tasks: tasks, SpotAllowed: true, ExpectedS: 60}
	if tasks > 0 {
		if err := m.Set("wk-1", job.Record{Spec: s, SubmittedMS: t0.UnixMilli()}, 1, t0); err != nil {
			t.Fatal(err)
		}
	}
	leader := scheduler.New(scheduler.Config{}, []scheduler.Team{{Name: "red", Guarantee: job.Resources{CPUs: 8}, Limit: job.Resources{CPUs: 16}}}, 1, capacityOf, m)
	leader.ApplyUpdate(0, partition.Update{Sequence: 1, Version: 1, Machines: states}, t0)
	scaler := autoscaler.New(testConfig)
	scaler.Catalogue = []protocol.MachineType{{Name: "quad", CPUs: 4, MemGB: 32, Price: 0.3, SpotPrice: 0.1, BootS: 10, Zones: []string{"z"}}}
	return scaler, leader
}

// task returns the ranges of a single task.
func task(index int) (tasks job.Ranges) {
	tasks.Add(index)
	return tasks
}

// plan returns how many machines are requested, and which are evicted and terminated.
func plan(scaler *autoscaler.Autoscaler, leader *scheduler.Scheduler, now time.Time) (requested int, evicted, terminated []string) {
	planned := scaler.Plan(now, leader, leader.WaitingJobs(now))
	for _, request := range planned.Requests {
		requested += request.Count
	}
	return requested, planned.Evict, planned.Terminate
}

// Machines are requested for the work, within the team's limit, and what is
// already on its way counts.
func TestRequestsMachinesForWaitingWorkWithinTeamLimit(t *testing.T) {
	scaler, leader := newAutoscaler(t, "normal", 100)
	h := scaler.Plan(t0, leader, leader.WaitingJobs(t0)).Requests
	if diff := cmp.Diff([]autoscaler.Request{{autoscaler.Offer{"quad", "z", true}, 4}}, h); diff != "" {
		t.Fatal(diff)
	}
	scaler.RecordRequest(h[0])
	if n, _, _ := plan(scaler, leader, t0); n != 0 {
		t.Errorf("%d more while the first are asked for", n)
	}
	scaler.RecordGrant(h[0], []string{"a", "b"}, t0)
	if n, _, _ := plan(scaler, leader, t0); n != 0 {
		t.Errorf("%d more right after a partly filled request", n)
	}
	if n, _, _ := plan(scaler, leader, t0.Add(11*time.Second)); n != 2 {
		t.Errorf("%d more after the pause, want the missing 2", n)
	}
}

// Many machines are requested at once, by requests of what one may ask for.
func TestSplitsLargeScaleOutIntoRequests(t *testing.T) {
	scaler, leader := newAutoscaler(t, "normal", 1000)
	leader.Teams[0].Limit.CPUs = 480
	h := scaler.Plan(t0, leader, leader.WaitingJobs(t0)).Requests
	if diff := cmp.Diff([]autoscaler.Request{{autoscaler.Offer{"quad", "z", true}, 50}, {autoscaler.Offer{"quad", "z", true}, 50}, {autoscaler.Offer{"quad", "z", true}, 20}}, h); diff != "" {
		t.Error(diff)
	}
}

// Machines on demand are for urgent work that has waited, with no spot to be had.
func TestOnDemandMachinesOnlyForUrgentWorkWithoutSpot(t *testing.T) {
	for _, c := range []struct {
		priority protocol.Priority
		after    time.Duration
		want     bool
	}{{"urgent", 15 * time.Second, false}, {"urgent", 25 * time.Second, true}, {"best_effort", 25 * time.Second, false}} {
		scaler, leader := newAutoscaler(t, c.priority, 4)
		scaler.RecordNoCapacity(autoscaler.Request{autoscaler.Offer{"quad", "z", true}, 1}, t0.Add(c.after))
		h := scaler.Plan(t0.Add(c.after), leader, leader.WaitingJobs(t0.Add(c.after))).Requests
		if got := len(h) == 1 && !h[0].Spot; got != c.want {
			t.Errorf("%s after %v: %+v", c.priority, c.after, h)
		}
	}
}

// A machine that never comes up or that the cloud calls failed is given back,
// and so is an idle one when nothing waits for it.
func TestTerminatesLostAndFailedAndEvictsIdleMachines(t *testing.T) {
	idle := partition.MachineState{ID: "i", MachineType: "quad", Zone: "z", Spot: true, Usable: true, Reported: true, IdleS: 30, Free: job.Resources{CPUs: 4, MemoryGB: 32}}
	scaler, leader := newAutoscaler(t, "normal", 0, idle)
	scaler.RecordGrant(autoscaler.Request{autoscaler.Offer{"quad", "z", true}, 1}, []string{"b"}, t0)
	scaler.ObserveList(t0, []protocol.CloudMachine{{ID: "f", MachineType: "quad", Zone: "z", Spot: true, Status: "failed"}, {ID: "i", MachineType: "quad", Status: "running"}})
	_, evicted, terminated := plan(scaler, leader, t0.Add(30*time.Second))
	if diff := cmp.Diff([][]string{{"i"}, {"f"}}, [][]string{evicted, terminated}); diff != "" {
		t.Error(diff)
	}
	if _, _, terminated = plan(scaler, leader, t0.Add(36*time.Second)); !cmp.Equal(terminated, []string{"b", "f"}) {
		t.Errorf("after three boot times: %v", terminated)
	}
	scaler.MachinesTerminated([]string{"b", "f"}, t0.Add(37*time.Second))
	scaler.ObserveList(t0.Add(38*time.Second), []protocol.CloudMachine{{ID: "b", MachineType: "quad", Status: "booting", AgeS: 99}})
	if _, _, terminated = plan(scaler, leader, t0.Add(38*time.Second)); len(terminated) != 0 {
		t.Errorf("a lagging list brought %v back", terminated)
	}
}

// After a change of leader no machine has reported yet, and the list shows old
// machines as running. Once the whole fleet was given up for booting too long.
func TestNewLeaderKeepsRunningMachines(t *testing.T) {
	scaler, leader := newAutoscaler(t, "normal", 4, partition.MachineState{ID: "a", MachineType: "quad", Zone: "z", Spot: true})
	scaler.ObserveList(t0, []protocol.CloudMachine{
		{ID: "a", MachineType: "quad", Zone: "z", Spot: true, Status: "running", AgeS: 500},
		{ID: "b", MachineType: "quad", Zone: "z", Spot: true, Status: "running", AgeS: 500},
	})
	if n, evicted, terminated := plan(scaler, leader, t0.Add(time.Second)); n != 0 || len(evicted)+len(terminated) != 0 {
		t.Errorf("requested %d, evicted %v, terminated %v", n, evicted, terminated)
	}
	if _, _, terminated := plan(scaler, leader, t0.Add(21*time.Second)); len(terminated) != 2 {
		t.Errorf("never reported: terminated %v", terminated)
	}
}

// When nothing waits, a machine whose work fits elsewhere is evicted: one on demand
// first, one at a time, and only when what it would stop has run for a while.
func TestEvictsMachineWhoseWorkFitsElsewhere(t *testing.T) {
	state := func(id string, spot bool, free float64) partition.MachineState {
		return partition.MachineState{ID: id, MachineType: "quad", Zone: "z", Spot: spot, Usable: true, Reported: true, IdleS: -1, Free: job.Resources{CPUs: free, MemoryGB: 32}}
	}
	for _, c := range []struct {
		name     string
		free     float64
		ranS     float64
		evicting bool
		expected []string
	}{{"fits", 3, 50, false, []string{"c"}}, {"no room", 0, 50, false, nil}, {"too young", 3, 20, false, nil}, {"another is evicting", 3, 50, true, nil}} {
		states := []partition.MachineState{state("a", true, c.free), state("b", true, 0), state("c", false, 3)}
		states[1].Evicting = c.evicting
		scaler, leader := newAutoscaler(t, "normal", 4, states...)
		l := leader.Job("wk-1")
		l.Spec.CheckpointIntervalS = 10
		for i, k := range []int{0, 1, 2, 1} {
			states[k].Held = append(states[k].Held, partition.HeldTasks{Job: "wk-1", Team: "red", Resources: job.Resources{CPUs: 1}, Tasks: task(i), Phase: partition.PhaseRunning, PhaseS: c.ranS})
		}
		leader.ApplyUpdate(0, partition.Update{Sequence: 2, Version: 2, Machines: states}, t0)
		if _, evicted, _ := plan(scaler, leader, t0); !cmp.Equal(evicted, c.expected) {
			t.Errorf("%s: evicted %v, want %v", c.name, evicted, c.expected)
		}
	}
}

// Of a large fleet some machines are always idle or about to boot. Once nothing was
// evicted while that was so, and a thousand machines emptied one by one.
func TestEvictsBesideIdleAndBootingMachines(t *testing.T) {
	state := func(id string, free, idle float64) partition.MachineState {
		return partition.MachineState{ID: id, MachineType: "quad", Zone: "z", Spot: true, Usable: true, Reported: true, IdleS: idle, Free: job.Resources{CPUs: free, MemoryGB: 32}}
	}
	states := []partition.MachineState{state("a", 3, -1), state("b", 2, -1), state("idle", 4, 60)}
	scaler, leader := newAutoscaler(t, "normal", 2, states...)
	leader.Job("wk-1").Spec.CheckpointIntervalS = 10
	for i, k := range []int{0, 1, 1} {
		states[k].Held = append(states[k].Held, partition.HeldTasks{Job: "wk-1", Team: "red", Resources: job.Resources{CPUs: 1}, Tasks: task(i), Phase: partition.PhaseRunning, PhaseS: 50})
	}
	leader.ApplyUpdate(0, partition.Update{Sequence: 2, Version: 2, Machines: states}, t0)
	scaler.RecordGrant(autoscaler.Request{autoscaler.Offer{"quad", "z", true}, 1}, []string{"boots"}, t0)
	if _, evicted, _ := plan(scaler, leader, t0); !cmp.Equal(evicted, []string{"idle", "a"}) {
		t.Errorf("evicted %v, want the idle one and the emptiest", evicted)
	}
}

// A team at its limit with a part of it queued on full machines wants machines
// for that part.
func TestRequestsMachinesForQueuedTasks(t *testing.T) {
	full := partition.MachineState{ID: "a", MachineType: "quad", Zone: "z", Spot: true, Usable: true, Reported: true, IdleS: -1, Free: job.Resources{CPUs: -12, MemoryGB: 32}}
	scaler, leader := newAutoscaler(t, "normal", 100, full)
	for i := range 16 {
		phase := partition.PhaseQueued
		if i < 4 {
			phase = partition.PhaseRunning
		}
		full.Held = append(full.Held, partition.HeldTasks{Job: "wk-1", Team: "red", Resources: job.Resources{CPUs: 1}, Tasks: task(i), Phase: phase})
	}
	leader.ApplyUpdate(0, partition.Update{Sequence: 2, Version: 2, Machines: []partition.MachineState{full}}, t0)
	if n, _, _ := plan(scaler, leader, t0); n != 3 {
		t.Errorf("requested %d, want 3 for the 12 that queue", n)
	}
}

// The cloud's list lags: a terminated machine in it is not taken up again for five minutes. One
// that is listed still after that was not terminated after all.
func TestTerminatedMachinesAreRememberedForFiveMinutes(t *testing.T) {
	const memory = 5 * time.Minute
	for _, c := range []struct {
		name  string
		after time.Duration
		want  []string
	}{{"within the memory", memory, nil}, {"beyond it", memory + time.Second, []string{"a"}}} {
		scaler, leader := newAutoscaler(t, "normal", 0)
		failed := []protocol.CloudMachine{{ID: "a", MachineType: "quad", Zone: "z", Spot: true, Status: "failed"}}
		scaler.MachinesTerminated([]string{"a"}, t0)
		scaler.ObserveList(t0.Add(c.after), failed) // drops what is beyond the memory
		scaler.ObserveList(t0.Add(c.after), failed)
		if _, _, terminated := plan(scaler, leader, t0.Add(c.after)); !cmp.Equal(terminated, c.want) {
			t.Errorf("%s: terminated %v, want %v", c.name, terminated, c.want)
		}
	}
}
