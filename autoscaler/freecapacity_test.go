package autoscaler_test

import (
	"maps"
	"slices"
	"testing"
	"time"

	"junipershelf/autoscaler"
	"junipershelf/internal/benchsizes"
	"junipershelf/job"
	"junipershelf/partition"
	"junipershelf/protocol"
	"junipershelf/scheduler"
)

// octa is a machine type with several kinds of resources.
var octa = protocol.MachineType{Name: "octa", CPUs: 8, Accelerators: 2, MemGB: 64, Price: 0.6, SpotPrice: 0.2, BootS: 50, Zones: []string{"a", "b"}}

// octaMachine returns a spot machine with some free resources.
func octaMachine(id, zone string, free job.Resources, held ...partition.HeldTasks) partition.MachineState {
	idleS := -1.0
	if len(held) == 0 && free.CPUs == octa.CPUs {
		idleS = 0
	}
	return partition.MachineState{
		ID: id, MachineType: octa.Name, Zone: zone, Spot: true, Usable: true, Reported: true, IdleS: idleS, Free: free, Held: held,
	}
}

// octaFleet returns an autoscaler and the scheduler of one owner's octa machines, with jobs that may run
// on spot machines. The only team has no limit that matters.
func octaFleet(tb testing.TB, specs []protocol.JobSpec, states ...partition.MachineState) (*autoscaler.Autoscaler, *scheduler.Scheduler) {
	tb.Helper()
	cache := job.NewCache(map[string]int{"red": 0})
	for _, spec := range specs {
		spec.Team, spec.SpotAllowed, spec.ExpectedS = "red", true, 60
		if spec.Priority == "" {
			spec.Priority = "normal"
		}
		if err := cache.Set(spec.UID, job.Record{Spec: spec, SubmittedMS: t0.UnixMilli()}, 1, t0); err != nil {
			tb.Fatal(err)
		}
	}
	all := job.Resources{CPUs: 1e6, Accelerators: 1e6}
	capacity := func(string) (job.Resources, bool) { return autoscaler.Capacity(&octa), true }
	leader := scheduler.New(scheduler.Config{}, []scheduler.Team{{Name: "red", Guarantee: all, Limit: all}}, 1, capacity, cache)
	leader.ApplyUpdate(0, partition.Update{Sequence: 1, Version: 1, Machines: states}, t0)
	scaler := autoscaler.New(testConfig)
	scaler.Catalogue = []protocol.MachineType{octa}
	return scaler, leader
}

// cycleAndPlan runs a scheduling cycle and returns the plan that follows it.
func cycleAndPlan(scaler *autoscaler.Autoscaler, leader *scheduler.Scheduler, now time.Time) autoscaler.Plan {
	return scaler.Plan(now, leader, leader.RunCycle(now))
}

// Guards against free resources of several machines that counted as room for a task which fits on none of
// them: no machine was requested, and the task of an accepted job never ran.
func TestFreePiecesOfSeveralMachinesAreNoRoomForOneTask(t *testing.T) {
	gang := protocol.JobSpec{UID: "wk-1", Shape: protocol.ShapeGang, Tasks: 2, CPUs: 4, MemGB: 1}
	for _, c := range []struct {
		name string
		spec protocol.JobSpec
		free []job.Resources
		want int
	}{
		{"CPUs", protocol.JobSpec{UID: "wk-1", Tasks: 1, CPUs: 4, MemGB: 1}, []job.Resources{{CPUs: 3, MemoryGB: 60}, {CPUs: 3, MemoryGB: 60}}, 1},
		{"memory", protocol.JobSpec{UID: "wk-1", Tasks: 1, CPUs: 1, MemGB: 30}, []job.Resources{{CPUs: 4, MemoryGB: 20}, {CPUs: 4, MemoryGB: 20}}, 1},
		{"accelerators", protocol.JobSpec{UID: "wk-1", Tasks: 1, CPUs: 1, Accelerators: 2, MemGB: 1}, []job.Resources{{CPUs: 4, Accelerators: 1, MemoryGB: 60}, {CPUs: 4, Accelerators: 1, MemoryGB: 60}}, 1},
		{"CPUs of one machine and memory of another", protocol.JobSpec{UID: "wk-1", Tasks: 1, CPUs: 4, MemGB: 30}, []job.Resources{{CPUs: 6, MemoryGB: 10}, {CPUs: 1, MemoryGB: 60}}, 1},
		{"a queue for accelerators", protocol.JobSpec{UID: "wk-1", Tasks: 1, CPUs: 4, MemGB: 1}, []job.Resources{{CPUs: 6, Accelerators: -1, MemoryGB: 60}}, 1},
		{"a gang", gang, []job.Resources{{CPUs: 3, MemoryGB: 60}, {CPUs: 3, MemoryGB: 60}, {CPUs: 3, MemoryGB: 60}}, 1},
		{"a task that fits is assigned", protocol.JobSpec{UID: "wk-1", Tasks: 1, CPUs: 4, MemGB: 1}, []job.Resources{{CPUs: 4, MemoryGB: 60}, {CPUs: 3, MemoryGB: 60}}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			var states []partition.MachineState
			for i, free := range c.free {
				states = append(states, octaMachine(string(rune('a'+i)), "a", free))
			}
			scaler, leader := octaFleet(t, []protocol.JobSpec{c.spec}, states...)
			got := 0
			for _, request := range cycleAndPlan(scaler, leader, t0).Requests {
				got += request.Count
			}
			if got != c.want {
				t.Errorf("%d machines are requested, want %d", got, c.want)
			}
		})
	}
}

