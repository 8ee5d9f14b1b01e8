package scheduler

import (
	"cmp"
	"slices"
)

// serviceOrder finds the next job to serve in a pass: a job of the lowest service level, and within
// that level a job of the team that uses the least of its fair share. A job that is not schedulable
// stays so for the rest of the pass, so it is skipped only once.
type serviceOrder struct {
	quotas *quotas
	within quota
	levels []serviceLevel
}

// serviceLevel holds the waiting jobs of one level by team, in the order of service.
type serviceLevel struct {
	level  int
	byTeam [][]rankedJob
}

// rankedJob is a waiting job with its position among all waiting jobs.
type rankedJob struct {
	*WaitingJob
	position int
}

// newServiceOrder returns the service order of waiting jobs that are sorted by level.
func newServiceOrder(waiting []*WaitingJob, teams *quotas, within quota) serviceOrder {
	order := serviceOrder{quotas: teams, within: within}
	for position, w := range waiting {
		level := w.Level()
		if n := len(order.levels); n == 0 || order.levels[n-1].level != level {
			order.levels = append(order.levels, serviceLevel{level: level, byTeam: make([][]rankedJob, len(teams.teams))})
		}
		last := &order.levels[len(order.levels)-1]
		last.byTeam[w.Team] = append(last.byTeam[w.Team], rankedJob{w, position})
	}
	return order
}

// next returns the next job to serve, or nil if no job is schedulable.
func (o *serviceOrder) next() *WaitingJob {
	for len(o.levels) > 0 {
		if w := o.nextOfTeams(o.levels[0].byTeam); w != nil {
			return w
		}
		o.levels = o.levels[1:]
	}
	return nil
}

// nextOfTeams returns the first schedulable job of the team that uses the least of its share, and
// drops unschedulable jobs at the head of each team's list.
func (o *serviceOrder) nextOfTeams(byTeam [][]rankedJob) *WaitingJob {
	var heads []rankedJob
	for t, jobs := range byTeam {
		for len(jobs) > 0 && !jobs[0].schedulable(o.quotas, o.within) {
			jobs = jobs[1:]
		}
		byTeam[t] = jobs
		if len(jobs) > 0 {
			heads = append(heads, jobs[0])
		}
	}
	slices.SortFunc(heads, func(a, b rankedJob) int { return cmp.Compare(a.position, b.position) })
	return o.leastServed(heads)
}

// shareTolerance is the difference below which used shares count as equal.
const shareTolerance = 1e-9

// leastServed returns the job whose team uses the least of its share, or the first one in a tie.
func (o *serviceOrder) leastServed(heads []rankedJob) *WaitingJob {
	var best *WaitingJob
	bestShare := 0.0
	for _, w := range heads {
		share := o.quotas.teams[w.Team].shareUsed()
		if best == nil || share < bestShare-shareTolerance {
			best, bestShare = w.WaitingJob, share
		}
	}
	return best
}
