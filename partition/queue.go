package partition

import (
	"slices"
	"time"

	"junipershelf/job"
	"junipershelf/protocol"
)

// Assigned is a run of a job's tasks that the leader gives to a machine.
type Assigned struct {
	Seq     uint64 // rises with each
	Job     string
	Tasks   job.Ranges
	Machine string
	Gang    uint64 // tasks of a gang that start together share it
}

// ApplyAssignments takes what the leader has assigned; repeats are known.
func (p *Partition) ApplyAssignments(now time.Time, assigned []Assigned) {
	if len(assigned) == 0 || assigned[len(assigned)-1].Seq <= p.ackedAssignment {
		return
	}
	held := p.heldTasks()
	for _, a := range assigned {
		if a.Seq > p.ackedAssignment {
			p.ackedAssignment = a.Seq
			p.applyAssignment(now, a, held)
		}
	}
}

// applyAssignment takes one run. Held has all tasks of this owner, and gets these.
func (p *Partition) applyAssignment(now time.Time, a Assigned, held map[job.Task]bool) {
	l, m := p.jobs.Get(a.Job), p.machines[a.Machine]
	if l == nil || m == nil || !m.usable() || !job.AllowsMachine(&l.Spec, m.MachineType, m.Zone, m.Spot) {
		return // not held: the leader sees that it is waiting again
	}
	for i := range a.Tasks.All() {
		task := job.Task{Job: a.Job, Index: i}
		if l.Finished.Has(i) || held[task] {
			continue
		}
		held[task] = true
		queued := queuedTask{task: task, resources: l.Resources(), since: now, assignedAt: now, gang: a.Gang}
		m.queue = slices.Insert(m.queue, p.queuePlace(m, l), queued)
		p.Counts.Queued++
	}
	p.markChanged(m)
}

// queuePlace is where a job's task joins a machine's queue: at the end, or before what yields
// to it.
func (p *Partition) queuePlace(m *Machine, l *job.CachedJob) int {
	if at := slices.IndexFunc(m.queue, func(q queuedTask) bool { return p.yieldsTo(q.task, l) }); at >= 0 {
		return at
	}
	return len(m.queue)
}

// placementPlace is the same among a machine's placements.
func (p *Partition) placementPlace(m *Machine, l *job.CachedJob) int {
	if at := slices.IndexFunc(m.placements, func(pl *Placement) bool { return pl.isPending() && p.yieldsTo(pl.Task, l) }); at >= 0 {
		return at
	}
	return len(m.placements)
}

// overtakes tells whether a job's tasks go before others that wait on their machine. Replicas
// serve from the moment they run. Urgent work waited for one slot after the other behind what
// had come before: its first task started after 1 s, its last of 17 after 21 s.
func overtakes(l *job.CachedJob) bool { return l.IsService() || l.Rank < protocol.FirstNonUrgentRank }

// yieldsTo tells whether a task that waits lets a job's task go first: it is no replica, and
// less urgent; before a replica also if it is as urgent.
func (p *Partition) yieldsTo(t job.Task, l *job.CachedJob) bool {
	o := p.jobs.Get(t.Job)
	if o == nil || o.IsService() || !overtakes(l) {
		return false
	}
	return l.Rank < o.Rank || l.IsService() && l.Rank == o.Rank
}

// heldTasks is all tasks on machines of this owner. The leader assigns only what nobody
// holds, so this guards against messages that crossed. It is made once for all that comes
// with a call: a look at each machine for each task took 540 ms where 4,000 machines were
// filled.
func (p *Partition) heldTasks() map[job.Task]bool {
	held := map[job.Task]bool{}
	for _, m := range p.machines {
		for _, pl := range m.placements {
			held[pl.Task] = true
		}
		for _, q := range m.queue {
			held[q.task] = true
		}
	}
	return held
}

// Stop asks for tasks to be stopped to make room.
func (p *Partition) Stop(tasks []job.Task) {
	for _, task := range tasks {
		for _, m := range p.machines {
			p.stopOn(m, task)
		}
	}
}

// stopOn stops a task if a machine has it.
func (p *Partition) stopOn(m *Machine, task job.Task) {
	if n := len(m.queue); n > 0 {
		m.queue = slices.DeleteFunc(m.queue, func(q queuedTask) bool { return q.task == task })
		if len(m.queue) < n {
			p.markChanged(m)
		}
	}
	pl := m.find(task)
	if pl == nil || pl.stopping || pl.hasEnded() {
		return
	}
	graceS := 0.0
	if l := p.jobs.Get(task.Job); l != nil && l.Spec.CheckpointIntervalS > 0 {
		graceS = saveGraceS(l)
	}
	pl.requestStop(graceS)
	p.Counts.Stopped++
	p.markChanged(m)
}

// saveGraceS is how long a task of a job may take to save when it is stopped: the owner's
// estimate is often wrong by half.
func saveGraceS(l *job.CachedJob) float64 { return l.Spec.CheckpointDurationS*2 + 1 }

// returnedMemory is how long a returned machine is remembered: copies of its reports may
// come late.
const returnedMemory = 10 * time.Minute

