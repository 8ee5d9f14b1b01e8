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

// newAutoscaler returns an autoscaler whose catalogue has one type of spot and on-demand machines, and
// a scheduler with the given machines and, if tasks is above 0, one job of that many tasks.
func newAutoscaler(t *testing.T, priority protocol.Priority, tasks int, states ...partition.MachineState) (*autoscaler.Autoscaler, *scheduler.Scheduler) {
	t.Helper()
	cache := job.NewCache(map[string]int{"red": 0})
	spec := protocol.JobSpec{UID: "wk-1", Team: "red", Priority: priority, CPUs: 1, Tasks: tasks, SpotAllowed: true, ExpectedS: 60}
	if tasks > 0 {
		if err := cache.Set("wk-1", job.Record{Spec: spec, SubmittedMS: t0.UnixMilli()}, 1, t0); err != nil {
			t.Fatal(err)
		}
	}
	leader := scheduler.New(scheduler.Config{}, []scheduler.Team{{Name: "red", Guarantee: job.Resources{CPUs: 8}, Limit: job.Resources{CPUs: 16}}}, 1, capacityOf, cache)
	leader.ApplyUpdate(0, partition.Update{Sequence: 1, Version: 1, Machines: states}, t0)
	scaler := autoscaler.New(testConfig)
	scaler.Catalogue = []protocol.MachineType{{Name: "quad", CPUs: 4, MemGB: 32, Price: 0.3, SpotPrice: 0.1, BootS: 10, Zones: []string{"z"}}}
	return scaler, leader
}

// singleTask returns the set of a single task number.
func singleTask(index int) (tasks job.Ranges) {
	tasks.Add(index)
	return tasks
}

// plan returns the number of machines to request, and the ids to evict and to terminate.
func plan(scaler *autoscaler.Autoscaler, leader *scheduler.Scheduler, now time.Time) (requested int, evicted, terminated []string) {
	planned := scaler.Plan(now, leader, leader.WaitingJobs(now))
	for _, request := range planned.Requests {
		requested += request.Count
	}
	return requested, planned.Evict, planned.Terminate
}

// The team's limit bounds the machines requested for waiting tasks, and requested or booting
// machines count against the need.
func TestRequestsMachinesForWaitingWorkWithinTeamLimit(t *testing.T) {
	scaler, leader := newAutoscaler(t, "normal", 100)
	requests := scaler.Plan(t0, leader, leader.WaitingJobs(t0)).Requests
	if diff := cmp.Diff([]autoscaler.Request{{autoscaler.Offer{"quad", "z", true}, 4}}, requests); diff != "" {
		t.Fatal(diff)
	}
	scaler.RecordRequest(requests[0])
	if n, _, _ := plan(scaler, leader, t0); n != 0 {
		t.Errorf("%d more machines requested while the first request is pending, want 0", n)
	}
	scaler.RecordGrant(requests[0], []string{"a", "b"}, t0)
	if n, _, _ := plan(scaler, leader, t0); n != 0 {
		t.Errorf("%d more machines requested right after a partial grant, want 0", n)
	}
	if n, _, _ := plan(scaler, leader, t0.Add(11*time.Second)); n != 2 {
		t.Errorf("%d more machines requested after the pause, want the missing 2", n)
	}
}

// A scale out beyond the maximum size of a request is split into several requests.
func TestSplitsLargeScaleOutIntoRequests(t *testing.T) {
	scaler, leader := newAutoscaler(t, "normal", 1000)
	leader.Teams[0].Limit.CPUs = 480
	requests := scaler.Plan(t0, leader, leader.WaitingJobs(t0)).Requests
	if diff := cmp.Diff([]autoscaler.Request{{autoscaler.Offer{"quad", "z", true}, 50}, {autoscaler.Offer{"quad", "z", true}, 50}, {autoscaler.Offer{"quad", "z", true}, 20}}, requests); diff != "" {
		t.Error(diff)
	}
}

