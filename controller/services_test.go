package controller_test

import (
	"fmt"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"junipershelf/partition"
)

func daemon(uid, team string, pieces int) map[string]any {
	m := spec(uid, team, pieces)
	m["shape"], m["urgency"], m["expected_s"], m["borrowed"] = "daemon", "critical", 0.0, false
	return m
}

// Replicas run until their job is cancelled, and run again elsewhere when their machine
// is gone, is about to go or hangs, or when controllers end. The job is never done.
func TestReplicasRunUntilCancelled(t *testing.T) {
	play(t, func(t *testing.T, d *day) {
		u := newUsers(d)
		u.submit(spec("wk-9", "blue", 60))
		u.submit(daemon("wk-1", "blue", 4))
		scatter := daemon("wk-2", "red", 5)
		scatter["scatter"] = true
		u.submit(scatter)
		time.Sleep(25 * time.Second)
		up := func(when string) {
			t.Helper()
			d.checkReplicas(t, when, map[string]int{"wk-1": 4, "wk-2": 5})
			u.look("wk-1", daemon("wk-1", "blue", 4))
		}
		up("after the start")
		d.cloud.Reclaim(d.machineOf(t, "wk-1"))
		time.Sleep(30 * time.Second)
		up("after the loss of a machine")
		d.cloud.Pause(d.machineOf(t, "wk-2"), 40*time.Second)
		time.Sleep(40 * time.Second)
		up("after a machine hung")
		var all sync.WaitGroup
		for _, n := range d.nodes {
			all.Go(func() { d.crash(n, 2*time.Second) })
		}
		all.Wait()
		time.Sleep(15 * time.Second)
		up("after the loss of all controllers")
		time.Sleep(2 * time.Minute) // nothing else runs: no drain takes them
		up("on an idle fleet")
		starts := 0
		d.cloud.WithLock(func() { starts = d.cloud.Starts })
		time.Sleep(time.Minute)
		d.cloud.WithLock(func() {
			if d.cloud.Starts != starts {
				t.Error("replicas are moved for nothing")
			}
		})
		for _, uid := range []string{"wk-1", "wk-2"} {
			if s := u.cancel(uid, 0); s != "cancelled" {
				t.Errorf("cancellation of %s: %s", uid, s)
			}
		}
		time.Sleep(15 * time.Second)
		d.checkReplicas(t, "after the cancellations", map[string]int{"wk-1": 0, "wk-2": 0})
		u.settle(map[string]int{"wk-9": 60}, 3*time.Minute)
	})
}

// checkReplicas checks how many replicas of each job run.
func (d *day) checkReplicas(t *testing.T, when string, want map[string]int) {
	t.Helper()
	for uid, n := range want {
		if on := d.cloud.ActiveTasks(uid); on != n {
			t.Errorf("%s: %d of %d replicas of %s", when, on, n, uid)
		}
	}
}

// machineOf names a machine that runs a task of a job.
func (d *day) machineOf(t *testing.T, uid string) string {
	t.Helper()
	id := d.cloud.MachineOf(uid)
	if id == "" {
		t.Fatalf("no machine runs %s", uid)
	}
	return id
}

func TestStandingSubmissions(t *testing.T) {
	play(t, func(t *testing.T, d *day) {
		time.Sleep(3 * time.Second)
		for name, c := range map[string]struct {
			change func(m map[string]any)
			code   int
		}{
			"all within the limit":  {func(m map[string]any) { m["uid"], m["pieces"] = "wk-5", 12 }, 201},
			"all beyond the limit":  {func(m map[string]any) { m["pieces"] = 13 }, 422},
			"without expected_s":    {func(m map[string]any) { delete(m, "expected_s") }, 400},
			"expected_s below zero": {func(m map[string]any) { m["expected_s"] = -1.0 }, 400},
		} {
			m := daemon("wk-6", "red", 2)
			c.change(m)
			if code, _ := d.call("POST", "/api/jobs", m); code != c.code {
				t.Errorf("%s: %d, want %d", name, code, c.code)
			}
		}
	})
}

