// Package protocol holds the bodies that travel between the controllers and
// users, workers, the cloud and the state service. The wire's names live here
// and nowhere else.
package protocol

import (
	"errors"
	"fmt"
	"math"
	"regexp"
	"strconv"
	"strings"

	"github.com/fxamacker/cbor/v2"
)

// MaxBody is the limit of request bodies.
const MaxBody = 64 << 10

var (
	enc cbor.EncMode
	dec cbor.DecMode
)

func init() {
	var err error
	if enc, err = (cbor.EncOptions{}).EncMode(); err != nil {
		panic(err)
	}
	if dec, err = (cbor.DecOptions{MaxArrayElements: 1 << 20, MaxMapPairs: 1 << 20, MaxNestedLevels: 32}).DecMode(); err != nil {
		panic(err)
	}
}

// Marshal encodes a body.
func Marshal(v any) ([]byte, error) { return enc.Marshal(v) }

// Unmarshal decodes a body, which must be one map.
func Unmarshal(b []byte, v any) error {
	if len(b) == 0 || b[0]>>5 != 5 {
		return errors.New("body is not a map")
	}
	return dec.Unmarshal(b, v)
}

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

// ErrorBody is the body of an answer that is no success.
type ErrorBody struct {
	Error string `cbor:"error"`
}

// TaskReport is a task as a worker reports it.
type TaskReport struct {
	Task    string `cbor:"piece"`
	Attempt uint64 `cbor:"try"`
	Status  string `cbor:"status"`
	Cause   string `cbor:"cause"`
	Saved   bool   `cbor:"kept"`
}

// Report is a worker's report.
type Report struct {
	Machine     string
	Endpoint    string
	MachineType string
	Zone        string
	Spot        bool
	Session     uint64
	Sequence    uint64
	Token       uint64
	NoticeS     *float64
	Tasks       []TaskReport
}

// ParseReport decodes and checks a report: every error is a 400.
func ParseReport(b []byte) (*Report, error) {
	var w struct {
		Host     *string       `cbor:"host"`
		Endpoint *string       `cbor:"endpoint"`
		Flavor   *string       `cbor:"flavor"`
		Yard     *string       `cbor:"yard"`
		Borrowed *bool         `cbor:"borrowed"`
		Shift    *uint64       `cbor:"shift"`
		Tick     *uint64       `cbor:"tick"`
		Baton    *uint64       `cbor:"baton"`
		WarningS *float64      `cbor:"warning_s"`
		Pieces   *[]TaskReport `cbor:"pieces"`
	}
	if err := Unmarshal(b, &w); err != nil {
		return nil, err
	}
	if w.Host == nil || w.Endpoint == nil || w.Flavor == nil || w.Yard == nil || w.Borrowed == nil ||
		w.Shift == nil || w.Tick == nil || w.Baton == nil || w.Pieces == nil {
		return nil, errors.New("report: a field is missing")
	}
	if *w.Host == "" || len(*w.Host) > 150 || strings.ContainsAny(*w.Host, " /?#") {
		return nil, errors.New("host: invalid")
	}
	if w.WarningS != nil && (math.IsNaN(*w.WarningS) || math.IsInf(*w.WarningS, 0)) {
		return nil, errors.New("warning_s: invalid")
	}
	for _, p := range *w.Pieces {
		if _, _, err := ParseTaskName(p.Task); err != nil {
			return nil, err
		}
		switch p.Status {
		case "fetching", "waiting", "running", "saving", "ended":
		default:
			return nil, errors.New("pieces: unknown status")
		}
	}
	return &Report{Machine: *w.Host, Endpoint: *w.Endpoint, MachineType: *w.Flavor, Zone: *w.Yard, Spot: *w.Borrowed,
		Session: *w.Shift, Sequence: *w.Tick, Token: *w.Baton, NoticeS: w.WarningS, Tasks: *w.Pieces}, nil
}

// ParseTaskName takes a task's wire name apart.
func ParseTaskName(s string) (uid string, index int, err error) {
	uid, rest, ok := strings.Cut(s, "/")
	if ok {
		index, err = strconv.Atoi(rest)
	}
	if !ok || err != nil || uid == "" || index < 0 || index >= MaxTasks {
		return "", 0, fmt.Errorf("piece: %q is no task", s)
	}
	return uid, index, nil
}

// TaskName is a task's wire name.
func TaskName(uid string, index int) string { return uid + "/" + strconv.Itoa(index) }

