package partition

import (
	"junipershelf/job"
	"junipershelf/protocol"
)

// placementReview ends placements that will never be started, and requests the stop of those that
// are preempted or should move to another machine.
type placementReview struct {
	*shared
}

// preempt requests the stop of a task if it is placed on the machine, or ends its placement if it was never
// started.
func (r *placementReview) preempt(m *Machine, task job.Task) {
	pl := m.find(task)
	if pl == nil || pl.stopping || pl.hasEnded() {
		return
	}
	if pl.isPending() {
		r.markLost(m, pl) // never started, so there is no end to wait for
		return
	}
	graceS := 0.0
	if cached := r.jobs.Get(task.Job); cached != nil && cached.Spec.CheckpointIntervalS > 0 {
		graceS = checkpointGraceS(cached)
	}
	pl.requestStop(graceS)
	r.Counts.Stopped++
	r.machines.markChanged(m)
}

// checkpointGraceS returns how many seconds a task may take to save its checkpoint when it is
// stopped. It is more than twice the job's estimate, which is often wrong by half.
func checkpointGraceS(cached *job.CachedJob) float64 { return cached.Spec.CheckpointDurationS*2 + 1 }

// reviewPlacements ends placements that will never be started, and stops those that should move off
// a machine that is about to be terminated.
func (r *placementReview) reviewPlacements(m *Machine) {
	usable := m.usable()
	for _, pl := range m.placements {
		if pl.hasEnded() {
			continue
		}
		cached := r.jobs.Get(pl.Task.Job)
		if pl.isPending() {
			if !usable || cached == nil || cached.Completed.Has(pl.Task.Index) {
				r.markLost(m, pl)
			}
			continue
		}
		if cached != nil && !pl.stopping && m.mustMoveTasks() {
			r.stopToMove(m, pl, cached)
		}
	}
}

// stopToMove stops a placement that is better continued on another machine. Other placements are left
// running, since they may still complete.
func (r *placementReview) stopToMove(m *Machine, pl *Placement, cached *job.CachedJob) {
	switch {
	case cached.Spec.CheckpointIntervalS > 0 && pl.status == protocol.TaskRunning:
		// It saves its checkpoint now and continues from there.
		pl.requestStop(checkpointGraceS(cached))
	case cached.IsService() && pl.status != "":
		// A replica has nothing to complete. The sooner it has stopped, the sooner it runs elsewhere.
		pl.requestStop(0)
	default:
		return
	}
	r.machines.markChanged(m)
}
