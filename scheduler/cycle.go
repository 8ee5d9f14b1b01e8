package scheduler

import (
	"time"

	"junipershelf/job"
	"junipershelf/partition"
)

// RunCycle assigns what fits now and returns the jobs that wait, in the order of service.
func (s *Scheduler) RunCycle(now time.Time) []*WaitingJob {
	waiting := s.WaitingJobs(now)
	recordReplicaWaits(waiting, now)
	s.placer.cycleTime = now
	s.placeForwards()
	s.estimateReleases(now)
	s.starvation.selectProtected(waiting)
	s.runPasses(waiting, now)
	s.preemptor.run(waiting, now)
	return waiting
}

// recordReplicaWaits records of each waiting service since when its replicas wait.
func recordReplicaWaits(waiting []*WaitingJob, now time.Time) {
	for _, w := range waiting {
		if w.Job.IsService() {
			w.entry.recordReplicaWaits(now)
		}
	}
}

// placeForwards assigns overflow to the buddies that owners named, where these still take it.
func (s *Scheduler) placeForwards() {
	for _, forward := range s.forwards {
		live, m := s.Job(forward.Task.Job), s.Machine(forward.To)
		if live == nil || m == nil || !s.mayForward(live, m) {
			continue
		}
		if entry := s.cluster.entry(forward.Task.Job); entry.isFree(forward.Task.Index) {
			s.placer.assign(entry, m, []int{forward.Task.Index}, noGang)
		}
	}
	s.forwards = nil
}

// mayForward reports whether a machine takes one more task of a job as a buddy.
func (s *Scheduler) mayForward(live *job.CachedJob, m *Machine) bool {
	if live.Team < 0 || !m.Open() || !live.Resources().FitsIn(m.FreeNow) {
		return false
	}
	return s.WithinLimit(live) && job.MayOverflow(&live.Spec) && job.AllowsMachine(&live.Spec, m.kind())
}

// estimateReleases estimates how soon slots of each machine fall free, and how many tasks may
// wait there: as many as are likely to start before the next ones can come.
func (s *Scheduler) estimateReleases(now time.Time) {
	for _, m := range s.Machines() {
		m.releaseRate = s.releaseRate(m, now)
		m.maxQueued = min(s.cfg.MaxQueuedPerMachine, int(m.releaseRate*s.cfg.PreCommitWindow.Seconds()+0.5))
	}
}

// releaseRate estimates how many slots of a machine fall free in a second.
func (s *Scheduler) releaseRate(m *Machine, now time.Time) float64 {
	rate := 0.0
	for i := range m.Held {
		held := &m.Held[i]
		live := s.Job(held.Job)
		if live == nil || held.Phase == partition.PhaseEnded || held.Phase == partition.PhaseQueued || live.IsService() {
			continue // a replica's slot does not fall free
		}
		estimate := s.estimates.estimate(live)
		left := estimate
		if held.Phase == partition.PhaseRunning {
			left = max(estimate-held.PhaseS-now.Sub(m.lastSeen).Seconds(), estimate/2)
		}
		rate += float64(held.Tasks.Len()) / left
	}
	return rate
}

// pass says which machines a pass of a cycle assigns work to, and who may have them.
type pass struct {
	now          time.Time
	within       quota // of the teams that are served
	freeRoom     bool  // machines with free room, not the queues of full ones
	withoutImage bool  // also machines without the job's image
}

// runPasses assigns work to the machines: first to work within the guarantees, then to borrowers.
// In each, free room goes first to work whose image is there and to work that has waited for
// such room for long enough, then to any; the queues of full machines come last.
func (s *Scheduler) runPasses(waiting []*WaitingJob, now time.Time) {
	for _, within := range []quota{guaranteeQuota, limitQuota} {
		s.runPass(waiting, pass{now: now, within: within, freeRoom: true})
		s.runPass(waiting, pass{now: now, within: within, freeRoom: true, withoutImage: true})
		s.runPass(waiting, pass{now: now, within: within})
	}
}

// runPass assigns work to the machines of a pass until they are full or no job may have more.
func (s *Scheduler) runPass(waiting []*WaitingJob, ps pass) {
	s.placer.startPass(ps)
	for _, w := range waiting {
		w.blocked = false
	}
	order := newServiceOrder(waiting, &s.cluster.quotas, ps.within)
	for s.placer.candidates.openCount > 0 {
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
		s.starvation.orderedCPUs += float64(s.placer.serve(w, ps)) * w.Job.Spec.CPUs
	}
}
