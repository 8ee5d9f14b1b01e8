package scheduler

import (
	"cmp"
	"slices"

	"junipershelf/job"
)

// serviceOrder finds the next job to serve in a pass. A job that has no use for more, or
// may have no more, stays so for the rest of the pass, so each is passed over once.
type serviceOrder struct {
	levels []serviceLevel
}

// serviceLevel is the waiting jobs of one level, each team's in the order of service.
type serviceLevel struct {
	level int
	teams [][]rankedJob
}

// rankedJob is a waiting job with its place among all of them.
type rankedJob struct {
	*WaitingJob
	place int
}

// newServiceOrder takes the waiting jobs, which are sorted by level.
func newServiceOrder(waiting []*WaitingJob, teams int) (o serviceOrder) {
	for place, w := range waiting {
		level := w.Level()
		if n := len(o.levels); n == 0 || o.levels[n-1].level != level {
			o.levels = append(o.levels, serviceLevel{level: level, teams: make([][]rankedJob, teams)})
		}
		last := &o.levels[len(o.levels)-1]
		last.teams[w.Team] = append(last.teams[w.Team], rankedJob{w, place})
	}
	return o
}

// next takes the most pressing job; among equals the team that uses the least of its share.
func (o *serviceOrder) next(s *Scheduler, beyondGuarantee bool) *WaitingJob {
	for len(o.levels) > 0 {
		if w := o.levels[0].next(s, beyondGuarantee); w != nil {
			return w
		}
		o.levels = o.levels[1:]
	}
	return nil
}

// next takes the first job of the team that uses the least of its share.
func (l *serviceLevel) next(s *Scheduler, beyondGuarantee bool) *WaitingJob {
	var first []rankedJob
	for t, jobs := range l.teams {
		for len(jobs) > 0 && !s.schedulable(jobs[0].WaitingJob, beyondGuarantee) {
			jobs = jobs[1:]
		}
		l.teams[t] = jobs
		if len(jobs) > 0 {
			first = append(first, jobs[0])
		}
	}
	slices.SortFunc(first, func(a, b rankedJob) int { return cmp.Compare(a.place, b.place) })
	var best *WaitingJob
	bestShare := 0.0
	for _, w := range first {
		if share := s.Teams[w.Team].shareUsed(); best == nil || share < bestShare-1e-9 {
			best, bestShare = w.WaitingJob, share
		}
	}
	return best
}

// schedulable tells whether a job has use for more in this pass and may have it.
func (s *Scheduler) schedulable(w *WaitingJob, beyondGuarantee bool) bool {
	return !w.blocked && w.entry.freeCount > 0 && s.withinShare(w.Job, !beyondGuarantee)
}

// checkGuarantees notes of each job that is new whether it lies within its team's guarantee
// together with the team's earlier jobs that are not over: then it need not wait for anybody.
func (s *Scheduler) checkGuarantees() {
	fresh := make([]bool, len(s.Teams))
	for uid := range s.jobs.Jobs {
		e := s.jobEntry(uid)
		if l := e.live; !e.guaranteeChecked && l != nil && l.HasTeam() {
			fresh[l.Team] = true
		}
	}
	for team, any := range fresh {
		if any {
			s.checkTeamGuarantee(team)
		}
	}
}

// checkTeamGuarantee adds up a team's jobs in the order of their submission.
func (s *Scheduler) checkTeamGuarantee(team int) {
	var jobs []*job.CachedJob
	for _, l := range s.jobs.Jobs {
		if l.Team == team {
			jobs = append(jobs, l)
		}
	}
	slices.SortFunc(jobs, func(a, b *job.CachedJob) int {
		return cmp.Or(cmp.Compare(a.SubmittedMS, b.SubmittedMS), cmp.Compare(a.Spec.UID, b.Spec.UID))
	})
	var sum job.Resources
	for _, l := range jobs {
		n := float64(l.Spec.Tasks)
		sum = sum.Add(job.Resources{CPUs: l.Spec.CPUs * n, Accelerators: l.Spec.Accelerators * n})
		if e := s.jobEntry(l.Spec.UID); !e.guaranteeChecked {
			e.guaranteeChecked = true
			e.guaranteed = sum.FitsIn(s.Teams[team].Guarantee)
		}
	}
}
