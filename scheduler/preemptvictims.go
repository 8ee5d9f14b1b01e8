package scheduler

import (
	"cmp"
	"slices"
	"time"

	"junipershelf/job"
	"junipershelf/partition"
)

// victim is a running task that may be stopped.
type victim struct {
	task      job.Task
	live      *job.CachedJob
	resources job.Resources
	cost      float64 // CPU seconds of work that would be lost
	lossS     float64 // run time that would be lost, in seconds
	preempted bool    // preempted in this cycle
}

// findVictims returns the tasks that may be stopped on each machine, the cheapest first.
func (p *preemptor) findVictims(now time.Time) map[*Machine][]*victim {
	byMachine := map[*Machine][]*victim{}
	for _, m := range p.cluster.machines.byID {
		if !m.Schedulable() || p.quarantine.machines[m.ID] {
			continue
		}
		var victims []*victim
		for i := range m.Held {
			victims = append(victims, p.victimsOf(m, &m.Held[i], now)...)
		}
		if len(victims) == 0 {
			continue
		}
		slices.SortFunc(victims, func(a, b *victim) int {
			return cmp.Or(cmp.Compare(a.cost, b.cost), a.task.Compare(b.task))
		})
		byMachine[m] = victims
	}
	return byMachine
}

// victimsOf returns the tasks of a group of held tasks that may be stopped. Tasks that would lose
// too much run time are left out: they are expected to end before the loss is recovered.
func (p *preemptor) victimsOf(m *Machine, held *partition.HeldTasks, now time.Time) []*victim {
	live := p.cluster.jobs.Get(held.Job)
	if live == nil || live.Team < 0 || held.Phase != partition.PhaseRunning || held.Stopping || live.IsService() {
		return nil
	}
	ranS := held.PhaseS + now.Sub(m.lastSeen).Seconds()
	lossS := ranS
	if live.Spec.CheckpointIntervalS > 0 {
		lossS = live.Spec.CheckpointDurationS
	}
	if lossS > max(p.cfg.MaxPreemptionLoss.Seconds(), maxServicePreemptionLossS) {
		return nil
	}
	cost := lossS * held.Resources.CPUs
	if ranS < p.cfg.MinRunBeforeStop.Seconds() {
		// A task that is stopped this early does not count as started.
		cost += p.cfg.MinRunBeforeStop.Seconds() * held.Resources.CPUs
	}
	var victims []*victim
	for i := range held.Tasks.All() {
		task := job.Task{Job: held.Job, Index: i}
		if _, stopping := p.preempted[task]; !stopping {
			victims = append(victims, &victim{task: task, live: live, resources: held.Resources, cost: cost, lossS: lossS})
		}
	}
	return victims
}

// cheapestVictims returns the machine on which capacity for a task can be freed at the least cost,
// and the tasks to stop there, or nil if there is none.
func (c *preemptionCycle) cheapestVictims(pj *preemptingJob) (best *Machine, victims []*victim) {
	var bestCost float64
	var unacked map[string]bool
	if pj.Job.IsService() {
		unacked = c.cluster.unackedMachines(pj.Job.Spec.UID)
	}
	for _, m := range c.cluster.machines.all() {
		if c.victims[m] == nil || !pj.mayUse(m) {
			continue
		}
		chosen, cost := c.victimsOn(m, pj)
		if pj.Job.IsService() && (unacked[m.ID] || m.holds(pj.Job.Spec.UID)) {
			cost += maxServicePreemptionLossS * pj.need.CPUs // prefer machines without a replica of the service
		}
		if len(chosen) > 0 && (best == nil || cost < bestCost) {
			best, victims, bestCost = m, chosen, cost
		}
	}
	return best, victims
}

// mayUse reports whether the job's tasks could run on a machine if it were empty.
func (pj *preemptingJob) mayUse(m *Machine) bool {
	return pj.need.FitsIn(m.Capacity) && job.AllowsMachine(&pj.Job.Spec, m.kind()) &&
		(pj.zone == anyZone || pj.zone == m.Zone) && pj.zoneAllowed(m.Zone)
}

// victimsOn chooses the tasks to stop on a machine so that one task of a job can run there, beginning
// with the cheapest, and returns them and the sum of their costs. It returns none if stopping all
// that may be stopped would not free enough.
func (c *preemptionCycle) victimsOn(m *Machine, pj *preemptingJob) (chosen []*victim, cost float64) {
	available := c.roomOn(m, pj)
	for _, v := range c.victims[m] {
		if pj.need.FitsIn(available) {
			break
		}
		if c.mayStop(v, pj) {
			available = available.Add(v.resources)
			cost += v.cost
			chosen = append(chosen, v)
		}
	}
	if !pj.need.FitsIn(available) {
		return nil, 0
	}
	return chosen, cost
}

// servedBefore reports whether the job of a victim, once it waits again, would be served before the job for
// which it is stopped: what is freed would go to the victim's job again.
func (c *preemptionCycle) servedBefore(victimJob *job.CachedJob, pj *preemptingJob) bool {
	w := c.order[victimJob]
	if w == nil {
		w = c.waiting.newWaitingJob(c.cluster.entry(victimJob.Spec.UID), victimJob, c.now)
		c.waiting.setFirstTarget(w, c.now)
		c.order[victimJob] = w
	}
	if a, b := w.Level(), pj.Level(); a != b {
		return a < b
	}
	return servedBefore(w, pj.WaitingJob)
}

// mayStop reports whether a task may be stopped for a job: the task is of a lower priority and its job is
// not served before, or its team exceeds its guarantee while the job is within the guarantee of the
// job's team.
func (c *preemptionCycle) mayStop(v *victim, pj *preemptingJob) bool {
	reclaimable := pj.withinGuarantee && v.live.Team != pj.Team && c.borrowedCPUs[v.live.Team] >= v.resources.CPUs
	lowerPriority := v.live.Rank > pj.Job.Rank && (pj.Job.IsService() || !c.servedBefore(v.live, pj))
	if v.preempted || !lowerPriority && !reclaimable {
		return false
	}
	return pj.Job.IsService() || v.lossS <= c.cfg.MaxPreemptionLoss.Seconds()
}
