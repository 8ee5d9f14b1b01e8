package protocol

import (
	"errors"
	"fmt"
	"math"
	"regexp"
)

// JobSpec is a job as its user submits it.
type JobSpec struct {
	UID                 string   `cbor:"uid"`
	Class               string   `cbor:"queue"`
	Team                string   `cbor:"owner"`
	Shape               Shape    `cbor:"shape"`
	Priority            Priority `cbor:"urgency"`
	Tasks               int      `cbor:"pieces"`
	CPUs                float64  `cbor:"cpus"`
	Accelerators        float64  `cbor:"accelerators"`
	MemGB               float64  `cbor:"mem_gb"`
	Image               string   `cbor:"bundle"`
	ImageGB             float64  `cbor:"size_gb"`
	MachineTypes        []string `cbor:"flavors"`
	Zone                string   `cbor:"yard"`
	SameZone            bool     `cbor:"together"`
	SpreadZones         bool     `cbor:"scatter"`
	SpotAllowed         bool     `cbor:"borrowed"`
	ExpectedS           float64  `cbor:"expected_s"`
	CheckpointIntervalS float64  `cbor:"snapshot_s"`
	CheckpointDurationS float64  `cbor:"stash_s"`
	DeadlineS           float64  `cbor:"due_s"`
}

// Shape says how the tasks of a job run.
type Shape string

// The shapes of jobs.
const (
	ShapeArray   Shape = "array"  // a job array: independent tasks that complete
	ShapeGang    Shape = "group"  // gang scheduling: the tasks run only all together
	ShapeService Shape = "daemon" // replicas that run until the job is cancelled
)

func (s Shape) known() bool {
	switch s {
	case ShapeArray, ShapeGang, ShapeService:
		return true
	default:
		return false
	}
}

// MaxTasks is the most tasks that a job may have.
const MaxTasks = 100000

var jobIDForm = regexp.MustCompile(`^wk-[0-9]{1,18}$`)

// ValidJobID tells whether a job id has the form that users give it.
func ValidJobID(s string) bool { return jobIDForm.MatchString(s) }

// JobIDOf finds the job that a malformed submission speaks of; empty if it names none.
func JobIDOf(b []byte) string {
	var w struct {
		UID string `cbor:"uid"`
	}
	if Unmarshal(b, &w) != nil || !ValidJobID(w.UID) {
		return ""
	}
	return w.UID
}

// submission is a job's description on the wire; what is absent is nil.
type submission struct {
	UID                 *string   `cbor:"uid"`
	Class               *string   `cbor:"queue"`
	Team                *string   `cbor:"owner"`
	Shape               *string   `cbor:"shape"`
	Priority            *string   `cbor:"urgency"`
	Tasks               *int64    `cbor:"pieces"`
	CPUs                *float64  `cbor:"cpus"`
	Accelerators        *float64  `cbor:"accelerators"`
	MemGB               *float64  `cbor:"mem_gb"`
	Image               *string   `cbor:"bundle"`
	ImageGB             *float64  `cbor:"size_gb"`
	MachineTypes        *[]string `cbor:"flavors"`
	Zone                *string   `cbor:"yard"`
	SameZone            *bool     `cbor:"together"`
	SpreadZones         *bool     `cbor:"scatter"`
	SpotAllowed         *bool     `cbor:"borrowed"`
	ExpectedS           *float64  `cbor:"expected_s"`
	CheckpointIntervalS *float64  `cbor:"snapshot_s"`
	CheckpointDurationS *float64  `cbor:"stash_s"`
	DeadlineS           *float64  `cbor:"due_s"`
}

// ParseJobSpec decodes and checks a submission: every error is a 400.
func ParseJobSpec(b []byte) (*JobSpec, error) {
	var w submission
	if err := Unmarshal(b, &w); err != nil {
		return nil, err
	}
	for _, check := range []func() error{w.checkStrings, w.checkNumbers, w.checkFlags, w.checkValues} {
		if err := check(); err != nil {
			return nil, err
		}
	}
	s := &JobSpec{
		UID: *w.UID, Class: *w.Class, Team: *w.Team, Shape: Shape(*w.Shape), Priority: Priority(*w.Priority), Tasks: int(*w.Tasks),
		CPUs: *w.CPUs, Accelerators: *w.Accelerators, MemGB: *w.MemGB, Image: *w.Image, ImageGB: *w.ImageGB,
		SameZone: *w.SameZone, SpreadZones: *w.SpreadZones, SpotAllowed: *w.SpotAllowed,
		ExpectedS: *w.ExpectedS, CheckpointIntervalS: *w.CheckpointIntervalS, CheckpointDurationS: *w.CheckpointDurationS,
	}
	if w.MachineTypes != nil {
		s.MachineTypes = *w.MachineTypes
	}
	if w.Zone != nil {
		s.Zone = *w.Zone
	}
	if w.DeadlineS != nil {
		s.DeadlineS = *w.DeadlineS
	}
	return s, nil
}

// Limits of what a submission may hold.
const (
	maxNameLength   = 200
	maxMachineTypes = 100
)

func (w *submission) checkStrings() error {
	for _, f := range []struct {
		name  string
		value *string
	}{{"uid", w.UID}, {"queue", w.Class}, {"owner", w.Team}, {"shape", w.Shape}, {"urgency", w.Priority}, {"bundle", w.Image}} {
		if f.value == nil || *f.value == "" || len(*f.value) > maxNameLength {
			return fmt.Errorf("%s: missing, empty or too long", f.name)
		}
	}
	return nil
}

func (w *submission) checkNumbers() error {
	for _, f := range []struct {
		name  string
		value *float64
	}{
		{"cpus", w.CPUs},
		{"accelerators", w.Accelerators},
		{"mem_gb", w.MemGB},
		{"size_gb", w.ImageGB},
		{"expected_s", w.ExpectedS},
		{"snapshot_s", w.CheckpointIntervalS},
		{"stash_s", w.CheckpointDurationS},
	} {
		if f.value == nil || !(*f.value >= 0) || math.IsInf(*f.value, 0) {
			return fmt.Errorf("%s: missing or invalid", f.name)
		}
	}
	return nil
}

func (w *submission) checkFlags() error {
	for _, f := range []struct {
		name  string
		value *bool
	}{{"together", w.SameZone}, {"scatter", w.SpreadZones}, {"borrowed", w.SpotAllowed}} {
		if f.value == nil {
			return fmt.Errorf("%s: missing", f.name)
		}
	}
	return nil
}

// checkValues checks what is more than present.
func (w *submission) checkValues() error {
	switch {
	case !ValidJobID(*w.UID):
		return errors.New("uid: not in the form of a job id")
	case !Shape(*w.Shape).known():
		return errors.New("shape: unknown")
	case !Priority(*w.Priority).known():
		return errors.New("urgency: unknown")
	case w.Tasks == nil || *w.Tasks < 1 || *w.Tasks > MaxTasks:
		return errors.New("pieces: missing or invalid")
	case w.MachineTypes != nil && len(*w.MachineTypes) > maxMachineTypes:
		return errors.New("flavors: too many")
	case w.DeadlineS != nil && (!(*w.DeadlineS > 0) || math.IsInf(*w.DeadlineS, 0)):
		return errors.New("due_s: invalid")
	}
	return nil
}

// JobStatus answers a user.
type JobStatus struct {
	UID     string `cbor:"uid"`
	Status  string `cbor:"status"`
	Done    *int   `cbor:"done,omitempty"`
	Running *int   `cbor:"running,omitempty"`
}
