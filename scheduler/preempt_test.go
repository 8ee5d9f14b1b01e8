package scheduler

import (
	"fmt"
	"testing"
	"time"

	"junipershelf/job"
	"junipershelf/partition"
	"junipershelf/protocol"
)

// An urgent job preempts the cheapest task of a lower priority; a team within its guarantee preempts
// tasks of a team that exceeds its own; no other task is preempted.
func TestPreemptsLowerPriorityAndBorrowedWork(t *testing.T) {
	cfg := testConfig
	cfg.MaxQueuedPerMachine, cfg.PreemptAfter, cfg.MinRunBeforeStop, cfg.MaxPreemptionLoss = 0, 4*time.Second, 30*time.Second, 42*time.Second
	for _, c := range []struct {
		name     string
		priority protocol.Priority
		team     string
		used     map[string][]protocol.Priority // priority of held jobs by team, one CPU each
		expected string
	}{
		{"urgent job preempts task with checkpoints", "urgent", "blue", map[string][]protocol.Priority{"blue": {"normal", "best_effort", "normal", "normal"}}, "wk-blue1"},
		{"equal priority is not preempted", "urgent", "blue", map[string][]protocol.Priority{"blue": {"urgent", "urgent", "urgent", "urgent"}}, ""},
		{"guarantee preempts borrowed CPUs", "best_effort", "blue", map[string][]protocol.Priority{"red": {"urgent", "urgent", "urgent", "urgent"}}, "wk-red0"},
		{"guarantee does not preempt within guarantee", "best_effort", "red", map[string][]protocol.Priority{"blue": {"urgent", "urgent", "urgent", "urgent"}}, ""},
	} {
		specs := []protocol.JobSpec{{UID: "wk-new", Team: c.team, CPUs: 1, Tasks: 1, Priority: c.priority}}
		update := firstUpdate(machine("a"))
		update.Machines[0].Free.CPUs = 0
		for team, priorities := range c.used {
			for i, priority := range priorities {
				s := protocol.JobSpec{UID: fmt.Sprintf("wk-%s%d", team, i), Team: team, CPUs: 1, Tasks: 1, Priority: priority, ExpectedS: 600}
				if priority == "best_effort" {
					s.CheckpointIntervalS, s.CheckpointDurationS = 30, 3
				}
				specs = append(specs, s)
				update.Machines[0].Held = append(update.Machines[0].Held, partition.HeldTasks{
					Job: s.UID, Team: team, Resources: job.Resources{CPUs: 1},
					Tasks: tasks(0), Phase: partition.PhaseRunning, PhaseS: float64(31 + i),
				})
			}
		}
		sched := New(cfg, teams(), 1, capacityOf, jobCache(specs...))
		sched.ApplyUpdate(0, update, t0)
		sched.RunCycle(t0.Add(3 * time.Second))
		if s := sched.Preemptions(0); len(s) != 0 {
			t.Errorf("%s: %v are preempted before PreemptAfter, want none", c.name, s)
		}
		sched.RunCycle(t0.Add(5 * time.Second))
		sched.RunCycle(t0.Add(6 * time.Second))
		got := ""
		for _, s := range sched.Preemptions(0) {
			got += s.Job
		}
		if got != c.expected {
			t.Errorf("%s: preempts %q, want %q", c.name, got, c.expected)
		}
	}
}

// Tasks are preempted for replicas after servicePreemptAfter, and each replica is assigned to the
// machine whose tasks are stopped for it. Replicas do not exceed the limit of their team, tasks that
// have run for long are not preempted, and two replicas go to different machines.
func TestPreemptsForReplicasWithinLimits(t *testing.T) {
	cfg := testConfig
	cfg.MaxQueuedPerMachine, cfg.PreemptAfter, cfg.MinRunBeforeStop, cfg.MaxPreemptionLoss = 0, 20*time.Second, 30*time.Second, 5*time.Second
	for _, c := range []struct {
		name     string
		replicas int
		ran      float64
		want     int
	}{{"two replicas on two machines", 2, 10, 2}, {"up to the team limit of five", 9, 10, 5}, {"tasks that have run for long are kept", 2, 25, 0}} {
		specs := []protocol.JobSpec{
			{UID: "wk-1", Team: "red", CPUs: 1, Tasks: c.replicas, Priority: "critical", Shape: protocol.ShapeService},
			{UID: "wk-2", Team: "blue", CPUs: 1, Tasks: 8, ExpectedS: 100},
		}
		update := firstUpdate(machine("a"), machine("b"))
		for i := range update.Machines {
			update.Machines[i].Free.CPUs = 0
			update.Machines[i].Held = []partition.HeldTasks{{Job: "wk-2", Team: "blue", Resources: job.Resources{CPUs: 1}, Tasks: tasks(4*i, 4*i+1, 4*i+2, 4*i+3), Phase: partition.PhaseRunning, PhaseS: c.ran}}
		}
		sched := New(cfg, teams(), 1, capacityOf, jobCache(specs...))
		sched.ApplyUpdate(0, update, t0)
		sched.RunCycle(t0.Add(500 * time.Millisecond))
		if len(sched.Preemptions(0)) > 0 {
			t.Errorf("%s: tasks are preempted before servicePreemptAfter, want none", c.name)
		}
		for s := 1; s < 4; s++ {
			sched.RunCycle(t0.Add(time.Duration(s) * 1200 * time.Millisecond))
		}
		on := map[string]int{}
		for _, a := range sched.UnacknowledgedAssignments(0) {
			on[a.Machine] += a.Tasks.Len()
		}
		if n := on["a"] + on["b"]; n != c.want || len(sched.Preemptions(0)) != c.want {
			t.Errorf("%s: %d replicas assigned and %d tasks preempted, want %d of each", c.name, n, len(sched.Preemptions(0)), c.want)
		}
		if c.want == 2 && (on["a"] != 1 || on["b"] != 1) {
			t.Errorf("%s: replicas by machine: %v, want one on each", c.name, on)
		}
	}
}

