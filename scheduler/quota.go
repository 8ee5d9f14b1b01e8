package scheduler

import (
	"junipershelf/job"
	"junipershelf/partition"
)

// Team is a team of the settings, with what its jobs hold.
type Team struct {
	Name       string
	Guarantee  job.Resources
	Limit      job.Resources
	Weight     float64 // of its fair share; 0: the guarantee's CPUs
	used       job.Resources
	queuedCPUs float64
}

// Used returns what the team's tasks hold, those queued on machines included.
func (t *Team) Used() job.Resources { return t.used }

// QueuedCPUs returns the CPUs of the team's tasks that are queued on machines for room.
func (t *Team) QueuedCPUs() float64 { return t.queuedCPUs }

// shareUsed returns the team's CPUs by its weight: the lowest is served next.
func (t *Team) shareUsed() float64 { return t.used.CPUs / t.weight() }

func (t *Team) weight() float64 {
	if t.Weight > 0 {
		return t.Weight
	}
	return max(t.Guarantee.CPUs, 1)
}

// hold counts tasks that the team's jobs hold from now on.
func (t *Team) hold(perTask job.Resources, tasks int) {
	t.used = t.used.Add(timesTasks(perTask, tasks))
}

// release counts tasks that the team's jobs hold no more.
func (t *Team) release(perTask job.Resources, tasks int) {
	t.used = t.used.Sub(timesTasks(perTask, tasks))
}

// timesTasks returns the resources of a number of equal tasks.
func timesTasks(perTask job.Resources, tasks int) job.Resources {
	n := float64(tasks)
	return job.Resources{CPUs: perTask.CPUs * n, Accelerators: perTask.Accelerators * n, MemoryGB: perTask.MemoryGB * n}
}

// quota is one of the two bounds on what a team holds.
type quota int

const (
	guaranteeQuota quota = iota // what a team has a right to
	limitQuota                  // what a team may hold beyond it while others leave room
)

// quotas are the teams by index and by name.
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

// hold counts tasks that a machine holds. Tasks that have ended and teams that the settings lack
// do not count.
func (q *quotas) hold(held *partition.HeldTasks) {
	i, known := q.byName[held.Team]
	if !known || held.Phase == partition.PhaseEnded {
		return
	}
	tasks := held.Tasks.Len()
	q.teams[i].hold(held.Resources, tasks)
	if held.Phase == partition.PhaseQueued {
		q.teams[i].queuedCPUs += float64(tasks) * held.Resources.CPUs
	}
}

// release takes back what hold counted.
func (q *quotas) release(held *partition.HeldTasks) {
	i, known := q.byName[held.Team]
	if !known || held.Phase == partition.PhaseEnded {
		return
	}
	tasks := held.Tasks.Len()
	q.teams[i].release(held.Resources, tasks)
	if held.Phase == partition.PhaseQueued {
		q.teams[i].queuedCPUs -= float64(tasks) * held.Resources.CPUs
	}
}

// remaining returns how many more tasks of a job its team may hold within a quota. Memory has
// no quota.
func (q *quotas) remaining(live *job.CachedJob, within quota) int {
	t := &q.teams[live.Team]
	bound := t.Limit
	if within == guaranteeQuota {
		bound = t.Guarantee
	}
	need := live.Resources()
	need.MemoryGB = 0
	return need.Count(bound.Sub(t.used))
}

// allows reports whether a job's team may hold one more task of it within a quota.
func (q *quotas) allows(live *job.CachedJob, within quota) bool {
	return q.remaining(live, within) >= 1
}
