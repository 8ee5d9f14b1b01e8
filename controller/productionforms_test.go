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

// The messages and records of the production version (deploy/service.toml), independent of the
// service's types, so that these stay as that version has them whatever becomes of those.
// TestProductionFormsAreReadAndWrittenToTheByte compares them with the bytes that it wrote.

type prodTask struct {
	//lint:ignore U1000 the msgpack library reads the tag of this field
	_msgpack struct{} `msgpack:",as_array"`
	Job      string
	Index    int
}

type prodNeed struct {
	//lint:ignore U1000 the msgpack library reads the tag of this field
	_msgpack struct{} `msgpack:",as_array"`
	CPUs     float64
	Acc      float64
	Mem      float64
}

type prodHeld struct {
	//lint:ignore U1000 the msgpack library reads the tag of this field
	_msgpack struct{} `msgpack:",as_array"`
	Job      string
	Team     string
	Need     prodNeed
	Tasks    string
	Phase    int
	Stop     bool
	ForS     float64
}

type prodState struct {
	//lint:ignore U1000 the msgpack library reads the tag of this field
	_msgpack struct{} `msgpack:",as_array"`
	ID       string
	Flavor   string
	Zone     string
	Spot     bool
	Room     prodNeed
	Usable   bool
	Heard    bool
	Leaving  bool
	Warned   bool
	IdleS    float64
	Images   []string
	Fetching []string
	Held     []prodHeld
}

type prodDone struct {
	//lint:ignore U1000 the msgpack library reads the tag of this field
	_msgpack struct{} `msgpack:",as_array"`
	Task     prodTask
	RanS     float64
}

type prodMove struct {
	//lint:ignore U1000 the msgpack library reads the tag of this field
	_msgpack struct{} `msgpack:",as_array"`
	Task     prodTask
	To       string
}

type prodFault struct {
	//lint:ignore U1000 the msgpack library reads the tag of this field
	_msgpack struct{} `msgpack:",as_array"`
	Task     prodTask
	Machine  string
	Cause    string
}

type prodDigest struct {
	//lint:ignore U1000 the msgpack library reads the tag of this field
	_msgpack struct{} `msgpack:",as_array"`
	N        uint64
	Base     uint64
	Ver      uint64
	Ack      uint64
	Machines []prodState
	Removed  []string
	Done     []prodDone
	Moves    []prodMove
	Faults   []prodFault
	Gone     []string
	Finished float64
}

type prodSync struct {
	//lint:ignore U1000 the msgpack library reads the tag of this field
	_msgpack struct{} `msgpack:",as_array"`
	View     uint64
	Index    int
	Known    uint64
	Digest   prodDigest
}

type prodAllotment struct {
	//lint:ignore U1000 the msgpack library reads the tag of this field
	_msgpack struct{} `msgpack:",as_array"`
	Seq      uint64
	Job      string
	Tasks    string
	Machine  string
	Group    uint64
}

type prodBuddy struct {
	//lint:ignore U1000 the msgpack library reads the tag of this field
	_msgpack struct{} `msgpack:",as_array"`
	ID       string
	Under    bool
	Room     prodNeed
}

type prodSyncReply struct {
	//lint:ignore U1000 the msgpack library reads the tag of this field
	_msgpack  struct{} `msgpack:",as_array"`
	View      uint64
	OK        bool
	Have      uint64
	Allot     []prodAllotment
	Leave     []string
	Drop      []string
	Stop      []prodTask
	Known     uint64
	Version   uint64
	Fleet     []prodBuddy
	FleetGone []string
	Running   map[string]int
	Hungry    bool
}

type prodEnd struct {
	UID  string `msgpack:"u"`
	Done int    `msgpack:"d,omitempty"`
}

type prodPing struct {
	Node     string    `msgpack:"n"`
	View     uint64    `msgpack:"v"`
	StateMS  int64     `msgpack:"s"`
	Run      uint64    `msgpack:"r,omitempty"`
	Head     uint64    `msgpack:"h,omitempty"`
	From     uint64    `msgpack:"f,omitempty"`
	Ends     []prodEnd `msgpack:"e,omitempty"`
	KnownRun uint64    `msgpack:"kr,omitempty"`
	Known    uint64    `msgpack:"k,omitempty"`
}

type prodForward struct {
	Body []byte `msgpack:"b"`
}

type prodForwardReply struct {
	Code int    `msgpack:"c"`
	Body []byte `msgpack:"b"`
}

type prodMember struct {
	Node string `cbor:"node"`
	Inc  uint64 `cbor:"inc"`
}

type prodView struct {
	Number  uint64       `cbor:"number"`
	Members []prodMember `cbor:"members"`
	Nodes   []string     `cbor:"nodes"`
	Parts   int          `cbor:"parts"`
}

