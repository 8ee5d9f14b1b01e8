package peer

import (
	"bytes"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/vmihailenco/msgpack/v5"

	"junipershelf/job"
	"junipershelf/membership"
	"junipershelf/partition"
	"junipershelf/protocol"
	"junipershelf/scheduler"
)

// Different versions exchange records in the key-value store (CBOR) and messages between
// controllers (msgpack). The files in testdata/production were written by this test, run with
// GOLDEN=write in a checkout of the version that deploy/service.toml names as production. That
// version can decode these files, and therefore any value that is encoded to the same bytes.
func TestEncodingsAreThoseOfProduction(t *testing.T) {
	tasks := func(indices ...int) (ranges job.Ranges) {
		for _, index := range indices {
			ranges.Add(index)
		}
		return ranges
	}
	resources := job.Resources{CPUs: 2, Accelerators: 1, MemoryGB: 6.4}
	spec := protocol.JobSpec{
		UID: "wk-000412", Class: "train", Team: "vision", Shape: "array", Priority: "urgent", Tasks: 16, CPUs: 8, MemGB: 64,
		Image: "img-07", ImageGB: 6.2, MachineTypes: []string{"g8"}, Zone: "a", SameZone: true, SpotAllowed: true, ExpectedS: 240, CheckpointIntervalS: 30, CheckpointDurationS: 4, DeadlineS: 900,
	}
	update := partition.Update{
		Sequence: 3, BaseVersion: 2, Version: 9, AckedAssignment: 4, Removed: []string{"i-000009"}, Terminated: []string{"i-000008"}, CompletedFill: 0.25,
		Machines: []partition.MachineState{{
			ID: "i-000231", MachineType: "g8", Zone: "a", Spot: true, Free: resources, Usable: true, Reported: true, IdleS: -1, Images: []string{"img-07"}, Fetching: []string{"img-08"},
			Held: []partition.HeldTasks{{Job: "wk-000412", Team: "vision", Resources: resources, Tasks: tasks(0, 1, 2, 7), Phase: partition.PhaseRunning, Stopping: true, PhaseS: 12.5}},
		}},
		Completed: []partition.CompletedTask{{Task: job.Task{Job: "wk-000412", Index: 3}, RunS: 2.5}},
		Forwards:  []partition.ForwardRequest{{Task: job.Task{Job: "wk-000412", Index: 4}, To: "i-000232"}},
		Failures:  []partition.Failure{{Task: job.Task{Job: "wk-000412", Index: 5}, Machine: "i-000233", Cause: "error"}},
	}
	records, messages := codec{protocol.Marshal, protocol.Unmarshal}, codec{msgpack.Marshal, msgpack.Unmarshal}
	for _, c := range []struct {
		name string
		codec
		v any
	}{
		{"member", records, membership.Member{Node: "shelfhost-0", Incarnation: 7}},
		{"view", records, membership.View{Number: 4, Members: []membership.Member{{Node: "shelfhost-0", Incarnation: 7}}, Nodes: []string{"shelfhost-0", "shelfhost-1"}, Buckets: 12}},
		{"job", records, job.Record{Spec: spec, SubmittedMS: 1700000000123, Done: "0-4,7"}},
		{"ended", records, job.TerminalState{Status: job.StatusCancelled, Done: 3}},
		{"shard", records, partition.Record{
			Kinds: []partition.RecordKind{{MachineType: "g8", Zone: "a", Spot: true}}, Resources: []partition.RecordResources{{Team: "vision", CPUs: 2, Accelerators: 1, MemoryGB: 6.4}},
			Jobs: []partition.RecordJob{{UID: "wk-000412", Resources: 0}}, AttemptBase: 1 << 30, Attempts: []uint64{0, 3},
			Machines: []partition.RecordMachine{{ID: "i-000231", Kind: 0, AgentEpoch: 2, Sequence: 88, Runs: "0.1:0-2,7;0.0@1:9"}}, Completed: []partition.RecordCompleted{{Job: 0, Tasks: "3-5"}},
		}},
		{"letter", records, MessagePart{View: 4, Caller: 1, Call: 3, Part: 0, Parts: 2, Text: "abc"}},
		{"ping", messages, Ping{
			Node: "shelfhost-1", View: 4, StoreSilentMS: 120, LogID: 9, LogEnd: 3, LogFrom: 1,
			Cancellations: []Cancellation{{UID: "wk-000412", Done: 2}, {UID: "wk-000413"}}, PeerLogID: 11, PeerLogReceived: 4,
		}},
		{"sync", messages, Sync{View: 4, Index: 1, FleetVersion: 6, Update: update}},
		{"syncreply", messages, SyncReply{
			View: 4, OK: true, UpdateVersion: 9, Assignments: []scheduler.Assignment{{Seq: 5, Job: "wk-000412", Tasks: tasks(8, 9), Machine: "i-000231", Gang: 2}},
			Evict: []string{"i-000231"}, Terminate: []string{"i-000232"}, Stop: []job.Task{{Job: "wk-000412", Index: 6}}, FleetBase: 6, FleetVersion: 8,
			Fleet: []partition.FleetMachine{{ID: "i-000231", Underloaded: true, FreeResources: resources}}, FleetRemoved: []string{"i-000009"}, Running: map[string]int{"wk-000412": 4}, HasPlaceableWork: true,
		}},
		{"forward", messages, Forward{Body: []byte{1, 2, 3}}},
		{"forwardreply", messages, ForwardReply{Code: 200, Body: []byte{4}}},
	} {
		checkGolden(t, c.name, c.codec, c.v)
	}
}

// codec encodes and decodes records or messages.
type codec struct {
	marshal   func(any) ([]byte, error)
	unmarshal func([]byte, any) error
}

// checkGolden checks that a value is encoded to the bytes of the golden file with its name, and
// that these are decoded to the value.
func checkGolden(t *testing.T, name string, c codec, v any) {
	t.Helper()
	raw, err := c.marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join("testdata", "production", name)
	if os.Getenv("GOLDEN") == "write" {
		if err := os.WriteFile(file, raw, 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	golden, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(raw, golden) {
		t.Errorf("%s: encoded to %x, want %x", name, raw, golden)
	}
	decoded := reflect.New(reflect.TypeOf(v))
	if err := c.unmarshal(golden, decoded.Interface()); err != nil {
		t.Errorf("%s: golden file cannot be decoded: %v", name, err)
		return
	}
	equalRanges := cmp.Comparer(func(a, b job.Ranges) bool { return a.String() == b.String() })
	ignoreUnexported := cmp.FilterPath(func(p cmp.Path) bool {
		f, ok := p.Last().(cmp.StructField)
		return ok && (f.Name() == "_msgpack" || f.Name() == "_" || f.Name()[0] >= 'a' && f.Name()[0] <= 'z')
	}, cmp.Ignore())
	if diff := cmp.Diff(v, decoded.Elem().Interface(), equalRanges, ignoreUnexported, cmpopts.EquateEmpty()); diff != "" {
		t.Errorf("%s: golden file decoded differently (-want +got):\n%s", name, diff)
	}
}
