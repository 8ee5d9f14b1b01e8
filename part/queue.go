package part

import (
	"slices"
	"time"

	"junipershelf/job"
	"junipershelf/prefer"
	"junipershelf/protocol"
)

// Allot takes a run of a job's tasks from the divider; seq rises with each,
// repeats are known.
func (p *Part) Allot(now time.Time, seq uint64, uid string, tasks job.Ranges, machine string, group uint64) {
	if seq <= p.ack {
		return
	}
	p.ack = seq
	l, m := p.jobs.Get(uid), p.machines[machine]
	if l == nil || m == nil || !p.usable(m) || !job.Allows(&l.Spec, m.Flavor, m.Zone, m.Spot) {
		return // not held: the divider sees that it is waiting again
	}
	for i := range tasks.All() {
		t := job.Task{Job: uid, Index: i}
		if l.Finished.Has(i) || p.holds(t) {
			continue
		}
		at := len(m.queue)
		if l.Standing() {
			// Replicas serve from the moment they run: they go before what waits there.
			at = slices.IndexFunc(m.queue, func(e entry) bool { return p.yields(e.task, l) })
			if at < 0 {
				at = len(m.queue)
			}
		}
		m.queue = slices.Insert(m.queue, at, entry{task: t, need: l.Need(), since: now, allotted: now, group: group})
		p.Counts.Queued++
	}
	p.touch(m)
}

// yields tells whether a task that waits lets a service's replica go first: it is none
// itself, and no more urgent.
func (p *Part) yields(t job.Task, l *job.Live) bool {
	o := p.jobs.Get(t.Job)
	return o != nil && !o.Standing() && o.Rank >= l.Rank
}

// holds tells whether a task is on any machine of this owner. The divider allots
// only what nobody holds, so this guards against news that crossed.
func (p *Part) holds(t job.Task) bool {
	for _, m := range p.machines {
		if m.find(t) != nil || slices.ContainsFunc(m.queue, func(e entry) bool { return e.task == t }) {
			return true
		}
	}
	return false
}

// Stop asks for tasks to be stopped to make room.
func (p *Part) Stop(tasks []job.Task) {
	for _, t := range tasks {
		for _, m := range p.machines {
			if n := len(m.queue); n > 0 {
				m.queue = slices.DeleteFunc(m.queue, func(e entry) bool { return e.task == t })
				if len(m.queue) < n {
					p.touch(m)
				}
			}
			if pl := m.find(t); pl != nil && !pl.stop && !pl.gone {
				pl.stop = true
				if l := p.jobs.Get(t.Job); l != nil && l.Spec.SnapshotS > 0 {
					pl.grace = l.Spec.StashS*2 + 1
				}
				p.Counts.Killed++
				p.touch(m)
			}
		}
	}
}

// Tick lets time pass: leases end, queues drop what is no longer wanted,
// overflow moves, and queued tasks are put up for commit.
func (p *Part) Tick(now time.Time) {
	for _, id := range p.ids {
		p.tickMachine(now, p.machines[id])
	}
	p.overflow(now)
	if now.Sub(p.jobs.Fresh()) < p.cfg.Stale {
		for _, id := range p.ids {
			p.admit(now, p.machines[id])
		}
	}
	for id, g := range p.gone {
		if now.Sub(g.at) > 10*time.Minute {
			delete(p.gone, id)
		}
	}
}

// TickOne lets time pass for one machine whose report just came in.
func (p *Part) TickOne(now time.Time, id string) {
	m := p.machines[id]
	if m == nil {
		return
	}
	p.tickMachine(now, m)
	if now.Sub(p.jobs.Fresh()) < p.cfg.Stale {
		p.admit(now, m)
	}
}

func (p *Part) tickMachine(now time.Time, m *Machine) {
	// The lease is certainly over (invariant 3): after our own last 200, and
	// after the last one that the former owner could give, unless the worker
	// has seen our baton since.
	over := m.heard.Add(p.cfg.Lease)
	if m.baton < p.view {
		if o := p.seen.Add(p.cfg.Authority + p.cfg.Lease); m.heard.IsZero() || o.After(over) {
			over = o
		}
	}
	if !m.away && now.After(over) {
		m.away = true
		p.touch(m)
		for _, pl := range m.runs {
			if !pl.gone && pl.committed {
				p.countLoss(pl, m.heard, now, now)
				p.lose(m, pl)
			}
		}
	}
	if len(m.queue) > 0 {
		n := len(m.queue)
		if !p.usable(m) {
			m.queue = nil
		} else {
			m.queue = slices.DeleteFunc(m.queue, func(e entry) bool {
				l := p.jobs.Get(e.task.Job)
				return l == nil || l.Finished.Has(e.task.Index)
			})
		}
		if len(m.queue) < n {
			p.touch(m)
		}
	}
	usable := p.usable(m)
	for _, pl := range m.runs {
		if pl.gone {
			continue
		}
		l := p.jobs.Get(pl.Task.Job)
		switch {
		case pl.waits() && (!usable || l == nil || l.Finished.Has(pl.Task.Index)):
			p.lose(m, pl) // never ordered here, and never will be
		case (m.warning || m.leaving) && l != nil && l.Spec.SnapshotS > 0 && !pl.stop && pl.status == "running":
			// A notice, or a drain: what can save does so now and goes on
			// elsewhere; the rest may still complete.
			pl.stop, pl.grace = true, l.Spec.StashS*2+1
			p.touch(m)
		case (m.warning || m.leaving) && l != nil && l.Standing() && !pl.stop && pl.status != "":
			// A replica has nothing to complete: the sooner it is known to be gone,
			// the sooner it runs elsewhere.
			pl.stop, pl.grace = true, 0
			p.touch(m)
		}
	}
	if len(m.runs)+len(m.queue) > 0 {
		m.idle = time.Time{}
	} else if m.idle.IsZero() {
		m.idle = now
		p.touch(m)
	}
}