type prodSpec struct {
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

type prodJob struct {
	Spec prodSpec `cbor:"spec"`
	At   int64    `cbor:"at"`
	Done string   `cbor:"done"`
}

type prodEnded struct {
	Status string `cbor:"status"`
	Done   int    `cbor:"done"`
}

type prodKind struct {
	_      struct{} `cbor:",toarray"`
	Flavor string
	Zone   string
	Spot   bool
}

type prodRecNeed struct {
	_    struct{} `cbor:",toarray"`
	Team string
	CPUs float64
	Acc  float64
	Mem  float64
}

type prodRecJob struct {
	_    struct{} `cbor:",toarray"`
	UID  string
	Need int
}

type prodRecMachine struct {
	_     struct{} `cbor:",toarray"`
	ID    string
	Kind  int
	Shift uint64
	Tick  uint64
	Runs  string
}

type prodRecDone struct {
	_     struct{} `cbor:",toarray"`
	Job   int
	Tasks string
}

type prodShard struct {
	Kinds    []prodKind       `cbor:"k,omitempty"`
	Needs    []prodRecNeed    `cbor:"n,omitempty"`
	Jobs     []prodRecJob     `cbor:"j,omitempty"`
	Base     uint64           `cbor:"b,omitempty"`
	Tries    []uint64         `cbor:"t,omitempty"`
	Machines []prodRecMachine `cbor:"m,omitempty"`
	Done     []prodRecDone    `cbor:"d,omitempty"`
}

type prodLetter struct {
	View   uint64 `cbor:"v"`
	Caller int    `cbor:"c"`
	N      uint64 `cbor:"n"`
	K      int    `cbor:"k"`
	Of     int    `cbor:"o"`
	Text   string `cbor:"t"`
}

// prodRecords has the form of the records under each prefix; the others are the cloud's own.
var prodRecords = map[string]any{
	"roster/members/": prodMember{}, "roster/view": prodView{}, "jobs/": prodJob{}, "ended/": prodEnded{},
	"shards/": prodShard{}, "calls/q/": prodLetter{}, "calls/a/": prodLetter{},
}

// prodMessages has the forms of each call and its reply.
var prodMessages = map[string][2]any{
	"/sync": {prodSync{}, prodSyncReply{}}, "/ping": {prodPing{}, prodPing{}}, "/forward": {prodForward{}, prodForwardReply{}},
}

type (
	marshaller   func(any) ([]byte, error)
	unmarshaller func([]byte, any) error
)

// throughForm decodes bytes into the production form and encodes them from it: what comes out
// is what a node of that version makes of them. It fails if anything is lost on the way.
func throughForm(t *testing.T, what string, form any, raw []byte, marshal marshaller, unmarshal unmarshaller) []byte {
	t.Helper()
	value := reflect.New(reflect.TypeOf(form))
	if err := unmarshal(raw, value.Interface()); err != nil {
		t.Errorf("%s: production cannot read it: %v", what, err)
		return raw
	}
	out, err := marshal(value.Elem().Interface())
	if err != nil {
		t.Errorf("%s: %v", what, err)
		return raw
	}
	if !bytes.Equal(raw, out) {
		var before, after any
		if unmarshal(raw, &before) == nil && unmarshal(out, &after) == nil && !cmp.Equal(before, after) {
			t.Errorf("%s: production loses something of it: %s", what, cmp.Diff(before, after))
		}
	}
	return out
}

func throughRecord(t *testing.T, key string, raw []byte) []byte {
	t.Helper()
	for prefix, form := range prodRecords {
		if strings.HasPrefix(key, prefix) {
			return throughForm(t, key, form, raw, protocol.Marshal, protocol.Unmarshal)
		}
	}
	return raw
}

func throughMessage(t *testing.T, what string, form any, raw []byte) []byte {
	t.Helper()
	return throughForm(t, what, form, raw, msgpack.Marshal, msgpack.Unmarshal)
}

// TestProductionFormsAreReadAndWrittenToTheByte: the forms above read and write what the production version
// wrote, to the byte.
func TestProductionFormsAreReadAndWrittenToTheByte(t *testing.T) {
	for name, form := range map[string]any{
		"member": prodMember{}, "view": prodView{}, "job": prodJob{}, "ended": prodEnded{}, "shard": prodShard{}, "letter": prodLetter{},
		"sync": prodSync{}, "syncreply": prodSyncReply{}, "ping": prodPing{}, "forward": prodForward{}, "forwardreply": prodForwardReply{},
	} {
		golden, err := os.ReadFile(filepath.Join("..", "peer", "testdata", "production", name))
		if err != nil {
			t.Fatal(err)
		}
		marshal, unmarshal := marshaller(msgpack.Marshal), unmarshaller(msgpack.Unmarshal)
		if _, record := map[string]bool{"member": true, "view": true, "job": true, "ended": true, "shard": true, "letter": true}[name]; record {
			marshal, unmarshal = protocol.Marshal, protocol.Unmarshal
		}
		if got := throughForm(t, name, form, golden, marshal, unmarshal); !bytes.Equal(got, golden) {
			t.Errorf("%s: not the bytes of the production version", name)
		}
	}
}
