package scheduler

import "time"

// Config holds the limits and durations of the scheduler.
type Config struct {
	MaxQueuedPerMachine int           // maximum number of tasks queued on a machine without free capacity
	PreCommitWindow     time.Duration // a machine queues as many tasks as are expected to start within this time
	Aging               time.Duration // a job is raised by one priority each time it has waited this long; 0: never
	StarvationAfter     time.Duration // deferred jobs of at least this age get protectedShare of all assigned CPUs; 0: never
	FailurePause        time.Duration // base of the exponential backoff of a job whose tasks fail
	MaxFailurePause     time.Duration
	QuarantineAfter     int                 // a machine is quarantined once this many different tasks have failed on it, not counting tasks of jobs that fail everywhere
	ValueBytes          int                 // maximum size of a value in the key-value store
	MaxCompletedTasks   int                 // number of completed tasks missing from the job records above which gaps between completed tasks are filled first
	PreemptAfter        time.Duration       // a job waits this long before tasks are preempted for it; 0: no preemption
	ImageWaitFactor     float64             // a job waits this multiple of the duration of an image fetch for machines that have its image
	PullGBPerS          func() float64      // rate at which machines fetch images, in GB/s
	MinRunBeforeStop    time.Duration       // a task that is stopped before it has run this long does not count as started
	MaxPreemptionLoss   time.Duration       // maximum run time lost per preempted task
	Targets             map[string][]Target // service-level objectives by job class
	GuaranteeWithin     time.Duration       // jobs within their team's guarantee should start within this time; 0: no such objective
}

// Target is a service-level objective of a job class: a job should have started, or be complete,
// within a fixed time or within a multiple of its deadline.
type Target struct {
	Start  bool          // the job should have started, rather than be complete
	Within time.Duration // after submission
	Times  float64       // if above 0, a multiple of the deadline, used instead of Within
}
