package scheduler

import (
	"fmt"
	"testing"
	"time"

	"junipershelf/job"
	"junipershelf/protocol"

	"pgregory.net/rapid"
)

// sustainedLoad is a scheduler with one owner, whose four machines get ever new small jobs beside
// two large ones. Tasks run exactly as long as they are expected to.
type sustainedLoad struct {
	t         *rapid.T
	scheduler *Scheduler
	cache     *job.Cache
	owner     *ownerModel
	now       time.Time
	jobs      int // submitted so far
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

// submitSmall submits a small job most of the times.
func (l *sustainedLoad) submitSmall() {
	if rapid.IntRange(0, 9).Draw(l.t, "arrival") == 9 {
		return
	}
	l.submit(protocol.JobSpec{
		Class: "small", Team: rapid.SampledFrom([]string{"red", "blue"}).Draw(l.t, "team"),
		Priority: rapid.SampledFrom([]protocol.Priority{protocol.PriorityUrgent, protocol.PriorityNormal}).Draw(l.t, "priority"), Tasks: rapid.IntRange(1, 8).Draw(l.t, "tasks"), ExpectedS: 10,
	})
}

// step completes the tasks that are due, runs a cycle and starts what it assigns.
func (l *sustainedLoad) step() {
	for task, at := range l.ends {
		if !l.now.Before(at) {
			delete(l.ends, task)
			l.owner.complete(task)
			l.completed[task.Job]++
		}
	}
	l.owner.leaderHas = l.scheduler.ApplyUpdate(0, l.owner.update(l.scheduler), l.now)
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

// What Moore and Hodgson's rule defers would be deferred for ever under a lasting
// load: a large job among ever new small ones, a low class beside an urgent one. A
// quarter of all room goes to what was deferred for long, those that have not begun
// first.
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
				t.Fatalf("%s began after %v", uid, load.startedAt[uid].Sub(load.submitted[uid]))
			}
			completed += load.completed[uid]
		}
		// A quarter of 16 CPUs, from when they begin: 12 tasks of 20 s each minute.
		if completed < 16 {
			t.Fatalf("%d tasks of the large jobs completed", completed)
		}
	})
}