// The number of tasks preempted in one cycle is limited, for one job and in total.
func TestPreemptionsOfACycleAreLimited(t *testing.T) {
	cfg := testConfig
	cfg.MaxQueuedPerMachine, cfg.PreemptAfter, cfg.MaxPreemptionLoss = 0, 4*time.Second, time.Minute
	const machines = 40 // with four tasks each
	for _, c := range []struct{ jobs, want int }{{1, maxJobPreemptions}, {4, 4 * maxJobPreemptions}, {20, maxCyclePreemptions}} {
		specs := []protocol.JobSpec{{UID: "wk-low", Team: "blue", CPUs: 1, Tasks: 4 * machines, ExpectedS: 6000}}
		for i := range c.jobs {
			specs = append(specs, protocol.JobSpec{UID: fmt.Sprintf("wk-%02d", i), Team: "blue", CPUs: 1, Tasks: 20, Priority: "urgent", ExpectedS: 60})
		}
		var states []partition.MachineState
		for i := range machines {
			state := machine(fmt.Sprintf("i-%02d", i))
			state.Free.CPUs = 0
			state.Held = []partition.HeldTasks{{Job: "wk-low", Team: "blue", Resources: job.Resources{CPUs: 1}, Tasks: tasks(4*i, 4*i+1, 4*i+2, 4*i+3), Phase: partition.PhaseRunning, PhaseS: 35}}
			states = append(states, state)
		}
		unlimited := []Team{{Name: "red"}, {Name: "blue", Limit: job.Resources{CPUs: 100 * machines}}}
		sched := New(cfg, unlimited, 1, capacityOf, jobCache(specs...))
		sched.ApplyUpdate(0, firstUpdate(states...), t0)
		sched.RunCycle(t0.Add(5 * time.Second))
		if got := len(sched.Preemptions(0)); got != c.want {
			t.Errorf("%d jobs: %d tasks preempted, want %d", c.jobs, got, c.want)
		}
	}
}

// preemptions returns how many tasks are preempted in a cycle for a job that has waited long enough. The
// machines run tasks of wk-low with one CPU each, and have some CPUs free. The cheapest task of each
// machine is cheaper than the second of any.
func preemptions(t *testing.T, free float64, waiting protocol.JobSpec, states ...partition.MachineState) (*Scheduler, int) {
	t.Helper()
	cfg := testConfig
	cfg.MaxQueuedPerMachine, cfg.PreemptAfter, cfg.MaxPreemptionLoss = 0, 4*time.Second, time.Minute
	low := protocol.JobSpec{UID: "wk-low", Team: "blue", CPUs: 1, Priority: "best_effort", ExpectedS: 6000}
	for i := range states {
		states[i].Free.CPUs = free
		for k := range 4 - int(free) {
			states[i].Held = append(states[i].Held, partition.HeldTasks{Job: "wk-low", Team: "blue", Resources: job.Resources{CPUs: 1}, Tasks: tasks(low.Tasks), Phase: partition.PhaseRunning, PhaseS: float64(20 + 8*k)})
			low.Tasks++
		}
	}
	sched := New(cfg, []Team{{Name: "red"}, {Name: "blue", Limit: job.Resources{CPUs: 100}}}, 1, capacityOf, jobCache(waiting, low))
	sched.ApplyUpdate(0, firstUpdate(states...), t0)
	sched.RunCycle(t0.Add(5 * time.Second))
	return sched, len(sched.Preemptions(0))
}

// Guards against free CPUs of one machine that count for several tasks: tasks were stopped there for two, and
// only one had room.
func TestPreemptsOnlyWhereTheFreedCapacityFits(t *testing.T) {
	wide := protocol.JobSpec{UID: "wk-1", Team: "blue", CPUs: 3, Tasks: 2, Priority: "urgent", ExpectedS: 60}
	if _, got := preemptions(t, 2, wide, machine("a")); got != 1 {
		t.Errorf("%d tasks are preempted, want 1 for the only task that fits", got)
	}
}

