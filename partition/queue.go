package partition

import (
	"slices"
	"time"

	"junipershelf/job"
	"junipershelf/protocol"
)

// Assigned is a run of a job's tasks that the leader assigns to a machine.
type Assigned struct {
	Seq     uint64 // rises with each
	Job     string
	Tasks   job.Ranges
	Machine string
	Gang    uint64 // number that the tasks of a gang share, which start together; 0: no gang
}

// queuedTask is a task that waits in a machine's queue. It is not in any record.
type queuedTask struct {
	task       job.Task
	resources  job.Resources
	since      time.Time // when it joined this queue
	assignedAt time.Time
	gang       uint64
}

// queues puts what the leader assigns into the machines' queues, and takes tasks from there when
// they are to be committed.
type queues struct {
	*shared

	attempts        *attemptNumbers
	ackedAssignment uint64 // sequence number of the last one applied
}

// applyAssignments queues what was not applied before, by its sequence numbers.
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

// applyAssignment queues one run, but for the tasks that are held; those that are queued are added
// to them.
func (q *queues) applyAssignment(now time.Time, a Assigned, held map[job.Task]bool) {
	l, m := q.jobs.Get(a.Job), q.machines.get(a.Machine)
	if l == nil || m == nil || !m.usable() || !job.AllowsMachine(&l.Spec, m.kind()) {
		return // not held: the leader sees that it is waiting again
	}
	for i := range a.Tasks.All() {
		task := job.Task{Job: a.Job, Index: i}
		if l.Finished.Has(i) || held[task] {
			continue
		}
		held[task] = true
		queued := queuedTask{task: task, resources: l.Resources(), since: now, assignedAt: now, gang: a.Gang}
		m.queue = slices.Insert(m.queue, q.queueIndex(m, l), queued)
		q.Counts.Queued++
	}
	q.machines.markChanged(m)
}

// queueIndex is where a job's task joins a machine's queue: at the end, or before what yields
// to it.
func (q *queues) queueIndex(m *Machine, l *job.CachedJob) int {
	at := slices.IndexFunc(m.queue, func(other queuedTask) bool { return q.yieldsTo(other.task, l) })
	if at < 0 {
		return len(m.queue)
	}
	return at
}

// placementIndex is the same among a machine's placements.
func (q *queues) placementIndex(m *Machine, l *job.CachedJob) int {
	at := slices.IndexFunc(m.placements, func(pl *Placement) bool { return pl.isPending() && q.yieldsTo(pl.Task, l) })
	if at < 0 {
		return len(m.placements)
	}
	return at
}

// overtakes reports whether a job's tasks go before others that wait on their machine. Replicas
// serve from the moment they run. Urgent work waited for one slot after the other behind what
// had come before: its first task started after 1 s, its last of 17 after 21 s.
func overtakes(l *job.CachedJob) bool { return l.IsService() || l.Rank < protocol.FirstNonUrgentRank }

// yieldsTo reports whether a task that waits lets a job's task go first: it is no replica, and
// less urgent; before a replica also if it is as urgent.
func (q *queues) yieldsTo(t job.Task, l *job.CachedJob) bool {
	waiting := q.jobs.Get(t.Job)
	if waiting == nil || waiting.IsService() || !overtakes(l) {
		return false
	}
	return l.Rank < waiting.Rank || l.IsService() && l.Rank == waiting.Rank
}

// heldTasks is all tasks on machines of this owner. The leader assigns only what nobody
// holds, so this guards against messages that crossed. It is made once for all that comes
// with a call: a look at each machine for each task took 540 ms where 4,000 machines were
// filled.
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

// withdraw takes a task out of a machine's queue if it waits there.
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

// dropObsolete drops queued tasks that are over, or all if the machine takes no work.
func (q *queues) dropObsolete(m *Machine) {
	before := len(m.queue)
	if before == 0 {
		return
	}
	if !m.usable() {
		m.queue = nil
	} else {
		m.queue = slices.DeleteFunc(m.queue, func(queued queuedTask) bool {
			l := q.jobs.Get(queued.task.Job)
			return l == nil || l.Finished.Has(queued.task.Index)
		})
	}
	if len(m.queue) < before {
		q.machines.markChanged(m)
	}
}

// placeQueued puts the head of a queue up for commit: as long as heartbeats show room, and
// a few tasks before they have room. Those start in the very reply to the heartbeat that reports
// the end of another task, without waiting for a commit.
func (q *queues) placeQueued(m *Machine) {
	if len(m.queue) == 0 || !m.usable() {
		return
	}
	allocator, preCommitted := m.roomAfterPending()
	for len(m.queue) > 0 {
		queued := m.queue[0]
		l := q.jobs.Get(queued.task.Job)
		if l == nil {
			return
		}
		if !allocator.take(queued.resources) {
			preCommitted++
			if preCommitted > q.cfg.MaxPreCommitted && !overtakes(l) {
				return
			}
			q.Counts.PreCommitted++
		}
		m.queue = m.queue[1:]
		m.placements = slices.Insert(m.placements, q.placementIndex(m, l), q.newPlacement(m, &queued, l))
		q.machines.markChanged(m)
	}
}

// newPlacement is the placement of a queued task, yet to be committed.
func (q *queues) newPlacement(m *Machine, queued *queuedTask, l *job.CachedJob) *Placement {
	attempt := q.attempts.next()
	if queued.gang > 0 {
		attempt = q.attempts.forGang(queued.gang)
	}
	return &Placement{
		Task: queued.task, Attempt: attempt, AgentEpoch: m.agentEpoch, Resources: queued.resources,
		Team: l.Spec.Team, Image: l.Spec.Image, ImageGB: l.Spec.ImageGB,
		since: queued.since, timestamps: replicaTimestamps{assigned: queued.assignedAt},
	}
}

// requeue puts a placement that was released back to the head of its machine's queue.
func (m *Machine) requeue(pl *Placement) {
	m.queue = slices.Insert(m.queue, 0, queuedTask{
		task: pl.Task, resources: pl.Resources, since: pl.since, assignedAt: pl.timestamps.assigned,
	})
}
