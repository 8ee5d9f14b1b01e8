package partition

import (
	"slices"
	"time"

	"junipershelf/job"
	"junipershelf/protocol"
)

// TakeAssignment takes a run of a job's tasks from the leader; seq rises with each,
// repeats are known.
func (p *Partition) TakeAssignment(now time.Time, seq uint64, uid string, tasks job.Ranges, machine string, group uint64) {
	if seq <= p.ackedAssignment {
		return
	}
	p.ackedAssignment = seq
	l, m := p.jobs.Get(uid), p.machines[machine]
	if l == nil || m == nil || !p.usable(m) || !job.AllowsMachine(&l.Spec, m.MachineType, m.Zone, m.Spot) {
		return // not held: the leader sees that it is waiting again
	}
	for i := range tasks.All() {
		t := job.Task{Job: uid, Index: i}
		if l.Finished.Has(i) || p.holds(t) {
			continue
		}
		at := len(m.queue)
		if l.IsService() {
			// Replicas serve from the moment they run: they go before what waits there.
			at = slices.IndexFunc(m.queue, func(e queuedTask) bool { return p.yieldsTo(e.task, l) })
			if at < 0 {
				at = len(m.queue)
			}
		}
		m.queue = slices.Insert(m.queue, at, queuedTask{task: t, resources: l.Resources(), since: now, assignedAt: now, group: group})
		p.Counts.Queued++
	}
	p.markChanged(m)
}

// yieldsTo tells whether a task that waits lets a service's replica go first: it is none
// itself, and no more urgent.
func (p *Partition) yieldsTo(t job.Task, l *job.Live) bool {
	o := p.jobs.Get(t.Job)
	return o != nil && !o.IsService() && o.Rank >= l.Rank
}

// holds tells whether a task is on any machine of this owner. The leader assigns
// only what nobody holds, so this guards against news that crossed.
func (p *Partition) holds(t job.Task) bool {
	for _, m := range p.machines {
		if m.find(t) != nil || slices.ContainsFunc(m.queue, func(e queuedTask) bool { return e.task == t }) {
			return true
		}
	}
	return false
}

// Stop asks for tasks to be stopped to make room.
func (p *Partition) Stop(tasks []job.Task) {
	for _, t := range tasks {
		for _, m := range p.machines {
			if n := len(m.queue); n > 0 {
				m.queue = slices.DeleteFunc(m.queue, func(e queuedTask) bool { return e.task == t })
				if len(m.queue) < n {
					p.markChanged(m)
				}
			}
			if pl := m.find(t); pl != nil && !pl.stopping && !pl.ended {
				pl.stopping = true
				if l := p.jobs.Get(t.Job); l != nil && l.Spec.CheckpointS > 0 {
					pl.graceS = l.Spec.SaveS*2 + 1
				}
				p.Counts.Stopped++
				p.markChanged(m)
			}
		}
	}
}

