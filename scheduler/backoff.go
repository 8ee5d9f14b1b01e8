package scheduler

import (
	"time"

	"junipershelf/partition"
	"junipershelf/protocol"
)

const (
	// minFailedMachines is on how many machines a job that has completed nothing fails before
	// the failures count as the job's.
	minFailedMachines = 2
	// maxPauseDoublings keeps the doubled pause from overflowing.
	maxPauseDoublings = 10
)

// backoff is what is known of a job's failures. Most are the machine's; a job submitted with a
// mistake fails on every machine and is paused for longer and longer.
type backoff struct {
	pauseUntil   time.Time
	failures     int
	failedOn     map[string]bool
	hasCompleted bool           // a task of the job has completed
	avoid        map[int]string // by task: the last machine that failed it
}

// failsEverywhere reports whether the job fails on several machines and completes nothing.
func (b *backoff) failsEverywhere() bool {
	return len(b.failedOn) >= minFailedMachines && !b.hasCompleted
}

// recordFailure records a failed task of the job, and pauses a job that fails everywhere.
func (b *backoff) recordFailure(cfg *Config, failure partition.Failure, now time.Time) {
	if b.failedOn == nil {
		b.failedOn, b.avoid = map[string]bool{}, map[int]string{}
	}
	b.avoid[failure.Task.Index] = failure.Machine
	b.failedOn[failure.Machine] = true
	b.failures++
	if b.failsEverywhere() {
		pause := cfg.FailurePause << min(b.failures, maxPauseDoublings)
		b.pauseUntil = now.Add(min(pause, cfg.MaxFailurePause))
	}
}

// recordFailure records a failed task that an owner reports.
func (s *Scheduler) recordFailure(failure partition.Failure, now time.Time) {
	entry := s.cluster.entry(failure.Task.Job)
	switch failure.Cause {
	case protocol.CauseNoRoom, protocol.CauseOtherAttempt:
		// No fault of the job nor of the machine.
	case protocol.CauseNoSuchTask:
		entry.pauseUntil = now.Add(s.cfg.FailurePause)
	default:
		entry.recordFailure(s.cfg, failure, now)
		s.quarantine.recordFailure(failure.Machine, failure.Task)
	}
}
