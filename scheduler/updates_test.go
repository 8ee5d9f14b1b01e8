package scheduler

import (
	"fmt"
	"math"
	"testing"
	"time"

	"junipershelf/job"
	"junipershelf/partition"
	"junipershelf/protocol"

	"pgregory.net/rapid"
)

// ownersModel is a scheduler with models of its owners. Updates are repeated or arrive out of order,
// and replies are lost.
type ownersModel struct {
	scheduler *Scheduler
	owners    []*ownerModel
	completed map[job.Task]bool
	now       time.Time
}

func newOwnersModel(t *rapid.T) *ownersModel {
	var specs []protocol.JobSpec
	for i := range rapid.IntRange(1, 5).Draw(t, "jobs") {
		specs = append(specs, protocol.JobSpec{
			UID: fmt.Sprintf("wk-%d", i), Team: rapid.SampledFrom([]string{"red", "blue"}).Draw(t, "team"),
			Priority: rapid.SampledFrom(protocol.Priorities).Draw(t, "priority"),
			CPUs:     float64(rapid.IntRange(1, 3).Draw(t, "cpus")), Tasks: rapid.IntRange(1, 12).Draw(t, "tasks"),
		})
	}
	m := &ownersModel{
		scheduler: New(testConfig, teams(), 2, capacityOf, jobCache(specs...)), now: t0, completed: map[job.Task]bool{},
		owners: []*ownerModel{newOwnerModel(0, "a", "c"), newOwnerModel(1, "b", "d", "e")},
	}
	for _, owner := range m.owners {
		m.scheduler.ApplyUpdate(owner.index, owner.update(m.scheduler), t0)
	}
	return m
}

// step advances time by one second and draws an owner.
func (m *ownersModel) step(t *rapid.T) *ownerModel {
	m.now = m.now.Add(time.Second)
	return rapid.SampledFrom(m.owners).Draw(t, "owner")
}

// sendUpdate sends an owner's update and delivers the reply.
func (m *ownersModel) sendUpdate(t *rapid.T) {
	owner := m.step(t)
	owner.leaderVersion = m.scheduler.ApplyUpdate(owner.index, owner.update(m.scheduler), m.now)
	m.scheduler.RunCycle(m.now)
	owner.applyAssignments(m.scheduler.UnacknowledgedAssignments(owner.index))
}

// loseReply sends an owner's update and loses the reply.
func (m *ownersModel) loseReply(t *rapid.T) {
	owner := m.step(t)
	m.scheduler.ApplyUpdate(owner.index, owner.update(m.scheduler), m.now)
	m.scheduler.RunCycle(m.now)
}

// repeatUpdate delivers an old update again.
func (m *ownersModel) repeatUpdate(t *rapid.T) {
	owner := m.step(t)
	m.scheduler.ApplyUpdate(owner.index, rapid.SampledFrom(owner.sent).Draw(t, "sent"), m.now)
	m.scheduler.RunCycle(m.now)
}

// completeTask completes a held task.
func (m *ownersModel) completeTask(t *rapid.T) {
	if owner, task := m.drawHeldTask(t); owner != nil {
		m.completed[task] = true
		owner.complete(task)
	}
}

// returnTask makes an owner release a task that it has not completed.
func (m *ownersModel) returnTask(t *rapid.T) {
	if owner, task := m.drawHeldTask(t); owner != nil {
		owner.release(task)
	}
}

func (m *ownersModel) drawHeldTask(t *rapid.T) (*ownerModel, job.Task) {
	owner := m.step(t)
	if len(owner.held) == 0 {
		return nil, job.Task{}
	}
	return owner, rapid.SampledFrom(owner.heldTasks()).Draw(t, "task")
}

// check checks the invariants that hold after each step.
func (m *ownersModel) check(t *rapid.T) {
	checkCounts(t, m.scheduler)
	m.checkHeld(t)
}

// checkHeld checks that no task is held twice or after it completed, and that no team exceeds its
// limit.
func (m *ownersModel) checkHeld(t *rapid.T) {
	used, seen := map[string]float64{}, map[job.Task]bool{}
	for _, owner := range m.owners {
		for task := range owner.held {
			if seen[task] || m.completed[task] {
				t.Fatalf("task %v is held twice or after it completed", task)
			}
			seen[task] = true
			spec := &m.scheduler.Job(task.Job).Spec
			used[spec.Team] += spec.CPUs
		}
	}
	for _, team := range teams() {
		if used[team.Name] > team.Limit.CPUs {
			t.Fatalf("team %s uses %v CPUs, its limit is %v", team.Name, used[team.Name], team.Limit.CPUs)
		}
	}
}

// Whichever updates and replies are lost or repeated, no task is held twice or after it completed,
// no team exceeds its limit, and the leader's counts agree with a recount.
func TestOwnersHoldEachTaskOnceDespiteLostMessages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newOwnersModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"send update":       m.sendUpdate,
			"send update again": m.sendUpdate, // listed twice, so that it is as likely as completing or returning a task
			"lose reply":        m.loseReply,
			"repeat update":     m.repeatUpdate,
			"complete task":     m.completeTask,
			"return task":       m.returnTask,
			"":                  m.check,
		})
	})
}

// recount holds the counts that checkCounts computes from the reported and assigned tasks.
type recount struct {
	held, running, queued map[string]int // by job
	holders               map[job.Task]int
	usedCPUs              []float64 // by team
}

