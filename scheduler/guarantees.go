package scheduler

import (
	"cmp"
	"slices"

	"junipershelf/job"
)

// checkGuarantees decides for each new job whether it is within its team's guarantee, together with
// the team's earlier live jobs. Such a job need not wait for other teams.
func (c *clusterState) checkGuarantees() {
	hasNewJobs := make([]bool, len(c.quotas.teams))
	for uid := range c.jobs.Jobs {
		entry := c.entry(uid)
		if live := entry.live; !entry.guaranteeChecked && live != nil && live.Team >= 0 {
			hasNewJobs[live.Team] = true
		}
	}
	for team, hasNew := range hasNewJobs {
		if hasNew {
			c.checkTeamGuarantee(team)
		}
	}
}

// checkTeamGuarantee decides for each of a team's new jobs whether it is within the guarantee: whether
// the CPUs and accelerators of all tasks of this job and of the team's live jobs submitted before it
// fit in the guarantee.
func (c *clusterState) checkTeamGuarantee(team int) {
	var sum job.Resources
	for _, live := range c.teamJobs(team) {
		tasks := float64(live.Spec.Tasks)
		sum = sum.Add(job.Resources{CPUs: live.Spec.CPUs * tasks, Accelerators: live.Spec.Accelerators * tasks})
		if entry := c.entry(live.Spec.UID); !entry.guaranteeChecked {
			entry.guaranteeChecked = true
			entry.guaranteed = sum.FitsIn(c.quotas.teams[team].Guarantee)
		}
	}
}

// teamJobs returns a team's live jobs in the order of submission.
func (c *clusterState) teamJobs(team int) []*job.CachedJob {
	var jobs []*job.CachedJob
	for _, live := range c.jobs.Jobs {
		if live.Team == team {
			jobs = append(jobs, live)
		}
	}
	slices.SortFunc(jobs, func(a, b *job.CachedJob) int {
		return cmp.Or(cmp.Compare(a.SubmittedMS, b.SubmittedMS), cmp.Compare(a.Spec.UID, b.Spec.UID))
	})
	return jobs
}
