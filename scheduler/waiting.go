package scheduler

import (
	"sort"
	"time"

	"junipershelf/job"
	"junipershelf/protocol"
)

// WaitingJob is a job with tasks that wait for room, as of one cycle.
type WaitingJob struct {
	Job          *job.CachedJob
	Team         int // index into Scheduler.Teams
	Tasks        int // that nobody holds
	Age          time.Duration
	PriorityRank int  // of the priority, after aging; 0 is the most urgent
	Deferred     bool // it can meet no target, or others would miss theirs
	PastDeadline bool // no room however large could still make it meet a target

	entry *jobEntry
	// guaranteed is work within its team's guarantee, which may still start in time. It
	// is never deferred: the timetable defers the largest, and the largest jobs of a
	// team were late although they had come first.
	guaranteed bool
	estimateS  float64   // run time of a task
	target     time.Time // the latest end of its work, or its submission if it is deferred
	cpuSeconds float64   // of the tasks that wait
	blocked    bool      // it has no use for more, or may have no more, in this pass
}

// Level orders the waiting jobs: by priority, and in it those that can be in time
// first. Deferred jobs go behind all that can, except that urgent work never
// waits behind other work.
func (w *WaitingJob) Level() int {
	switch {
	case !w.Deferred:
		return w.PriorityRank * 2
	case w.PriorityRank < protocol.FirstNonUrgentRank:
		return w.PriorityRank*2 + 1
	}
	return len(protocol.Priorities) * 2
}

// deferJob marks the job as deferred: among its like it is served by its submission.
func (w *WaitingJob) deferJob() {
	w.Deferred = true
	w.target = w.submittedAt()
}

// aimFor marks the job as one that is to meet a target.
func (w *WaitingJob) aimFor(target time.Time) {
	w.Deferred, w.target = false, target
}

func (w *WaitingJob) submittedAt() time.Time { return time.UnixMilli(w.Job.SubmittedMS) }

// schedulable reports whether the job has use for more in this pass and its team may have it
// within a quota.
func (w *WaitingJob) schedulable(teams *quotas, within quota) bool {
	return !w.blocked && w.entry.freeCount > 0 && teams.allows(w.Job, within)
}

// servedBefore orders two waiting jobs of one level.
func servedBefore(a, b *WaitingJob) bool {
	if a.Deferred && b.Deferred && a.Level() == b.Level() {
		// No target is met either way: the longest first, so that all of it ends early.
		if a.estimateS != b.estimateS {
			return a.estimateS > b.estimateS
		}
	} else if a.PriorityRank != b.PriorityRank {
		return a.PriorityRank < b.PriorityRank
	}
	if !a.target.Equal(b.target) {
		return a.target.Before(b.target)
	}
	return a.Job.Spec.UID < b.Job.Spec.UID
}

// waitingQueue lists the waiting jobs in the order of service. It keeps nothing from one
// cycle to the next.
type waitingQueue struct {
	cfg       *Config
	cluster   *clusterState
	estimates *runTimeEstimator
}

// WaitingJobs lists the jobs with tasks that nobody holds, in the order of service.
func (s *Scheduler) WaitingJobs(now time.Time) []*WaitingJob {
	s.cluster.refresh()
	s.cluster.forgetOldRemovals(s.Limits)
	return s.waiting.list(now)
}

// list returns the waiting jobs in the order of service.
func (q *waitingQueue) list(now time.Time) []*WaitingJob {
	var waiting []*WaitingJob
	for _, live := range q.cluster.jobs.Jobs {
		if live.Team < 0 {
			continue
		}
		entry := q.cluster.entries[live.Spec.UID]
		if now.Before(entry.pauseUntil) || entry.freeCount <= 0 {
			continue
		}
		waiting = append(waiting, q.newWaitingJob(entry, live, now))
	}
	q.sort(waiting, now)
	return waiting
}

func (q *waitingQueue) newWaitingJob(entry *jobEntry, live *job.CachedJob, now time.Time) *WaitingJob {
	w := &WaitingJob{
		Job: live, Team: live.Team, Tasks: entry.freeCount, Age: now.Sub(time.UnixMilli(live.SubmittedMS)),
		PriorityRank: live.Rank, entry: entry, estimateS: q.estimates.estimate(live),
	}
	w.guaranteed = q.cfg.GuaranteeWithin > 0 && entry.guaranteed && w.Age < q.cfg.GuaranteeWithin
	w.cpuSeconds = float64(w.Tasks) * live.Spec.CPUs * w.estimateS
	if q.cfg.Aging > 0 {
		// Aging keeps low priorities from starving.
		w.PriorityRank = max(0, w.PriorityRank-int(w.Age/q.cfg.Aging))
	}
	return w
}

// sort decides which of the waiting jobs can be in time, and sorts them by level and in it by
// target.
func (q *waitingQueue) sort(waiting []*WaitingJob, now time.Time) {
	targets := q.setFirstTargets(waiting, now)
	q.newTimetable(now).schedule(waiting, targets)
	sort.Slice(waiting, func(i, j int) bool {
		if a, b := waiting[i].Level(), waiting[j].Level(); a != b {
			return a < b
		}
		return servedBefore(waiting[i], waiting[j])
	})
}

// setFirstTargets sets each job's nearest target, defers the jobs that can meet none, and
// returns all targets.
func (q *waitingQueue) setFirstTargets(waiting []*WaitingJob, now time.Time) map[*WaitingJob][]time.Time {
	targets := make(map[*WaitingJob][]time.Time, len(waiting))
	for _, w := range waiting {
		own := q.targetsOf(w, now)
		targets[w] = own
		if len(own) > 0 {
			w.aimFor(own[0])
			continue
		}
		w.deferJob()
		w.PastDeadline = len(q.cfg.Targets[w.Job.Spec.Class]) > 0 || w.Job.Spec.DeadlineS > 0
	}
	return targets
}
