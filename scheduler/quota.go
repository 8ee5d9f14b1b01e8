package scheduler

import (
	"junipershelf/job"
	"junipershelf/partition"
	"junipershelf/protocol"
)

// Team is a team from the settings, with the resources that its jobs hold.
type Team struct {
	Name      string
	Guarantee job.Resources
	Limit     job.Resources
	Weight    float64 // of the team when capacity is shared; 0: the CPUs of the guarantee are the weight
	used      job.Resources
	queued    job.Resources
}

// Used returns the resources that the team's tasks hold, including tasks queued on machines.
func (t *Team) Used() job.Resources { return t.used }

// Queued returns the resources of the team's tasks that are queued on machines.
func (t *Team) Queued() job.Resources { return t.queued }

// shareUsed returns the team's used CPUs divided by its weight: the team with the lowest value is
// served next.
func (t *Team) shareUsed() float64 { return t.used.CPUs / t.weight() }

func (t *Team) weight() float64 {
	if t.Weight > 0 {
		return t.Weight
	}
	return max(t.Guarantee.CPUs, 1)
}

// hold adds tasks to the resources that the team holds.
func (t *Team) hold(perTask job.Resources, tasks int) {
	t.used = t.used.Add(multiplyResources(perTask, tasks))
}

// release subtracts tasks from the resources that the team holds.
func (t *Team) release(perTask job.Resources, tasks int) {
	t.used = t.used.Sub(multiplyResources(perTask, tasks))
}

// multiplyResources returns the resources of a number of equal tasks.
func multiplyResources(perTask job.Resources, tasks int) job.Resources {
	n := float64(tasks)
	return job.Resources{CPUs: perTask.CPUs * n, Accelerators: perTask.Accelerators * n, MemoryGB: perTask.MemoryGB * n}
}

// quota is one of the two bounds on the resources that a team holds.
type quota int

const (
	guaranteeQuota quota = iota // the resources that a team is entitled to
	limitQuota                  // the most that a team may hold, including what it borrows beyond its guarantee
)

// quotas holds the teams by index and by name.
type quotas struct {
	teams  []Team
	byName map[string]int
}

func newQuotas(teams []Team) quotas {
	q := quotas{teams: teams, byName: map[string]int{}}
	for i, t := range teams {
		q.byName[t.Name] = i
	}
	return q
}

// hold counts tasks that a machine holds against the quotas of their team. Ended tasks and teams
// that are not in the settings do not count.
func (q *quotas) hold(held *partition.HeldTasks) {
	i, known := q.byName[held.Team]
	if !known || held.Phase == partition.PhaseEnded {
		return
	}
	tasks := held.Tasks.Len()
	q.teams[i].hold(held.Resources, tasks)
	if held.Phase == partition.PhaseQueued {
		q.teams[i].queued = q.teams[i].queued.Add(multiplyResources(held.Resources, tasks))
	}
}

// release reverts hold.
func (q *quotas) release(held *partition.HeldTasks) {
	i, known := q.byName[held.Team]
	if !known || held.Phase == partition.PhaseEnded {
		return
	}
	tasks := held.Tasks.Len()
	q.teams[i].release(held.Resources, tasks)
	if held.Phase == partition.PhaseQueued {
		q.teams[i].queued = q.teams[i].queued.Sub(multiplyResources(held.Resources, tasks))
	}
}

// remaining returns how many more tasks of a job its team may hold within a quota. Memory is not
// subject to quotas.
func (q *quotas) remaining(live *job.CachedJob, within quota) int {
	t := &q.teams[live.Team]
	bound := t.Limit
	if within == guaranteeQuota {
		bound = t.Guarantee
	}
	need := live.Resources()
	need.MemoryGB = 0
	return need.FitCount(bound.Sub(t.used))
}

// allowsNext reports whether a job's team may hold, within a quota, what the job needs next: one more task, or all
// that are left of a gang.
func (q *quotas) allowsNext(w *WaitingJob, within quota) bool {
	needed := 1
	if w.Job.Spec.Shape == protocol.ShapeGang {
		needed = w.Tasks
	}
	return q.remaining(w.Job, within) >= needed
}

// allows reports whether a job's team may hold one more of the job's tasks within a quota.
func (q *quotas) allows(live *job.CachedJob, within quota) bool {
	return q.remaining(live, within) >= 1
}
