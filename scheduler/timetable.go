package scheduler

import (
	"slices"
	"sort"
	"time"
)

// maxTargets is how many targets of a job are tried, the nearest that it can meet.
const maxTargets = 4

// timetable finds the waiting jobs that can be in time. More may be submitted than can be
// done: then the fewest jobs are late if, in the order of their targets, the largest is
// deferred each time that the sum of the work before a target is too much for it (Moore and
// Hodgson's rule). What is deferred may still meet a later target, if that makes none late
// that is in time: once such jobs waited behind all others, however much time those had.
type timetable struct {
	now   time.Time
	teams []Team
	cpus  float64 // of the machines, without what services hold

	// The work of the jobs that can be in time, in the order of service. The sums are of CPU
	// seconds, of all work and of a team's, up to the end of each job.
	jobs           []*WaitingJob
	cumulative     []float64
	teamCumulative []float64

	// The CPU seconds before all jobs: what is held now. While the rule runs, with all jobs.
	sum     float64
	teamSum []float64
}

// newTimetable returns a timetable without jobs.
func (q *waitingQueue) newTimetable(now time.Time) *timetable {
	t := &timetable{now: now, teams: q.cluster.quotas.teams, cpus: max(q.availableCPUs(), 1)}
	t.sum, t.teamSum = q.heldWork(now)
	return t
}

// availableCPUs returns the CPUs of the machines that take work, without those that services
// hold for good.
func (q *waitingQueue) availableCPUs() float64 {
	cpus := 0.0
	for _, m := range q.cluster.machines.byID {
		if m.Open() {
			cpus += m.Capacity.CPUs
		}
	}
	for _, entry := range q.cluster.entries {
		if entry.live != nil && entry.live.IsService() {
			cpus -= float64(entry.held) * entry.live.Spec.CPUs
		}
	}
	return cpus
}

// heldWork returns the CPU seconds that held tasks still take, in all and by team.
func (q *waitingQueue) heldWork(now time.Time) (all float64, byTeam []float64) {
	byTeam = make([]float64, len(q.cluster.quotas.teams))
	for _, entry := range q.cluster.entries {
		if entry.live == nil || entry.live.Team < 0 || entry.held == 0 || entry.live.IsService() {
			continue
		}
		left := entry.secondsLeft(q.estimates.estimate(entry.live), now) * entry.live.Spec.CPUs
		all += left
		byTeam[entry.live.Team] += left
	}
	return all, byTeam
}

// secondsLeft returns how long the held tasks still run in all, by the estimate of one. A task
// that has outrun its estimate counts with a quarter of it.
func (e *jobEntry) secondsLeft(estimate float64, now time.Time) float64 {
	left := estimate * float64(e.held-e.running)
	if e.running > 0 {
		ran := startSeconds(now, 0) - e.startSum/float64(e.running)
		left += max(estimate-ran, estimate/4) * float64(e.running)
	}
	return left
}

// schedule decides which jobs are deferred and which target each of the others is to meet.
func (t *timetable) schedule(waiting []*WaitingJob, targets map[*WaitingJob][]time.Time) {
	deferred := t.addInOrder(waiting)
	t.accumulate()
	t.tryLaterTargets(deferred, targets)
}

// addInOrder adds the jobs that have a target in the order of service, and returns those that
// are deferred for it.
func (t *timetable) addInOrder(waiting []*WaitingJob) (deferred []*WaitingJob) {
	var inTime []*WaitingJob
	for _, w := range waiting {
		if !w.Deferred {
			inTime = append(inTime, w)
		}
	}
	sort.Slice(inTime, func(i, j int) bool { return servedBefore(inTime[i], inTime[j]) })
	for _, w := range inTime {
		deferred = append(deferred, t.add(w)...)
	}
	return deferred
}

// tryLaterTargets sets deferred jobs to their next targets, the smallest job first.
func (t *timetable) tryLaterTargets(deferred []*WaitingJob, targets map[*WaitingJob][]time.Time) {
	sort.Slice(deferred, func(i, j int) bool {
		if deferred[i].cpuSeconds != deferred[j].cpuSeconds {
			return deferred[i].cpuSeconds < deferred[j].cpuSeconds
		}
		return deferred[i].Job.Spec.UID < deferred[j].Job.Spec.UID
	})
	for next := 1; next < maxTargets; next++ {
		for _, w := range deferred {
			own := targets[w]
			if !w.Deferred || next >= len(own) {
				continue
			}
			w.aimFor(own[next])
			if !t.insert(w) {
				w.deferJob()
			}
		}
	}
}

// fit says which bounds allow a job to end by its target.
type fit struct{ withinCPUs, withinLimit bool }

// inTime reports whether both bounds allow it.
func (f fit) inTime() bool { return f.withinCPUs && f.withinLimit }

