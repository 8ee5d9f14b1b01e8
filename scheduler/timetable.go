package scheduler

import (
	"slices"
	"sort"
	"time"
)

// maxTargets is the maximum number of targets, each a time by which the job should end, that are tried
// per job, beginning with the nearest.
const maxTargets = 4

// timetable finds the waiting jobs that can be in time. Under overload the number of late jobs is
// minimized by adding jobs in the order of their targets and deferring the largest one whenever
// the work before a target exceeds what can be done by then (the Moore-Hodgson algorithm). A
// deferred job is then tried with its later targets, and is no longer deferred if it can meet one
// without making another job late. Otherwise it would wait behind all jobs that are in time,
// however much slack they have.
type timetable struct {
	now   time.Time
	teams []Team
	cpus  float64 // CPUs of the machines, except those that services hold

	// The jobs that can be in time, in the order of service, and for each the cumulative work up
	// to its end in CPU seconds: of all teams, and of its own team.
	jobs               []*WaitingJob
	cumulativeWork     []float64
	teamCumulativeWork []float64

	// CPU seconds of the tasks held now; while addInOrder runs, also of the jobs added so far.
	sum     float64
	teamSum []float64
}

// newTimetable returns an empty timetable.
func (q *waitingQueue) newTimetable(now time.Time) *timetable {
	t := &timetable{now: now, teams: q.cluster.quotas.teams, cpus: max(q.availableCPUs(), 1)}
	t.sum, t.teamSum = q.heldWork(now)
	return t
}

