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
func (s *Scheduler) estimate(l *job.Live) float64 {
	seconds := max(l.Spec.ExpectedS, 1) // 1 for a replica: in the order of service it counts as short
	if r := s.runTimes[l.Spec.Class]; r != nil {
		seconds *= min(max(r.ran/r.expected, 1/maxCorrection), maxCorrection)
	}
	return seconds
}

// noteCompleted notes a finished task; a second time changes nothing.
func (s *Scheduler) noteCompleted(done partition.CompletedTask) {
	t := done.Task
	l := s.jobs.Get(t.Job)
	if l == nil {
		return
	}
	fresh := !l.Finished.Has(t.Index)
	if fresh && done.RunS > 0 && l.Spec.ExpectedS > 0 {
		r := s.runTimes[l.Spec.Class]
		if r == nil {
			r = &times{prior * l.Spec.ExpectedS, prior * l.Spec.ExpectedS}
			s.runTimes[l.Spec.Class] = r
		}
		r.ran += done.RunS
		r.expected += l.Spec.ExpectedS
	}
	e := s.jobEntry(t.Job)
	if fresh {
		l.Finished.Add(t.Index)
		e.finish(t.Index)
	}
	e.completed = true
}

// noteFailure notes a failed task. Most failures are the machine's; a job submitted
// with a mistake fails on every machine and pauses for longer and longer.
func (s *Scheduler) noteFailure(f partition.Failure, now time.Time) {
	e := s.jobEntry(f.Task.Job)
	switch f.Cause {
	case protocol.CauseFull, protocol.CauseBusy:
		return
	case protocol.CauseNoSuch:
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
	s.judgeMachine(f.Machine)
}

// judgeMachine calls a machine sick when enough tasks failed on it whose jobs have not
// failed elsewhere.
func (s *Scheduler) judgeMachine(machine string) {
	n := 0
	for t := range s.failuresOf[machine] {
		if e := s.entries[t.Job]; e != nil && (e.completed || len(e.failedOn) < 2) {
			n++
		}
	}
	if n >= s.cfg.SickAfter {
		s.Sick[machine] = true
	}
}