// Command is a command to a worker.
type Command struct {
	Kind    string   `cbor:"verb"`
	Task    string   `cbor:"piece"`
	Attempt uint64   `cbor:"try"`
	GraceS  *float64 `cbor:"wind_down_s,omitempty"`
}

// ReportReply answers a report.
type ReportReply struct {
	Token    uint64    `cbor:"baton"`
	Commands []Command `cbor:"orders"`
}

// Redirect sends a worker to another node.
type Redirect struct {
	Owner string `cbor:"foreman,omitempty"`
}

// DirectCommands is a direct command to a worker.
type DirectCommands struct {
	Token    uint64    `cbor:"baton"`
	Session  uint64    `cbor:"shift"`
	Commands []Command `cbor:"orders"`
}

// MachineType is a machine type.
type MachineType struct {
	Name         string   `cbor:"label"`
	CPUs         float64  `cbor:"cpus"`
	Accelerators float64  `cbor:"accelerators"`
	MemGB        float64  `cbor:"mem_gb"`
	CacheGB      float64  `cbor:"cache_gb"`
	PullGBPerS   float64  `cbor:"pull_gb_per_s"`
	Price        float64  `cbor:"rate"`
	SpotPrice    float64  `cbor:"spot_price"`
	BootS        float64  `cbor:"boot_s"`
	Zones        []string `cbor:"yards"`
}

// Catalogue is the cloud's catalogue.
type Catalogue struct {
	MachineTypes []MachineType `cbor:"flavors"`
}

// Rental asks the cloud for machines.
type Rental struct {
	IdempotencyKey string `cbor:"hire"`
	MachineType    string `cbor:"flavor"`
	Zone           string `cbor:"yard"`
	Spot           bool   `cbor:"borrowed"`
	Count          int    `cbor:"how_many"`
}

// MachineIDs names machines.
type MachineIDs struct {
	IDs []string `cbor:"hosts"`
}

// RentedMachine is a machine in the cloud's list.
type RentedMachine struct {
	ID          string  `cbor:"uid"`
	Endpoint    string  `cbor:"endpoint"`
	MachineType string  `cbor:"flavor"`
	Zone        string  `cbor:"yard"`
	Spot        bool    `cbor:"borrowed"`
	Status      string  `cbor:"status"`
	HeldS       float64 `cbor:"held_s"`
}

// MachineList is a page of the cloud's list.
type MachineList struct {
	Machines []RentedMachine `cbor:"hosts"`
	HasNext  bool            `cbor:"has_next"`
}

// Entry is a key of the state service with its value.
type Entry struct {
	Key      string          `cbor:"key"`
	Data     cbor.RawMessage `cbor:"data"`
	Revision uint64          `cbor:"stamp"`
}

// EntryList is a page of keys.
type EntryList struct {
	Entries       []Entry `cbor:"entries"`
	HasNext       bool    `cbor:"has_next"`
	StoreRevision uint64  `cbor:"epoch"`
}

// Guard is a condition of a transaction.
type Guard struct {
	Key      string `cbor:"key"`
	Revision uint64 `cbor:"stamp"`
}

// Change is a put or a delete of a transaction.
type Change struct {
	Set     string          `cbor:"set,omitempty"`
	Data    cbor.RawMessage `cbor:"data,omitempty"`
	LeaseID uint64          `cbor:"permit,omitempty"`
	Delete  string          `cbor:"delete,omitempty"`
}

// Transaction is a transaction.
type Transaction struct {
	Guards  []Guard  `cbor:"guards"`
	Changes []Change `cbor:"then"`
}

// Put adds a change that sets a key to a value.
func (t *Transaction) Put(key string, value any) error {
	data, err := Marshal(value)
	if err != nil {
		return err
	}
	t.Changes = append(t.Changes, Change{Set: key, Data: data})
	return nil
}

// TransactionReply answers a transaction.
type TransactionReply struct {
	Failed        []string `cbor:"failed"`
	StoreRevision uint64   `cbor:"epoch"`
}

// Lease is a lease of the state service.
type Lease struct {
	TTLMS int    `cbor:"life_ms,omitempty"`
	ID    uint64 `cbor:"permit,omitempty"`
}

// Event is a change that a watch saw.
type Event struct {
	Set      string          `cbor:"set"`
	Data     cbor.RawMessage `cbor:"data"`
	Revision uint64          `cbor:"stamp"`
	Delete   string          `cbor:"delete"`
}

// WatchReply answers a watch.
type WatchReply struct {
	StoreRevision uint64  `cbor:"epoch"`
	Events        []Event `cbor:"news"`
}