// Guards against pieces that become free on several machines and count as room for a task that fits on none
// of them: nothing was preempted for it until they were free.
func TestPiecesToBecomeFreeOnSeveralMachinesAreNoRoomForOneTask(t *testing.T) {
	small := protocol.JobSpec{UID: "wk-1", Team: "blue", CPUs: 1, Tasks: 4, Priority: "urgent", ExpectedS: 60}
	sched, got := preemptions(t, 0, small, machine("a"), machine("b"), machine("c"), machine("d"))
	if got != 4 {
		t.Fatalf("%d tasks are preempted, want 4", got)
	}
	sched.cluster.jobs.Remove("wk-1", t0)
	wide := protocol.JobSpec{UID: "wk-2", Team: "blue", CPUs: 4, Tasks: 1, Priority: "urgent", ExpectedS: 60}
	if err := sched.cluster.jobs.Set(wide.UID, job.Record{Spec: wide, SubmittedMS: t0.UnixMilli()}, 2, t0); err != nil {
		t.Fatal(err)
	}
	sched.RunCycle(t0.Add(6 * time.Second))
	byMachine := map[int]int{}
	for _, task := range sched.Preemptions(0) {
		byMachine[task.Index/4]++
	}
	if len(byMachine) != 4 || byMachine[0] != 4 {
		t.Errorf("preempted tasks by machine %v, want one on each and all four of the first", byMachine)
	}
}

// Guards against tasks that are stopped and started again in turns: what was freed went to their own job again,
// since it is served before the job for which they were stopped.
func TestPreemptsNoTaskWhoseJobIsServedBefore(t *testing.T) {
	for _, c := range []struct {
		name      string
		expectedS float64 // of the waiting job; jobs with longer tasks are served first
		deadlineS float64
		want      int
	}{{"served after the victim's job", 60, 0, 0}, {"served before by its longer tasks", 300, 0, 1}, {"served before by its deadline", 60, 600, 1}} {
		waiting := protocol.JobSpec{UID: "wk-1", Team: "blue", CPUs: 1, Tasks: 1, Priority: "normal", ExpectedS: c.expectedS, DeadlineS: c.deadlineS}
		cfg := testConfig
		cfg.MaxQueuedPerMachine, cfg.PreemptAfter, cfg.MaxPreemptionLoss = 0, 4*time.Second, time.Minute
		full := machine("a")
		full.Free.CPUs = 0
		full.Held = []partition.HeldTasks{{Job: "wk-low", Team: "blue", Resources: job.Resources{CPUs: 1}, Tasks: tasks(0, 1, 2, 3), Phase: partition.PhaseRunning, PhaseS: 35}}
		low := protocol.JobSpec{UID: "wk-low", Team: "blue", CPUs: 1, Tasks: 4, Priority: "best_effort", ExpectedS: 200}
		guaranteed := []Team{{Name: "red"}, {Name: "blue", Guarantee: job.Resources{CPUs: 100}, Limit: job.Resources{CPUs: 100}}}
		sched := New(cfg, guaranteed, 1, capacityOf, jobCache(waiting, low))
		sched.ApplyUpdate(0, firstUpdate(full), t0)
		sched.RunCycle(t0.Add(5 * time.Second))
		if got := len(sched.Preemptions(0)); got != c.want {
			t.Errorf("%s: %d tasks are preempted, want %d", c.name, got, c.want)
		}
	}
}

// Guards against tasks that are stopped and started in turns for a gang that cannot run: for a part of its places,
// or beyond the limit of its team.
func TestPreemptsForAWholeGangOrNotAtAll(t *testing.T) {
	gang := protocol.JobSpec{UID: "wk-1", Team: "blue", CPUs: 3, Tasks: 2, Priority: "urgent", ExpectedS: 60, Shape: protocol.ShapeGang}
	inOneZone := gang
	inOneZone.SameZone = true
	beyondLimit := gang
	beyondLimit.CPUs, beyondLimit.Tasks = 3, 34
	twoZones := []partition.MachineState{machine("a"), machine("b")}
	twoZones[1].Zone = "y"
	for _, c := range []struct {
		name   string
		spec   protocol.JobSpec
		states []partition.MachineState
		want   int
	}{
		{"on two machines", gang, []partition.MachineState{machine("a"), machine("b")}, 6},
		{"one machine is missing", gang, []partition.MachineState{machine("a")}, 0},
		{"in one zone", inOneZone, []partition.MachineState{machine("a"), machine("b")}, 6},
		{"one machine in each of two zones", inOneZone, twoZones, 0},
		{"beyond the limit of its team", beyondLimit, []partition.MachineState{machine("a"), machine("b")}, 0},
	} {
		sched, got := preemptions(t, 0, c.spec, c.states...)
		if got != c.want {
			t.Errorf("%s: %d tasks are preempted, want %d", c.name, got, c.want)
		}
		sched.RunCycle(t0.Add(6 * time.Second))
		if again := len(sched.Preemptions(0)); again != got {
			t.Errorf("%s: %d tasks are preempted after another cycle, want %d", c.name, again, got)
		}
	}
}
