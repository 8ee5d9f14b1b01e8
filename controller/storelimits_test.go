package controller_test

import (
	"fmt"
	"regexp"
	"strings"
	"testing"
	"time"

	"junipershelf/partition"
)

// TestRecordsAreSplitWhenStoreLimitsDecrease lowers the key-value store's limits after an upgrade, during it, and in
// an outage: records that an earlier version wrote under the larger ones are split before or after, no
// placement is lost, and all jobs complete.
func TestRecordsAreSplitWhenStoreLimitsDecrease(t *testing.T) {
	setup := deployment250Machines // with so few changes that its parts are few and their records large
	setup.facts = strings.Replace(deployment250Machines.facts, "write_rps = 20.0", "write_rps = 12.0", 1)
	next := strings.Replace(setup.facts, "txn_ops = 16", "txn_ops = 16\n[facts.state.next]\nvalue_kb = 2.0\ntxn_ops = 5\nwrite_rps = 10.0", 1)
	for name, fall := range map[string]storeLimitsReduction{
		"after the upgrade": {after: 30 * time.Second},
		"during it":         {after: 2 * time.Second},
		"in an outage":      {after: 20 * time.Second, outage: true},
	} {
		t.Run(strings.ReplaceAll(name, " ", "-"), func(t *testing.T) {
			runScenarioIn(t, setup, func(t *testing.T, cluster *simulatedCluster) {
				jobs := cluster.submitLargeRecordJobs()
				time.Sleep(50 * time.Second)
				before := cluster.store.LargestValue(partition.ShardPrefix)
				if before <= 2048 {
					t.Errorf("the largest record has %d bytes: there is nothing to split", before)
				}
				cluster.deployment.facts = next
				go fall.apply(cluster)
				for _, n := range cluster.nodes {
					cluster.crash(n, 2*time.Second)
					time.Sleep(4 * time.Second)
				}
				time.Sleep(time.Minute)
				if n := cluster.store.LargestValue(partition.ShardPrefix); n > 2048 {
					t.Errorf("a record has %d bytes a minute after the upgrade", n)
				}
				cluster.awaitAllDone(jobs, 15*time.Minute)
				if cluster.store.RefusedForSize > 60 {
					t.Errorf("%d transactions were refused for their size", cluster.store.RefusedForSize)
				}
				t.Logf("largest record %d before; refused %d", before, cluster.store.RefusedForSize)
			})
		})
	}
}

// storeLimitsReduction is when the key-value store's limits are lowered, counted from the start of an upgrade,
// and whether that is in the middle of an outage.
type storeLimitsReduction struct {
	after  time.Duration
	outage bool
}

// apply lowers the limits at that time.
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

// submitLargeRecordJobs submits jobs with enough tasks to make the shard records large.
func (c *simulatedCluster) submitLargeRecordJobs() map[string]int {
	c.cloud.RunFor = func(piece string) time.Duration { return time.Duration(20+10*len(piece)%30) * time.Second }
	jobs := map[string]int{}
	for i := range 40 {
		uid := fmt.Sprintf("wk-%d", i+1)
		jobs[uid] = 60
		c.submit(jobBody(uid, []string{"red", "blue"}[i%2], 60))
	}
	return jobs
}

// TestRateAdaptsWhenStoreRatesFall lowers the rates below the settings while jobs run: the controllers learn
// the pace from the refusals, which stay few, and all jobs complete.
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
			t.Errorf("%d calls refused in 30 s of 3 changes a second", after-before)
		}
		cluster.awaitAllDone(jobs, 15*time.Minute)
		if !regexp.MustCompile(`granted_changes=0\.`).MatchString(cluster.log.String()) {
			t.Error("the lower rate is not in the log")
		}
	})
}
