package partition

import (
	"junipershelf/job"
	"junipershelf/protocol"
)

// placementReview ends placements that will never be started, and asks for those to be stopped
// that are to make room or to move.
type placementReview struct {
	*shared
}

// preempt asks for a task to be stopped if a machine runs it or is to run it.
func (r *placementReview) preempt(m *Machine, task job.Task) {
	pl := m.find(task)
	if pl == nil || pl.stopping || pl.hasEnded() {
		return
	}
	graceS := 0.0
	if l := r.jobs.Get(task.Job); l != nil && l.Spec.CheckpointIntervalS > 0 {
		graceS = checkpointGraceS(l)
	}
	pl.requestStop(graceS)
	r.Counts.Stopped++
	r.machines.markChanged(m)
}

// checkpointGraceS is how many seconds a task of a job may take to save its checkpoint when it is
// stopped: the owner's estimate is often wrong by half.
func checkpointGraceS(l *job.CachedJob) float64 { return l.Spec.CheckpointDurationS*2 + 1 }

// reviewPlacements abandons what will never be started, and stops what is to move from a machine
// that will go.
func (r *placementReview) reviewPlacements(m *Machine) {
	usable := m.usable()
	for _, pl := range m.placements {
		if pl.hasEnded() {
			continue
		}
		l := r.jobs.Get(pl.Task.Job)
		if pl.isPending() {
			if !usable || l == nil || l.Finished.Has(pl.Task.Index) {
				r.markLost(m, pl)
			}
			continue
		}
		if l != nil && !pl.stopping && m.mustMoveTasks() {
			r.stopToMove(m, pl, l)
		}
	}
}

// stopToMove stops a placement that had better go on elsewhere. The others may still complete.
func (r *placementReview) stopToMove(m *Machine, pl *Placement, l *job.CachedJob) {
	switch {
	case l.Spec.CheckpointIntervalS > 0 && pl.status == protocol.TaskRunning:
		// It saves its checkpoint now and goes on from there.
		pl.requestStop(checkpointGraceS(l))
	case l.IsService() && pl.status != "":
		// A replica has nothing to complete: the sooner it is known to be gone, the
		// sooner it runs elsewhere.
		pl.requestStop(0)
	default:
		return
	}
	r.machines.markChanged(m)
}
