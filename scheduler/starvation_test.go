package scheduler

import (
	"fmt"
	"testing"
	"time"

	"junipershelf/job"
	"junipershelf/protocol"

	"pgregory.net/rapid"
)

// sustainedLoad is a scheduler with one owner and four machines, to which small jobs are submitted
// continuously in addition to two large ones. Tasks run exactly for their expected time.
type sustainedLoad struct {
	t         *rapid.T
	scheduler *Scheduler
	cache     *job.Cache
	owner     *ownerModel
	now       time.Time
	jobs      int // number submitted so far
	ends      map[job.Task]time.Time
	startedAt map[string]time.Time // by job: when its first task started
	submitted map[string]time.Time
	completed map[string]int // tasks by job
}

func newSustainedLoad(t *rapid.T) *sustainedLoad {
	cfg := testConfig
	cfg.MaxQueuedPerMachine, cfg.StarvationAfter = 0, 100*time.Second
	cfg.Targets = map[string][]Target{"small": {{Within: 60 * time.Second}}, "large": {{Within: 90 * time.Second}}}
	equalTeams := []Team{{Name: "red", Guarantee: job.Resources{CPUs: 6}, Limit: job.Resources{CPUs: 16}}, {Name: "blue", Guarantee: job.Resources{CPUs: 6}, Limit: job.Resources{CPUs: 16}}}
	cache := jobCache()
	return &sustainedLoad{
		t: t, scheduler: New(cfg, equalTeams, 1, capacityOf, cache), cache: cache, owner: newOwnerModel(0, "a", "b", "c", "d"), now: t0,
		ends: map[job.Task]time.Time{}, startedAt: map[string]time.Time{}, submitted: map[string]time.Time{}, completed: map[string]int{},
	}
}

// submit submits a job and returns its uid.
func (l *sustainedLoad) submit(spec protocol.JobSpec) string {
	l.jobs++
	spec.UID, spec.SpotAllowed, spec.CPUs = fmt.Sprintf("wk-%d", l.jobs), true, 1
	if err := l.cache.Set(spec.UID, job.Record{Spec: spec, SubmittedMS: l.now.UnixMilli()}, 1, l.now); err != nil {
		l.t.Fatal(err)
	}
	l.submitted[spec.UID] = l.now
	return spec.UID
}

// submitSmall submits a small job in most calls.
func (l *sustainedLoad) submitSmall() {
	if rapid.IntRange(0, 9).Draw(l.t, "arrival") == 9 {
		return
	}
	l.submit(protocol.JobSpec{
		Class: "small", Team: rapid.SampledFrom([]string{"red", "blue"}).Draw(l.t, "team"),
		Priority: rapid.SampledFrom([]protocol.Priority{protocol.PriorityUrgent, protocol.PriorityNormal}).Draw(l.t, "priority"), Tasks: rapid.IntRange(1, 8).Draw(l.t, "tasks"), ExpectedS: 10,
	})
}

// step completes the tasks that are due, runs a cycle and starts the assigned tasks.
func (l *sustainedLoad) step() {
	for task, at := range l.ends {
		if !l.now.Before(at) {
			delete(l.ends, task)
			l.owner.complete(task)
			l.completed[task.Job]++
		}
	}
	l.owner.leaderVersion = l.scheduler.ApplyUpdate(0, l.owner.update(l.scheduler), l.now)
	l.owner.completed = nil
	l.scheduler.RunCycle(l.now)
	for _, task := range l.owner.applyAssignments(l.scheduler.UnacknowledgedAssignments(0)) {
		l.ends[task] = l.now.Add(time.Duration(l.cache.Get(task.Job).Spec.ExpectedS) * time.Second)
		if l.startedAt[task.Job].IsZero() {
			l.startedAt[task.Job] = l.now
		}
	}
	l.now = l.now.Add(2 * time.Second)
}

// Under sustained load the Moore-Hodgson algorithm would defer some jobs indefinitely: a large job
// among continuously submitted small ones, or a job of low priority among urgent ones. A quarter of
// all capacity goes to jobs that have been deferred for long, first to those that have not started.
func TestDeferredJobsStartUnderSustainedLoad(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		load := newSustainedLoad(t)
		priority := rapid.SampledFrom([]protocol.Priority{protocol.PriorityBestEffort, protocol.PriorityNormal}).Draw(t, "priority of the large")
		large := []string{
			load.submit(protocol.JobSpec{Class: "large", Team: "red", Priority: priority, Tasks: 200, ExpectedS: 20}),
			load.submit(protocol.JobSpec{Class: "large", Team: "blue", Priority: priority, Tasks: 300, ExpectedS: 20}),
		}
		for load.now.Before(t0.Add(400 * time.Second)) {
			load.submitSmall()
			load.step()
		}
		completed := 0
		for _, uid := range large {
			if load.startedAt[uid].IsZero() || load.startedAt[uid].Sub(load.submitted[uid]) > 150*time.Second {
				t.Fatalf("job %s started %v after its submission, want at most 150 s", uid, load.startedAt[uid].Sub(load.submitted[uid]))
			}
			completed += load.completed[uid]
		}
		// Once the large jobs have started, a quarter of 16 CPUs completes 12 tasks of 20 s per minute.
		if completed < 16 {
			t.Fatalf("%d tasks of the large jobs completed, want at least 16", completed)
		}
	})
}
