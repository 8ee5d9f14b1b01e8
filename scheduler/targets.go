package scheduler

import (
	"slices"
	"time"
)

// targetsOf returns the targets that a job could still meet if it ran alone, the nearest first. Each
// is given as the time by which the job's work must end. Start targets are sorted together with
// targets for completion, because a later target is tried only for jobs that cannot meet the earlier
// ones: if start targets came first, a class with two targets of each kind would have its targets for
// completion in third and fourth place.
func (q *waitingQueue) targetsOf(w *WaitingJob, now time.Time) []time.Time {
	var latestEnds []time.Time
	estimate := seconds(w.estimateS)
	submitted := w.submittedAt()
	ofClass := q.cfg.Targets[w.Job.Spec.Class]
	for _, target := range ofClass {
		by, applies := target.latestEnd(w, estimate)
		if applies && !now.Add(estimate).After(by) {
			latestEnds = append(latestEnds, by)
		}
	}
	if by := submitted.Add(q.cfg.GuaranteeWithin + estimate); w.guaranteed && !now.Add(estimate).After(by) {
		latestEnds = append(latestEnds, by)
	}
	if len(ofClass) == 0 && w.Job.Spec.DeadlineS > 0 {
		latestEnds = append(latestEnds, submitted.Add(seconds(w.Job.Spec.DeadlineS)))
	}
	slices.SortFunc(latestEnds, time.Time.Compare)
	return latestEnds
}

// latestEnd returns when a job's work must end to meet the target; applies is false if
// the target is a multiple of the deadline and the job has none.
func (t Target) latestEnd(w *WaitingJob, estimate time.Duration) (by time.Time, applies bool) {
	by = w.submittedAt().Add(t.Within)
	if t.Times > 0 {
		if w.Job.Spec.DeadlineS <= 0 {
			return time.Time{}, false
		}
		by = w.submittedAt().Add(seconds(t.Times * w.Job.Spec.DeadlineS))
	}
	if t.Start {
		by = by.Add(estimate)
	}
	return by, true
}

// seconds converts a number of seconds to a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
