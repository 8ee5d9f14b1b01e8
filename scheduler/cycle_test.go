package scheduler

import (
	"testing"
	"time"

	"junipershelf/job"
	"junipershelf/partition"
	"junipershelf/protocol"
)

// Under overload higher priorities are served first, and teams of the same priority in turn by
// their fair shares, all within their guarantees before any borrows.
func TestServesByPriorityThenFairShare(t *testing.T) {
	m := jobCache(protocol.JobSpec{UID: "wk-1", Team: "red", CPUs: 1, Tasks: 20}, protocol.JobSpec{UID: "wk-2", Team: "blue", CPUs: 1, Tasks: 20},
		protocol.JobSpec{UID: "wk-3", Team: "blue", CPUs: 1, Tasks: 2, Priority: "urgent"})
	cfg := testConfig
	cfg.MaxQueuedPerMachine = 0
	sched := New(cfg, teams(), 1, capacityOf, m)
	sched.ApplyUpdate(0, firstUpdate(machine("a"), machine("b")), t0)
	sched.RunCycle(t0)
	count := map[string]int{}
	for i, a := range assignedTasks(sched, 0) {
		count[a.Job]++
		if i < 2 && a.Job != "wk-3" {
			t.Errorf("assignment %d is of %s, want wk-3", i, a.Job)
		}
	}
	// Eight CPUs: two for the urgent job of blue, then red and blue in the ratio of 3 to 6, blue's
	// urgent tasks included.
	if count["wk-3"] != 2 || count["wk-1"] != 3 || count["wk-2"] != 3 {
		t.Errorf("tasks by job: %v, want 2 of wk-3, 3 of wk-1 and 3 of wk-2", count)
	}
}

// For a fraction of an image's fetch time, a job does not use machines without its image. These
// machines go to jobs whose image they have, even if such jobs come later in the order of service. A
// job does not wait if few machines have its image.
func TestWaitsForMachinesWithImageForLimitedTime(t *testing.T) {
	cfg := testConfig
	cfg.MaxQueuedPerMachine, cfg.ImageWaitFactor, cfg.PullGBPerS = 0, 0.5, func() float64 { return 0.1 }
	spec := func(uid, image string, n int) protocol.JobSpec {
		return protocol.JobSpec{UID: uid, Team: "blue", CPUs: 1, Tasks: n, Image: image, ImageGB: 2}
	}
	for _, c := range []struct {
		name  string
		specs []protocol.JobSpec
		after time.Duration
		want  string
	}{
		{"jobs with the image go first", []protocol.JobSpec{spec("wk-1", "x", 3), spec("wk-2", "y", 9)}, time.Second, "wk-2 wk-2 wk-2 wk-2 "},
		{"the wait is limited", []protocol.JobSpec{spec("wk-1", "x", 3), spec("wk-2", "y", 9)}, 11 * time.Second, "wk-1 wk-1 wk-1 wk-2 "},
		{"no other job is waiting", []protocol.JobSpec{spec("wk-1", "x", 3)}, time.Second, "wk-1 wk-1 wk-1 "},
		{"few machines have the image", []protocol.JobSpec{spec("wk-1", "x", 30), spec("wk-2", "y", 9)}, time.Second, "wk-1 wk-1 wk-1 wk-1 "},
	} {
		sched := New(cfg, teams(), 1, capacityOf, jobCache(c.specs...))
		open, full := machine("a"), machine("b")
		open.Images, full.Images = []string{"y"}, []string{"x", "y"}
		full.Free.CPUs = 0
		sched.ApplyUpdate(0, firstUpdate(open, full), t0)
		sched.RunCycle(t0.Add(c.after))
		got := ""
		for _, a := range assignedTasks(sched, 0) {
			got += a.Job + " "
		}
		if got != c.want {
			t.Errorf("%s: assigned %q, want %q", c.name, got, c.want)
		}
	}
}

// A replica's slot does not become free by itself: no task is queued behind replicas, although
// their expected run time is 0.
func TestNothingQueuesBehindReplicas(t *testing.T) {
	cfg := testConfig
	cfg.MaxQueuedPerMachine = 3
	sched := New(cfg, teams(), 1, capacityOf, jobCache(protocol.JobSpec{UID: "wk-1", Team: "blue", CPUs: 1, Tasks: 4, Priority: "critical", Shape: protocol.ShapeService},
		protocol.JobSpec{UID: "wk-2", Team: "blue", CPUs: 1, Tasks: 4, ExpectedS: 10}))
	update := firstUpdate(machine("a"))
	update.Machines[0].Free.CPUs = 0
	update.Machines[0].Held = []partition.HeldTasks{{Job: "wk-1", Team: "blue", Resources: job.Resources{CPUs: 1}, Tasks: tasks(0, 1, 2, 3), Phase: partition.PhaseRunning, PhaseS: 50}}
	sched.ApplyUpdate(0, update, t0)
	sched.RunCycle(t0.Add(time.Second))
	if got := assignedTasks(sched, 0); len(got) != 0 {
		t.Errorf("%v are queued behind replicas, want none", got)
	}
}