// On-demand machines are requested only for high-priority jobs that have waited for OnDemandWait
// while the cloud has no spot capacity.
func TestOnDemandMachinesOnlyForUrgentJobsWithoutSpotCapacity(t *testing.T) {
	for _, c := range []struct {
		priority protocol.Priority
		after    time.Duration
		want     bool
	}{{"urgent", 15 * time.Second, false}, {"urgent", 25 * time.Second, true}, {"best_effort", 25 * time.Second, false}} {
		scaler, leader := newAutoscaler(t, c.priority, 4)
		scaler.RecordNoCapacity(autoscaler.Request{autoscaler.Offer{"quad", "z", true}, 1}, t0.Add(c.after))
		requests := scaler.Plan(t0.Add(c.after), leader, leader.WaitingJobs(t0.Add(c.after))).Requests
		if got := len(requests) == 1 && !requests[0].Spot; got != c.want {
			t.Errorf("priority %s after %v: requests %+v, want on-demand %v", c.priority, c.after, requests, c.want)
		}
	}
}

// Machines that never report or are listed as failed are terminated, and idle machines are evicted
// when no job waits for them.
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
		t.Errorf("terminated %v beyond the boot limit, want b and f", terminated)
	}
	scaler.RecordTerminated([]string{"b", "f"}, t0.Add(37*time.Second))
	scaler.ObserveList(t0.Add(38*time.Second), []protocol.CloudMachine{{ID: "b", MachineType: "quad", Status: "booting", AgeS: 99}})
	if _, _, terminated = plan(scaler, leader, t0.Add(38*time.Second)); len(terminated) != 0 {
		t.Errorf("terminated %v after a lagging list, want none", terminated)
	}
}

// After a change of leader no machine has reported yet, and the list shows old machines as running.
// Judged by their age alone, the whole fleet would count as lost for booting too long.
func TestNewLeaderKeepsRunningMachines(t *testing.T) {
	scaler, leader := newAutoscaler(t, "normal", 4, partition.MachineState{ID: "a", MachineType: "quad", Zone: "z", Spot: true})
	scaler.ObserveList(t0, []protocol.CloudMachine{
		{ID: "a", MachineType: "quad", Zone: "z", Spot: true, Status: "running", AgeS: 500},
		{ID: "b", MachineType: "quad", Zone: "z", Spot: true, Status: "running", AgeS: 500},
	})
	if n, evicted, terminated := plan(scaler, leader, t0.Add(time.Second)); n != 0 || len(evicted)+len(terminated) != 0 {
		t.Errorf("requested %d, evicted %v, terminated %v, want none", n, evicted, terminated)
	}
	if _, _, terminated := plan(scaler, leader, t0.Add(21*time.Second)); len(terminated) != 2 {
		t.Errorf("terminated %v after UnreportedLimit, want both machines", terminated)
	}
}

// While no job waits, a machine whose tasks fit elsewhere is evicted: on-demand machines first, one
// at a time in a small fleet, and only when the tasks that it stops have run for MinRunBeforeStop.
func TestEvictsMachineWhoseTasksFitElsewhere(t *testing.T) {
	state := func(id string, spot bool, free float64) partition.MachineState {
		return partition.MachineState{ID: id, MachineType: "quad", Zone: "z", Spot: spot, Usable: true, Reported: true, IdleS: -1, Free: job.Resources{CPUs: free, MemoryGB: 32}}
	}
	for _, c := range []struct {
		name     string
		free     float64
		ranS     float64
		evicting bool
		expected []string
	}{{"fits", 3, 50, false, []string{"c"}}, {"no free capacity elsewhere", 0, 50, false, nil}, {"has not run long enough", 3, 20, false, nil}, {"another is evicting", 3, 50, true, nil}} {
		states := []partition.MachineState{state("a", true, c.free), state("b", true, 0), state("c", false, 3)}
		states[1].Evicting = c.evicting
		scaler, leader := newAutoscaler(t, "normal", 4, states...)
		live := leader.Job("wk-1")
		live.Spec.CheckpointIntervalS = 10
		for i, k := range []int{0, 1, 2, 1} {
			states[k].Held = append(states[k].Held, partition.HeldTasks{Job: "wk-1", Team: "red", Resources: job.Resources{CPUs: 1}, Tasks: singleTask(i), Phase: partition.PhaseRunning, PhaseS: c.ranS})
		}
		leader.ApplyUpdate(0, partition.Update{Sequence: 2, Version: 2, Machines: states}, t0)
		if _, evicted, _ := plan(scaler, leader, t0); !cmp.Equal(evicted, c.expected) {
			t.Errorf("%s: evicted %v, want %v", c.name, evicted, c.expected)
		}
	}
}

