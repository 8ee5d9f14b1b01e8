package scheduler

import "junipershelf/job"

// maxCorrection is the factor by which an estimate is corrected at most, either way.
const maxCorrection = 4.0

// priorTasks is how many tasks the users' own estimates count as.
const priorTasks = 8

// runTimeEstimator learns how long tasks run, by class. Users' estimates are often wrong, and
// on some days mostly on one side.
type runTimeEstimator struct {
	byClass map[string]*classRunTimes
}

// classRunTimes sums how long the finished tasks of a class ran and were expected to run, in
// seconds.
type classRunTimes struct{ ran, expected float64 }

// estimate returns how many seconds a task of a job is likely to run.
func (e *runTimeEstimator) estimate(live *job.CachedJob) float64 {
	seconds := max(live.Spec.ExpectedS, 1) // 1 for a replica: in the order of service it counts as short
	if class := e.byClass[live.Spec.Class]; class != nil {
		seconds *= min(max(class.ran/class.expected, 1/maxCorrection), maxCorrection)
	}
	return seconds
}

// record learns from a finished task of a job.
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
