package partition

import (
	"iter"
	"time"

	"junipershelf/job"
)

// ForwardRequest asks the leader to send overflow to a buddy of another owner.
type ForwardRequest struct {
	//lint:ignore U1000 the msgpack library reads the tag of this field
	_msgpack struct{} `msgpack:",as_array"`
	Task     job.Task
	To       string
}

// overflow is the paper's location policy: what an overloaded machine has over its threshold goes
// to the first underloaded machine of its buddy set, up to that one's reported room. If there is
// none it waits, and may go beyond the buddy set later.
type overflow struct {
	*shared

	fleet *fleetDirectory
}

// move moves the overflow of all machines that the leader has numbered.
func (o *overflow) move(now time.Time) {
	o.findTargets()
	for _, m := range o.machines.sorted {
		number, numbered := o.fleet.number[m.ID]
		if !numbered {
			continue
		}
		if len(m.queue) > o.cfg.Threshold {
			o.moveQueue(now, m, number)
		}
		o.releasePreCommitted(now, m, number)
	}
}

// findTargets finds the machines that may take overflow now: those that have room, as far as
// a look at each shows.
func (o *overflow) findTargets() {
	o.fleet.setTargets(func(b *Buddy) bool {
		if m := o.machines.get(b.ID); m != nil {
			return m.usable() && m.room().CPUs > 0
		}
		return b.Underloaded
	})
}

// moveQueue sends what a machine has over its threshold elsewhere.
func (o *overflow) moveQueue(now time.Time, m *Machine, number int) {
	allocator, _ := m.roomAfterPending()
	keep := m.queue[:0:0]
	for i, q := range m.queue {
		hasRoom := allocator.take(q.resources)
		if hasRoom || i < o.cfg.Threshold || !o.moveTask(now, q, number) {
			keep = append(keep, q)
		}
	}
	if len(keep) < len(m.queue) {
		o.machines.markChanged(m)
	}
	m.queue = keep
}

// moveTask sends a queued task to a buddy, past the local wait to any machine of the preferred
// list, and after twice that wait back to the leader. It reports whether the task has left.
func (o *overflow) moveTask(now time.Time, q queuedTask, number int) (left bool) {
	waited := now.Sub(q.since)
	sent := o.send(now, q, o.candidates(number, waited))
	switch {
	case sent && waited < o.cfg.LocalWait:
		o.Counts.Overflowed++
	case sent, waited >= 2*o.cfg.LocalWait:
		o.Counts.FallbackBeyondBuddies++
	default:
		return false
	}
	return true
}

// candidates yields the machines to which a task may overflow that has waited at a machine.
func (o *overflow) candidates(number int, waited time.Duration) iter.Seq[int] {
	if waited < o.cfg.LocalWait {
		return o.fleet.buddySet(number, o.cfg.Buddies)
	}
	return o.fleet.preferredList(number)
}

// releasePreCommitted releases the first placement that was committed before it had room when a
// buddy is underloaded: it was never started, so once its removal is committed it is an ordinary
// entry of the queue and overflows like one.
func (o *overflow) releasePreCommitted(now time.Time, m *Machine, number int) {
	pl := m.firstPreCommitted()
	if pl == nil {
		return
	}
	l := o.jobs.Get(pl.Task.Job)
	if l == nil || !job.MayOverflow(&l.Spec) {
		return
	}
	for n := range o.candidates(number, now.Sub(pl.since)) {
		if o.accepts(&o.fleet.buddies[n], l, pl.Resources) {
			pl.end(outcomeReleased)
			o.machines.markChanged(m)
			return
		}
	}
}

// firstPreCommitted is the first placement that is committed and has no room, or nil.
func (m *Machine) firstPreCommitted() *Placement {
	for pl, fits := range m.pendingPlacements() {
		if pl.committed && !fits {
			return pl
		}
	}
	return nil
}

// accepts reports whether a machine takes a job's task as overflow.
func (o *overflow) accepts(b *Buddy, l *job.CachedJob, need job.Resources) bool {
	if m := o.machines.get(b.ID); m != nil {
		return job.AllowsMachine(&l.Spec, m.kind()) && m.acceptsOverflow(need)
	}
	return b.Underloaded && need.FitsIn(b.Room)
}

// send moves a task to the first machine of a list that takes it: to its queue if it is a machine
// of this owner, else by asking the leader to forward it. It reports whether one took it.
func (o *overflow) send(now time.Time, q queuedTask, list iter.Seq[int]) bool {
	l := o.jobs.Get(q.task.Job)
	if l == nil || !job.MayOverflow(&l.Spec) {
		return false
	}
	for n := range list {
		b := &o.fleet.buddies[n]
		if !o.accepts(b, l, q.resources) {
			continue
		}
		if m := o.machines.get(b.ID); m != nil {
			m.intake.accepted++
			q.since = now
			m.queue = append(m.queue, q)
			o.machines.markChanged(m)
		} else {
			b.Room = b.Room.Sub(q.resources)
			o.outbox.forwards = append(o.outbox.forwards, ForwardRequest{Task: q.task, To: b.ID})
			o.Counts.Forwarded++
		}
		return true
	}
	return false
}
