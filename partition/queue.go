package partition

import (
	"slices"
	"time"

	"junipershelf/job"
	"junipershelf/protocol"
)

// Assigned is a set of tasks of one job that the leader assigns to a machine.
type Assigned struct {
	Seq     uint64 // increases with each assignment
	Job     string
	Tasks   job.Ranges
	Machine string
	Gang    uint64 // gang number shared by tasks that must start together; 0: no gang
}

// queuedTask is a task that waits in a machine's queue. Queued tasks are not stored in any record.
type queuedTask struct {
	task       job.Task
	resources  job.Resources
	since      time.Time // when it entered this queue
	assignedAt time.Time
	gang       uint64
}

// queues adds assigned tasks to the machines' queues, and creates placements for the queued
// tasks.
type queues struct {
	*shared

	attempts        *attemptNumbers
	ackedAssignment uint64 // sequence number of the last assignment applied
}

// applyAssignments queues the assignments whose sequence numbers were not applied before.
func (q *queues) applyAssignments(now time.Time, assigned []Assigned) {
	if len(assigned) == 0 || assigned[len(assigned)-1].Seq <= q.ackedAssignment {
		return
	}
	held := q.heldTasks()
	for _, a := range assigned {
		if a.Seq > q.ackedAssignment {
			q.ackedAssignment = a.Seq
			q.applyAssignment(now, a, held)
		}
	}
}

// applyAssignment queues the tasks of one assignment that are not in held, and adds them to held.
func (q *queues) applyAssignment(now time.Time, a Assigned, held map[job.Task]bool) {
	cached, m := q.jobs.Get(a.Job), q.machines.get(a.Machine)
	if cached == nil || m == nil || !m.usable() || !job.AllowsMachine(&cached.Spec, m.kind()) {
		return // the leader finds that the tasks are not held, and assigns them again
	}
	for i := range a.Tasks.All() {
		task := job.Task{Job: a.Job, Index: i}
		if cached.Completed.Has(i) || held[task] {
			continue
		}
		held[task] = true
		queued := queuedTask{task: task, resources: cached.Resources(), since: now, assignedAt: now, gang: a.Gang}
		m.queue = slices.Insert(m.queue, q.queueIndex(m, cached), queued)
		q.Counts.Queued++
	}
	q.machines.markChanged(m)
}

// queueIndex returns the position at which a job's task enters a machine's queue: before the first
// task that yields to it, or at the end.
func (q *queues) queueIndex(m *Machine, cached *job.CachedJob) int {
	at := slices.IndexFunc(m.queue, func(other queuedTask) bool { return q.yieldsTo(other.task, cached) })
	if at < 0 {
		return len(m.queue)
	}
	return at
}

// placementIndex returns the position at which a job's placement is inserted among a machine's
// placements: before the first pending one that yields to it, or at the end.
func (q *queues) placementIndex(m *Machine, cached *job.CachedJob) int {
	at := slices.IndexFunc(m.placements, func(pl *Placement) bool { return pl.isPending() && q.yieldsTo(pl.Task, cached) })
	if at < 0 {
		return len(m.placements)
	}
	return at
}

// overtakes reports whether a job's tasks may overtake others that wait on the same machine. Replicas
// and urgent tasks may: a replica serves only while it runs, and urgent tasks would otherwise wait
// behind earlier tasks for each slot (when they did, the first of 17 urgent tasks started after 1 s,
// the last after 21 s).
func overtakes(cached *job.CachedJob) bool {
	return cached.IsService() || cached.Rank < protocol.FirstNonUrgentRank
}

// yieldsTo reports whether a waiting task yields to a task of a job that overtakes others: the
// waiting task is not a replica, and is less urgent or, if the job is a service, equally urgent.
func (q *queues) yieldsTo(t job.Task, cached *job.CachedJob) bool {
	waiting := q.jobs.Get(t.Job)
	if waiting == nil || waiting.IsService() || !overtakes(cached) {
		return false
	}
	return cached.Rank < waiting.Rank || cached.IsService() && cached.Rank == waiting.Rank
}

// heldTasks returns all tasks held on this owner's machines. The leader assigns only tasks that it
// believes no owner to hold, but an assignment may cross an update of an owner that holds the task. The
// set is computed once for all assignments of a call: searching all machines for each task took 540 ms
// when 4,000 machines were filled.
func (q *queues) heldTasks() map[job.Task]bool {
	held := map[job.Task]bool{}
	for _, m := range q.machines.sorted {
		for _, pl := range m.placements {
			held[pl.Task] = true
		}
		for _, queued := range m.queue {
			held[queued.task] = true
		}
	}
	return held
}

// withdraw removes a task from a machine's queue if it waits there.
func (q *queues) withdraw(m *Machine, task job.Task) {
	before := len(m.queue)
	if before == 0 {
		return
	}
	m.queue = slices.DeleteFunc(m.queue, func(queued queuedTask) bool { return queued.task == task })
	if len(m.queue) < before {
		q.machines.markChanged(m)
	}
}

// dropObsolete drops queued tasks that have completed or whose job has ended, or all of them if the
// machine is not usable.
func (q *queues) dropObsolete(m *Machine) {
	before := len(m.queue)
	if before == 0 {
		return
	}
	if !m.usable() {
		m.queue = nil
	} else {
		m.queue = slices.DeleteFunc(m.queue, func(queued queuedTask) bool {
			cached := q.jobs.Get(queued.task.Job)
			return cached == nil || cached.Completed.Has(queued.task.Index)
		})
	}
	if len(m.queue) < before {
		q.machines.markChanged(m)
	}
}

// placeQueued creates placements from the head of a queue, to be committed next: for all tasks that
// fit, and for a few that do not fit yet. The start command of the latter can be sent in the
// reply to the heartbeat that reports the end of another task, without waiting for a commit.
func (q *queues) placeQueued(m *Machine) {
	if len(m.queue) == 0 || !m.usable() {
		return
	}
	allocator, preCommitted := m.freeAfterPending()
	for len(m.queue) > 0 {
		queued := m.queue[0]
		cached := q.jobs.Get(queued.task.Job)
		if cached == nil {
			return
		}
		if !allocator.take(queued.resources) {
			preCommitted++
			if preCommitted > q.cfg.MaxPreCommitted && !overtakes(cached) {
				return
			}
			q.Counts.PreCommitted++
		}
		m.queue = m.queue[1:]
		m.placements = slices.Insert(m.placements, q.placementIndex(m, cached), q.newPlacement(m, &queued, cached))
		q.machines.markChanged(m)
	}
}

// newPlacement returns an uncommitted placement for a queued task.
func (q *queues) newPlacement(m *Machine, queued *queuedTask, cached *job.CachedJob) *Placement {
	attempt := q.attempts.next()
	if queued.gang > 0 {
		attempt = q.attempts.forGang(queued.gang)
	}
	return &Placement{
		Task: queued.task, Attempt: attempt, AgentEpoch: m.agentEpoch, Resources: queued.resources,
		Team: cached.Spec.Team, Image: cached.Spec.Image, ImageGB: cached.Spec.ImageGB,
		since: queued.since, timestamps: replicaTimestamps{assigned: queued.assignedAt},
	}
}

// requeue puts the task of a released placement back at the head of its machine's queue.
func (m *Machine) requeue(pl *Placement) {
	m.queue = slices.Insert(m.queue, 0, queuedTask{
		task: pl.Task, resources: pl.Resources, since: pl.since, assignedAt: pl.timestamps.assigned,
	})
}
