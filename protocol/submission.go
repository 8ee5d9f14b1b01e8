package protocol

import "math"

// Limits of a submission.
const (
	maxNameLength   = 200 // bytes
	maxMachineTypes = 100
)

// ParseJobSpec decodes and checks a submission. The error is returned to the user in a 400: a
// *ValidationError for the first invalid field, or that of decoding the body.
func ParseJobSpec(body []byte) (*JobSpec, error) {
	var s submission
	if err := Unmarshal(body, &s); err != nil {
		return nil, err
	}
	if err := s.check(); err != nil {
		return nil, err
	}
	return s.spec(), nil
}

// JobIDOf returns the job id of a malformed submission, or an empty string if it has no valid
// id.
func JobIDOf(body []byte) string {
	var s struct {
		UID string `cbor:"uid"`
	}
	if Unmarshal(body, &s) != nil || !ValidJobID(s.UID) {
		return ""
	}
	return s.UID
}

// submission is a JobSpec in which fields that the body lacks are nil. If a field cannot be
// decoded, the error that the user gets contains the name of this type and the type of the
// field, so neither may change.
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

// check returns a *ValidationError for the first field that is missing or invalid.
func (s *submission) check() error {
	checks := []func() error{s.checkStrings, s.checkNumbers, s.checkFlags, s.checkValues}
	for _, check := range checks {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func (s *submission) checkStrings() error {
	for _, f := range []struct {
		name  string
		value *string
	}{
		{"uid", s.UID},
		{"queue", s.Class},
		{"owner", s.Team},
		{"shape", s.Shape},
		{"urgency", s.Priority},
		{"bundle", s.Image},
	} {
		if f.value == nil || *f.value == "" || len(*f.value) > maxNameLength {
			return &ValidationError{f.name, "missing, empty or too long"}
		}
	}
	return nil
}

func (s *submission) checkNumbers() error {
	for _, f := range []struct {
		name  string
		value *float64
	}{
		{"cpus", s.CPUs},
		{"accelerators", s.Accelerators},
		{"mem_gb", s.MemGB},
		{"size_gb", s.ImageGB},
		{"expected_s", s.ExpectedS},
		{"snapshot_s", s.CheckpointIntervalS},
		{"stash_s", s.CheckpointDurationS},
	} {
		if f.value == nil || !finite(*f.value) || *f.value < 0 {
			return &ValidationError{f.name, "missing or invalid"}
		}
	}
	return nil
}

func (s *submission) checkFlags() error {
	for _, f := range []struct {
		name  string
		value *bool
	}{
		{"together", s.SameZone},
		{"scatter", s.SpreadZones},
		{"borrowed", s.SpotAllowed},
	} {
		if f.value == nil {
			return &ValidationError{f.name, "missing"}
		}
	}
	return nil
}

// checkValues checks the values of fields; checkStrings must have passed.
func (s *submission) checkValues() error {
	switch {
	case !ValidJobID(*s.UID):
		return &ValidationError{"uid", "not in the form of a job id"}
	case !Shape(*s.Shape).known():
		return &ValidationError{"shape", "unknown"}
	case !Priority(*s.Priority).known():
		return &ValidationError{"urgency", "unknown"}
	case s.Tasks == nil || *s.Tasks < 1 || *s.Tasks > MaxTasks:
		return &ValidationError{"pieces", "missing or invalid"}
	case s.MachineTypes != nil && len(*s.MachineTypes) > maxMachineTypes:
		return &ValidationError{"flavors", "too many"}
	case s.DeadlineS != nil && (!finite(*s.DeadlineS) || *s.DeadlineS <= 0):
		return &ValidationError{"due_s", "invalid"}
	}
	return nil
}

// finite reports whether a number is neither infinite nor NaN.
func finite(x float64) bool { return !math.IsNaN(x) && !math.IsInf(x, 0) }

// spec returns the job that a submission describes; check must have passed.
func (s *submission) spec() *JobSpec {
	return &JobSpec{
		UID:                 *s.UID,
		Class:               *s.Class,
		Team:                *s.Team,
		Shape:               Shape(*s.Shape),
		Priority:            Priority(*s.Priority),
		Tasks:               int(*s.Tasks),
		CPUs:                *s.CPUs,
		Accelerators:        *s.Accelerators,
		MemGB:               *s.MemGB,
		Image:               *s.Image,
		ImageGB:             *s.ImageGB,
		MachineTypes:        valueOrZero(s.MachineTypes),
		Zone:                valueOrZero(s.Zone),
		SameZone:            *s.SameZone,
		SpreadZones:         *s.SpreadZones,
		SpotAllowed:         *s.SpotAllowed,
		ExpectedS:           *s.ExpectedS,
		CheckpointIntervalS: *s.CheckpointIntervalS,
		CheckpointDurationS: *s.CheckpointDurationS,
		DeadlineS:           valueOrZero(s.DeadlineS),
	}
}

// valueOrZero returns what a pointer points to, or the zero value for a nil pointer.
func valueOrZero[T any](pointer *T) T {
	if pointer == nil {
		var zero T
		return zero
	}
	return *pointer
}