// Tick lets time pass: leases end, queues drop what is no longer wanted,
// overflow moves, and queued tasks are put up for commit.
func (p *Partition) Tick(now time.Time) {
	for _, id := range p.ids {
		p.tickMachine(now, p.machines[id])
	}
	p.overflow(now)
	if now.Sub(p.jobs.FreshAsOf()) < p.cfg.MirrorLimit {
		for _, id := range p.ids {
			p.enqueueForCommit(now, p.machines[id])
		}
	}
	for id, g := range p.returned {
		if now.Sub(g.at) > 10*time.Minute {
			delete(p.returned, id)
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
	if now.Sub(p.jobs.FreshAsOf()) < p.cfg.MirrorLimit {
		p.enqueueForCommit(now, m)
	}
}

func (p *Partition) tickMachine(now time.Time, m *Machine) {
	// The lease is certainly over (invariant 3): after our own last 200, and
	// after the last one that the former owner could give, unless the worker
	// has seen our token since.
	over := m.lastReport.Add(p.cfg.Lease)
	if m.token < p.view {
		if o := p.viewSeenAt.Add(p.cfg.AuthorityLease + p.cfg.Lease); m.lastReport.IsZero() || o.After(over) {
			over = o
		}
	}
	if !m.leaseOver && now.After(over) {
		m.leaseOver = true
		p.markChanged(m)
		for _, pl := range m.placements {
			if !pl.ended && pl.committed {
				p.countLoss(pl, m.lastReport, now, now)
				p.endPlacement(m, pl)
			}
		}
	}
	if len(m.queue) > 0 {
		n := len(m.queue)
		if !p.usable(m) {
			m.queue = nil
		} else {
			m.queue = slices.DeleteFunc(m.queue, func(e queuedTask) bool {
				l := p.jobs.Get(e.task.Job)
				return l == nil || l.Finished.Has(e.task.Index)
			})
		}
		if len(m.queue) < n {
			p.markChanged(m)
		}
	}
	usable := p.usable(m)
	for _, pl := range m.placements {
		if pl.ended {
			continue
		}
		l := p.jobs.Get(pl.Task.Job)
		switch {
		case pl.isPending() && (!usable || l == nil || l.Finished.Has(pl.Task.Index)):
			p.endPlacement(m, pl) // never ordered here, and never will be
		case (m.noticed || m.draining) && l != nil && l.Spec.CheckpointS > 0 && !pl.stopping && pl.status == "running":
			// A notice, or a drain: what can save does so now and goes on
			// elsewhere; the rest may still complete.
			pl.stopping, pl.graceS = true, l.Spec.SaveS*2+1
			p.markChanged(m)
		case (m.noticed || m.draining) && l != nil && l.IsService() && !pl.stopping && pl.status != "":
			// A replica has nothing to complete: the sooner it is known to be gone,
			// the sooner it runs elsewhere.
			pl.stopping, pl.graceS = true, 0
			p.markChanged(m)
		}
	}
	if len(m.placements)+len(m.queue) > 0 {
		m.idleSince = time.Time{}
	} else if m.idleSince.IsZero() {
		m.idleSince = now
		p.markChanged(m)
	}
}

// enqueueForCommit puts the head of a queue up for commit: as long as reports show room,
// and a few tasks ahead of it. Those start in the very answer that takes the end
// of another task, without waiting for a commit.
func (p *Partition) enqueueForCommit(now time.Time, m *Machine) {
	if len(m.queue) == 0 || !p.usable(m) {
		return
	}
	room, ahead := m.room(), 0
	open := !m.unaccounted()
	for _, pl := range m.placements {
		if !pl.isPending() {
			continue
		}
		if open = open && pl.Resources.FitsIn(room); open {
			room = room.Minus(pl.Resources)
		} else {
			ahead++
		}
	}
	for len(m.queue) > 0 {
		e := m.queue[0]
		l := p.jobs.Get(e.task.Job)
		if l == nil {
			return
		}
		if open = open && e.resources.FitsIn(room); open {
			room = room.Minus(e.resources)
		} else if ahead++; ahead > p.cfg.MaxAhead && !l.IsService() {
			return
		} else {
			p.Counts.CommittedAhead++
		}
		m.queue = m.queue[1:]
		at := len(m.placements)
		if l.IsService() {
			at = slices.IndexFunc(m.placements, func(pl *Placement) bool { return pl.isPending() && p.yieldsTo(pl.Task, l) })
			if at < 0 {
				at = len(m.placements)
			}
		}
		m.placements = slices.Insert(m.placements, at, &Placement{Task: e.task, Attempt: p.attemptNumber(e.group), Session: m.session,
			Resources: e.resources, Team: l.Spec.Team, Image: l.Spec.Image, ImageGB: l.Spec.ImageGB, since: e.since, steps: lifecycle{assigned: e.assignedAt}})
		p.markChanged(m)
	}
}

// movable tells whether overflow may carry a job's tasks: not where they must be
// depends on where the others are.
func movable(l *job.Live) bool {
	return l.Spec.Shape != protocol.ShapeGang && !l.Spec.SameZone && !l.Spec.SpreadZones
}
