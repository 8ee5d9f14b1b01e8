package scheduler

import (
	"cmp"
	"slices"
)

// serviceOrder finds the next job to serve in a pass: of the most urgent level, and in it of
// the team that uses the least of its fair share. A job that has no use for more, or may have
// no more, stays so for the rest of the pass, so each is passed over once.
type serviceOrder struct {
	quotas *quotas
	within quota
	levels []serviceLevel
}

// serviceLevel is the waiting jobs of one level, each team's in the order of service.
type serviceLevel struct {
	level  int
	byTeam [][]rankedJob
}

// rankedJob is a waiting job with its position among all of them.
type rankedJob struct {
	*WaitingJob
	position int
}

// newServiceOrder takes the waiting jobs, sorted by level.
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

// next returns the next job to serve, nil if no job may have more.
func (o *serviceOrder) next() *WaitingJob {
	for len(o.levels) > 0 {
		if w := o.nextOfTeams(o.levels[0].byTeam); w != nil {
			return w
		}
		o.levels = o.levels[1:]
	}
	return nil
}

// nextOfTeams returns the first job of the team that uses the least of its share, and drops
// the jobs before it that may have no more.
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

// shareTolerance is the difference of used shares below which they count as equal.
const shareTolerance = 1e-9

// leastServed returns the job whose team uses the least of its share, the first of equals.
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
