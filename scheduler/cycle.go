package scheduler

import (
	"time"

	"junipershelf/job"
	"junipershelf/partition"
)

// RunCycle assigns the waiting tasks that fit and returns the waiting jobs in the order of
// service.
func (s *Scheduler) RunCycle(now time.Time) []*WaitingJob {
	waiting := s.WaitingJobs(now)
	recordReplicaWaits(waiting, now)
	s.placer.cycleTime = now
	s.placeForwards()
	s.estimateReleases(now)
	s.starvation.selectProtected(waiting)
	s.runPasses(waiting, now)
	s.preemptor.run(waiting, now)
	s.withdrawal.run(now)
	return waiting
}

// recordReplicaWaits records when the unassigned replicas of each waiting service became
// unassigned.
func recordReplicaWaits(waiting []*WaitingJob, now time.Time) {
	for _, w := range waiting {
		if w.Job.IsService() {
			w.entry.recordReplicaWaits(now)
		}
	}
}

// placeForwards assigns forwarded overflow tasks to the machines that owners chose, if these
// still accept them.
func (s *Scheduler) placeForwards() {
	for _, forward := range s.forwards {
		live, m := s.Job(forward.Task.Job), s.Machine(forward.To)
		if live == nil || m == nil || !s.mayForward(live, m) {
			continue
		}
		if entry := s.cluster.entry(forward.Task.Job); entry.isUnassigned(forward.Task.Index) {
			s.placer.assign(entry, m, []int{forward.Task.Index}, noGang)
		}
	}
	s.forwards = nil
}

// mayForward reports whether one more task of a job may be forwarded to a machine.
func (s *Scheduler) mayForward(live *job.CachedJob, m *Machine) bool {
	if live.Team < 0 || !m.Schedulable() || !live.Resources().FitsIn(m.FreeNow) {
		return false
	}
	return s.WithinLimit(live) && job.MayOverflow(&live.Spec) && job.AllowsMachine(&live.Spec, m.kind())
}

// estimateReleases estimates the rate at which slots of each machine become free, and sets how
// many tasks may be queued there: as many as are expected to start within PreCommitWindow.
func (s *Scheduler) estimateReleases(now time.Time) {
	for _, m := range s.Machines() {
		m.attainable = s.attainable(m)
		m.releaseRate = s.releaseRate(m, now)
		m.maxQueued = min(s.cfg.MaxQueuedPerMachine, int(m.releaseRate*s.cfg.PreCommitWindow.Seconds()+0.5))
	}
}

// attainable returns the resources of a machine that tasks queued there may expect to become free: all but
// those of the replicas that it holds or is assigned, which run until they are cancelled.
func (s *Scheduler) attainable(m *Machine) job.Resources {
	attainable := m.Capacity
	for i := range m.Held {
		if held := &m.Held[i]; held.Phase != partition.PhaseEnded && !held.Stopping && s.IsService(held.Job) {
			attainable = attainable.Sub(multiplyResources(held.Resources, held.Tasks.Len()))
		}
	}
	for i := range m.unacked {
		if s.IsService(m.unacked[i].Job) {
			attainable = attainable.Sub(multiplyResources(m.unacked[i].resources, m.unacked[i].count))
		}
	}
	return attainable
}

// overdueFactor: a task that has run for longer than its estimate multiplied by this is overdue.
const overdueFactor = 2

// releaseRate estimates how many slots of a machine become free per second. The estimate says nothing of
// when an overdue task ends, so none of them is expected to: otherwise tasks would be queued behind
// them, where they count as assigned, and no machine would be requested.
func (s *Scheduler) releaseRate(m *Machine, now time.Time) float64 {
	rate := 0.0
	for i := range m.Held {
		held := &m.Held[i]
		live := s.Job(held.Job)
		if live == nil || held.Phase == partition.PhaseEnded || held.Phase == partition.PhaseQueued || live.IsService() {
			continue // a replica's slot does not become free by itself
		}
		estimate := s.estimates.estimate(live)
		left := estimate
		if held.Phase == partition.PhaseRunning {
			ran := held.PhaseS + now.Sub(m.lastSeen).Seconds()
			if ran > overdueFactor*estimate {
				continue
			}
			left = max(estimate-ran, estimate/2)
		}
		rate += float64(held.Tasks.Len()) / left
	}
	return rate
}

// pass describes one pass of a cycle: which machines it assigns tasks to, and within which
// quota.
type pass struct {
	now               time.Time
	within            quota // that teams may use up in the pass
	useFreeCapacity   bool  // assign to machines with free capacity, rather than to the queues of full machines
	allowWithoutImage bool  // include machines that lack the job's image
}

// runPasses assigns tasks to the machines: first for teams within their guarantees, then for
// teams that borrow. For each quota, free capacity goes first to jobs whose image is on the
// machine and to jobs that have waited long enough for such a machine, then to all jobs; the
// queues of full machines are used last.
func (s *Scheduler) runPasses(waiting []*WaitingJob, now time.Time) {
	for _, within := range []quota{guaranteeQuota, limitQuota} {
		s.runPass(waiting, pass{now: now, within: within, useFreeCapacity: true})
		s.runPass(waiting, pass{now: now, within: within, useFreeCapacity: true, allowWithoutImage: true})
		s.runPass(waiting, pass{now: now, within: within})
	}
}

// runPass assigns tasks to the machines of a pass until the machines are full or no job can be
// assigned more tasks.
func (s *Scheduler) runPass(waiting []*WaitingJob, ps pass) {
	s.placer.startPass(ps)
	for _, w := range waiting {
		w.blocked = false
	}
	order := newServiceOrder(waiting, &s.cluster.quotas, ps.within)
	for s.placer.candidates.eligibleCount > 0 {
		if w := s.starvation.next(ps.within); w != nil {
			tasks := s.placer.serve(w, ps)
			s.starvation.protectedCPUs += float64(tasks) * w.Job.Spec.CPUs
			s.Counts.StarvationProtected += uint64(tasks)
			continue
		}
		w := order.next()
		if w == nil {
			return
		}
		s.starvation.regularCPUs += float64(s.placer.serve(w, ps)) * w.Job.Spec.CPUs
	}
}
