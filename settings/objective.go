package settings

import (
	"errors"
	"slices"
)

// ObjectiveKind is what an objective measures.
type ObjectiveKind string

// The kinds of objectives that the service reads. Others are ignored.
const (
	// ObjectiveDeadline counts the jobs that are done by so many times their own deadline.
	ObjectiveDeadline ObjectiveKind = "deadline"
	// ObjectiveWait counts the tasks that start within a time.
	ObjectiveWait ObjectiveKind = "wait"
	// ObjectiveFinished counts the jobs that are done within a time.
	ObjectiveFinished ObjectiveKind = "finished"
	// ObjectiveGuarantee counts the work within a team's guarantee that starts within a time.
	ObjectiveGuarantee ObjectiveKind = "guarantee"
)

// Objective says what is expected of a class of jobs.
type Objective struct {
	Kind           ObjectiveKind `toml:"kind"`
	Class          string        `toml:"class"`
	Share          float64       `toml:"share"`
	DeadlineFactor float64       `toml:"times"`
	WithinS        float64       `toml:"within_s"`
}

// Known tells whether the service reads objectives of this kind.
func (o *Objective) Known() bool {
	switch o.Kind {
	case ObjectiveDeadline, ObjectiveWait, ObjectiveFinished, ObjectiveGuarantee:
		return true
	}
	return false
}

// check refuses impossible values of a known kind; the error begins with the field. What
// an unknown kind means by its fields is not known here.
func (o *Objective) check() error {
	if !o.Known() {
		return nil
	}
	if !(o.Share >= 0 && o.Share <= 1) {
		return errors.New("share: not between 0 and 1")
	}
	if o.Class == "" && o.Kind != ObjectiveGuarantee {
		return errors.New("class: missing")
	}
	if o.Kind == ObjectiveDeadline {
		return checkPositive("times", o.DeadlineFactor)
	}
	return checkPositive("within_s", o.WithinS)
}

// UnknownObjectives lists the kinds of objectives that are ignored, each once and sorted.
func (f *Facts) UnknownObjectives() []string {
	var kinds []string
	for i := range f.Objectives {
		if o := &f.Objectives[i]; !o.Known() {
			kinds = append(kinds, string(o.Kind))
		}
	}
	slices.Sort(kinds)
	return slices.Compact(kinds)
}
