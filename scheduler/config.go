package scheduler

import "time"

// Config holds the scheduler's sizes and times.
type Config struct {
	MaxQueuedPerMachine int           // tasks queued on a machine that has no room, at most
	PreCommitWindow     time.Duration // as many are queued as are likely to start within this
	Aging               time.Duration // waiting this long raises a job by one priority; 0: never
	StarvationAfter     time.Duration // jobs deferred for this long get protectedShare of all room; 0: never
	FailurePause        time.Duration // first pause of a job whose task failed
	MaxFailurePause     time.Duration
	QuarantineAfter     int                 // failures on a machine, of different tasks that other machines complete
	ValueBytes          int                 // of a value in the key-value store
	MaxFinishedTasks    int                 // finished tasks missing from the jobs' records, at most
	PreemptAfter        time.Duration       // a job waits this long before others are preempted for it; 0: never
	ImagePatience       float64             // the part of a fetch for which machines without the image are left to others
	PullGBPerS          func() float64      // the rate at which machines fetch images
	MinRunBeforeStop    time.Duration       // a start counts once the task ran this long
	MaxPreemptionLoss   time.Duration       // of run time, for each preempted task
	Targets             map[string][]Target // service-level objectives by class of jobs
	GuaranteeWithin     time.Duration       // work within a guarantee is to start within this; 0: no such objective
}

// Target is a service-level objective of a class of jobs: to have started, or to be complete,
// within a time or within a multiple of the job's deadline.
type Target struct {
	Start  bool          // to have started, not to be complete
	Within time.Duration // after submission
	Times  float64       // if above 0, a multiple of the deadline in place of Within
}
