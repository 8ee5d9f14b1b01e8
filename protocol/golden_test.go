package protocol_test

import (
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"

	"junipershelf/protocol"
)

// goldenFile has a line for each body: its name and its bytes in hexadecimal. The test writes
// it if GOLDEN=write is set. Lines may be added but never changed: agents, users, the cloud,
// the key-value store and other versions of the service rely on these encodings.
var goldenFile = filepath.Join("testdata", "bodies.hex")

// storedValue is the encoded value of a key.
var storedValue = cbor.RawMessage{0xa1, 0x61, 'n', 0x07}

var fullJobSpec = protocol.JobSpec{
	UID: "wk-000412", Class: "train", Team: "vision", Shape: "group", Priority: "urgent", Tasks: 16,
	CPUs: 8, Accelerators: 0.5, MemGB: 64, Image: "img-07", ImageGB: 6.2, MachineTypes: []string{"g8", "g16"}, Zone: "a",
	SameZone: true, SpotAllowed: true, ExpectedS: 240, CheckpointIntervalS: 30, CheckpointDurationS: 4.5, DeadlineS: 900,
}

// bodies lists the bodies with all of their fields set, and with the optional fields left out.
var bodies = []struct {
	name  string
	value any
}{
	{"error", protocol.ErrorBody{Error: "no such job"}},
	{"job spec", fullJobSpec},
	{"job spec, optional fields unset", protocol.JobSpec{UID: "wk-1", Class: "q", Team: "red", Shape: "array", Priority: "normal", Tasks: 1, SpreadZones: true}},
	{"job status", protocol.JobStatus{UID: "wk-1", Status: "running", Done: new(0), Running: new(7)}},
	{"job status, counts unknown", protocol.JobStatus{UID: "wk-1", Status: "pending"}},
	{"heartbeat reply", protocol.HeartbeatReply{FencingToken: 4, Commands: []protocol.Command{
		{Kind: protocol.CommandForget, Task: "wk-1/0", Attempt: 1 << 40},
		{Kind: protocol.CommandStop, Task: "wk-1/1", Attempt: 2, GraceS: new(2.5)},
		{Kind: protocol.CommandStart, Task: "wk-1/2", Attempt: 3},
	}}},
	{"heartbeat reply, no commands", protocol.HeartbeatReply{FencingToken: 4, Commands: []protocol.Command{}}},
	{"redirect", protocol.Redirect{Owner: "shelfhost-1"}},
	{"redirect, owner unknown", protocol.Redirect{}},
	{"direct commands", protocol.DirectCommands{FencingToken: 4, AgentEpoch: 9, Commands: []protocol.Command{
		{Kind: protocol.CommandStop, Task: "wk-1/1", Attempt: 2, GraceS: new(0.0)},
	}}},
	{"reported task", protocol.ReportedTask{Task: "wk-1/1", Attempt: 2, Status: protocol.TaskEnded, Cause: protocol.CauseStopped, Checkpointed: true}},
	{"catalogue", protocol.Catalogue{MachineTypes: []protocol.MachineType{{
		Name: "g8", CPUs: 8, Accelerators: 1, MemGB: 64, CacheGB: 100, PullGBPerS: 0.5, Price: 2.5, SpotPrice: 0.75, BootS: 40, Zones: []string{"a", "b"},
	}}}},
	{"scale out request", protocol.ScaleOutRequest{IdempotencyKey: "a-4-1", MachineType: "g8", Zone: "a", Spot: true, Count: 50}},
	{"machine ids", protocol.MachineIDs{IDs: []string{"i-000001", "i-000002"}}},
	{"machine list", protocol.MachineList{HasNext: true, Machines: []protocol.CloudMachine{
		{ID: "i-000001", Endpoint: "10.1.0.1:9000", MachineType: "g8", Zone: "a", Spot: true, Status: "running", AgeS: 12.5},
	}}},
	{"entry list", protocol.EntryList{HasNext: true, StoreRevision: 99, Entries: []protocol.Entry{{Key: "jobs/wk-1", Data: storedValue, Revision: 12}}}},
	{"transaction", protocol.Transaction{Guards: []protocol.Guard{{Key: "roster/view", Revision: 12}, {Key: "jobs/wk-1"}}, Changes: []protocol.Change{
		{PutKey: "jobs/wk-1", Data: storedValue},
		{PutKey: "roster/members/a", Data: storedValue, LeaseID: 7},
		{DeleteKey: "jobs/wk-2"},
	}}},
	{"transaction reply", protocol.TransactionReply{FailedGuards: []string{"roster/view"}, StoreRevision: 99}},
	{"lease request", protocol.Lease{TTLMS: 3000}},
	{"lease", protocol.Lease{ID: 7}},
	{"watch reply", protocol.WatchReply{StoreRevision: 99, Events: []protocol.Event{
		{PutKey: "jobs/wk-1", Data: storedValue, Revision: 98},
		{DeleteKey: "jobs/wk-2", Data: cbor.RawMessage{0xf6}, Revision: 99},
	}}},
}

