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

// TestRecordsGrowInMixedVersionCluster grows a fleet to many times its size beside the version in
// production, without a stop: each bucket gets the records that it needs, old and new owners read each other's
// as partitions fail over, no task is lost from them, and no invariant is violated. What a bucket needs is
// computed from its content, since which task is placed on which machine varies from run to run.
func TestRecordsGrowInMixedVersionCluster(t *testing.T) {
	const value, buckets, shortTasks = 1536, 6, 60
	setup := deployment250Machines
	setup.facts = strings.NewReplacer("value_kb = 8.0", "value_kb = 1.5", "write_rps = 20.0", "write_rps = 12.0").Replace(deployment250Machines.facts)
	setup.newFacts, setup.productionNodes = setup.facts, []string{"n1"}
	runScenarioIn(t, setup, func(t *testing.T, cluster *simulatedCluster) {
		cluster.store.LowerLimits(value, 16, 1000) // it refuses what is larger than the facts say
		starts := cluster.countStarts(func(task string) time.Duration {
			if uid, i, _ := protocol.ParseTaskName(task); uid == "wk-99" {
				return 40*time.Second + time.Duration(i%20)*1500*time.Millisecond // they end as partitions fail over
			}
			return 4 * time.Minute
		})
		check := func(when string) (grown, finished int) {
			t.Helper()
			r := cluster.readRecords()
			r.checkMachines(when)
			return r.checkRecordCounts(when, value), r.checkTasks(when, starts)
		}
		checkGrown := func(when string, least int) (finished int) {
			t.Helper()
			cluster.checkRunningTasks(when, least)
			grown, finished := check(when)
			if grown != buckets {
				t.Errorf("%s: %d of %d buckets need more than one record", when, grown, buckets)
			}
			return finished
		}
		cluster.submit(longJobBody("wk-99", "red", shortTasks, 50*time.Second))
		cluster.awaitRunningTasks("before the fleet grows", shortTasks, time.Minute)
		check("before the fleet grows")
		if n := len(cluster.store.Keys(partition.ShardPrefix)); n > buckets {
			t.Errorf("%d records in %d buckets before the fleet grows", n, buckets)
		}
		for i := range 90 {
			cluster.submit(longJobBody(fmt.Sprintf("wk-%d", i), []string{"red", "blue"}[i%2], 11, 4*time.Minute))
		}
		cluster.awaitRunningTasks("once it has grown", 900, 90*time.Second)
		checkGrown("once it has grown", 900)
		for _, n := range cluster.nodes {
			cluster.checkTasksDuring("after the end of "+n, starts, 12*time.Second, func() { cluster.crash(n, 4*time.Second) })
			checkGrown("after the end of "+n, 850)
		}
		cluster.checkTasksDuring("in the upgrade", starts, 12*time.Second, func() { cluster.upgrade("n1", 4*time.Second) })
		if finished := checkGrown("after the upgrade", 850); finished != shortTasks {
			t.Errorf("%d tasks are finished, not %d", finished, shortTasks)
		}
		if refused, _ := cluster.store.RefusedCounts(); refused > 0 {
			t.Errorf("%d transactions were over the limits for their size", refused)
		}
		cluster.mixed.checkTranslated(t, additionalShards)
		cluster.checkInvariants(nil)
	})
}

// startCounter counts how often each task began to run.
type startCounter struct {
	mu sync.Mutex
	n  map[string]int
}

// countStarts sets how long tasks run, by f, and counts their starts.
func (c *simulatedCluster) countStarts(f func(task string) time.Duration) *startCounter {
	starts := &startCounter{n: map[string]int{}}
	c.cloud.RunFor = func(task string) time.Duration {
		starts.mu.Lock()
		defer starts.mu.Unlock()
		starts.n[task]++
		return f(task)
	}
	return starts
}

func (c *startCounter) all() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.n)
}