// The state service's limits fall after an upgrade, in the middle of it, and while it is
// out: records that an earlier version wrote under the larger ones are split before or
// after, no placement is lost, and work goes on.
func TestLimitsFall(t *testing.T) {
	w := fewer // with so few changes that its parts are few and their records large
	w.facts = strings.Replace(fewer.facts, "write_rps = 20.0", "write_rps = 12.0", 1)
	next := strings.Replace(w.facts, "txn_ops = 16", "txn_ops = 16\n[facts.state.next]\nvalue_kb = 2.0\ntxn_ops = 5\nwrite_rps = 10.0", 1)
	for name, fall := range map[string]limitsFall{
		"after the upgrade": {after: 30 * time.Second},
		"during it":         {after: 2 * time.Second},
		"in an outage":      {after: 20 * time.Second, outage: true},
	} {
		t.Run(strings.ReplaceAll(name, " ", "-"), func(t *testing.T) {
			playIn(t, w, func(t *testing.T, d *day) {
				jobs := d.submitJobsOfLargeRecords()
				time.Sleep(50 * time.Second)
				before := d.store.LargestValue(partition.ShardPrefix)
				if before <= 2048 {
					t.Errorf("the largest record has %d bytes: there is nothing to split", before)
				}
				d.world.facts = next
				go fall.happen(d)
				for _, n := range d.nodes {
					d.crash(n, 2*time.Second)
					time.Sleep(4 * time.Second)
				}
				time.Sleep(time.Minute)
				if n := d.store.LargestValue(partition.ShardPrefix); n > 2048 {
					t.Errorf("a record has %d bytes a minute after the upgrade", n)
				}
				d.finish(jobs, 15*time.Minute)
				if d.store.RefusedForSize > 60 {
					t.Errorf("%d transactions were refused for their size", d.store.RefusedForSize)
				}
				t.Logf("largest record %d before; refused %d", before, d.store.RefusedForSize)
			})
		})
	}
}

// limitsFall says when the key-value store's limits fall, counted from the start of an upgrade,
// and whether that is in the middle of an outage.
type limitsFall struct {
	after  time.Duration
	outage bool
}

// happen lets the limits fall.
func (f limitsFall) happen(d *day) {
	time.Sleep(f.after)
	if f.outage {
		d.store.SetOutage(func(string) bool { return true })
		time.Sleep(5 * time.Second)
	}
	d.store.LowerLimits(2048, 5, 10)
	if f.outage {
		d.store.SetOutage(nil)
	}
}

// submitJobsOfLargeRecords submits jobs of so many tasks that their records are large.
func (d *day) submitJobsOfLargeRecords() map[string]int {
	d.cloud.RunFor = func(piece string) time.Duration { return time.Duration(20+10*len(piece)%30) * time.Second }
	jobs := map[string]int{}
	for i := range 40 {
		uid := fmt.Sprintf("wk-%d", i+1)
		jobs[uid] = 60
		d.submit(spec(uid, []string{"red", "blue"}[i%2], 60))
	}
	return jobs
}

// The rates fall to values that the settings never named, in the middle of the work: the
// pace is learned from the refusals, which stay few, and all jobs are done.
func TestRatesFallBelowTheSettings(t *testing.T) {
	playIn(t, fewer, func(t *testing.T, d *day) {
		jobs := map[string]int{}
		for i := range 12 {
			uid := fmt.Sprintf("wk-%d", i+1)
			jobs[uid] = 30
			d.submit(spec(uid, []string{"red", "blue"}[i%2], 30))
		}
		time.Sleep(15 * time.Second)
		d.store.LowerLimits(8192, 16, 3)
		time.Sleep(15 * time.Second)
		_, before := d.store.RefusedCounts()
		time.Sleep(30 * time.Second)
		if _, after := d.store.RefusedCounts(); after-before > 45 {
			t.Errorf("%d calls refused in 30 s of 3 changes a second", after-before)
		}
		d.finish(jobs, 15*time.Minute)
		if !regexp.MustCompile(`granted_changes=0\.`).MatchString(d.log.String()) {
			t.Error("the log does not tell of the lower limit")
		}
	})
}