// readGolden returns the bytes in the golden file by the name of the body.
func readGolden(t *testing.T) map[string][]byte {
	t.Helper()
	text, err := os.ReadFile(goldenFile)
	if err != nil {
		t.Fatal(err)
	}
	golden := map[string][]byte{}
	for line := range strings.Lines(string(text)) {
		name, digits, _ := strings.Cut(strings.TrimSpace(line), ": ")
		if golden[name], err = hex.DecodeString(digits); err != nil {
			t.Fatalf("%s: %v", name, err)
		}
	}
	return golden
}

// writeGolden replaces the golden file with the current encodings.
func writeGolden(t *testing.T) {
	t.Helper()
	var text strings.Builder
	for _, body := range bodies {
		raw, err := protocol.Marshal(body.value)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&text, "%s: %x\n", body.name, raw)
	}
	if err := os.WriteFile(goldenFile, []byte(text.String()), 0o600); err != nil {
		t.Fatal(err)
	}
}

// diagnose returns a body in CBOR's diagnostic notation, for failure messages.
func diagnose(raw []byte) string {
	text, err := cbor.Diagnose(raw)
	if err != nil {
		return fmt.Sprintf("%x", raw)
	}
	return text
}

func TestBodiesAreEncodedAsInTheGoldenFile(t *testing.T) {
	if os.Getenv("GOLDEN") == "write" {
		writeGolden(t)
	}
	golden := readGolden(t)
	if len(golden) != len(bodies) {
		t.Errorf("%d bodies in the golden file, want %d", len(golden), len(bodies))
	}
	for _, body := range bodies {
		t.Run(body.name, func(t *testing.T) {
			raw, err := protocol.Marshal(body.value)
			if err != nil {
				t.Fatal(err)
			}
			if string(raw) != string(golden[body.name]) {
				t.Errorf("encoded as %s, want %s", diagnose(raw), diagnose(golden[body.name]))
			}
		})
	}
}

func TestBodiesAreDecodedFromTheGoldenFile(t *testing.T) {
	golden := readGolden(t)
	for _, body := range bodies {
		t.Run(body.name, func(t *testing.T) {
			decoded := reflect.New(reflect.TypeOf(body.value))
			if err := protocol.Unmarshal(golden[body.name], decoded.Interface()); err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(body.value, decoded.Elem().Interface()); diff != "" {
				t.Errorf("decoded differently (-want +got):\n%s", diff)
			}
		})
	}
}

func TestUnknownFieldsAreIgnored(t *testing.T) {
	raw, err := protocol.Marshal(map[string]any{"foreman": "shelfhost-1", "colour": "red"})
	if err != nil {
		t.Fatal(err)
	}
	var redirect protocol.Redirect
	if err := protocol.Unmarshal(raw, &redirect); err != nil || redirect.Owner != "shelfhost-1" {
		t.Errorf("got %+v, error %v", redirect, err)
	}
}

func TestBodiesThatAreNotMapsAreRejected(t *testing.T) {
	for _, c := range []struct {
		name string
		raw  []byte
	}{
		{"empty", nil},
		{"number", []byte{0x07}},
		{"array", []byte{0x80}},
		{"null", []byte{0xf6}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var body protocol.ErrorBody
			if err := protocol.Unmarshal(c.raw, &body); err == nil || err.Error() != "body is not a map" {
				t.Errorf("error %v, want body is not a map", err)
			}
		})
	}
}

func TestPutAddsTheEncodedValue(t *testing.T) {
	var transaction protocol.Transaction
	if err := transaction.Put("jobs/wk-1", map[string]int{"n": 7}); err != nil {
		t.Fatal(err)
	}
	want := []protocol.Change{{PutKey: "jobs/wk-1", Data: storedValue}}
	if diff := cmp.Diff(want, transaction.Changes); diff != "" {
		t.Errorf("wrong changes (-want +got):\n%s", diff)
	}
	if err := transaction.Put("jobs/wk-2", func() {}); err == nil || len(transaction.Changes) != 1 {
		t.Errorf("value that cannot be encoded: error %v, changes %v", err, transaction.Changes)
	}
}
