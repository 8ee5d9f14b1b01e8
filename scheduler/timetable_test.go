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

// Jobs should start within 25 s on a machine whose four slots become free one after the other. Of
// jobs submitted at the same time, only as many are considered in time as slots become free by
// then. If only the sums of work were compared, 1.5 times as many would be considered in time.
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
	// Slots become free after 5, 15 and 25 s; the estimate is accurate to half a task.
	if inTime < 2 || inTime > 3 {
		t.Errorf("%d of 8 jobs are considered in time, want 2 or 3", inTime)
	}
}

// A large job that was submitted first and is within its team's guarantee is not deferred in favour
// of many small jobs submitted after it.
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
			t.Errorf("GuaranteeWithin %v: %d tasks of the first job are assigned, want %d", within, first, want)
		}
	}
}

// timetableCase is a set of jobs with targets that compete for one machine of four CPUs.
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

// inTime reports whether jobs that run in the given order are in time, by summing their work.
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

// inTimeWith reports whether jobs are in time together with another one that has a target.
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

// Jobs that are not deferred are in time in the order of service, and no deferred job could be added
// to them with any of its later targets. The check sums the work again for each case, independently
// of the timetable's cumulative sums.
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
				t.Fatalf("job %s is in time but waits behind a deferred job", w.Job.Spec.UID)
			}
		}
		if !c.inTime(inTime) {
			t.Fatal("not all jobs that are not deferred are in time")
		}
		for _, w := range deferred {
			targets := c.scheduler.waiting.targetsOf(w, t0)
			for _, target := range targets[min(1, len(targets)):] {
				if c.inTimeWith(inTime, w, target) {
					t.Fatalf("job %s is deferred, but could be in time for the target at %v", w.Job.Spec.UID, target.Sub(t0))
				}
			}
		}
	})
}
