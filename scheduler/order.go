package scheduler

import (
	"slices"
	"sort"
	"time"

	"junipershelf/job"
	"junipershelf/protocol"
)

// WaitingJob is a job with tasks that wait for room.
type WaitingJob struct {
	Job          *job.CachedJob
	Team         int
	Tasks        int // that wait
	Age          time.Duration
	PriorityRank int  // of the priority, after aging
	Deferred     bool // deferred: it cannot be in time, or others were late if it is
	PastDeadline bool // no room however large could still make it be in time
	entry        *jobEntry
	// guaranteed is work within its team's guarantee, which may still start in time. It
	// is never deferred: the rule below picks the largest, and the largest jobs of a
	// team were late although they had come first.
	guaranteed bool
	estimateS  float64
	target     time.Time
	cpuSeconds float64 // CPU seconds that wait
	blocked    bool
}

// Level orders the waiting jobs: by priority, and in it those that can be in time
// first. Those that cannot go behind all that can, except that urgent work never
// stands behind other work.
func (w *WaitingJob) Level() int {
	switch {
	case !w.Deferred:
		return w.PriorityRank * 2
	case w.PriorityRank < protocol.FirstNonUrgentRank:
		return w.PriorityRank*2 + 1
	}
	return len(protocol.Priorities) * 2
}

// maxTargets is how many targets are looked at, the nearest that can be met.
const maxTargets = 4

// WaitingJobs lists the jobs with tasks that nobody holds, in the order of service.
func (s *Scheduler) WaitingJobs(now time.Time) []*WaitingJob {
	s.refresh()
	var out []*WaitingJob
	for _, l := range s.jobs.Jobs {
		if !l.HasTeam() {
			continue
		}
		e := s.entries[l.Spec.UID]
		if now.Before(e.pauseUntil) || e.freeCount <= 0 {
			continue
		}
		w := &WaitingJob{Job: l, Team: l.Team, Tasks: e.freeCount, Age: now.Sub(time.UnixMilli(l.SubmittedMS)), PriorityRank: l.Rank, entry: e, estimateS: s.estimate(l)}
		w.guaranteed = s.cfg.GuaranteeWithin > 0 && e.guaranteed && w.Age < s.cfg.GuaranteeWithin
		w.cpuSeconds = float64(w.Tasks) * l.Spec.CPUs * w.estimateS
		if s.cfg.Aging > 0 {
			// Waiting lifts work, so the low is not starved.
			w.PriorityRank = max(0, w.PriorityRank-int(w.Age/s.cfg.Aging))
		}
		out = append(out, w)
	}
	s.sortByService(out, now)
	return out
}

// targetsOf are the times by which a job should have started or be complete, as
// far as it alone could still meet them, given as the latest end of its work, the
// nearest first. Once they came by kind, waits before deadlines: with four targets
// to a class, the deadlines were the third and fourth and nobody served by them.
func (s *Scheduler) targetsOf(w *WaitingJob, now time.Time) []time.Time {
	var out []time.Time
	estimate := time.Duration(w.estimateS * float64(time.Second))
	at := time.UnixMilli(w.Job.SubmittedMS)
	all := s.cfg.Targets[w.Job.Spec.Class]
	for _, t := range all {
		by := at.Add(t.Within)
		if t.Times > 0 {
			if w.Job.Spec.DeadlineS <= 0 {
				continue
			}
			by = at.Add(time.Duration(t.Times * w.Job.Spec.DeadlineS * float64(time.Second)))
		}
		if t.Start {
			by = by.Add(estimate)
		}
		if now.Add(estimate).After(by) {
			continue
		}
		out = append(out, by)
	}
	if by := at.Add(s.cfg.GuaranteeWithin + estimate); w.guaranteed && !now.Add(estimate).After(by) {
		out = append(out, by)
	}
	if len(all) == 0 && w.Job.Spec.DeadlineS > 0 {
		out = append(out, at.Add(time.Duration(w.Job.Spec.DeadlineS*float64(time.Second))))
	}
	slices.SortFunc(out, time.Time.Compare)
	return out
}

// servedBefore orders two waiting jobs of one level.
func servedBefore(a, b *WaitingJob) bool {
	if a.Deferred && b.Deferred && a.Level() == b.Level() {
		// Nothing is to be won but an early end of it all: the longest first.
		if a.estimateS != b.estimateS {
			return a.estimateS > b.estimateS
		}
	} else if a.PriorityRank != b.PriorityRank {
		return a.PriorityRank < b.PriorityRank
	}
	if !a.target.Equal(b.target) {
		return a.target.Before(b.target)
	}
	return a.Job.Spec.UID < b.Job.Spec.UID
}

