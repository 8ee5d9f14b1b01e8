package controller_test

import (
	"fmt"
	"regexp"
	"strings"
	"testing"
	"time"

	"junipershelf/partition"
)

// TestRecordsAreSplitWhenStoreLimitsDecrease lowers the key-value store's limits during an upgrade, after it,
// or in an outage. The new settings announce the lower limits. Records written under the higher limits must be
// split, whether or not the store already enforces the lower ones, without losing a placement, and all jobs
// must complete.
func TestRecordsAreSplitWhenStoreLimitsDecrease(t *testing.T) {
	// The low write rate gives few buckets, so that their records are large.
	setup := deployment250Machines
	setup.facts = strings.Replace(deployment250Machines.facts, "write_rps = 20.0", "write_rps = 12.0", 1)
	next := strings.Replace(setup.facts, "txn_ops = 16", "txn_ops = 16\n[facts.state.next]\nvalue_kb = 2.0\ntxn_ops = 5\nwrite_rps = 10.0", 1)
	for name, reduction := range map[string]storeLimitsReduction{
		"after the upgrade":  {after: 30 * time.Second},
		"during the upgrade": {after: 2 * time.Second},
		"in an outage":       {after: 20 * time.Second, outage: true},
	} {
		t.Run(strings.ReplaceAll(name, " ", "-"), func(t *testing.T) {
			runScenarioIn(t, setup, func(t *testing.T, cluster *simulatedCluster) {
				jobs := cluster.submitLargeRecordJobs()
				time.Sleep(50 * time.Second)
				before := cluster.store.LargestValue(partition.ShardPrefix)
				if before <= 2048 {
					t.Errorf("largest record has %d bytes, want more than 2048 so that it must be split", before)
				}
				cluster.deployment.facts = next
				go reduction.apply(cluster)
				for _, n := range cluster.nodes {
					cluster.crash(n, 2*time.Second)
					time.Sleep(4 * time.Second)
				}
				time.Sleep(time.Minute)
				if n := cluster.store.LargestValue(partition.ShardPrefix); n > 2048 {
					t.Errorf("largest record has %d bytes a minute after the upgrade, want at most 2048", n)
				}
				cluster.awaitAllDone(jobs, 15*time.Minute)
				if cluster.store.RefusedForSize > 60 {
					t.Errorf("%d transactions were refused for their size, want at most 60", cluster.store.RefusedForSize)
				}
				t.Logf("largest record before the upgrade: %d bytes; transactions refused for their size: %d", before, cluster.store.RefusedForSize)
			})
		})
	}
}

// storeLimitsReduction lowers the key-value store's limits during or after an upgrade.
type storeLimitsReduction struct {
	after  time.Duration // since the start of the upgrade
	outage bool          // during an outage of the store
}

func (f storeLimitsReduction) apply(cluster *simulatedCluster) {
	time.Sleep(f.after)
	if f.outage {
		cluster.store.SetOutage(func(string) bool { return true })
		time.Sleep(5 * time.Second)
	}
	cluster.store.LowerLimits(2048, 5, 10)
	if f.outage {
		cluster.store.SetOutage(nil)
	}
}

// submitLargeRecordJobs submits jobs with enough tasks for large shard records.
func (c *simulatedCluster) submitLargeRecordJobs() map[string]int {
	c.cloud.RunFor = func(task string) time.Duration { return time.Duration(20+10*len(task)%30) * time.Second }
	jobs := map[string]int{}
	for i := range 40 {
		uid := fmt.Sprintf("wk-%d", i+1)
		jobs[uid] = 60
		c.submit(jobBody(uid, []string{"red", "blue"}[i%2], 60))
	}
	return jobs
}

// TestRateAdaptsWhenStoreRatesFall lowers the key-value store's rates below the settings while jobs run. The
// controllers must adapt their rate to the refusals, so that these stay few, and all jobs must complete.
func TestRateAdaptsWhenStoreRatesFall(t *testing.T) {
	runScenarioIn(t, deployment250Machines, func(t *testing.T, cluster *simulatedCluster) {
		jobs := map[string]int{}
		for i := range 12 {
			uid := fmt.Sprintf("wk-%d", i+1)
			jobs[uid] = 30
			cluster.submit(jobBody(uid, []string{"red", "blue"}[i%2], 30))
		}
		time.Sleep(15 * time.Second)
		cluster.store.LowerLimits(8192, 16, 3)
		time.Sleep(15 * time.Second)
		_, before := cluster.store.RefusedCounts()
		time.Sleep(30 * time.Second)
		if _, after := cluster.store.RefusedCounts(); after-before > 45 {
			t.Errorf("%d calls refused in 30 s at 3 changes per second, want at most 45", after-before)
		}
		cluster.awaitAllDone(jobs, 15*time.Minute)
		if !regexp.MustCompile(`granted_changes=0\.`).MatchString(cluster.log.String()) {
			t.Error("the log shows no granted rate below one change per second")
		}
	})
}
