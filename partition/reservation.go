package partition

import (
	"slices"
	"time"

	"junipershelf/job"
)

// reservation tracks how the wait of a pre-committed placement goes on.
type reservation struct {
	ahead int       // the least number of placements that were ahead of it
	since time.Time // when that number was reached; zero: not tracked yet
}

// reservations ends reservations that are not going to be kept. A task that is queued or pre-committed on a
// machine without free resources for it has a reservation there: it starts once enough of the tasks ahead of
// it have ended. Until then the leader counts it as assigned, so no other machine is requested for it. A
// reservation ends in two cases, whatever the shape of the job, and the leader then assigns the task again:
//
//   - The task can never start there, since it needs more than the replicas of services leave of the
//     machine: they run until they are cancelled.
//   - Nothing ahead of it has ended for twice the local wait, be it that the tasks ahead take longer than
//     expected or that others overtake it again and again. A task that needs most of a machine keeps its
//     reservation for as long as the machine empties: ending it would let smaller tasks in.
type reservations struct {
	*shared
}

// review ends the reservations on a machine that are not going to be kept.
func (r *reservations) review(now time.Time, m *Machine) {
	if m.hasReservation() {
		r.reviewQueue(m, r.reviewPlacements(now, m))
	}
}

// hasReservation reports whether a task on the machine waits for free resources.
func (m *Machine) hasReservation() bool {
	if len(m.queue) > 0 {
		return true
	}
	for _, fits := range m.pendingPlacements() {
		if !fits {
			return true
		}
	}
	return false
}

// reviewPlacements ends the reservations of pre-committed placements, and returns the resources that tasks
// behind all placements may expect to become free.
func (r *reservations) reviewPlacements(now time.Time, m *Machine) (attainable job.Resources) {
	attainable = m.capacity
	ahead := 0
	for _, pl := range m.placements {
		if !pl.hasEnded() && !pl.isPending() {
			ahead++
			attainable = attainable.Sub(r.permanentResources(pl))
		}
	}
	for pl, fits := range m.pendingPlacements() {
		if fits {
			pl.reservation = reservation{}
		} else if pl.committed && (!pl.Resources.FitsIn(attainable) || pl.reservation.isOverdue(ahead, now, r.cfg.returnAfter())) {
			r.endReservation(m, pl)
			continue
		}
		ahead++
		attainable = attainable.Sub(r.permanentResources(pl))
	}
	return attainable
}

// reviewQueue drops the queued tasks that can never start on the machine, given the resources that may
// become free for them.
func (r *reservations) reviewQueue(m *Machine, attainable job.Resources) {
	before := len(m.queue)
	m.queue = slices.DeleteFunc(m.queue, func(queued queuedTask) bool {
		if !queued.resources.FitsIn(attainable) {
			r.Counts.Returned++
			return true
		}
		if cached := r.jobs.Get(queued.task.Job); cached != nil && cached.IsService() {
			attainable = attainable.Sub(queued.resources)
		}
		return false
	})
	if len(m.queue) < before {
		r.machines.markChanged(m)
	}
}

// permanentResources returns the resources that a placement keeps for as long as its machine is there: those
// of a replica that is not being stopped.
func (r *reservations) permanentResources(pl *Placement) job.Resources {
	if pl.stopping || !r.isReplica(pl) {
		return job.Resources{}
	}
	return pl.Resources
}

// isOverdue records how many placements are ahead now, and reports whether fewer of them have not been
// reached for as long as limit.
func (res *reservation) isOverdue(ahead int, now time.Time, limit time.Duration) bool {
	if res.since.IsZero() || ahead < res.ahead {
		*res = reservation{ahead: ahead, since: now}
	}
	return now.Sub(res.since) >= limit
}

// endReservation ends a pre-committed placement. Its task was never started; once the removal is committed,
// the leader finds that no machine holds it, and assigns it again.
func (r *reservations) endReservation(m *Machine, pl *Placement) {
	pl.end(outcomeReturned)
	r.Counts.Returned++
	r.machines.markChanged(m)
}
