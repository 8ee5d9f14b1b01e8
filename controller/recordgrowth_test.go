package controller_test

import (
	"fmt"
	"maps"
	"strings"
	"sync"
	"testing"
	"time"

	"junipershelf/partition"
	"junipershelf/protocol"
)

// TestRecordsGrowInMixedVersionCluster grows a fleet to many times its size while some nodes run the
// production version. Each bucket must get the records that it needs, owners of both versions read each
// other's records when partitions fail over, and no task may be lost from them. The number of records that
// a bucket needs is computed from its content, because placements vary from run to run.
func TestRecordsGrowInMixedVersionCluster(t *testing.T) {
	const valueBytes, buckets, shortTasks = 1536, 6, 60
	setup := deployment250Machines
	setup.facts = strings.NewReplacer("value_kb = 8.0", "value_kb = 1.5", "write_rps = 20.0", "write_rps = 12.0").Replace(deployment250Machines.facts)
	setup.newFacts, setup.productionNodes = setup.facts, []string{"n1"}
	runScenarioIn(t, setup, func(t *testing.T, cluster *simulatedCluster) {
		cluster.store.LowerLimits(valueBytes, 16, 1000) // the size limits in the facts
		starts := cluster.countStarts(func(task string) time.Duration {
			if uid, i, _ := protocol.ParseTaskName(task); uid == "wk-99" {
				return 40*time.Second + time.Duration(i%20)*1500*time.Millisecond // so that tasks end while partitions fail over
			}
			return 4 * time.Minute
		})
		check := func(when string) (multiRecord, completed int) {
			t.Helper()
			r := cluster.readRecords()
			r.checkMachines(when)
			return r.checkRecordCounts(when, valueBytes), r.checkTasks(when, starts)
		}
		checkGrown := func(when string, minTasks int) (completed int) {
			t.Helper()
			cluster.checkRunningTasks(when, minTasks)
			multiRecord, completed := check(when)
			if multiRecord != buckets {
				t.Errorf("%s: %d of %d buckets need more than one record, want all", when, multiRecord, buckets)
			}
			return completed
		}
		cluster.submit(longJobBody("wk-99", "red", shortTasks, 50*time.Second))
		cluster.awaitRunningTasks("before the fleet grows", shortTasks, time.Minute)
		check("before the fleet grows")
		if n := len(cluster.store.Keys(partition.ShardPrefix)); n > buckets {
			t.Errorf("%d records in %d buckets before the fleet grows, want at most one per bucket", n, buckets)
		}
		for i := range 90 {
			cluster.submit(longJobBody(fmt.Sprintf("wk-%d", i), []string{"red", "blue"}[i%2], 11, 4*time.Minute))
		}
		cluster.awaitRunningTasks("after the fleet has grown", 900, 90*time.Second)
		checkGrown("after the fleet has grown", 900)
		for _, n := range cluster.nodes {
			cluster.checkTasksDuring("after the crash of "+n, starts, 12*time.Second, func() { cluster.crash(n, 4*time.Second) })
			checkGrown("after the crash of "+n, 850)
		}
		cluster.checkTasksDuring("during the upgrade", starts, 12*time.Second, func() { cluster.upgrade("n1", 4*time.Second) })
		if completed := checkGrown("after the upgrade", 850); completed != shortTasks {
			t.Errorf("%d tasks are completed, want %d", completed, shortTasks)
		}
		if refused, _ := cluster.store.RefusedCounts(); refused > 0 {
			t.Errorf("%d transactions were refused for their size, want none", refused)
		}
		cluster.mixed.checkTranslated(t, additionalShards)
		cluster.checkInvariants(nil)
	})
}

// startCounter counts the starts of each task.
type startCounter struct {
	mu sync.Mutex
	n  map[string]int
}

// countStarts counts the starts of tasks and sets their run times.
func (c *simulatedCluster) countStarts(runTime func(task string) time.Duration) *startCounter {
	starts := &startCounter{n: map[string]int{}}
	c.cloud.RunFor = func(task string) time.Duration {
		starts.mu.Lock()
		defer starts.mu.Unlock()
		starts.n[task]++
		return runTime(task)
	}
	return starts
}

func (c *startCounter) all() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.n)
}