// Machines that are requested or booting are whole machines: their CPUs are no room for a task that is
// too large for what earlier jobs leave on each of them.
func TestBootingMachinesAreRoomOnlyOneByOne(t *testing.T) {
	specs := []protocol.JobSpec{{UID: "wk-1", Priority: "urgent", Tasks: 4, CPUs: 5, MemGB: 1}, {UID: "wk-2", Tasks: 2, CPUs: 4, MemGB: 1}, {UID: "wk-3", Tasks: 4, CPUs: 3, MemGB: 1}}
	scaler, leader := octaFleet(t, specs)
	requested := 0
	for range 3 { // the first plan requests the machines, the others find them pending
		for _, request := range cycleAndPlan(scaler, leader, t0).Requests {
			requested += request.Count
			scaler.RecordRequest(request)
		}
		// Four machines for wk-1, one for both tasks of wk-2, none for wk-3.
		if requested != 5 {
			t.Fatalf("%d machines are requested, want 5", requested)
		}
	}
}

// Guards against places in several zones that counted as room for a job whose constraints close some of
// them: a gang found room for all its tasks in no zone, and no machine was requested.
func TestPlacesInZonesThatAreClosedToAJobAreNoRoom(t *testing.T) {
	empty := autoscaler.Capacity(&octa)
	for _, c := range []struct {
		name   string
		spec   protocol.JobSpec
		states []partition.MachineState
		want   map[string]int // machines requested, by zone
	}{
		{
			"a gang in one zone, with half of its places in each",
			protocol.JobSpec{UID: "wk-1", Shape: protocol.ShapeGang, Tasks: 2, CPUs: 8, SameZone: true},
			[]partition.MachineState{octaMachine("m1", "a", empty), octaMachine("m2", "b", empty)},
			map[string]int{"a": 1},
		},
		{
			"a spread gang, with all of its places in one zone",
			protocol.JobSpec{UID: "wk-1", Shape: protocol.ShapeGang, Tasks: 4, CPUs: 4, SpreadZones: true},
			[]partition.MachineState{octaMachine("m1", "b", empty), octaMachine("m2", "b", empty)},
			map[string]int{"a": 1},
		},
		{
			"a gang in one zone, without machines",
			protocol.JobSpec{UID: "wk-1", Shape: protocol.ShapeGang, Tasks: 6, CPUs: 8, SameZone: true},
			nil,
			map[string]int{"a": 6},
		},
		{
			"a gang in one zone that has places in another",
			protocol.JobSpec{UID: "wk-1", Shape: protocol.ShapeGang, Tasks: 2, CPUs: 4, SameZone: true},
			[]partition.MachineState{octaMachine("m1", "a", job.Resources{CPUs: 4, MemoryGB: 64}), octaMachine("m2", "b", empty)},
			map[string]int{},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			scaler, leader := octaFleet(t, []protocol.JobSpec{c.spec}, c.states...)
			got := map[string]int{}
			for _, request := range cycleAndPlan(scaler, leader, t0).Requests {
				got[request.Zone] += request.Count
			}
			if !maps.Equal(got, c.want) {
				t.Errorf("requested machines by zone %v, want %v", got, c.want)
			}
		})
	}
}

// held returns one task that has run for long enough to be stopped.
func held(uid string, need job.Resources, phase partition.Phase) partition.HeldTasks {
	return partition.HeldTasks{Job: uid, Team: "red", Resources: need, Tasks: singleTask(0), Phase: phase, PhaseS: 100}
}