// checkCounts compares the leader's counts, which are updated incrementally, with a recount.
func checkCounts(t *rapid.T, sched *Scheduler) {
	t.Helper()
	r := &recount{held: map[string]int{}, running: map[string]int{}, queued: map[string]int{}, holders: map[job.Task]int{}, usedCPUs: make([]float64, len(sched.Teams))}
	for _, m := range sched.Machines() {
		r.addMachine(sched, m)
		checkFreeCPUs(t, sched, m)
	}
	for owner := range sched.cluster.owners {
		r.addUnacked(sched.UnacknowledgedAssignments(owner))
	}
	for i := range sched.Teams {
		if !almostEqual(r.usedCPUs[i], sched.Teams[i].used.CPUs) {
			t.Fatalf("team %d: used CPUs are %v, recounted %v", i, sched.Teams[i].used.CPUs, r.usedCPUs[i])
		}
	}
	for uid, live := range sched.cluster.jobs.Jobs {
		r.checkJob(t, sched.cluster.entry(uid), live)
	}
}

func (r *recount) addMachine(sched *Scheduler, m *Machine) {
	for _, h := range m.Held {
		count := h.Tasks.Len()
		r.held[h.Job] += count
		if h.Phase == partition.PhaseRunning {
			r.running[h.Job] += count
		}
		if h.Phase == partition.PhaseQueued {
			r.queued[h.Job] += count
		}
		r.usedCPUs[sched.cluster.quotas.byName[h.Team]] += h.Resources.CPUs * float64(count)
		r.addHolders(h.Job, h.Tasks)
	}
}

func (r *recount) addUnacked(assignments []Assignment) {
	for _, a := range assignments {
		r.held[a.Job] += a.count
		r.usedCPUs[a.team] += a.resources.CPUs * float64(a.count)
		r.addHolders(a.Job, a.Tasks)
	}
}

func (r *recount) addHolders(uid string, tasks job.Ranges) {
	for i := range tasks.All() {
		r.holders[job.Task{Job: uid, Index: i}]++
	}
}

func (r *recount) checkJob(t *rapid.T, entry *jobEntry, live *job.CachedJob) {
	t.Helper()
	uid, unassigned := entry.uid, 0
	for i := range live.Spec.Tasks {
		if r.holders[job.Task{Job: uid, Index: i}] == 0 && !live.Completed.Has(i) {
			unassigned++
		}
	}
	if entry.held != r.held[uid] || entry.running != r.running[uid] || entry.queued != r.queued[uid] || entry.unassignedCount != unassigned {
		t.Fatalf("job %s: %d held, %d running, %d queued, %d unassigned; recounted %d, %d, %d, %d", uid,
			entry.held, entry.running, entry.queued, entry.unassignedCount, r.held[uid], r.running[uid], r.queued[uid], unassigned)
	}
}

func checkFreeCPUs(t *rapid.T, sched *Scheduler, m *Machine) {
	t.Helper()
	free := m.Capacity.CPUs
	for _, h := range m.Held {
		free -= h.Resources.CPUs * float64(h.Tasks.Len())
	}
	for _, a := range sched.UnacknowledgedAssignments(m.Owner) {
		if a.Machine == m.ID {
			free -= a.resources.CPUs * float64(a.count)
		}
	}
	if !almostEqual(free, m.FreeNow.CPUs) {
		t.Fatalf("machine %s has %v CPUs free, recounted %v", m.ID, m.FreeNow.CPUs, free)
	}
}

func almostEqual(a, b float64) bool { return math.Abs(a-b) <= 1e-9 }

// Until an owner has sent an update, the state of its shard records counts: its machines are assigned
// no tasks, its tasks are not assigned elsewhere and count against the team's limit. Meanwhile tasks
// are assigned to machines of the other owners. After its first update, the reported state counts.
func TestUnsyncedOwnerIsRestoredFromItsRecords(t *testing.T) {
	m := jobCache(protocol.JobSpec{UID: "wk-1", Team: "red", CPUs: 1, Tasks: 9})
	sched := New(testConfig, teams(), 2, capacityOf, m)
	restored := machine("b")
	restored.Usable, restored.Reported = false, false
	restored.Held = []partition.HeldTasks{{Job: "wk-1", Team: "red", Resources: job.Resources{CPUs: 1}, Tasks: tasks(0, 1), Phase: partition.PhaseStarting}}
	sched.RestoreOwner(1, []partition.MachineState{restored}, []partition.CompletedTask{{Task: job.Task{Job: "wk-1", Index: 2}}}, t0)
	sched.ApplyUpdate(0, firstUpdate(machine("a")), t0)
	sched.RunCycle(t0)
	got := ""
	for _, task := range assignedTasks(sched, 0) {
		got += task.String() + " "
	}
	if got != "wk-1/3 wk-1/4 wk-1/5 " || len(sched.UnacknowledgedAssignments(1)) != 0 {
		t.Errorf("assigned %q and %d to the unsynced owner, want wk-1/3 to wk-1/5 and none: red may hold 5 tasks", got, len(sched.UnacknowledgedAssignments(1)))
	}
	reported := machine("b")
	reported.Held = []partition.HeldTasks{{Job: "wk-1", Team: "red", Resources: job.Resources{CPUs: 1}, Tasks: tasks(1), Phase: partition.PhaseRunning}}
	sched.ApplyUpdate(1, firstUpdate(reported), t0)
	sched.RunCycle(t0)
	if n := len(assignedTasks(sched, 0)) + len(assignedTasks(sched, 1)); n != 4 {
		t.Errorf("%d tasks are assigned after the update without task 0, want 4", n)
	}
}
