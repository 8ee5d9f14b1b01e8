package autoscaler

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"junipershelf/job"
	"junipershelf/partition"
	"junipershelf/protocol"
	"junipershelf/scheduler"
)

var t0 = time.Unix(1_000_000, 0)

var testConfig = Config{
	IdleFactor: 2, BootFactor: 3, BootSlack: 5 * time.Second, NoCapacityPause: 10 * time.Second,
	OnDemandRank: 1, OnDemandWait: 20 * time.Second, UnreportedLimit: 20 * time.Second, MinRunBeforeStop: 35 * time.Second, EvictionHeadroom: 0.1, ListLag: 4 * time.Second,
}

func caps(string) (job.Resources, bool) { return job.Resources{CPUs: 4, MemoryGB: 32}, true }

func setup(t *testing.T, urgency string, pieces int, states ...partition.MachineState) (*Autoscaler, *scheduler.Scheduler) {
	t.Helper()
	m := job.NewCache(map[string]int{"red": 0})
	s := protocol.JobSpec{UID: "wk-1", Team: "red", Priority: urgency, CPUs: 1, Tasks: pieces, SpotAllowed: true, ExpectedS: 60}
	if pieces > 0 {
		if err := m.Set("wk-1", job.Record{Spec: s, SubmittedMS: t0.UnixMilli()}, 1, t0); err != nil {
			t.Fatal(err)
		}
	}
	d := scheduler.New(scheduler.Config{}, []scheduler.Team{{Name: "red", Guarantee: job.Resources{CPUs: 8}, Limit: job.Resources{CPUs: 16}}}, 1, caps, m)
	d.ApplyUpdate(0, partition.Update{Sequence: 1, Version: 1, Machines: states}, t0)
	p := New(testConfig)
	p.Catalogue = []protocol.MachineType{{Name: "quad", CPUs: 4, MemGB: 32, Price: 0.3, SpotPrice: 0.1, BootS: 10, Zones: []string{"z"}}}
	return p, d
}

func one(i int) (r job.Ranges) {
	r.Add(i)
	return r
}

func plan(p *Autoscaler, d *scheduler.Scheduler, now time.Time) (int, []string, []string) {
	planned := p.Plan(now, d, d.WaitingJobs(now))
	h, leave, drop := planned.Requests, planned.Evict, planned.Terminate
	n := 0
	for _, x := range h {
		n += x.Count
	}
	return n, leave, drop
}

// The fleet grows to the work, within the team's limit, and counts what is
// already on its way.
func TestGrowsToTheWork(t *testing.T) {
	p, d := setup(t, "normal", 100)
	h := p.Plan(t0, d, d.WaitingJobs(t0)).Requests
	if diff := cmp.Diff([]Request{{Offer{"quad", "z", true}, 4}}, h); diff != "" {
		t.Fatal(diff)
	}
	p.RecordRequest(h[0])
	if n, _, _ := plan(p, d, t0); n != 0 {
		t.Errorf("%d more while the first are asked for", n)
	}
	p.RecordGrant(h[0], []string{"a", "b"}, t0)
	if n, _, _ := plan(p, d, t0); n != 0 {
		t.Errorf("%d more right after a partly filled hire", n)
	}
	if n, _, _ := plan(p, d, t0.Add(11*time.Second)); n != 2 {
		t.Errorf("%d more after the pause, want the missing 2", n)
	}
}

// A large fleet is asked for at once, by calls of what one call may ask for.
func TestAsksInParallel(t *testing.T) {
	p, d := setup(t, "normal", 1000)
	d.Teams[0].Limit.CPUs = 480
	h := p.Plan(t0, d, d.WaitingJobs(t0)).Requests
	if diff := cmp.Diff([]Request{{Offer{"quad", "z", true}, 50}, {Offer{"quad", "z", true}, 50}, {Offer{"quad", "z", true}, 20}}, h); diff != "" {
		t.Error(diff)
	}
}

// Ordinary machines are for urgent work that has waited, with no spot to be had.
func TestOrdinaryMachines(t *testing.T) {
	for _, c := range []struct {
		urgency string
		after   time.Duration
		want    bool
	}{{"urgent", 15 * time.Second, false}, {"urgent", 25 * time.Second, true}, {"best_effort", 25 * time.Second, false}} {
		p, d := setup(t, c.urgency, 4)
		p.RecordNoCapacity(Request{Offer{"quad", "z", true}, 1}, t0.Add(c.after))
		h := p.Plan(t0.Add(c.after), d, d.WaitingJobs(t0.Add(c.after))).Requests
		if got := len(h) == 1 && !h[0].Spot; got != c.want {
			t.Errorf("%s after %v: %+v", c.urgency, c.after, h)
		}
	}
}

// A machine that never comes up or that the cloud calls failed is given back,
// and so is an idle one when nothing waits for it.
func TestGivenBack(t *testing.T) {
	idle := partition.MachineState{ID: "i", MachineType: "quad", Zone: "z", Spot: true, Usable: true, Reported: true, IdleS: 30, Free: job.Resources{CPUs: 4, MemoryGB: 32}}
	p, d := setup(t, "normal", 0, idle)
	p.RecordGrant(Request{Offer{"quad", "z", true}, 1}, []string{"b"}, t0)
	p.ObserveList(t0, []protocol.CloudMachine{{ID: "f", MachineType: "quad", Zone: "z", Spot: true, Status: "failed"}, {ID: "i", MachineType: "quad", Status: "running"}})
	_, leave, drop := plan(p, d, t0.Add(30*time.Second))
	if diff := cmp.Diff([][]string{{"i"}, {"f"}}, [][]string{leave, drop}); diff != "" {
		t.Error(diff)
	}
	if _, _, drop = plan(p, d, t0.Add(36*time.Second)); !cmp.Equal(drop, []string{"b", "f"}) {
		t.Errorf("after three boot times: %v", drop)
	}
	p.MachinesTerminated([]string{"b", "f"}, t0.Add(37*time.Second))
	p.ObserveList(t0.Add(38*time.Second), []protocol.CloudMachine{{ID: "b", MachineType: "quad", Status: "booting", AgeS: 99}})
	if _, _, drop = plan(p, d, t0.Add(38*time.Second)); len(drop) != 0 {
		t.Errorf("a lagging list brought %v back", drop)
	}
}