// Guards against the eviction of a machine whose task fits on no other one: the service stopped it, though
// no machine was lost, and did not start it again. The first case is the one that a review found.
func TestEvictsNoMachineWhoseTaskHasNoPlaceElsewhere(t *testing.T) {
	wide := job.Resources{CPUs: 4, Accelerators: 1, MemoryGB: 30}
	free := job.Resources{CPUs: 5, Accelerators: 2, MemoryGB: 50}
	with := func(change func(free *job.Resources)) job.Resources {
		changed := free
		change(&changed)
		return changed
	}
	movable := protocol.JobSpec{UID: "wk-1", Tasks: 1, CPUs: 4, Accelerators: 1, MemGB: 30, CheckpointIntervalS: 10}
	for _, c := range []struct {
		name   string
		change func(spec *protocol.JobSpec)
		phase  partition.Phase
		zone   string        // of the other machines
		free   job.Resources // on each of them
		want   []string
	}{
		{"too few CPUs on each", nil, partition.PhaseRunning, "a", with(func(f *job.Resources) { f.CPUs = 3 }), nil},
		{"too little memory on each", nil, partition.PhaseRunning, "a", with(func(f *job.Resources) { f.MemoryGB = 20 }), nil},
		{"no accelerator free", nil, partition.PhaseRunning, "a", with(func(f *job.Resources) { f.Accelerators = 0 }), nil},
		{"in another zone than the job's", func(spec *protocol.JobSpec) { spec.Zone = "a" }, partition.PhaseRunning, "b", free, nil},
		{"outside the zone of the job's other tasks", func(spec *protocol.JobSpec) { spec.SameZone = true }, partition.PhaseRunning, "b", free, nil},
		{"of a task that has not started", func(spec *protocol.JobSpec) { spec.CheckpointIntervalS = 0 }, partition.PhaseStarting, "a", with(func(f *job.Resources) { f.CPUs = 3 }), nil},
		{"and none is needed by a task that runs to its end", func(spec *protocol.JobSpec) { spec.CheckpointIntervalS = 0 }, partition.PhaseRunning, "a", with(func(f *job.Resources) { f.CPUs = 3 }), []string{"wide"}},
		{"and there is one", nil, partition.PhaseRunning, "a", free, []string{"wide"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			spec := movable
			if c.change != nil {
				c.change(&spec)
			}
			service := protocol.JobSpec{UID: "wk-2", Shape: protocol.ShapeService, Tasks: 3, CPUs: 3, MemGB: 1}
			states := []partition.MachineState{octaMachine("wide", "a", job.Resources{CPUs: 4, Accelerators: 1, MemoryGB: 34})}
			states[0].Held = []partition.HeldTasks{held("wk-1", wide, c.phase)}
			for _, id := range []string{"x", "y", "z"} {
				other := octaMachine(id, c.zone, c.free)
				other.IdleS, other.Held = -1, []partition.HeldTasks{held("wk-2", job.Resources{CPUs: 3, MemoryGB: 1}, partition.PhaseRunning)}
				states = append(states, other)
			}
			for i := range states[1:] {
				states[i+1].Held[0].Tasks = singleTask(i)
			}
			scaler, leader := octaFleet(t, []protocol.JobSpec{spec, service}, states...)
			if got := cycleAndPlan(scaler, leader, t0).Evict; !slices.Equal(got, c.want) {
				t.Errorf("evicted %v, want %v", got, c.want)
			}
		})
	}
}

// Two machines are not evicted for the same place.
func TestEvictsOneMachineForOnePlace(t *testing.T) {
	need := job.Resources{CPUs: 4, MemoryGB: 1}
	var states []partition.MachineState
	for i := range 30 { // a fleet of which two machines may be evicted at a time
		m := octaMachine(protocol.TaskName("m", i), "a", job.Resources{CPUs: 3, MemoryGB: 60}, held("wk-1", need, partition.PhaseRunning))
		m.Held[0].Tasks = singleTask(i)
		states = append(states, m)
	}
	states[29].Free.CPUs = 4
	scaler, leader := octaFleet(t, []protocol.JobSpec{{UID: "wk-1", Tasks: 30, CPUs: 4, MemGB: 1, CheckpointIntervalS: 10}}, states...)
	if got := cycleAndPlan(scaler, leader, t0).Evict; len(got) != 1 {
		t.Errorf("evicted %v, want one machine", got)
	}
}

