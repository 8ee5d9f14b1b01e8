package scheduler

import (
	"time"

	"junipershelf/partition"
	"junipershelf/protocol"
)

const (
	// minFailedMachines is the number of machines on which a job that has completed nothing must
	// fail before the failures are attributed to the job.
	minFailedMachines = 2
	// maxPauseDoublings prevents the doubled pause from overflowing.
	maxPauseDoublings = 10
)

// backoff tracks the failures of a job. Most failures are caused by a machine, but an incorrectly
// specified job fails on every machine, and is paused for exponentially increasing times.
type backoff struct {
	pauseUntil   time.Time
	failures     int
	failedOn     map[string]bool
	hasCompleted bool           // a task of the job has completed
	avoid        map[int]string // by task index: the machine on which the task failed last
}

// failsEverywhere reports whether the job fails on several machines and completes nothing.
func (b *backoff) failsEverywhere() bool {
	return len(b.failedOn) >= minFailedMachines && !b.hasCompleted
}

// recordFailure records a failed task of the job, and pauses the job if it fails everywhere.
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

// recordFailure records a failed task reported by an owner.
func (s *Scheduler) recordFailure(failure partition.Failure, now time.Time) {
	entry := s.cluster.entry(failure.Task.Job)
	switch failure.Cause {
	case protocol.CauseNoCapacity, protocol.CauseOtherAttempt:
		// Neither the job nor the machine is at fault.
	case protocol.CauseNoSuchTask:
		entry.pauseUntil = now.Add(s.cfg.FailurePause)
	default:
		entry.recordFailure(s.cfg, failure, now)
		s.quarantine.recordFailure(failure.Machine, failure.Task)
	}
}