// After a change of leader no machine has reported yet, and the list shows old
// machines as running. Once the whole fleet was given up for booting too long.
func TestNewLeaderKeepsTheFleet(t *testing.T) {
	p, d := setup(t, "normal", 4, partition.MachineState{ID: "a", MachineType: "quad", Zone: "z", Spot: true})
	p.ObserveList(t0, []protocol.CloudMachine{
		{ID: "a", MachineType: "quad", Zone: "z", Spot: true, Status: "running", AgeS: 500},
		{ID: "b", MachineType: "quad", Zone: "z", Spot: true, Status: "running", AgeS: 500},
	})
	if n, leave, drop := plan(p, d, t0.Add(time.Second)); n != 0 || len(leave)+len(drop) != 0 {
		t.Errorf("hires %d, leaves %v, drops %v", n, leave, drop)
	}
	if _, _, drop := plan(p, d, t0.Add(21*time.Second)); len(drop) != 2 {
		t.Errorf("never heard of: drops %v", drop)
	}
}

// When nothing waits, a machine whose work fits elsewhere is drained: the dear
// one first, one at a time, and only when what it would stop has stood a while.
func TestDrainsWhatFitsElsewhere(t *testing.T) {
	state := func(id string, spot bool, free float64) partition.MachineState {
		return partition.MachineState{ID: id, MachineType: "quad", Zone: "z", Spot: spot, Usable: true, Reported: true, IdleS: -1, Free: job.Resources{CPUs: free, MemoryGB: 32}}
	}
	for _, c := range []struct {
		name     string
		free     float64
		forS     float64
		leaving  bool
		expected []string
	}{{"fits", 3, 50, false, []string{"c"}}, {"no room", 0, 50, false, nil}, {"too young", 3, 20, false, nil}, {"another drains", 3, 50, true, nil}} {
		states := []partition.MachineState{state("a", true, c.free), state("b", true, 0), state("c", false, 3)}
		states[1].Evicting = c.leaving
		p, d := setup(t, "normal", 4, states...)
		l := d.Job("wk-1")
		l.Spec.CheckpointIntervalS = 10
		for i, k := range []int{0, 1, 2, 1} {
			states[k].Held = append(states[k].Held, partition.HeldTasks{Job: "wk-1", Team: "red", Resources: job.Resources{CPUs: 1}, Tasks: one(i), Phase: partition.PhaseRunning, PhaseS: c.forS})
		}
		d.ApplyUpdate(0, partition.Update{Sequence: 2, Version: 2, Machines: states}, t0)
		if _, leave, _ := plan(p, d, t0); !cmp.Equal(leave, c.expected) {
			t.Errorf("%s: leaves %v, want %v", c.name, leave, c.expected)
		}
	}
}

// Of a large fleet some machines are always idle or about to boot. Once nothing was
// drained while that was so, and a thousand machines emptied one by one.
func TestDrainsBesideIdleAndBootingMachines(t *testing.T) {
	state := func(id string, free, idle float64) partition.MachineState {
		return partition.MachineState{ID: id, MachineType: "quad", Zone: "z", Spot: true, Usable: true, Reported: true, IdleS: idle, Free: job.Resources{CPUs: free, MemoryGB: 32}}
	}
	states := []partition.MachineState{state("a", 3, -1), state("b", 2, -1), state("idle", 4, 60)}
	p, d := setup(t, "normal", 2, states...)
	d.Job("wk-1").Spec.CheckpointIntervalS = 10
	for i, k := range []int{0, 1, 1} {
		states[k].Held = append(states[k].Held, partition.HeldTasks{Job: "wk-1", Team: "red", Resources: job.Resources{CPUs: 1}, Tasks: one(i), Phase: partition.PhaseRunning, PhaseS: 50})
	}
	d.ApplyUpdate(0, partition.Update{Sequence: 2, Version: 2, Machines: states}, t0)
	p.RecordGrant(Request{Offer{"quad", "z", true}, 1}, []string{"boots"}, t0)
	if _, leave, _ := plan(p, d, t0); !cmp.Equal(leave, []string{"idle", "a"}) {
		t.Errorf("leaves %v, want the idle one and the emptiest", leave)
	}
}

// A team at its limit with a part of it queued on full machines wants machines
// for that part.
func TestRentsForWhatQueues(t *testing.T) {
	full := partition.MachineState{ID: "a", MachineType: "quad", Zone: "z", Spot: true, Usable: true, Reported: true, IdleS: -1, Free: job.Resources{CPUs: -12, MemoryGB: 32}}
	p, d := setup(t, "normal", 100, full)
	for i := range 16 {
		phase := partition.PhaseQueued
		if i < 4 {
			phase = partition.PhaseRunning
		}
		full.Held = append(full.Held, partition.HeldTasks{Job: "wk-1", Team: "red", Resources: job.Resources{CPUs: 1}, Tasks: one(i), Phase: phase})
	}
	d.ApplyUpdate(0, partition.Update{Sequence: 2, Version: 2, Machines: []partition.MachineState{full}}, t0)
	if n, _, _ := plan(p, d, t0); n != 3 {
		t.Errorf("rents %d, want 3 for the 12 that queue", n)
	}
}