// fits reports whether a job is in time after a number of CPU seconds of work, of all teams and of
// its own, itself included. While its last tasks run, the slots that fall free are no use to
// it any more: of that time only half counts. Without this each job seemed to be in time until
// its last start was late by half a run.
func (t *timetable) fits(w *WaitingJob, all, ofTeam float64) fit {
	left := w.target.Sub(t.now).Seconds() - w.estimateS/2
	return fit{
		withinCPUs:  all/t.cpus <= left,
		withinLimit: ofTeam/max(t.teams[w.Team].Limit.CPUs, 1) <= left,
	}
}

// add adds the next job by Moore and Hodgson's rule, and returns the jobs that it defers.
func (t *timetable) add(w *WaitingJob) (deferred []*WaitingJob) {
	t.jobs = append(t.jobs, w)
	t.sum += w.cpuSeconds
	t.teamSum[w.Team] += w.cpuSeconds
	for {
		state := t.fits(w, t.sum, t.teamSum[w.Team])
		if state.inTime() {
			return deferred
		}
		i, found := t.largestFor(w, state)
		if !found {
			return deferred
		}
		largest := t.jobs[i]
		t.sum -= largest.cpuSeconds
		t.teamSum[largest.Team] -= largest.cpuSeconds
		t.jobs = slices.Delete(t.jobs, i, i+1)
		largest.deferJob()
		deferred = append(deferred, largest)
		if largest == w {
			return deferred
		}
	}
}

// largestFor returns the index of the largest job that may be deferred so that a job is in
// time: of its priority, not guaranteed, and of its team if only the team's limit is exceeded.
func (t *timetable) largestFor(w *WaitingJob, state fit) (index int, found bool) {
	for i, other := range t.jobs {
		if other.PriorityRank != w.PriorityRank || other.guaranteed || state.withinCPUs && other.Team != w.Team {
			continue
		}
		if !found || other.cpuSeconds > t.jobs[index].cpuSeconds {
			index, found = i, true
		}
	}
	return index, found
}

// accumulate computes the sums once the rule has run.
func (t *timetable) accumulate() {
	for _, w := range t.jobs {
		t.sum -= w.cpuSeconds
		t.teamSum[w.Team] -= w.cpuSeconds
	}
	all, byTeam := t.sum, slices.Clone(t.teamSum)
	t.cumulative, t.teamCumulative = make([]float64, len(t.jobs)), make([]float64, len(t.jobs))
	for i, w := range t.jobs {
		all += w.cpuSeconds
		byTeam[w.Team] += w.cpuSeconds
		t.cumulative[i], t.teamCumulative[i] = all, byTeam[w.Team]
	}
}

// insert inserts a job in its place if it is in time there and no other of its priority
// becomes late, and reports whether it did.
func (t *timetable) insert(w *WaitingJob) bool {
	at, _ := slices.BinarySearchFunc(t.jobs, w, func(other, w *WaitingJob) int {
		if servedBefore(other, w) {
			return -1
		}
		return 1
	})
	all, ofTeam := t.sumsBefore(at, w.Team)
	all, ofTeam = all+w.cpuSeconds, ofTeam+w.cpuSeconds
	if !t.fits(w, all, ofTeam).inTime() || t.makesLate(w, at) {
		return false
	}
	t.jobs = slices.Insert(t.jobs, at, w)
	t.cumulative = slices.Insert(t.cumulative, at, all)
	t.teamCumulative = slices.Insert(t.teamCumulative, at, ofTeam)
	for i := at + 1; i < len(t.jobs); i++ {
		t.cumulative[i] += w.cpuSeconds
		if t.jobs[i].Team == w.Team {
			t.teamCumulative[i] += w.cpuSeconds
		}
	}
	return true
}

// sumsBefore returns the sums before the job at an index, of all work and of a team's.
func (t *timetable) sumsBefore(at, team int) (all, ofTeam float64) {
	all, ofTeam = t.sum, t.teamSum[team]
	if at > 0 {
		all = t.cumulative[at-1]
	}
	for i := at - 1; i >= 0; i-- {
		if t.jobs[i].Team == team {
			return all, t.teamCumulative[i]
		}
	}
	return all, ofTeam
}

// makesLate reports whether a job inserted at an index makes another of its priority exceed a
// bound that it keeps without.
func (t *timetable) makesLate(w *WaitingJob, at int) bool {
	for i := at; i < len(t.jobs) && t.jobs[i].PriorityRank == w.PriorityRank; i++ {
		other, ofTeam := t.jobs[i], t.teamCumulative[i]
		if other.Team == w.Team {
			ofTeam += w.cpuSeconds
		}
		before := t.fits(other, t.cumulative[i], t.teamCumulative[i])
		after := t.fits(other, t.cumulative[i]+w.cpuSeconds, ofTeam)
		if before.withinCPUs && !after.withinCPUs || before.withinLimit && !after.withinLimit {
			return true
		}
	}
	return false
}