// A large fleet always has idle or booting machines. If these prevented evictions, the other
// machines would become empty only as their last tasks end.
func TestEvictsDespiteIdleAndBootingMachines(t *testing.T) {
	state := func(id string, free, idle float64) partition.MachineState {
		return partition.MachineState{ID: id, MachineType: "quad", Zone: "z", Spot: true, Usable: true, Reported: true, IdleS: idle, Free: job.Resources{CPUs: free, MemoryGB: 32}}
	}
	states := []partition.MachineState{state("a", 3, -1), state("b", 2, -1), state("idle", 4, 60)}
	scaler, leader := newAutoscaler(t, "normal", 2, states...)
	leader.Job("wk-1").Spec.CheckpointIntervalS = 10
	for i, k := range []int{0, 1, 1} {
		states[k].Held = append(states[k].Held, partition.HeldTasks{Job: "wk-1", Team: "red", Resources: job.Resources{CPUs: 1}, Tasks: singleTask(i), Phase: partition.PhaseRunning, PhaseS: 50})
	}
	leader.ApplyUpdate(0, partition.Update{Sequence: 2, Version: 2, Machines: states}, t0)
	scaler.RecordGrant(autoscaler.Request{autoscaler.Offer{"quad", "z", true}, 1}, []string{"boots"}, t0)
	if _, evicted, _ := plan(scaler, leader, t0); !cmp.Equal(evicted, []string{"idle", "a"}) {
		t.Errorf("evicted %v, want the idle machine and the one with the fewest held CPUs", evicted)
	}
}

// A team at its limit with some of its tasks queued on full machines gets machines for those tasks.
func TestRequestsMachinesForQueuedTasks(t *testing.T) {
	full := partition.MachineState{ID: "a", MachineType: "quad", Zone: "z", Spot: true, Usable: true, Reported: true, IdleS: -1, Free: job.Resources{CPUs: -12, MemoryGB: 32}}
	scaler, leader := newAutoscaler(t, "normal", 100, full)
	for i := range 16 {
		phase := partition.PhaseQueued
		if i < 4 {
			phase = partition.PhaseRunning
		}
		full.Held = append(full.Held, partition.HeldTasks{Job: "wk-1", Team: "red", Resources: job.Resources{CPUs: 1}, Tasks: singleTask(i), Phase: phase})
	}
	leader.ApplyUpdate(0, partition.Update{Sequence: 2, Version: 2, Machines: []partition.MachineState{full}}, t0)
	if n, _, _ := plan(scaler, leader, t0); n != 3 {
		t.Errorf("requested %d machines, want 3 for the 12 queued tasks", n)
	}
}

// The cloud's list lags: a terminated machine in it is ignored for five minutes. If it is still
// listed after that, its termination has failed and it is tracked again.
func TestTerminatedMachinesAreIgnoredForFiveMinutes(t *testing.T) {
	const retention = 5 * time.Minute
	for _, c := range []struct {
		name  string
		after time.Duration
		want  []string
	}{{"within the retention", retention, nil}, {"beyond the retention", retention + time.Second, []string{"a"}}} {
		scaler, leader := newAutoscaler(t, "normal", 0)
		failed := []protocol.CloudMachine{{ID: "a", MachineType: "quad", Zone: "z", Spot: true, Status: "failed"}}
		scaler.RecordTerminated([]string{"a"}, t0)
		scaler.ObserveList(t0.Add(c.after), failed) // drops entries beyond the retention
		scaler.ObserveList(t0.Add(c.after), failed)
		if _, _, terminated := plan(scaler, leader, t0.Add(c.after)); !cmp.Equal(terminated, c.want) {
			t.Errorf("%s: terminated %v, want %v", c.name, terminated, c.want)
		}
	}
}
