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

// Spec is a job as its user submits it.
type Spec struct {
	UID          string   `cbor:"uid"`
	Queue        string   `cbor:"queue"`
	Owner        string   `cbor:"owner"`
	Shape        string   `cbor:"shape"`
	Urgency      string   `cbor:"urgency"`
	Pieces       int      `cbor:"pieces"`
	CPUs         float64  `cbor:"cpus"`
	Accelerators float64  `cbor:"accelerators"`
	MemGB        float64  `cbor:"mem_gb"`
	Bundle       string   `cbor:"bundle"`
	SizeGB       float64  `cbor:"size_gb"`
	Flavors      []string `cbor:"flavors"`
	Yard         string   `cbor:"yard"`
	Together     bool     `cbor:"together"`
	Scatter      bool     `cbor:"scatter"`
	Borrowed     bool     `cbor:"borrowed"`
	ExpectedS    float64  `cbor:"expected_s"`
	SnapshotS    float64  `cbor:"snapshot_s"`
	StashS       float64  `cbor:"stash_s"`
	DueS         float64  `cbor:"due_s"`
}

// The shapes of jobs: independent tasks that complete; tasks that run only all
// together; tasks that run until the job is cancelled (docs/questions.md).
const (
	Array  = "array"
	Group  = "group"
	Daemon = "daemon"
)

// Urgencies, the most pressing first.
var Urgencies = []string{"critical", "urgent", "normal", "best_effort"}

// MaxPieces is the most tasks that a job may have.
const MaxPieces = 100000

var uidForm = regexp.MustCompile(`^wk-[0-9]{1,18}$`)

// ValidUID tells whether a job id has the form that users give it.
func ValidUID(s string) bool { return uidForm.MatchString(s) }

// UIDOf finds the job that a malformed submission speaks of; empty if it names none.
func UIDOf(b []byte) string {
	var w struct {
		UID string `cbor:"uid"`
	}
	if Unmarshal(b, &w) != nil || !ValidUID(w.UID) {
		return ""
	}
	return w.UID
}

// ParseSpec decodes and checks a submission: every error is a 400.
func ParseSpec(b []byte) (*Spec, error) {
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
	s := &Spec{UID: *w.UID, Queue: *w.Queue, Owner: *w.Owner, Shape: *w.Shape, Urgency: *w.Urgency,
		CPUs: *w.CPUs, Accelerators: *w.Accelerators, MemGB: *w.MemGB, Bundle: *w.Bundle, SizeGB: *w.SizeGB,
		Together: *w.Together, Scatter: *w.Scatter, Borrowed: *w.Borrowed,
		ExpectedS: *w.ExpectedS, SnapshotS: *w.SnapshotS, StashS: *w.StashS}
	if !ValidUID(s.UID) {
		return nil, errors.New("uid: not in the form of a job id")
	}
	switch s.Shape {
	case Array, Group, Daemon:
	default:
		return nil, errors.New("shape: unknown")
	}
	if Rank(s.Urgency) < 0 {
		return nil, errors.New("urgency: unknown")
	}
	if w.Pieces == nil || *w.Pieces < 1 || *w.Pieces > MaxPieces {
		return nil, errors.New("pieces: missing or invalid")
	}
	s.Pieces = int(*w.Pieces)
	if w.Flavors != nil {
		if len(*w.Flavors) > 100 {
			return nil, errors.New("flavors: too many")
		}
		s.Flavors = *w.Flavors
	}
	if w.Yard != nil {
		s.Yard = *w.Yard
	}
	if w.DueS != nil {
		if !(*w.DueS > 0) || math.IsInf(*w.DueS, 0) {
			return nil, errors.New("due_s: invalid")
		}
		s.DueS = *w.DueS
	}
	return s, nil
}