// heldWork is the CPU seconds that what is held will take, in all and by team.
func (s *Scheduler) heldWork(now time.Time) (all float64, team []float64) {
	team = make([]float64, len(s.Teams))
	at := startSeconds(now, 0)
	for _, e := range s.entries {
		if e.live == nil || !e.live.HasTeam() || e.held == 0 || e.live.IsService() {
			continue
		}
		estimate := s.estimate(e.live)
		left := estimate * float64(e.held-e.running)
		if e.running > 0 {
			ran := at - e.startSum/float64(e.running)
			left += max(estimate-ran, estimate/4) * float64(e.running)
		}
		left *= e.live.Spec.CPUs
		all += left
		team[e.live.Team] += left
	}
	return all, team
}

// sortByService tells which of the waiting jobs can be in time, and sorts them. More may
// be asked than can be done: then the fewest jobs are late if, in the order of
// their targets, the largest is deferred each time that the sum of the work
// before a target is too much for it (Moore and Hodgson's rule). What is deferred
// may still meet a later target, if that makes none late that is in time: once such
// jobs stood behind all others, however much time those had.
func (s *Scheduler) sortByService(waiting []*WaitingJob, now time.Time) {
	room := 0.0
	for _, m := range s.machines {
		if m.Open() {
			room += m.Capacity.CPUs
		}
	}
	for _, e := range s.entries {
		if e.live != nil && e.live.IsService() {
			room -= float64(e.held) * e.live.Spec.CPUs // for good
		}
	}
	timetable := schedule{scheduler: s, now: now, room: max(room, 1)}
	timetable.heldCPUSeconds, timetable.teamHeldCPUSeconds = s.heldWork(now)
	targets := make(map[*WaitingJob][]time.Time, len(waiting))
	var inTime, deferred []*WaitingJob
	for _, w := range waiting {
		own := s.targetsOf(w, now)
		targets[w] = own
		w.PastDeadline = len(own) == 0 && (len(s.cfg.Targets[w.Job.Spec.Class]) > 0 || w.Job.Spec.DeadlineS > 0)
		w.setDeferred(len(own) == 0)
		if !w.Deferred {
			w.target = own[0]
			inTime = append(inTime, w)
		}
	}
	sort.Slice(inTime, func(i, j int) bool { return servedBefore(inTime[i], inTime[j]) })
	for _, w := range inTime {
		deferred = append(deferred, timetable.add(w)...)
	}
	timetable.sum()
	sort.Slice(deferred, func(i, j int) bool {
		if deferred[i].cpuSeconds != deferred[j].cpuSeconds {
			return deferred[i].cpuSeconds < deferred[j].cpuSeconds
		}
		return deferred[i].Job.Spec.UID < deferred[j].Job.Spec.UID
	})
	for next := 1; next < maxTargets; next++ {
		for _, w := range deferred {
			if own := targets[w]; w.Deferred && next < len(own) {
				w.Deferred, w.target = false, own[next]
				w.setDeferred(!timetable.insert(w))
			}
		}
	}
	sort.Slice(waiting, func(i, j int) bool {
		if a, b := waiting[i].Level(), waiting[j].Level(); a != b {
			return a < b
		}
		return servedBefore(waiting[i], waiting[j])
	})
}

// setDeferred puts a job off, or not.
func (w *WaitingJob) setDeferred(off bool) {
	if w.Deferred = off; off {
		w.target = time.UnixMilli(w.Job.SubmittedMS)
	}
}

// schedule is the work that can be in time, in the order of service, with the sums of
// all work and of its team's up to the end of each job.
type schedule struct {
	scheduler          *Scheduler
	now                time.Time
	room               float64
	heldCPUSeconds     float64
	teamHeldCPUSeconds []float64
	jobs               []*WaitingJob
	cumulative         []float64
	teamCumulative     []float64
}

// fits tells whether work that ends at a target is in time. While its last tasks run,
// the slots that fall free are no use to it any more: of that time only half counts.
// Without this each job seemed to be in time until its last start was late by half a run.
func (s *schedule) fits(w *WaitingJob, all, team float64) (room, limit bool) {
	left := w.target.Sub(s.now).Seconds() - w.estimateS/2
	return all/s.room <= left, team/max(s.scheduler.Teams[w.Team].Limit.CPUs, 1) <= left
}