// Tick lets time pass: leases end, queues drop what is no longer wanted, overflow moves, and
// queued tasks are put up for commit.
func (p *Partition) Tick(now time.Time) {
	for _, id := range p.ids {
		p.tickMachine(now, p.machines[id])
	}
	p.overflow(now)
	if p.cacheFresh(now) {
		for _, id := range p.ids {
			p.enqueueForCommit(p.machines[id])
		}
	}
	for id, r := range p.terminated {
		if now.Sub(r.at) > returnedMemory {
			delete(p.terminated, id)
		}
	}
}

// TickMachine lets time pass for one machine whose report just came in.
func (p *Partition) TickMachine(now time.Time, id string) {
	m := p.machines[id]
	if m == nil {
		return
	}
	p.tickMachine(now, m)
	if p.cacheFresh(now) {
		p.enqueueForCommit(m)
	}
}

func (p *Partition) tickMachine(now time.Time, m *Machine) {
	if !m.leaseExpired && now.After(p.leaseEnd(m)) {
		p.endLease(m, now)
	}
	p.cleanQueue(m)
	p.reviewPlacements(m)
	if !m.isIdle() {
		m.idleSince = time.Time{}
	} else if m.idleSince.IsZero() {
		m.idleSince = now
		p.markChanged(m)
	}
}

// leaseEnd is when a worker's lease is certainly over (invariant 3): after our own last 200,
// and after the last one that the former owner could give, unless the worker has seen our
// token since.
func (p *Partition) leaseEnd(m *Machine) time.Time {
	own := m.lastHeartbeat.Add(p.cfg.Lease)
	if m.fencingToken >= p.view {
		return own
	}
	former := p.viewSeenAt.Add(p.cfg.OwnershipLease + p.cfg.Lease)
	if m.lastHeartbeat.IsZero() || former.After(own) {
		return former
	}
	return own
}

// endLease notes that a worker's lease is over: all its tasks are gone.
func (p *Partition) endLease(m *Machine, now time.Time) {
	m.leaseExpired = true
	p.markChanged(m)
	for _, pl := range m.placements {
		if pl.mayExist() {
			p.countLoss(pl, m.lastHeartbeat, now, now)
			p.endPlacement(m, pl)
		}
	}
}

// cleanQueue drops what is not wanted any more, or all if the machine takes no work.
func (p *Partition) cleanQueue(m *Machine) {
	n := len(m.queue)
	if n == 0 {
		return
	}
	if !m.usable() {
		m.queue = nil
	} else {
		m.queue = slices.DeleteFunc(m.queue, func(q queuedTask) bool {
			l := p.jobs.Get(q.task.Job)
			return l == nil || l.Finished.Has(q.task.Index)
		})
	}
	if len(m.queue) < n {
		p.markChanged(m)
	}
}

// reviewPlacements gives up what will never be ordered, and stops what is to move at a
// notice or a drain.
func (p *Partition) reviewPlacements(m *Machine) {
	usable := m.usable()
	for _, pl := range m.placements {
		if pl.hasEnded() {
			continue
		}
		l := p.jobs.Get(pl.Task.Job)
		if pl.isPending() {
			if !usable || l == nil || l.Finished.Has(pl.Task.Index) {
				p.endPlacement(m, pl)
			}
			continue
		}
		if l == nil || pl.stopping || !m.mustMoveTasks() {
			continue
		}
		switch {
		case l.Spec.CheckpointIntervalS > 0 && pl.status == protocol.TaskRunning:
			// What can save does so now and goes on elsewhere; the rest may still complete.
			pl.requestStop(saveGraceS(l))
			p.markChanged(m)
		case l.IsService() && pl.status != "":
			// A replica has nothing to complete: the sooner it is known to be gone, the
			// sooner it runs elsewhere.
			pl.requestStop(0)
			p.markChanged(m)
		}
	}
}

// enqueueForCommit puts the head of a queue up for commit: as long as reports show room, and
// a few tasks ahead of it. Those start in the very answer that takes the end of another task,
// without waiting for a commit.
func (p *Partition) enqueueForCommit(m *Machine) {
	if len(m.queue) == 0 || !m.usable() {
		return
	}
	room, open, ahead := m.roomAfterPending()
	for len(m.queue) > 0 {
		q := m.queue[0]
		l := p.jobs.Get(q.task.Job)
		if l == nil {
			return
		}
		open = open && q.resources.FitsIn(room)
		if open {
			room = room.Sub(q.resources)
		} else {
			ahead++
			if ahead > p.cfg.MaxPreCommitted && !overtakes(l) {
				return
			}
			p.Counts.PreCommitted++
		}
		m.queue = m.queue[1:]
		pl := &Placement{
			Task: q.task, Attempt: p.attemptNumber(q.gang), AgentEpoch: m.agentEpoch, Resources: q.resources,
			Team: l.Spec.Team, Image: l.Spec.Image, ImageGB: l.Spec.ImageGB,
			since: q.since, steps: replicaSteps{assigned: q.assignedAt},
		}
		m.placements = slices.Insert(m.placements, p.placementPlace(m, l), pl)
		p.markChanged(m)
	}
}
