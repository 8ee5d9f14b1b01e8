package scheduler

import "junipershelf/job"

// maxCorrection is the maximum factor by which an estimate is corrected, up or down.
const maxCorrection = 4.0

// priorTasks is the weight of the users' estimates, as a number of completed tasks.
const priorTasks = 8

// runTimeEstimator learns how long tasks run, by job class. Users' estimates are often wrong, and
// on some days biased in one direction.
type runTimeEstimator struct {
	byClass map[string]*classRunTimes
}

// classRunTimes sums the actual and the expected run times of the completed tasks of a class, in
// seconds.
type classRunTimes struct{ ran, expected float64 }

// estimate returns the estimated run time of a task of a job, in seconds.
func (e *runTimeEstimator) estimate(live *job.CachedJob) float64 {
	seconds := max(live.Spec.ExpectedS, 1) // 1 for a replica, so that it counts as short in the order of service
	if class := e.byClass[live.Spec.Class]; class != nil {
		seconds *= min(max(class.ran/class.expected, 1/maxCorrection), maxCorrection)
	}
	return seconds
}

// record adds the run time of a completed task of a job.
func (e *runTimeEstimator) record(live *job.CachedJob, ranS float64) {
	if ranS <= 0 || live.Spec.ExpectedS <= 0 {
		return
	}
	class := e.byClass[live.Spec.Class]
	if class == nil {
		class = &classRunTimes{priorTasks * live.Spec.ExpectedS, priorTasks * live.Spec.ExpectedS}
		e.byClass[live.Spec.Class] = class
	}
	class.ran += ranS
	class.expected += live.Spec.ExpectedS
}