// availableCPUs returns the CPUs of the machines that accept work, except those that services hold
// permanently.
func (q *waitingQueue) availableCPUs() float64 {
	cpus := 0.0
	for _, m := range q.cluster.machines.byID {
		if m.Schedulable() {
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

// heldWork returns the estimated remaining CPU seconds of held tasks, in total and by team.
func (q *waitingQueue) heldWork(now time.Time) (total float64, byTeam []float64) {
	byTeam = make([]float64, len(q.cluster.quotas.teams))
	for _, entry := range q.cluster.entries {
		if entry.live == nil || entry.live.Team < 0 || entry.held == 0 || entry.live.IsService() {
			continue
		}
		left := entry.secondsLeft(q.estimates.estimate(entry.live), now) * entry.live.Spec.CPUs
		total += left
		byTeam[entry.live.Team] += left
	}
	return total, byTeam
}

// secondsLeft returns the total remaining run time of the held tasks, for a given estimate of the run
// time of one task. The remaining run time of a running task is taken to be at least a quarter of the
// estimate.
func (e *jobEntry) secondsLeft(estimate float64, now time.Time) float64 {
	left := estimate * float64(e.held-e.running)
	if e.running > 0 {
		ran := startSeconds(now, 0) - e.startSum/float64(e.running)
		left += max(estimate-ran, estimate/4) * float64(e.running)
	}
	return left
}

// schedule decides which jobs are deferred, and which target each of the others should meet.
func (t *timetable) schedule(waiting []*WaitingJob, targets map[*WaitingJob][]time.Time) {
	deferred := t.addInOrder(waiting)
	t.accumulate()
	t.tryLaterTargets(deferred, targets)
}

// addInOrder adds the jobs that have a target in the order of service, and returns the jobs that
// this defers.
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

// tryLaterTargets tries the later targets of deferred jobs, the smallest job first.
func (t *timetable) tryLaterTargets(deferred []*WaitingJob, targets map[*WaitingJob][]time.Time) {
	sort.Slice(deferred, func(i, j int) bool {
		if deferred[i].cpuSeconds != deferred[j].cpuSeconds {
			return deferred[i].cpuSeconds < deferred[j].cpuSeconds
		}
		return deferred[i].Job.Spec.UID < deferred[j].Job.Spec.UID
	})
	for next := 1; next < maxTargets; next++ {
		for _, w := range deferred {
			jobTargets := targets[w]
			if !w.Deferred || next >= len(jobTargets) {
				continue
			}
			w.setTarget(jobTargets[next])
			if !t.insert(w) {
				w.deferJob()
			}
		}
	}
}

// fit records which bounds allow a job to end by its target: the CPUs of the machines, and the
// limit of its team.
type fit struct{ withinCPUs, withinLimit bool }

// inTime reports whether both bounds allow the job to end by its target.
func (f fit) inTime() bool { return f.withinCPUs && f.withinLimit }

// fits reports which bounds allow a job to end by its target, given the CPU seconds of work up to its
// end, itself included: of all teams (total) and of its own (teamTotal). The time left for the work is
// reduced by half a run time of the job's tasks, since CPUs that become free while its last tasks run
// are of no use to it. Without this, a job would count as in time until its last task starts half a
// run time too late.
func (t *timetable) fits(w *WaitingJob, total, teamTotal float64) fit {
	left := w.target.Sub(t.now).Seconds() - w.estimateS/2
	return fit{
		withinCPUs:  total/t.cpus <= left,
		withinLimit: teamTotal/max(t.teams[w.Team].Limit.CPUs, 1) <= left,
	}
}

// add adds the next job by the Moore-Hodgson algorithm, and returns the jobs that it defers.
func (t *timetable) add(w *WaitingJob) (deferred []*WaitingJob) {
	t.jobs = append(t.jobs, w)
	t.sum += w.cpuSeconds
	t.teamSum[w.Team] += w.cpuSeconds
	for {
		state := t.fits(w, t.sum, t.teamSum[w.Team])
		if state.inTime() {
			return deferred
		}
		i, found := t.largestDeferrable(w, state)
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

// largestDeferrable returns the index of the largest job that may be deferred so that w is in
// time: a job of the same priority that is not guaranteed, and of the same team if only the team's
// limit is exceeded.
func (t *timetable) largestDeferrable(w *WaitingJob, state fit) (index int, found bool) {
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

// accumulate computes the cumulative sums after all jobs were added.
func (t *timetable) accumulate() {
	for _, w := range t.jobs {
		t.sum -= w.cpuSeconds
		t.teamSum[w.Team] -= w.cpuSeconds
	}
	total, byTeam := t.sum, slices.Clone(t.teamSum)
	t.cumulativeWork, t.teamCumulativeWork = make([]float64, len(t.jobs)), make([]float64, len(t.jobs))
	for i, w := range t.jobs {
		total += w.cpuSeconds
		byTeam[w.Team] += w.cpuSeconds
		t.cumulativeWork[i], t.teamCumulativeWork[i] = total, byTeam[w.Team]
	}
}

// insert inserts a job at its position in the order of service if it is in time there and makes no
// other job of its priority late, and reports whether it did.
func (t *timetable) insert(w *WaitingJob) bool {
	at, _ := slices.BinarySearchFunc(t.jobs, w, func(other, w *WaitingJob) int {
		if servedBefore(other, w) {
			return -1
		}
		return 1
	})
	total, teamTotal := t.sumsBefore(at, w.Team)
	total, teamTotal = total+w.cpuSeconds, teamTotal+w.cpuSeconds
	if !t.fits(w, total, teamTotal).inTime() || t.makesLate(w, at) {
		return false
	}
	t.jobs = slices.Insert(t.jobs, at, w)
	t.cumulativeWork = slices.Insert(t.cumulativeWork, at, total)
	t.teamCumulativeWork = slices.Insert(t.teamCumulativeWork, at, teamTotal)
	for i := at + 1; i < len(t.jobs); i++ {
		t.cumulativeWork[i] += w.cpuSeconds
		if t.jobs[i].Team == w.Team {
			t.teamCumulativeWork[i] += w.cpuSeconds
		}
	}
	return true
}

// sumsBefore returns the work before the job at an index, of all teams and of one team.
func (t *timetable) sumsBefore(at, team int) (total, teamTotal float64) {
	total, teamTotal = t.sum, t.teamSum[team]
	if at > 0 {
		total = t.cumulativeWork[at-1]
	}
	for i := at - 1; i >= 0; i-- {
		if t.jobs[i].Team == team {
			return total, t.teamCumulativeWork[i]
		}
	}
	return total, teamTotal
}

// makesLate reports whether inserting a job at an index would make another job of its priority
// exceed a bound that it keeps without the inserted job.
func (t *timetable) makesLate(w *WaitingJob, at int) bool {
	for i := at; i < len(t.jobs) && t.jobs[i].PriorityRank == w.PriorityRank; i++ {
		other, teamTotal := t.jobs[i], t.teamCumulativeWork[i]
		if other.Team == w.Team {
			teamTotal += w.cpuSeconds
		}
		before := t.fits(other, t.cumulativeWork[i], t.teamCumulativeWork[i])
		after := t.fits(other, t.cumulativeWork[i]+w.cpuSeconds, teamTotal)
		if before.withinCPUs && !after.withinCPUs || before.withinLimit && !after.withinLimit {
			return true
		}
	}
	return false
}
