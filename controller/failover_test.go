package controller_test

import (
	"strings"
	"testing"
	"time"

	"junipershelf/partition"
	"junipershelf/protocol"
)

// undecodableRecord returns a CBOR map, as the key-value store requires, that is no valid record.
func undecodableRecord(t *testing.T) []byte {
	t.Helper()
	raw, err := protocol.Marshal(map[string]any{"colour": 7})
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// TestNoStartsWhileShardRecordsAreUndecodable guards against treating an undecodable shard record as empty:
// neither the current owner nor the owner in a later view may start its tasks again. The log must name the
// record, and placement resumes when it is decodable again.
func TestNoStartsWhileShardRecordsAreUndecodable(t *testing.T) {
	runScenario(t, func(t *testing.T, cluster *simulatedCluster) {
		cluster.cloud.RunFor = func(string) time.Duration { return 40 * time.Second }
		cluster.submit(jobBody("wk-1", "blue", 16))
		time.Sleep(25 * time.Second)
		shards := cluster.store.Keys(partition.ShardPrefix)
		if len(shards) == 0 || cluster.cloud.ActiveTasks("wk-1") == 0 {
			t.Fatal("no tasks are placed")
		}
		intact := map[string][]byte{}
		for _, key := range shards {
			intact[key] = cluster.store.ReplaceValue(key, undecodableRecord(t))
		}
		starts := 0
		cluster.cloud.WithLock(func() { starts = cluster.cloud.Starts })
		cluster.submit(jobBody("wk-2", "red", 4)) // something to commit
		time.Sleep(4 * time.Second)
		cluster.crash(cluster.nodes[0], time.Second)
		time.Sleep(5 * time.Second)
		cluster.cloud.WithLock(func() {
			if cluster.cloud.Starts != starts {
				t.Errorf("%d starts while the records are undecodable, want none", cluster.cloud.Starts-starts)
			}
		})
		for key, data := range intact {
			cluster.store.ReplaceValue(key, data)
			if !strings.Contains(cluster.log.String(), "source="+key) {
				t.Errorf("the log does not name %s", key)
			}
		}
		cluster.awaitAllDone(map[string]int{"wk-1": 16, "wk-2": 4}, 5*time.Minute)
	})
}