// A team at its limit of accelerators gets machines for tasks that are queued for one.
func TestRequestsMachinesForTasksQueuedForAccelerators(t *testing.T) {
	full := octaMachine("m", "a", job.Resources{CPUs: 4, Accelerators: -2, MemoryGB: 60})
	full.IdleS = -1
	need := job.Resources{CPUs: 1, Accelerators: 2, MemoryGB: 1}
	full.Held = []partition.HeldTasks{held("wk-1", need, partition.PhaseRunning), held("wk-1", need, partition.PhaseQueued)}
	full.Held[1].Tasks = singleTask(1)
	scaler, leader := octaFleet(t, []protocol.JobSpec{{UID: "wk-1", Tasks: 3, CPUs: 1, Accelerators: 2, MemGB: 1}}, full)
	leader.Teams[0].Limit.Accelerators = 4
	requested := 0
	for _, request := range scaler.Plan(t0, leader, leader.WaitingJobs(t0)).Requests {
		requested += request.Count
	}
	if requested != 1 {
		t.Errorf("%d machines are requested, want 1 for the queued task", requested)
	}
}

// Guards against a gang that waits for ever for a place in another zone: idle machines were kept for it, more than
// it can use, and took the cloud's capacity for the machine that it lacked.
func TestSurplusIdleMachinesAreReturnedForOnesThatAJobLacks(t *testing.T) {
	empty := autoscaler.Capacity(&octa)
	var states []partition.MachineState
	for _, id := range []string{"m1", "m2", "m3", "m4"} {
		idle := octaMachine(id, "a", empty)
		idle.IdleS = 1000
		states = append(states, idle)
	}
	spread := protocol.JobSpec{UID: "wk-1", Shape: protocol.ShapeGang, Tasks: 4, CPUs: 8, SpreadZones: true}
	for _, c := range []struct {
		name    string
		refused bool // the cloud has no machine in the other zone
		want    int
	}{{"the other zone has machines", false, 0}, {"the other zone has none", true, 2}} {
		scaler, leader := octaFleet(t, []protocol.JobSpec{spread}, states...)
		if c.refused {
			scaler.RecordNoCapacity(autoscaler.Request{Offer: autoscaler.Offer{MachineType: octa.Name, Zone: "b", Spot: true}, Count: 2}, t0)
		}
		if got := cycleAndPlan(scaler, leader, t0.Add(time.Second)).Evict; len(got) != c.want {
			t.Errorf("%s: evicted %v, want %d machines", c.name, got, c.want)
		}
	}
}

// A gang that its team's limit does not allow as a whole gets no machines: a part of it cannot run.
func TestGangBeyondItsTeamsLimitGetsNoMachines(t *testing.T) {
	scaler, leader := octaFleet(t, []protocol.JobSpec{{UID: "wk-1", Shape: protocol.ShapeGang, Tasks: 4, CPUs: 8}})
	leader.Teams[0].Limit.CPUs = 31
	if plan := cycleAndPlan(scaler, leader, t0); len(plan.Requests) != 0 || plan.Waits[0].TeamLimit != 4 {
		t.Errorf("requests %v, waits %v; want no request for 4 tasks beyond the limit", plan.Requests, plan.Waits)
	}
}

// BenchmarkPlan measures a plan with full machines whose free pieces differ, and with waiting jobs that
// fit on none of them, for lack of CPUs or because no machine has enough CPUs and memory.
func BenchmarkPlan(b *testing.B) {
	for _, c := range []struct {
		name string
		free func(i int) job.Resources
	}{
		{"cpus", func(i int) job.Resources {
			return job.Resources{CPUs: 1 + float64(i%90)/100, MemoryGB: float64(i % 60)}
		}},
		{"mixed", func(i int) job.Resources {
			return job.Resources{CPUs: 1 + 6*float64(i%2), MemoryGB: 0.9 - float64(i)/1e4 + 50*float64((i+1)%2)}
		}},
	} {
		b.Run(c.name, func(b *testing.B) {
			benchsizes.Run(b, func(b *testing.B, machines int) {
				b.Helper()
				benchmarkPlan(b, machines, c.free)
			})
		})
	}
}

// benchmarkPlan measures a plan with a number of machines and a third as many waiting jobs.
func benchmarkPlan(b *testing.B, machines int, free func(i int) job.Resources) {
	b.Helper()
	var specs []protocol.JobSpec
	for i := range machines / 3 {
		specs = append(specs, protocol.JobSpec{UID: protocol.TaskName("wk", i), Tasks: 100, CPUs: 2, MemGB: 1 + float64(i%7)})
	}
	var states []partition.MachineState
	for i := range machines {
		states = append(states, octaMachine(protocol.TaskName("i", i), octa.Zones[i/2%2], free(i)))
	}
	scaler, leader := octaFleet(b, specs, states...)
	waiting := leader.WaitingJobs(t0)
	b.ResetTimer()
	for b.Loop() {
		scaler.Plan(t0, leader, waiting)
	}
}
