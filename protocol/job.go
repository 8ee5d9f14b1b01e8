package protocol

import (
	"errors"
	"fmt"
	"math"
	"regexp"
)

// JobSpec is a job as its user submits it.
type JobSpec struct {
	UID          string   `cbor:"uid"`
	Class        string   `cbor:"queue"`
	Team         string   `cbor:"owner"`
	Shape        string   `cbor:"shape"`
	Priority     string   `cbor:"urgency"`
	Tasks        int      `cbor:"pieces"`
	CPUs         float64  `cbor:"cpus"`
	Accelerators float64  `cbor:"accelerators"`
	MemGB        float64  `cbor:"mem_gb"`
	Image        string   `cbor:"bundle"`
	ImageGB      float64  `cbor:"size_gb"`
	MachineTypes []string `cbor:"flavors"`
	Zone         string   `cbor:"yard"`
	SameZone     bool     `cbor:"together"`
	SpreadZones  bool     `cbor:"scatter"`
	Spot         bool     `cbor:"borrowed"`
	ExpectedS    float64  `cbor:"expected_s"`
	CheckpointS  float64  `cbor:"snapshot_s"`
	SaveS        float64  `cbor:"stash_s"`
	DeadlineS    float64  `cbor:"due_s"`
}

// The shapes of jobs: independent tasks that complete; tasks that run only all
// together; tasks that run until the job is cancelled (docs/questions.md).
const (
	ShapeArray   = "array"
	ShapeGang    = "group"
	ShapeService = "daemon"
)

// Priorities, the most pressing first.
var Priorities = []string{"critical", "urgent", "normal", "best_effort"}

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

// ParseJobSpec decodes and checks a submission: every error is a 400.
func ParseJobSpec(b []byte) (*JobSpec, error) {
	var w struct {
		UID          *string   `cbor:"uid"`
		Queue        *string   `cbor:"queue"`
		Owner        *string   `cbor:"owner"`
		Shape        *string   `cbor:"shape"`
		Urgency      *string   `cbor:"urgency"`
		Pieces       *int64    `cbor:"pieces"`
		CPUs         *float64  `cbor:"cpus"`
		Accelerators *float64  `cbor:"accelerators"`
		MemGB        *float64  `cbor:"mem_gb"`
		Bundle       *string   `cbor:"bundle"`
		SizeGB       *float64  `cbor:"size_gb"`
		Flavors      *[]string `cbor:"flavors"`
		Yard         *string   `cbor:"yard"`
		Together     *bool     `cbor:"together"`
		Scatter      *bool     `cbor:"scatter"`
		Borrowed     *bool     `cbor:"borrowed"`
		ExpectedS    *float64  `cbor:"expected_s"`
		SnapshotS    *float64  `cbor:"snapshot_s"`
		StashS       *float64  `cbor:"stash_s"`
		DueS         *float64  `cbor:"due_s"`
	}
	if err := Unmarshal(b, &w); err != nil {
		return nil, err
	}
	for _, f := range []struct {
		name string
		v    *string
	}{{"uid", w.UID}, {"queue", w.Queue}, {"owner", w.Owner}, {"shape", w.Shape}, {"urgency", w.Urgency}, {"bundle", w.Bundle}} {
		if f.v == nil || *f.v == "" || len(*f.v) > 200 {
			return nil, fmt.Errorf("%s: missing, empty or too long", f.name)
		}
	}
	for _, f := range []struct {
		name string
		v    *float64
		min  float64
	}{{"cpus", w.CPUs, 0}, {"accelerators", w.Accelerators, 0}, {"mem_gb", w.MemGB, 0}, {"size_gb", w.SizeGB, 0},
		{"expected_s", w.ExpectedS, 0}, {"snapshot_s", w.SnapshotS, 0}, {"stash_s", w.StashS, 0}} {
		if f.v == nil || !(*f.v >= f.min) || math.IsInf(*f.v, 0) {
			return nil, fmt.Errorf("%s: missing or invalid", f.name)
		}
	}
	for _, f := range []struct {
		name string
		v    *bool
	}{{"together", w.Together}, {"scatter", w.Scatter}, {"borrowed", w.Borrowed}} {
		if f.v == nil {
			return nil, fmt.Errorf("%s: missing", f.name)
		}
	}
	s := &JobSpec{UID: *w.UID, Class: *w.Queue, Team: *w.Owner, Shape: *w.Shape, Priority: *w.Urgency,
		CPUs: *w.CPUs, Accelerators: *w.Accelerators, MemGB: *w.MemGB, Image: *w.Bundle, ImageGB: *w.SizeGB,
		SameZone: *w.Together, SpreadZones: *w.Scatter, Spot: *w.Borrowed,
		ExpectedS: *w.ExpectedS, CheckpointS: *w.SnapshotS, SaveS: *w.StashS}
	if !ValidJobID(s.UID) {
		return nil, errors.New("uid: not in the form of a job id")
	}
	switch s.Shape {
	case ShapeArray, ShapeGang, ShapeService:
	default:
		return nil, errors.New("shape: unknown")
	}
	if PriorityRank(s.Priority) < 0 {
		return nil, errors.New("urgency: unknown")
	}
	if w.Pieces == nil || *w.Pieces < 1 || *w.Pieces > MaxTasks {
		return nil, errors.New("pieces: missing or invalid")
	}
	s.Tasks = int(*w.Pieces)
	if w.Flavors != nil {
		if len(*w.Flavors) > 100 {
			return nil, errors.New("flavors: too many")
		}
		s.MachineTypes = *w.Flavors
	}
	if w.Yard != nil {
		s.Zone = *w.Yard
	}
	if w.DueS != nil {
		if !(*w.DueS > 0) || math.IsInf(*w.DueS, 0) {
			return nil, errors.New("due_s: invalid")
		}
		s.DeadlineS = *w.DueS
	}
	return s, nil
}

// PriorityRank gives an urgency's place, 0 the most pressing; -1 if there is none.
func PriorityRank(urgency string) int {
	for i, u := range Priorities {
		if u == urgency {
			return i
		}
	}
	return -1
}

// JobStatus answers a user.
type JobStatus struct {
	UID     string `cbor:"uid"`
	Status  string `cbor:"status"`
	Done    *int   `cbor:"done,omitempty"`
	Running *int   `cbor:"running,omitempty"`
}
