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

	"junipershelf/divide"
	"junipershelf/job"
	"junipershelf/part"
	"junipershelf/protocol"
	"junipershelf/roster"
)

// What crosses versions: records of the state service (CBOR) and what controllers say to
// each other (msgpack). The files in testdata/production were written by this very test,
// run with GOLDEN=write in a checkout of the version that deploy/service.toml names as
// production. That version reads what stands there, so it reads what has the same bytes.
func TestProductionReadsAndIsRead(t *testing.T) {
	tasks := func(is ...int) (r job.Ranges) {
		for _, i := range is {
			r.Add(i)
		}
		return r
	}
	need := job.Need{CPUs: 2, Acc: 1, Mem: 6.4}
	spec := protocol.Spec{UID: "wk-000412", Queue: "train", Owner: "vision", Shape: "array", Urgency: "urgent", Pieces: 16, CPUs: 8, MemGB: 64,
		Bundle: "img-07", SizeGB: 6.2, Flavors: []string{"g8"}, Yard: "a", Together: true, Borrowed: true, ExpectedS: 240, SnapshotS: 30, StashS: 4, DueS: 900}
	digest := part.Digest{N: 3, Base: 2, Ver: 9, Ack: 4, Removed: []string{"i-000009"}, Gone: []string{"i-000008"}, Finished: 0.25,
		Machines: []part.State{{ID: "i-000231", Flavor: "g8", Zone: "a", Spot: true, Room: need, Usable: true, Heard: true, IdleS: -1, Images: []string{"img-07"}, Fetching: []string{"img-08"},
			Held: []part.Held{{Job: "wk-000412", Team: "vision", Need: need, Tasks: tasks(0, 1, 2, 7), Phase: part.Running, Stop: true, ForS: 12.5}}}},
		Done:   []part.DoneTask{{Task: job.Task{Job: "wk-000412", Index: 3}, RanS: 2.5}},
		Moves:  []part.Move{{Task: job.Task{Job: "wk-000412", Index: 4}, To: "i-000232"}},
		Faults: []part.Fault{{Task: job.Task{Job: "wk-000412", Index: 5}, Machine: "i-000233", Cause: "error"}}}
	type codec struct {
		marshal   func(any) ([]byte, error)
		unmarshal func([]byte, any) error
	}
	records, messages := codec{protocol.Marshal, protocol.Unmarshal}, codec{msgpack.Marshal, msgpack.Unmarshal}
	for _, c := range []struct {
		name string
		codec
		v any
	}{
		{"member", records, roster.Member{Node: "shelfhost-0", Inc: 7}},
		{"view", records, roster.View{Number: 4, Members: []roster.Member{{Node: "shelfhost-0", Inc: 7}}, Nodes: []string{"shelfhost-0", "shelfhost-1"}, Parts: 12}},
		{"job", records, job.Record{Spec: spec, At: 1700000000123, Done: "0-4,7"}},
		{"ended", records, job.Ended{Status: job.Cancelled, Done: 3}},
		{"shard", records, part.Record{Kinds: []part.RecKind{{Flavor: "g8", Zone: "a", Spot: true}}, Needs: []part.RecNeed{{Team: "vision", CPUs: 2, Acc: 1, Mem: 6.4}},
			Jobs: []part.RecJob{{UID: "wk-000412", Need: 0}}, Base: 1 << 30, Tries: []uint64{0, 3},
			Machines: []part.RecMachine{{ID: "i-000231", Kind: 0, Shift: 2, Tick: 88, Runs: "0.1:0-2,7;0.0@1:9"}}, Done: []part.RecDone{{Job: 0, Tasks: "3-5"}}}},
		{"letter", records, Letter{View: 4, Caller: 1, N: 3, K: 0, Of: 2, Text: "abc"}},
		{"ping", messages, Ping{Node: "shelfhost-1", View: 4, StateMS: 120, Run: 9, Head: 3, From: 1,
			Ends: []End{{UID: "wk-000412", Done: 2}, {UID: "wk-000413"}}, KnownRun: 11, Known: 4}},
		{"sync", messages, Sync{View: 4, Index: 1, Known: 6, Digest: digest}},
		{"syncreply", messages, SyncReply{View: 4, OK: true, Have: 9, Allot: []divide.Allotment{{Seq: 5, Job: "wk-000412", Tasks: tasks(8, 9), Machine: "i-000231", Group: 2}},
			Leave: []string{"i-000231"}, Drop: []string{"i-000232"}, Stop: []job.Task{{Job: "wk-000412", Index: 6}}, Known: 6, Version: 8,
			Fleet: []part.Buddy{{ID: "i-000231", Under: true, Room: need}}, FleetGone: []string{"i-000009"}, Running: map[string]int{"wk-000412": 4}, Hungry: true}},
		{"forward", messages, Forward{Body: []byte{1, 2, 3}}},
		{"forwardreply", messages, ForwardReply{Code: 200, Body: []byte{4}}},
	} {
		raw, err := c.marshal(c.v)
		if err != nil {
			t.Fatal(err)
		}
		file := filepath.Join("testdata", "production", c.name)
		if os.Getenv("GOLDEN") == "write" {
			if err := os.WriteFile(file, raw, 0o644); err != nil {
				t.Fatal(err)
			}
			continue
		}
		golden, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(raw, golden) {
			t.Errorf("%s: production would read other bytes", c.name)
		}
		back := reflect.New(reflect.TypeOf(c.v))
		if err := c.unmarshal(golden, back.Interface()); err != nil {
			t.Errorf("%s: what production writes is not read: %v", c.name, err)
			continue
		}
		ranges := cmp.Comparer(func(a, b job.Ranges) bool { return a.String() == b.String() })
		exported := cmp.FilterPath(func(p cmp.Path) bool {
			f, ok := p.Last().(cmp.StructField)
			return ok && (f.Name() == "_msgpack" || f.Name() == "_" || f.Name()[0] >= 'a' && f.Name()[0] <= 'z')
		}, cmp.Ignore())
		if d := cmp.Diff(c.v, back.Elem().Interface(), ranges, exported, cmpopts.EquateEmpty()); d != "" {
			t.Errorf("%s: production's bytes are read as something else: %s", c.name, d)
		}
	}
}
