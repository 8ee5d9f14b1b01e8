package scheduler

import (
	"time"

	"junipershelf/job"
	"junipershelf/partition"
	"junipershelf/protocol"
)

// times compares how long a class's tasks ran with what their owners expected.
type times struct{ ran, expected float64 }

// maxCorrection bounds by how much an estimate is corrected, either way.
const maxCorrection = 4.0

// prior is how many tasks' worth of belief the owners' own estimates have.
const prior = 8

// estimate is how long a job's tasks are likely to run. Owners' estimates are
// often wrong, and on some days mostly on one side.
func (s *Scheduler) estimate(l *job.CachedJob) float64 {
	seconds := max(l.Spec.ExpectedS, 1) // 1 for a replica: in the order of service it counts as short
	if r := s.runTimes[l.Spec.Class]; r != nil {
		seconds *= min(max(r.ran/r.expected, 1/maxCorrection), maxCorrection)
	}
	return seconds
}

// recordCompleted notes finished tasks; a second time changes nothing. A job's are added
// together: one after the other, each would copy all ranges of a large job.
func (s *Scheduler) recordCompleted(all []partition.CompletedTask) {
	fresh := map[string][]int{}
	for _, done := range all {
		t := done.Task
		l := s.jobs.Get(t.Job)
		if l == nil {
			continue
		}
		e := s.jobEntry(t.Job)
		e.completed = true
		if l.Finished.Has(t.Index) || e.isFinished(t.Index) {
			continue
		}
		s.recordRunTime(l, done.RunS)
		e.finish(t.Index)
		fresh[t.Job] = append(fresh[t.Job], t.Index)
	}
	for uid, numbers := range fresh {
		s.jobs.Get(uid).Finished.Merge(job.RangesOf(numbers))
	}
}

// recordRunTime learns how long the tasks of a class run.
func (s *Scheduler) recordRunTime(l *job.CachedJob, runS float64) {
	if runS <= 0 || l.Spec.ExpectedS <= 0 {
		return
	}
	r := s.runTimes[l.Spec.Class]
	if r == nil {
		r = &times{prior * l.Spec.ExpectedS, prior * l.Spec.ExpectedS}
		s.runTimes[l.Spec.Class] = r
	}
	r.ran += runS
	r.expected += l.Spec.ExpectedS
}

// recordFailure notes a failed task. Most failures are the machine's; a job submitted
// with a mistake fails on every machine and pauses for longer and longer.
func (s *Scheduler) recordFailure(f partition.Failure, now time.Time) {
	e := s.jobEntry(f.Task.Job)
	switch f.Cause {
	case protocol.CauseNoRoom, protocol.CauseOtherAttempt:
		return
	case protocol.CauseNoSuchTask:
		e.pauseUntil = now.Add(s.cfg.FailurePause)
		return
	}
	if e.failedOn == nil {
		e.failedOn, e.avoid = map[string]bool{}, map[int]string{}
	}
	e.avoid[f.Task.Index] = f.Machine
	e.failedOn[f.Machine] = true
	e.failures++
	if len(e.failedOn) >= 2 && !e.completed {
		pause := s.cfg.FailurePause << min(e.failures, 10)
		e.pauseUntil = now.Add(min(pause, s.cfg.MaxFailurePause))
	}
	if s.failuresOf[f.Machine] == nil {
		s.failuresOf[f.Machine] = map[job.Task]bool{}
	}
	s.failuresOf[f.Machine][f.Task] = true
	s.quarantineIfFailing(f.Machine)
}

// quarantineIfFailing calls a machine sick when enough tasks failed on it whose jobs have not
// failed elsewhere.
func (s *Scheduler) quarantineIfFailing(machine string) {
	n := 0
	for t := range s.failuresOf[machine] {
		if e := s.entries[t.Job]; e != nil && (e.completed || len(e.failedOn) < 2) {
			n++
		}
	}
	if n >= s.cfg.QuarantineAfter {
		s.Quarantined[machine] = true
	}
}
