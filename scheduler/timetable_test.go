package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"junipershelf/job"
	"junipershelf/partition"
	"junipershelf/protocol"

	"pgregory.net/rapid"
)

// Jobs that are to start within 25 s, on a machine whose four slots fall free one after
// the other: of what comes at once only so much is guaranteed a start in time as slots
// fall free by then. By the sums of all work alone half as much again seemed in time.
func TestOnlyStartsThatSlotsAllowAreInTime(t *testing.T) {
	cfg := testConfig
	cfg.Targets = map[string][]Target{"q": {{Start: true, Within: 25 * time.Second}}}
	var specs []protocol.JobSpec
	for i := range 9 {
		specs = append(specs, protocol.JobSpec{UID: fmt.Sprintf("wk-%d", i), Class: "q", Team: "blue", CPUs: 1, Tasks: 1, ExpectedS: 40})
	}
	sched := New(cfg, teams(), 1, capacityOf, jobCache(specs...))
	busy := machine("a")
	busy.Free = job.Resources{}
	for k := range 4 {
		busy.Held = append(busy.Held, partition.HeldTasks{Job: "wk-0", Team: "blue", Resources: job.Resources{CPUs: 1}, Tasks: tasks(k), Phase: partition.PhaseRunning, PhaseS: float64(5 + 10*k)})
	}
	sched.ApplyUpdate(0, firstUpdate(busy), t0)
	inTime := 0
	for _, w := range sched.WaitingJobs(t0) {
		if !w.Deferred {
			inTime++
		}
	}
	// Slots fall free after 5, 15 and 25 s; half a task more or less is the rule's grain.
	if inTime < 2 || inTime > 3 {
		t.Errorf("%d of 8 jobs are thought to start in time", inTime)
	}
}

// A large job that came first and lies within its team's guarantee is not deferred for
// the many small ones that came after it.
func TestGuaranteedWorkIsNotDeferred(t *testing.T) {
	for _, within := range []time.Duration{0, 60 * time.Second} {
		cfg := testConfig
		cfg.GuaranteeWithin = within
		cfg.Targets = map[string][]Target{"q": {{Within: 40 * time.Second}}}
		specs := []protocol.JobSpec{{UID: "wk-1", Class: "q", Team: "blue", CPUs: 1, Tasks: 6, ExpectedS: 20}}
		for i := range 9 {
			specs = append(specs, protocol.JobSpec{UID: fmt.Sprintf("wk-2%d", i), Class: "q", Team: "blue", CPUs: 1, Tasks: 1, ExpectedS: 20})
		}
		sched := New(cfg, teams(), 1, capacityOf, jobCache(specs...))
		sched.ApplyUpdate(0, firstUpdate(machine("a")), t0)
		sched.RunCycle(t0)
		first := 0
		for _, a := range assignedTasks(sched, 0) {
			if a.Job == "wk-1" {
				first++
			}
		}
		if want := map[bool]int{false: 0, true: 4}[within > 0]; first < want || within == 0 && first > 0 {
			t.Errorf("within %v: %d tasks of the first job, want %d", within, first, want)
		}
	}
}

// timetableCase is jobs with targets that compete for one machine of four CPUs.
type timetableCase struct {
	scheduler *Scheduler
	teams     []Team
}

func drawTimetableCase(t *rapid.T) *timetableCase {
	cfg := testConfig
	cfg.Targets = map[string][]Target{"q": {{Within: 100 * time.Second}, {Times: 1}, {Times: 1.5}}}
	limited := []Team{{Name: "red", Limit: job.Resources{CPUs: 3}}, {Name: "blue", Limit: job.Resources{CPUs: 9}}}
	var specs []protocol.JobSpec
	for i := range rapid.IntRange(1, 9).Draw(t, "jobs") {
		specs = append(specs, protocol.JobSpec{
			UID: fmt.Sprintf("wk-%d", i), Class: "q", Team: rapid.SampledFrom([]string{"red", "blue"}).Draw(t, "team"),
			Priority: "normal", CPUs: 1, Tasks: rapid.IntRange(1, 12).Draw(t, "tasks"), ExpectedS: float64(rapid.IntRange(5, 40).Draw(t, "expected")),
			DeadlineS: float64(rapid.IntRange(10, 90).Draw(t, "deadline")),
		})
	}
	sched := New(cfg, limited, 1, capacityOf, jobCache(specs...))
	sched.ApplyUpdate(0, firstUpdate(machine("a")), t0)
	return &timetableCase{sched, limited}
}

// inTime reports whether jobs are in time one after the other, by the plain sums of their work.
func (c *timetableCase) inTime(jobs []*WaitingJob) bool {
	total, byTeam := 0.0, make([]float64, len(c.teams))
	for _, w := range jobs {
		total += w.cpuSeconds
		byTeam[w.Team] += w.cpuSeconds
		left := w.target.Sub(t0).Seconds() - w.estimateS/2 + 1e-6
		if total/4 > left || byTeam[w.Team]/c.teams[w.Team].Limit.CPUs > left {
			return false
		}
	}
	return true
}

// inTimeWith reports whether jobs are in time with one more that is to meet a target.
func (c *timetableCase) inTimeWith(jobs []*WaitingJob, w *WaitingJob, target time.Time) bool {
	added := *w
	added.setTarget(target)
	jobs = append(slices.Clone(jobs), &added)
	slices.SortFunc(jobs, func(a, b *WaitingJob) int {
		if servedBefore(a, b) {
			return -1
		}
		return 1
	})
	return c.inTime(jobs)
}

// What is not deferred is in time in the order of service, by the plain sums of work,
// and what is deferred could not be added to it by any of its later targets: the slow check of
// the rule and of the later targets.
func TestDeferredJobsCouldNotBeInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := drawTimetableCase(t)
		var inTime, deferred []*WaitingJob
		for _, w := range c.scheduler.WaitingJobs(t0) {
			if w.Deferred {
				deferred = append(deferred, w)
				continue
			}
			inTime = append(inTime, w)
			if len(deferred) > 0 {
				t.Fatal("a job that is in time waits behind a deferred one")
			}
		}
		if !c.inTime(inTime) {
			t.Fatal("not all that is not deferred is in time")
		}
		for _, w := range deferred {
			targets := c.scheduler.waiting.targetsOf(w, t0)
			for _, target := range targets[min(1, len(targets)):] {
				if c.inTimeWith(inTime, w, target) {
					t.Fatalf("%s was deferred, but could be in time by %v", w.Job.Spec.UID, target.Sub(t0))
				}
			}
		}
	})
}
