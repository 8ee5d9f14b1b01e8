package scheduler

import (
	"sort"
	"time"

	"junipershelf/job"
	"junipershelf/protocol"
)

// WaitingJob is a job with unassigned tasks, as of one cycle.
type WaitingJob struct {
	Job          *job.CachedJob
	Team         int // index into Scheduler.Teams
	Tasks        int // number of unassigned tasks
	Age          time.Duration
	PriorityRank int  // rank of the priority after aging; 0 is the most urgent
	Deferred     bool // it can meet no target, or others would miss theirs because of it
	PastDeadline bool // it can no longer meet any target, however much capacity it gets

	entry *jobEntry
	// guaranteed is set for a job within its team's guarantee that may still start within
	// GuaranteeWithin. It is never deferred: the timetable defers the largest jobs first, which
	// would make a team's largest jobs late even if they were submitted first.
	guaranteed bool
	estimateS  float64   // estimated run time of a task, in seconds
	target     time.Time // the latest end of its work, or its submission time if it is deferred
	cpuSeconds float64   // estimated work of the unassigned tasks
	blocked    bool      // no more of its tasks can be assigned in this pass
}

// Level returns the job's service level, lower levels first. Jobs are ordered by priority, and
// deferred jobs follow all jobs that can be in time, except that deferred urgent jobs only follow
// those of at least their own priority: urgent work never waits behind less urgent work.
func (w *WaitingJob) Level() int {
	switch {
	case !w.Deferred:
		return w.PriorityRank * 2
	case w.PriorityRank < protocol.FirstNonUrgentRank:
		return w.PriorityRank*2 + 1
	}
	return len(protocol.Priorities) * 2
}

// deferJob marks the job as deferred: its target is then its submission time.
func (w *WaitingJob) deferJob() {
	w.Deferred = true
	w.target = w.submittedAt()
}

// setTarget sets the target of the job and marks it as not deferred.
func (w *WaitingJob) setTarget(target time.Time) {
	w.Deferred, w.target = false, target
}

func (w *WaitingJob) submittedAt() time.Time { return time.UnixMilli(w.Job.SubmittedMS) }

// schedulable reports whether more tasks of the job may be assigned in this pass, within a quota
// of its team.
func (w *WaitingJob) schedulable(teams *quotas, within quota) bool {
	return !w.blocked && w.entry.unassignedCount > 0 && teams.allows(w.Job, within)
}

// servedBefore reports whether a is served before b, for two waiting jobs of the same level.
func servedBefore(a, b *WaitingJob) bool {
	if a.Deferred && b.Deferred && a.Level() == b.Level() {
		// Neither meets a target: the job with the longest tasks goes first, so that all work ends early.
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

// waitingQueue lists the waiting jobs in the order of service. It keeps no state between cycles.
type waitingQueue struct {
	cfg       *Config
	cluster   *clusterState
	estimates *runTimeEstimator
}

// WaitingJobs lists the jobs with unassigned tasks, in the order of service.
func (s *Scheduler) WaitingJobs(now time.Time) []*WaitingJob {
	s.cluster.refresh()
	s.cluster.pruneRemovals(s.Limits)
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
		if now.Before(entry.pauseUntil) || entry.unassignedCount <= 0 {
			continue
		}
		waiting = append(waiting, q.newWaitingJob(entry, live, now))
	}
	q.sort(waiting, now)
	return waiting
}

func (q *waitingQueue) newWaitingJob(entry *jobEntry, live *job.CachedJob, now time.Time) *WaitingJob {
	w := &WaitingJob{
		Job: live, Team: live.Team, Tasks: entry.unassignedCount, Age: now.Sub(time.UnixMilli(live.SubmittedMS)),
		PriorityRank: live.Rank, entry: entry, estimateS: q.estimates.estimate(live),
	}
	w.guaranteed = q.cfg.GuaranteeWithin > 0 && entry.guaranteed && w.Age < q.cfg.GuaranteeWithin
	w.cpuSeconds = float64(w.Tasks) * live.Spec.CPUs * w.estimateS
	if q.cfg.Aging > 0 {
		// Aging prevents starvation of low priorities.
		w.PriorityRank = max(0, w.PriorityRank-int(w.Age/q.cfg.Aging))
	}
	return w
}

// sort decides which of the waiting jobs can be in time, and sorts them by level, then by
// servedBefore.
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
// returns the targets of all jobs.
func (q *waitingQueue) setFirstTargets(waiting []*WaitingJob, now time.Time) map[*WaitingJob][]time.Time {
	targets := make(map[*WaitingJob][]time.Time, len(waiting))
	for _, w := range waiting {
		targets[w] = q.setFirstTarget(w, now)
	}
	return targets
}

// setFirstTarget sets a job's nearest target, or defers it if it can meet none, and returns its targets.
func (q *waitingQueue) setFirstTarget(w *WaitingJob, now time.Time) []time.Time {
	targets := q.targetsOf(w, now)
	if len(targets) > 0 {
		w.setTarget(targets[0])
		return targets
	}
	w.deferJob()
	w.PastDeadline = len(q.cfg.Targets[w.Job.Spec.Class]) > 0 || w.Job.Spec.DeadlineS > 0
	return nil
}