// admit puts the head of a queue up for commit: as long as reports show room,
// and a few tasks ahead of it. Those start in the very answer that takes the end
// of another task, without waiting for a commit.
func (p *Part) admit(now time.Time, m *Machine) {
	if len(m.queue) == 0 || !p.usable(m) {
		return
	}
	room, ahead := m.room(), 0
	open := !m.unclear()
	for _, pl := range m.runs {
		if !pl.waits() {
			continue
		}
		if open = open && pl.Need.Fits(room); open {
			room = room.Minus(pl.Need)
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
		if open = open && e.need.Fits(room); open {
			room = room.Minus(e.need)
		} else if ahead++; ahead > p.cfg.Ahead && !l.Standing() {
			return
		} else {
			p.Counts.Ahead++
		}
		m.queue = m.queue[1:]
		at := len(m.runs)
		if l.Standing() {
			at = slices.IndexFunc(m.runs, func(pl *Placement) bool { return pl.waits() && p.yields(pl.Task, l) })
			if at < 0 {
				at = len(m.runs)
			}
		}
		m.runs = slices.Insert(m.runs, at, &Placement{Task: e.task, Try: p.tryOf(e.group), Session: m.shift,
			Need: e.need, Team: l.Spec.Owner, Image: l.Spec.Bundle, ImageGB: l.Spec.SizeGB, since: e.since, steps: steps{allotted: e.allotted}})
		p.touch(m)
	}
}

// overflow is the design's location policy: what an overloaded machine has over
// its threshold goes to the first underloaded buddy of its list, up to the
// buddy's reported room; if there is none it waits, and walks on later.
func (p *Part) overflow(now time.Time) {
	for _, id := range p.ids {
		m := p.machines[id]
		at, numbered := p.where[id]
		if !numbered {
			continue
		}
		if len(m.queue) > p.cfg.Threshold {
			p.overflowQueue(now, m, at)
		}
		p.unbind(now, m, at)
	}
}

// list gives the buddies of a machine, or all of its preferred list.
func (p *Part) list(at int, all bool) []int {
	most := p.cfg.Buddies
	if all {
		most = len(p.fleet)
	}
	return prefer.Pick(p.masks, at, len(p.fleet), min(most, len(p.fleet)))
}

func (p *Part) overflowQueue(now time.Time, m *Machine, at int) {
	room := m.room()
	open := !m.unclear()
	for _, pl := range m.runs {
		if pl.waits() {
			open = open && pl.Need.Fits(room)
			room = room.Minus(pl.Need)
		}
	}
	keep := m.queue[:0:0]
	for i, e := range m.queue {
		if open = open && e.need.Fits(room); open {
			room = room.Minus(e.need)
			keep = append(keep, e)
			continue
		}
		if i < p.cfg.Threshold {
			keep = append(keep, e)
			continue
		}
		walked := now.Sub(e.since) >= p.cfg.LocalWait
		if p.send(now, e, p.list(at, walked)) {
			if walked {
				p.Counts.Walked++
			} else {
				p.Counts.Overflowed++
			}
			continue
		}
		if walked && now.Sub(e.since) >= 2*p.cfg.LocalWait {
			p.Counts.Walked++ // back to the divider
			continue
		}
		keep = append(keep, e)
	}
	if len(keep) < len(m.queue) {
		p.touch(m)
	}
	m.queue = keep
}

// unbind gives back what was committed ahead of its room when a buddy is
// underloaded: the task was never ordered, so once that is committed it is an
// ordinary entry of the queue and overflows like one.
func (p *Part) unbind(now time.Time, m *Machine, at int) {
	var last *Placement
	m.walk(func(pl *Placement, _ job.Need, fits bool) {
		if pl != nil && !fits && pl.committed && last == nil {
			last = pl
		}
	})
	if last == nil {
		return
	}
	l := p.jobs.Get(last.Task.Job)
	if l == nil || !movable(l) {
		return
	}
	for _, n := range p.list(at, now.Sub(last.since) >= p.cfg.LocalWait) {
		b := &p.fleet[n]
		o := p.machines[b.ID]
		if o != nil && job.Allows(&l.Spec, o.Flavor, o.Zone, o.Spot) && p.takes(o, last.Need) || o == nil && b.Under && last.Need.Fits(b.Room) {
			last.gone, last.back = true, true
			p.touch(m)
			return
		}
	}
}

// movable tells whether overflow may carry a job's tasks: not where they must be
// depends on where the others are.
func movable(l *job.Live) bool {
	return l.Spec.Shape != protocol.Group && !l.Spec.Together && !l.Spec.Scatter
}

func (p *Part) send(now time.Time, e entry, list []int) bool {
	l := p.jobs.Get(e.task.Job)
	if l == nil || !movable(l) {
		return false
	}
	for _, n := range list {
		b := &p.fleet[n]
		if m := p.machines[b.ID]; m != nil {
			if job.Allows(&l.Spec, m.Flavor, m.Zone, m.Spot) && p.takes(m, e.need) {
				m.took++
				e.since = now
				m.queue = append(m.queue, e)
				p.touch(m)
				return true
			}
			continue
		}
		if b.Under && e.need.Fits(b.Room) {
			b.Room = b.Room.Minus(e.need)
			p.moves = append(p.moves, Move{Task: e.task, To: b.ID})
			p.Counts.Sent++
			return true
		}
	}
	return false
}
