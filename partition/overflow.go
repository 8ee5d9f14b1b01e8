package partition

import (
	"iter"
	"time"

	"junipershelf/job"
)

// ForwardRequest asks the leader to send an overflowing task to a machine of another owner.
type ForwardRequest struct {
	//lint:ignore U1000 the msgpack library reads the tag of this field
	_msgpack struct{} `msgpack:",as_array"`
	Task     job.Task
	To       string
}

// overflow implements the paper's location policy: queued tasks beyond the threshold of an overloaded
// machine's queue move to the first underloaded machine of its buddy set, up to that machine's reported
// free resources. If there is none, they wait and may go beyond the buddy set later.
type overflow struct {
	*shared

	fleet *fleetDirectory
}

// move moves the overflow of all machines that the leader has listed in the fleet directory. Others
// have no preferred list yet.
func (o *overflow) move(now time.Time) {
	o.findTargets()
	for _, m := range o.machines.sorted {
		number, listed := o.fleet.number[m.ID]
		if !listed {
			continue
		}
		if len(m.queue) > o.cfg.Threshold {
			o.moveQueue(now, m, number)
		}
		o.releasePreCommitted(now, m, number)
	}
}

// findTargets sets the machines that may take overflow now by a quick check: this owner's machines by
// their free CPUs, others by the underloaded flag.
func (o *overflow) findTargets() {
	o.fleet.setTargets(func(b *FleetMachine) bool {
		if m := o.machines.get(b.ID); m != nil {
			return m.usable() && m.freeResources().CPUs > 0
		}
		return b.Underloaded
	})
}

// moveQueue moves the queued tasks beyond a machine's threshold elsewhere, except those that fit.
func (o *overflow) moveQueue(now time.Time, m *Machine, number int) {
	allocator, _ := m.freeAfterPending()
	keep := m.queue[:0:0]
	for i, q := range m.queue {
		fits := allocator.take(q.resources)
		if fits || i < o.cfg.Threshold || !o.moveTask(now, q, number) {
			keep = append(keep, q)
		}
	}
	if len(keep) < len(m.queue) {
		o.machines.markChanged(m)
	}
	m.queue = keep
}

// moveTask sends a queued task to a buddy or, after the local wait, to any machine of the preferred
// list. After twice the local wait it drops the task, so that the leader assigns it again. It
// reports whether the task has left the queue.
func (o *overflow) moveTask(now time.Time, q queuedTask, number int) (leftQueue bool) {
	waited := now.Sub(q.since)
	sent := o.send(now, q, o.candidates(number, waited))
	switch {
	case sent && waited < o.cfg.LocalWait:
		o.Counts.Overflowed++
	case sent, waited >= o.cfg.returnAfter():
		o.Counts.FallbackBeyondBuddies++
	default:
		return false
	}
	return true
}

// candidates yields the numbers of the machines to which a task may overflow after waiting for some
// time on the machine with the given number.
func (o *overflow) candidates(number int, waited time.Duration) iter.Seq[int] {
	if waited < o.cfg.LocalWait {
		return o.fleet.buddySet(number, o.cfg.Buddies)
	}
	return o.fleet.preferredList(number)
}

// releasePreCommitted releases a machine's first pre-committed placement if another machine accepts
// its task. The task was never started: once the removal is committed it is back in the queue, and
// overflows like any other.
func (o *overflow) releasePreCommitted(now time.Time, m *Machine, number int) {
	pl := m.firstPreCommitted()
	if pl == nil {
		return
	}
	cached := o.jobs.Get(pl.Task.Job)
	if cached == nil || !job.MayOverflow(&cached.Spec) {
		return
	}
	for n := range o.candidates(number, now.Sub(pl.since)) {
		if o.accepts(&o.fleet.machines[n], cached, pl.Resources) {
			pl.end(outcomeReleased)
			o.machines.markChanged(m)
			return
		}
	}
}

// firstPreCommitted returns the first pending placement that is committed and does not fit, or
// nil.
func (m *Machine) firstPreCommitted() *Placement {
	for pl, fits := range m.pendingPlacements() {
		if pl.committed && !fits {
			return pl
		}
	}
	return nil
}

// accepts reports whether a machine accepts a job's task as overflow.
func (o *overflow) accepts(b *FleetMachine, cached *job.CachedJob, need job.Resources) bool {
	if m := o.machines.get(b.ID); m != nil {
		return job.AllowsMachine(&cached.Spec, m.kind()) && m.acceptsOverflow(need)
	}
	return b.Underloaded && need.FitsIn(b.FreeResources)
}

// send moves a task to the first machine of a list that accepts it: into its queue if this owner
// has the machine, or by a forward request to the leader. It reports whether a machine accepted it.
func (o *overflow) send(now time.Time, q queuedTask, list iter.Seq[int]) bool {
	cached := o.jobs.Get(q.task.Job)
	if cached == nil || !job.MayOverflow(&cached.Spec) {
		return false
	}
	for n := range list {
		b := &o.fleet.machines[n]
		if !o.accepts(b, cached, q.resources) {
			continue
		}
		if m := o.machines.get(b.ID); m != nil {
			m.intake.accepted++
			q.since = now
			m.queue = append(m.queue, q)
			o.machines.markChanged(m)
		} else {
			b.FreeResources = b.FreeResources.Sub(q.resources)
			o.outbox.forwards = append(o.outbox.forwards, ForwardRequest{Task: q.task, To: b.ID})
			o.Counts.Forwarded++
		}
		return true
	}
	return false
}