// Rank gives an urgency's place, 0 the most pressing; -1 if there is none.
func Rank(urgency string) int {
	for i, u := range Urgencies {
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

// Problem is the body of an answer that is no success.
type Problem struct {
	Error string `cbor:"error"`
}

// Piece is a task as a worker reports it.
type Piece struct {
	Piece  string `cbor:"piece"`
	Try    uint64 `cbor:"try"`
	Status string `cbor:"status"`
	Cause  string `cbor:"cause"`
	Kept   bool   `cbor:"kept"`
}

// Beat is a worker's report.
type Beat struct {
	Host     string
	Endpoint string
	Flavor   string
	Yard     string
	Borrowed bool
	Shift    uint64
	Tick     uint64
	Baton    uint64
	WarningS *float64
	Pieces   []Piece
}

// ParseBeat decodes and checks a report: every error is a 400.
func ParseBeat(b []byte) (*Beat, error) {
	var w struct {
		Host     *string  `cbor:"host"`
		Endpoint *string  `cbor:"endpoint"`
		Flavor   *string  `cbor:"flavor"`
		Yard     *string  `cbor:"yard"`
		Borrowed *bool    `cbor:"borrowed"`
		Shift    *uint64  `cbor:"shift"`
		Tick     *uint64  `cbor:"tick"`
		Baton    *uint64  `cbor:"baton"`
		WarningS *float64 `cbor:"warning_s"`
		Pieces   *[]Piece `cbor:"pieces"`
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
		if _, _, err := SplitPiece(p.Piece); err != nil {
			return nil, err
		}
		switch p.Status {
		case "fetching", "waiting", "running", "saving", "ended":
		default:
			return nil, errors.New("pieces: unknown status")
		}
	}
	return &Beat{Host: *w.Host, Endpoint: *w.Endpoint, Flavor: *w.Flavor, Yard: *w.Yard, Borrowed: *w.Borrowed,
		Shift: *w.Shift, Tick: *w.Tick, Baton: *w.Baton, WarningS: w.WarningS, Pieces: *w.Pieces}, nil
}

// SplitPiece takes a task's wire name apart.
func SplitPiece(s string) (uid string, index int, err error) {
	uid, rest, ok := strings.Cut(s, "/")
	if ok {
		index, err = strconv.Atoi(rest)
	}
	if !ok || err != nil || uid == "" || index < 0 || index >= MaxPieces {
		return "", 0, fmt.Errorf("piece: %q is no task", s)
	}
	return uid, index, nil
}

// PieceName is a task's wire name.
func PieceName(uid string, index int) string { return uid + "/" + strconv.Itoa(index) }

// Order is a command to a worker.
type Order struct {
	Verb      string   `cbor:"verb"`
	Piece     string   `cbor:"piece"`
	Try       uint64   `cbor:"try"`
	WindDownS *float64 `cbor:"wind_down_s,omitempty"`
}

// BeatReply answers a report.
type BeatReply struct {
	Baton  uint64  `cbor:"baton"`
	Orders []Order `cbor:"orders"`
}

// Foreman sends a worker to another node.
type Foreman struct {
	Foreman string `cbor:"foreman,omitempty"`
}

// Do is a direct command to a worker.
type Do struct {
	Baton  uint64  `cbor:"baton"`
	Shift  uint64  `cbor:"shift"`
	Orders []Order `cbor:"orders"`
}

// Flavor is a machine type.
type Flavor struct {
	Label        string   `cbor:"label"`
	CPUs         float64  `cbor:"cpus"`
	Accelerators float64  `cbor:"accelerators"`
	MemGB        float64  `cbor:"mem_gb"`
	CacheGB      float64  `cbor:"cache_gb"`
	PullGBPerS   float64  `cbor:"pull_gb_per_s"`
	Rate         float64  `cbor:"rate"`
	SpotPrice    float64  `cbor:"spot_price"`
	BootS        float64  `cbor:"boot_s"`
	Yards        []string `cbor:"yards"`
}

// Flavors is the cloud's catalogue.
type Flavors struct {
	Flavors []Flavor `cbor:"flavors"`
}

// Hire asks the cloud for machines.
type Hire struct {
	Hire     string `cbor:"hire"`
	Flavor   string `cbor:"flavor"`
	Yard     string `cbor:"yard"`
	Borrowed bool   `cbor:"borrowed"`
	HowMany  int    `cbor:"how_many"`
}

// Hosts names machines.
type Hosts struct {
	Hosts []string `cbor:"hosts"`
}

// Host is a machine in the cloud's list.
type Host struct {
	UID      string  `cbor:"uid"`
	Endpoint string  `cbor:"endpoint"`
	Flavor   string  `cbor:"flavor"`
	Yard     string  `cbor:"yard"`
	Borrowed bool    `cbor:"borrowed"`
	Status   string  `cbor:"status"`
	HeldS    float64 `cbor:"held_s"`
}

// HostList is a page of the cloud's list.
type HostList struct {
	Hosts   []Host `cbor:"hosts"`
	HasNext bool   `cbor:"has_next"`
}

// Entry is a key of the state service with its value.
type Entry struct {
	Key   string          `cbor:"key"`
	Data  cbor.RawMessage `cbor:"data"`
	Stamp uint64          `cbor:"stamp"`
}

// EntryList is a page of keys.
type EntryList struct {
	Entries []Entry `cbor:"entries"`
	HasNext bool    `cbor:"has_next"`
	Epoch   uint64  `cbor:"epoch"`
}

// Guard is a condition of a transaction.
type Guard struct {
	Key   string `cbor:"key"`
	Stamp uint64 `cbor:"stamp"`
}

// Change is a put or a delete of a transaction.
type Change struct {
	Set    string          `cbor:"set,omitempty"`
	Data   cbor.RawMessage `cbor:"data,omitempty"`
	Permit uint64          `cbor:"permit,omitempty"`
	Delete string          `cbor:"delete,omitempty"`
}

// Multi is a transaction.
type Multi struct {
	Guards []Guard  `cbor:"guards"`
	Then   []Change `cbor:"then"`
}

// MultiReply answers a transaction.
type MultiReply struct {
	Failed []string `cbor:"failed"`
	Epoch  uint64   `cbor:"epoch"`
}

// Grant is a lease of the state service.
type Grant struct {
	LifeMS int    `cbor:"life_ms,omitempty"`
	Permit uint64 `cbor:"permit,omitempty"`
}

// News is a change that a watch saw.
type News struct {
	Set    string          `cbor:"set"`
	Data   cbor.RawMessage `cbor:"data"`
	Stamp  uint64          `cbor:"stamp"`
	Delete string          `cbor:"delete"`
}

// WatchReply answers a watch.
type WatchReply struct {
	Epoch uint64 `cbor:"epoch"`
	News  []News `cbor:"news"`
}