// add takes the next job by Moore and Hodgson's rule, and gives those that it defers.
func (s *schedule) add(w *WaitingJob) (deferred []*WaitingJob) {
	s.jobs = append(s.jobs, w)
	s.heldCPUSeconds += w.cpuSeconds
	s.teamHeldCPUSeconds[w.Team] += w.cpuSeconds
	for {
		room, limit := s.fits(w, s.heldCPUSeconds, s.teamHeldCPUSeconds[w.Team])
		if room && limit {
			return deferred
		}
		worst := -1
		for i, other := range s.jobs {
			if other.PriorityRank == w.PriorityRank && !other.guaranteed && (!room || other.Team == w.Team) && (worst < 0 || other.cpuSeconds > s.jobs[worst].cpuSeconds) {
				worst = i
			}
		}
		if worst < 0 {
			return deferred
		}
		other := s.jobs[worst]
		s.heldCPUSeconds -= other.cpuSeconds
		s.teamHeldCPUSeconds[other.Team] -= other.cpuSeconds
		s.jobs = slices.Delete(s.jobs, worst, worst+1)
		other.setDeferred(true)
		deferred = append(deferred, other)
		if other == w {
			return deferred
		}
	}
}

// sum works out the sums once the rule is through.
func (s *schedule) sum() {
	for _, w := range s.jobs {
		s.heldCPUSeconds -= w.cpuSeconds
		s.teamHeldCPUSeconds[w.Team] -= w.cpuSeconds
	}
	all, team := s.heldCPUSeconds, slices.Clone(s.teamHeldCPUSeconds)
	s.cumulative, s.teamCumulative = make([]float64, len(s.jobs)), make([]float64, len(s.jobs))
	for i, w := range s.jobs {
		all += w.cpuSeconds
		team[w.Team] += w.cpuSeconds
		s.cumulative[i], s.teamCumulative[i] = all, team[w.Team]
	}
}

// insert puts a job into its place if it is in time there and no other that is as
// urgent becomes late.
func (s *schedule) insert(w *WaitingJob) bool {
	at, _ := slices.BinarySearchFunc(s.jobs, w, func(x, w *WaitingJob) int {
		if servedBefore(x, w) {
			return -1
		}
		return 1
	})
	all, team := s.heldCPUSeconds, s.teamHeldCPUSeconds[w.Team]
	if at > 0 {
		all = s.cumulative[at-1]
	}
	for i := at - 1; i >= 0; i-- {
		if s.jobs[i].Team == w.Team {
			team = s.teamCumulative[i]
			break
		}
	}
	all, team = all+w.cpuSeconds, team+w.cpuSeconds
	if room, limit := s.fits(w, all, team); !room || !limit {
		return false
	}
	for i := at; i < len(s.jobs) && s.jobs[i].PriorityRank == w.PriorityRank; i++ {
		x, mine := s.jobs[i], 0.0
		if x.Team == w.Team {
			mine = w.cpuSeconds
		}
		wasRoom, wasLimit := s.fits(x, s.cumulative[i], s.teamCumulative[i])
		if room, limit := s.fits(x, s.cumulative[i]+w.cpuSeconds, s.teamCumulative[i]+mine); wasRoom && !room || wasLimit && !limit {
			return false
		}
	}
	s.jobs = slices.Insert(s.jobs, at, w)
	s.cumulative = slices.Insert(s.cumulative, at, all)
	s.teamCumulative = slices.Insert(s.teamCumulative, at, team)
	for i := at + 1; i < len(s.jobs); i++ {
		s.cumulative[i] += w.cpuSeconds
		if s.jobs[i].Team == w.Team {
			s.teamCumulative[i] += w.cpuSeconds
		}
	}
	return true
}

// starvationProtected lists what has been deferred for long: those that have not begun first,
// then the oldest. The rule above defers the largest and would do so for ever
// under a lasting load; a part of all room goes to these, see RunCycle.
func (s *Scheduler) starvationProtected(waiting []*WaitingJob) []*WaitingJob {
	if s.cfg.StarvationAfter <= 0 {
		return nil
	}
	var out []*WaitingJob
	for _, w := range waiting {
		if w.Deferred && w.Age >= s.cfg.StarvationAfter {
			out = append(out, w)
		}
	}
	begun := func(w *WaitingJob) bool { return w.entry.held+w.entry.finishedCount > 0 }
	sort.SliceStable(out, func(i, j int) bool {
		if a, b := begun(out[i]), begun(out[j]); a != b {
			return b
		}
		return out[i].Age > out[j].Age
	})
	return out
}
