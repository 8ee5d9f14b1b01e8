package controller_test

import (
	"bytes"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/vmihailenco/msgpack/v5"

	"junipershelf/protocol"
)

// The wire and storage formats of the production version (deploy/service.toml). They are separate
// from the service's types, so that changes to those do not affect them.
// TestProductionFormatsRoundTrip compares them with bytes that the production version wrote.

type prodTask struct {
	//lint:ignore U1000 the msgpack library reads the tag of this field
	_msgpack struct{} `msgpack:",as_array"`
	Job      string
	Index    int
}

type prodResources struct {
	//lint:ignore U1000 the msgpack library reads the tag of this field
	_msgpack     struct{} `msgpack:",as_array"`
	CPUs         float64
	Accelerators float64
	MemGB        float64
}

type prodHeldTasks struct {
	//lint:ignore U1000 the msgpack library reads the tag of this field
	_msgpack  struct{} `msgpack:",as_array"`
	Job       string
	Team      string
	Resources prodResources
	Tasks     string
	Phase     int
	Stopping  bool
	PhaseS    float64
}

type prodMachineState struct {
	//lint:ignore U1000 the msgpack library reads the tag of this field
	_msgpack         struct{} `msgpack:",as_array"`
	ID               string
	MachineType      string
	Zone             string
	Spot             bool
	Free             prodResources
	Usable           bool
	Reported         bool
	Evicting         bool
	PreemptionNotice bool
	IdleS            float64
	Images           []string
	Fetching         []string
	Held             []prodHeldTasks
}

type prodCompletedTask struct {
	//lint:ignore U1000 the msgpack library reads the tag of this field
	_msgpack struct{} `msgpack:",as_array"`
	Task     prodTask
	RunS     float64
}

type prodForwardRequest struct {
	//lint:ignore U1000 the msgpack library reads the tag of this field
	_msgpack struct{} `msgpack:",as_array"`
	Task     prodTask
	To       string
}

type prodFailure struct {
	//lint:ignore U1000 the msgpack library reads the tag of this field
	_msgpack struct{} `msgpack:",as_array"`
	Task     prodTask
	Machine  string
	Cause    string
}

type prodUpdate struct {
	//lint:ignore U1000 the msgpack library reads the tag of this field
	_msgpack        struct{} `msgpack:",as_array"`
	Sequence        uint64
	BaseVersion     uint64
	Version         uint64
	AckedAssignment uint64
	Machines        []prodMachineState
	Removed         []string
	Completed       []prodCompletedTask
	Forwards        []prodForwardRequest
	Failures        []prodFailure
	Terminated      []string
	CompletedFill   float64
}

type prodSync struct {
	//lint:ignore U1000 the msgpack library reads the tag of this field
	_msgpack     struct{} `msgpack:",as_array"`
	View         uint64
	Index        int
	FleetVersion uint64
	Update       prodUpdate
}

type prodAssignment struct {
	//lint:ignore U1000 the msgpack library reads the tag of this field
	_msgpack struct{} `msgpack:",as_array"`
	Seq      uint64
	Job      string
	Tasks    string
	Machine  string
	Gang     uint64
}

type prodFleetMachine struct {
	//lint:ignore U1000 the msgpack library reads the tag of this field
	_msgpack    struct{} `msgpack:",as_array"`
	ID          string
	Underloaded bool
	Room        prodResources
}

type prodSyncReply struct {
	//lint:ignore U1000 the msgpack library reads the tag of this field
	_msgpack      struct{} `msgpack:",as_array"`
	View          uint64
	OK            bool
	UpdateVersion uint64
	Assignments   []prodAssignment
	Evict         []string
	Terminate     []string
	Stop          []prodTask
	FleetBase     uint64
	FleetVersion  uint64
	Fleet         []prodFleetMachine
	FleetRemoved  []string
	Running       map[string]int
	PlaceableWork bool
}

type prodCancellation struct {
	UID  string `msgpack:"u"`
	Done int    `msgpack:"d,omitempty"`
}

type prodPing struct {
	Node            string             `msgpack:"n"`
	View            uint64             `msgpack:"v"`
	StoreSilentMS   int64              `msgpack:"s"`
	LogID           uint64             `msgpack:"r,omitempty"`
	LogEnd          uint64             `msgpack:"h,omitempty"`
	LogFrom         uint64             `msgpack:"f,omitempty"`
	Cancellations   []prodCancellation `msgpack:"e,omitempty"`
	PeerLogID       uint64             `msgpack:"kr,omitempty"`
	PeerLogReceived uint64             `msgpack:"k,omitempty"`
}

type prodForwardCall struct {
	Body []byte `msgpack:"b"`
}

type prodForwardReply struct {
	Code int    `msgpack:"c"`
	Body []byte `msgpack:"b"`
}

type prodMember struct {
	Node        string `cbor:"node"`
	Incarnation uint64 `cbor:"inc"`
}

type prodView struct {
	Number  uint64       `cbor:"number"`
	Members []prodMember `cbor:"members"`
	Nodes   []string     `cbor:"nodes"`
	Buckets int          `cbor:"parts"`
}

