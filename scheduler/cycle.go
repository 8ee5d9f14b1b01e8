package scheduler

import (
	"time"

	"junipershelf/job"
	"junipershelf/partition"
	"junipershelf/protocol"
)

// RunCycle admits what fits now and lists the jobs that wait. It first serves the moves that
// owners asked for.
func (s *Scheduler) RunCycle(now time.Time) []*WaitingJob {
	s.cycleTime = now
	waiting := s.WaitingJobs(now)
	for _, w := range waiting {
		if w.Job.IsService() {
			w.entry.recordWait(now)
		}
	}
	s.serveForwards()
	for _, m := range s.Machines() {
		s.estimateReleases(m, now)
	}
	protected := s.starvationProtected(waiting)
	if len(protected) == 0 {
		s.servedCPUs = [2]float64{}
	}
	// First what lies within the guarantees, then what is borrowed. In each, free room goes
	// first to work whose image is there and to work that has waited for such room for long
	// enough, then to any; the queues of full machines come last.
	for _, beyondGuarantee := range []bool{false, true} {
		for _, ps := range []pass{{freeRoom: true}, {freeRoom: true, withoutImage: true}, {}} {
			ps.beyondGuarantee, ps.now = beyondGuarantee, now
			s.runPass(waiting, protected, ps)
		}
	}
	if s.cfg.PreemptAfter > 0 {
		s.preempt(waiting, now)
	}
	return waiting
}

// serveForwards assigns overflow to the buddies that owners named, where these still take it.
func (s *Scheduler) serveForwards() {
	for _, move := range s.forwards {
		l, m := s.jobs.Get(move.Task.Job), s.machines[move.To]
		if l == nil || m == nil || !l.HasTeam() || !m.Open() || !l.Resources().FitsIn(m.FreeNow) || !s.WithinLimit(l) || !job.MayOverflow(&l.Spec) {
			continue
		}
		e := s.jobEntry(move.Task.Job)
		free := move.Task.Index < len(e.tasks) && e.tasks[move.Task.Index] == 0
		if free && job.AllowsMachine(&l.Spec, m.kind()) {
			s.assign(e, m, []int{move.Task.Index}, 0)
		}
	}
	s.forwards = nil
}

// pass says which machines are looked at and who may have them.
type pass struct {
	now             time.Time
	beyondGuarantee bool
	freeRoom        bool // machines with room, not the queues of full ones
	withoutImage    bool // also without the image
}

// The two orders in which room is given out.
const (
	byService    = iota // the order of service
	byProtection        // what was deferred for long
)

// runPass gives the machines of a pass out until they are full or nothing wants them.
func (s *Scheduler) runPass(waiting, protected []*WaitingJob, ps pass) {
	s.candidates.collect(s, ps)
	for _, w := range waiting {
		w.blocked = false
	}
	order := newServiceOrder(waiting, len(s.Teams))
	for s.candidates.count > 0 {
		w, by := s.nextServed(&order, protected, ps)
		if w == nil {
			return
		}
		served := 0
		if w.Job.Spec.Shape == protocol.ShapeGang {
			served = s.serveGang(w, ps)
		} else {
			served = s.serveJob(w, ps)
		}
		s.servedCPUs[by] += float64(served) * w.Job.Spec.CPUs
		if by == byProtection {
			s.Counts.StarvationProtected += uint64(served)
		}
	}
}

// nextServed picks the next job, by protection while that has had less than its share.
func (s *Scheduler) nextServed(order *serviceOrder, protected []*WaitingJob, ps pass) (*WaitingJob, int) {
	if s.servedCPUs[byProtection] < protectedShare*(s.servedCPUs[byService]+s.servedCPUs[byProtection]) {
		if w := s.nextProtected(protected, ps.beyondGuarantee); w != nil {
			return w, byProtection
		}
	}
	return order.next(s, ps.beyondGuarantee), byService
}

// hasRoom tells whether a machine may take anything in a pass.
func (s *Scheduler) hasRoom(m *Machine, ps pass) bool {
	if ps.freeRoom {
		return m.FreeNow.CPUs > 0
	}
	return m.QueuedTasks < m.maxQueued
}

// estimateReleases works out how soon slots of a machine fall free, and how many tasks may
// wait there: as many as are likely to start before the next ones can come.
func (s *Scheduler) estimateReleases(m *Machine, now time.Time) {
	m.releaseRate = 0
	for i := range m.Held {
		h := &m.Held[i]
		l := s.jobs.Get(h.Job)
		if l == nil || h.Phase == partition.PhaseEnded || h.Phase == partition.PhaseQueued || l.IsService() {
			continue // a replica's slot does not fall free
		}
		estimate := s.estimate(l)
		left := estimate
		if h.Phase == partition.PhaseRunning {
			left = max(estimate-h.PhaseS-now.Sub(m.lastSeen).Seconds(), estimate/2)
		}
		m.releaseRate += float64(h.Tasks.Len()) / left
	}
	m.maxQueued = min(s.cfg.MaxQueuedPerMachine, int(m.releaseRate*s.cfg.PreCommitWindow.Seconds()+0.5))
}

// protectedShare is the part of all room that goes to what was deferred for long.
const protectedShare = 0.25

// nextProtected gives the first of what was deferred that may have a task now.
func (s *Scheduler) nextProtected(protected []*WaitingJob, beyondGuarantee bool) *WaitingJob {
	for _, w := range protected {
		if !w.blocked && w.entry.freeCount > 0 && s.withinShare(w.Job, !beyondGuarantee) {
			return w
		}
	}
	return nil
}

// withinShare tells whether a team may hold one more task of a job, within its guarantee or
// its limit.
func (s *Scheduler) withinShare(l *job.CachedJob, guarantee bool) bool {
	return s.tasksLeft(l, guarantee) >= 1
}

// WithinLimit tells whether a team's limit has room for one more task of a job.
func (s *Scheduler) WithinLimit(l *job.CachedJob) bool { return s.withinShare(l, false) }

// tasksLeft is how many more tasks of a job its team may hold.
func (s *Scheduler) tasksLeft(l *job.CachedJob, guarantee bool) int {
	t := &s.Teams[l.Team]
	lim := t.Limit
	if guarantee {
		lim = t.Guarantee
	}
	need := l.Resources()
	need.MemoryGB = 0
	return need.Count(lim.Sub(t.used))
}

// batchSize is how many tasks a job is given before teams and jobs are compared anew:
// single ones would cost a look at all that waits for each, and long runs would
// not be served in turn.
func (s *Scheduler) batchSize(w *WaitingJob) int {
	cpus := max(w.Job.Spec.CPUs, minBatchCPUs)
	return max(1, min(maxBatch, int(s.Teams[w.Team].weight()/batchesPerShare/cpus)))
}

// A team's share is given out in so many batches, of at most so many tasks.
const (
	batchesPerShare = 64
	maxBatch        = 16
	minBatchCPUs    = 0.1
)
