package controller_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"junipershelf/job"
	"junipershelf/partition"
	"junipershelf/protocol"
)

// garbage is a map, as the state service demands, that is no record of ours.
func garbage(t *testing.T) []byte {
	t.Helper()
	raw, err := protocol.Marshal(map[string]any{"colour": 7})
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// A record of placements that cannot be decoded is named in the log and never taken as
// empty: what stands in it is not started a second time, neither by its owner nor by the
// owner of a later view, and work goes on once it can be read again.
func TestUndecodableShard(t *testing.T) {
	play(t, func(t *testing.T, d *day) {
		d.cloud.RunFor = func(string) time.Duration { return 40 * time.Second }
		d.submit(spec("wk-1", "blue", 16))
		time.Sleep(25 * time.Second)
		shards := d.store.Keys(partition.ShardPrefix)
		if len(shards) == 0 || d.cloud.Active("wk-1") == 0 {
			t.Fatal("nothing is placed")
		}
		was := map[string][]byte{}
		for _, key := range shards {
			was[key] = d.store.Swap(key, garbage(t))
		}
		starts := 0
		d.cloud.Lock(func() { starts = d.cloud.Starts })
		d.submit(spec("wk-2", "red", 4)) // something to commit
		time.Sleep(4 * time.Second)
		d.crash(d.nodes[0], time.Second)
		time.Sleep(5 * time.Second)
		d.cloud.Lock(func() {
			if d.cloud.Starts != starts {
				t.Errorf("%d starts while the records cannot be read", d.cloud.Starts-starts)
			}
		})
		for key, data := range was {
			d.store.Swap(key, data)
			if !strings.Contains(d.log.String(), "source="+key) {
				t.Errorf("%s is not named in the log", key)
			}
		}
		d.finish(map[string]int{"wk-1": 16, "wk-2": 4}, 5*time.Minute)
	})
}

// A job whose record cannot be decoded stays known: polls are told to come back, its tasks
// run on, and it goes on once the record can be read.
func TestUndecodableJob(t *testing.T) {
	play(t, func(t *testing.T, d *day) {
		d.cloud.RunFor = func(string) time.Duration { return 60 * time.Second }
		d.submit(spec("wk-1", "blue", 6))
		time.Sleep(25 * time.Second)
		was := d.store.Swap(job.Key("wk-1"), garbage(t))
		for _, n := range d.nodes { // nobody remembers it
			d.crash(n, 100*time.Millisecond)
		}
		time.Sleep(6 * time.Second)
		if code, _ := d.at(d.nodes[1], "GET", "/api/jobs/wk-1", map[string]any{}); code != http.StatusServiceUnavailable {
			t.Errorf("a poll of a job that cannot be read: %d", code)
		}
		if n := d.cloud.Active("wk-1"); n != 6 {
			t.Errorf("%d of 6 tasks are left", n)
		}
		if !strings.Contains(d.log.String(), "source="+job.Key("wk-1")) {
			t.Error("the record is not named in the log")
		}
		d.store.Swap(job.Key("wk-1"), was)
		d.finish(map[string]int{"wk-1": 6}, 5*time.Minute)
	})
}