type prodSpec struct {
	UID                 string   `cbor:"uid"`
	Class               string   `cbor:"queue"`
	Team                string   `cbor:"owner"`
	Shape               string   `cbor:"shape"`
	Priority            string   `cbor:"urgency"`
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

type prodJob struct {
	Spec        prodSpec `cbor:"spec"`
	SubmittedMS int64    `cbor:"at"`
	Done        string   `cbor:"done"`
}

type prodTerminalState struct {
	Status string `cbor:"status"`
	Done   int    `cbor:"done"`
}

type prodRecordKind struct {
	_           struct{} `cbor:",toarray"`
	MachineType string
	Zone        string
	Spot        bool
}

type prodRecordResources struct {
	_            struct{} `cbor:",toarray"`
	Team         string
	CPUs         float64
	Accelerators float64
	MemoryGB     float64
}

type prodRecordJob struct {
	_         struct{} `cbor:",toarray"`
	UID       string
	Resources int
}

type prodRecordMachine struct {
	_          struct{} `cbor:",toarray"`
	ID         string
	Kind       int
	AgentEpoch uint64
	Sequence   uint64
	Runs       string
}

type prodRecordCompleted struct {
	_     struct{} `cbor:",toarray"`
	Job   int
	Tasks string
}

type prodRecord struct {
	Kinds       []prodRecordKind      `cbor:"k,omitempty"`
	Resources   []prodRecordResources `cbor:"n,omitempty"`
	Jobs        []prodRecordJob       `cbor:"j,omitempty"`
	AttemptBase uint64                `cbor:"b,omitempty"`
	Attempts    []uint64              `cbor:"t,omitempty"`
	Machines    []prodRecordMachine   `cbor:"m,omitempty"`
	Completed   []prodRecordCompleted `cbor:"d,omitempty"`
}

type prodMessagePart struct {
	View   uint64 `cbor:"v"`
	Caller int    `cbor:"c"`
	Call   uint64 `cbor:"n"`
	Part   int    `cbor:"k"`
	Parts  int    `cbor:"o"`
	Text   string `cbor:"t"`
}

// prodRecordFormats maps key prefixes to the formats of the records under them.
var prodRecordFormats = map[string]any{
	"roster/members/": prodMember{}, "roster/view": prodView{}, "jobs/": prodJob{}, "ended/": prodTerminalState{},
	"shards/": prodRecord{}, "calls/q/": prodMessagePart{}, "calls/a/": prodMessagePart{},
}

// prodMessageFormats maps paths to the formats of the call and of its reply.
var prodMessageFormats = map[string][2]any{
	"/sync": {prodSync{}, prodSyncReply{}}, "/ping": {prodPing{}, prodPing{}}, "/forward": {prodForwardCall{}, prodForwardReply{}},
}

type (
	marshaller   func(any) ([]byte, error)
	unmarshaller func([]byte, any) error
)

// roundTrip decodes data into a production format and encodes it again, as a node of that version
// would. It fails the test if data is lost.
func roundTrip(t *testing.T, what string, format any, data []byte, marshal marshaller, unmarshal unmarshaller) []byte {
	t.Helper()
	value := reflect.New(reflect.TypeOf(format))
	if err := unmarshal(data, value.Interface()); err != nil {
		t.Errorf("%s: production version cannot decode it: %v", what, err)
		return data
	}
	out, err := marshal(value.Elem().Interface())
	if err != nil {
		t.Errorf("%s: encoding in the production format: %v", what, err)
		return data
	}
	if !bytes.Equal(data, out) {
		var before, after any
		if unmarshal(data, &before) == nil && unmarshal(out, &after) == nil && !cmp.Equal(before, after) {
			t.Errorf("%s: production version loses data (-before +after): %s", what, cmp.Diff(before, after))
		}
	}
	return out
}

func roundTripRecord(t *testing.T, key string, data []byte) []byte {
	t.Helper()
	for prefix, format := range prodRecordFormats {
		if strings.HasPrefix(key, prefix) {
			return roundTrip(t, key, format, data, protocol.Marshal, protocol.Unmarshal)
		}
	}
	return data
}

func roundTripMessage(t *testing.T, what string, format any, data []byte) []byte {
	t.Helper()
	return roundTrip(t, what, format, data, msgpack.Marshal, msgpack.Unmarshal)
}

// TestProductionFormatsRoundTrip checks that the formats above reproduce the bytes that the production
// version wrote.
func TestProductionFormatsRoundTrip(t *testing.T) {
	for name, format := range map[string]any{
		"member": prodMember{}, "view": prodView{}, "job": prodJob{}, "ended": prodTerminalState{}, "shard": prodRecord{}, "letter": prodMessagePart{},
		"sync": prodSync{}, "syncreply": prodSyncReply{}, "ping": prodPing{}, "forward": prodForwardCall{}, "forwardreply": prodForwardReply{},
	} {
		golden, err := os.ReadFile(filepath.Join("..", "peer", "testdata", "production", name))
		if err != nil {
			t.Fatal(err)
		}
		marshal, unmarshal := marshaller(msgpack.Marshal), unmarshaller(msgpack.Unmarshal)
		if _, isRecord := map[string]bool{"member": true, "view": true, "job": true, "ended": true, "shard": true, "letter": true}[name]; isRecord {
			marshal, unmarshal = protocol.Marshal, protocol.Unmarshal
		}
		if got := roundTrip(t, name, format, golden, marshal, unmarshal); !bytes.Equal(got, golden) {
			t.Errorf("%s: got other bytes than the production version wrote", name)
		}
	}
}
