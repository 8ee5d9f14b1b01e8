package settings

import "slices"

// ObjectiveKind is what a service-level objective measures.
type ObjectiveKind string

// The kinds of objectives that the service knows, by their names in the file. Objectives of other
// kinds are ignored.
const (
	// ObjectiveDeadline counts the jobs that complete within their deadline multiplied by
	// Objective.DeadlineFactor.
	ObjectiveDeadline ObjectiveKind = "deadline"
	// ObjectiveWait counts the tasks that start within Objective.WithinS.
	ObjectiveWait ObjectiveKind = "wait"
	// ObjectiveFinished counts the jobs that complete within Objective.WithinS.
	ObjectiveFinished ObjectiveKind = "finished"
	// ObjectiveGuarantee counts the work within a team's guarantee that starts within
	// Objective.WithinS. It applies to all classes.
	ObjectiveGuarantee ObjectiveKind = "guarantee"
)

// Objective is a service-level objective for a class of jobs.
type Objective struct {
	Kind           ObjectiveKind `toml:"kind"`
	Class          string        `toml:"class"`
	Share          float64       `toml:"share"`    // fraction of the jobs, tasks or work that must meet the objective, from 0 to 1
	DeadlineFactor float64       `toml:"times"`    // only for ObjectiveDeadline
	WithinS        float64       `toml:"within_s"` // seconds; not for ObjectiveDeadline
}

// Known reports whether the service knows objectives of this kind.
func (o *Objective) Known() bool {
	switch o.Kind {
	case ObjectiveDeadline, ObjectiveWait, ObjectiveFinished, ObjectiveGuarantee:
		return true
	default:
		return false
	}
}

// UnknownObjectiveKinds returns the kinds of objectives that are ignored, sorted and without
// duplicates.
func (f *Facts) UnknownObjectiveKinds() []string {
	var kinds []string
	for i := range f.Objectives {
		if o := &f.Objectives[i]; !o.Known() {
			kinds = append(kinds, string(o.Kind))
		}
	}
	slices.Sort(kinds)
	return slices.Compact(kinds)
}
