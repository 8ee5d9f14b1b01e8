package controller_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"junipershelf/partition"
	"junipershelf/protocol"
)

// mixedWorld is a deployment with limits to come, in which some nodes still run the
// production version. Its records grow beyond the limits to come while those alone serve.
func mixedWorld(old ...string) world {
	w := fewer
	w.facts = strings.Replace(fewer.facts, "write_rps = 20.0", "write_rps = 12.0", 1)
	w.newFacts = strings.Replace(w.facts, "txn_ops = 16", "txn_ops = 16\n[facts.state.next]\nvalue_kb = 2.0\ntxn_ops = 5\nwrite_rps = 10.0", 1)
	w.old = old
	return w
}

// upgrade ends a node and starts it with the new version; downgrade lets it come back old.
func (d *day) upgrade(node string, away time.Duration) {
	d.versions.set(node, false)
	d.crash(node, away)
}

func (d *day) downgrade(node string, away time.Duration) {
	d.versions.set(node, true)
	d.crash(node, away)
}

// Old and new versions serve side by side: all that crosses between them goes through the
// production version's forms, the judge holds the rules, and the users look closely.
func TestVersionsSideBySide(t *testing.T) {
	for _, c := range []struct {
		name string
		old  []string
		play func(d *day)
	}{
		{"old leader, new owners, then a new leader with an old owner", []string{"n0"}, oldLeaderThenNew},
		{"new leader, old owners, which change and take the lead", []string{"n1", "n2"}, newLeaderThenOld},
		{"a roll in which one comes back old before its turn", []string{"n0", "n1", "n2"}, rollWithOneBackOld},
		{"all end at once, half of them upgraded", []string{"n0", "n1", "n2"}, allEndAtOnce},
		{"the service refuses an old leader while a new owner confirms cancellations", []string{"n0"}, refusedLeaderOfTwoVersions},
		{"the service refuses a new leader while an old owner confirms cancellations", []string{"n1"}, refusedLeaderOfTwoVersions},
		{"limits fall during the roll", []string{"n0", "n1", "n2"}, limitsFallDuringRoll},
		{"limits fall in an outage in which the last one is upgraded", []string{"n2"}, limitsFallInOutage},
	} {
		t.Run(strings.NewReplacer(" ", "-", ",", "").Replace(c.name), func(t *testing.T) {
			playIn(t, mixedWorld(c.old...), func(t *testing.T, d *day) {
				d.cloud.RunFor = func(piece string) time.Duration { return time.Duration(15+10*len(piece)%30) * time.Second }
				u := newUsers(d)
				jobs := map[string]int{}
				for i := range 20 {
					uid := fmt.Sprintf("wk-%d", i+1)
					jobs[uid] = 60
					u.submit(spec(uid, []string{"red", "blue"}[i%2], 60))
				}
				time.Sleep(25 * time.Second)
				var looking sync.WaitGroup
				looking.Go(func() {
					for i := range 8 {
						u.look(fmt.Sprintf("wk-%d", i+1), nil)
						u.cancel(fmt.Sprintf("wk-%d", i+1), i)
						time.Sleep(4 * time.Second)
					}
				})
				c.play(d)
				looking.Wait()
				u.settle(jobs, 15*time.Minute)
				d.versions.check(t)
			})
		})
	}
}

// expectLeader checks who leads when the day begins.
func (d *day) expectLeader(node string) {
	d.t.Helper()
	if leader, _ := d.leader(); leader != node {
		d.t.Fatalf("%s leads, not %s", leader, node)
	}
}

// refusedLeaderOfTwoVersions has the state service refuse the leader, and then all, while
// jobs are cancelled through the others.
func refusedLeaderOfTwoVersions(d *day) {
	leader, others := d.leader()
	d.store.SetOutage(func(from string) bool { return from == leader })
	time.Sleep(2 * time.Second)
	for i, n := range others {
		d.cancel(n, fmt.Sprintf("wk-%d", 15+i))
	}
	time.Sleep(time.Second)
	d.store.SetOutage(func(string) bool { return true })
	time.Sleep(55 * time.Second)
	d.store.SetOutage(nil)
	time.Sleep(10 * time.Second)
}

func oldLeaderThenNew(d *day) {
	d.expectLeader("n0")
	time.Sleep(20 * time.Second)
	d.crash("n1", 500*time.Millisecond) // an owner changes under the old leader
	time.Sleep(10 * time.Second)
	d.crash("n0", 3*time.Second) // and it comes back old, under a new leader
	time.Sleep(10 * time.Second)
}

func newLeaderThenOld(d *day) {
	d.expectLeader("n0")
	time.Sleep(20 * time.Second)
	d.crash("n2", 500*time.Millisecond)
	time.Sleep(10 * time.Second)
	d.crash("n0", 3*time.Second)
	time.Sleep(10 * time.Second)
	d.crash("n1", 200*time.Millisecond)
	time.Sleep(10 * time.Second)
}

func rollWithOneBackOld(d *day) {
	d.upgrade("n0", 2*time.Second)
	time.Sleep(6 * time.Second)
	d.crash("n1", 2*time.Second)
	time.Sleep(6 * time.Second)
	d.downgrade("n0", time.Second) // dies, and its host still has the old program
	time.Sleep(6 * time.Second)
	for _, n := range d.nodes {
		d.upgrade(n, 2*time.Second)
		time.Sleep(5 * time.Second)
	}
}

func allEndAtOnce(d *day) {
	for _, upgraded := range [][]string{{"n1"}, {"n0", "n1", "n2"}} {
		for _, n := range upgraded {
			d.versions.set(n, false)
		}
		var all sync.WaitGroup
		for i, n := range d.nodes {
			all.Go(func() { d.crash(n, time.Duration(1+i)*time.Second) })
		}
		all.Wait()
		time.Sleep(12 * time.Second)
	}
}

func limitsFallDuringRoll(d *day) {
	for i, n := range d.nodes {
		d.upgrade(n, 2*time.Second)
		time.Sleep(3 * time.Second)
		if i == 1 {
			d.store.LowerLimits(2048, 5, 10)
		}
	}
}

func limitsFallInOutage(d *day) {
	d.store.SetOutage(func(string) bool { return true })
	time.Sleep(2 * time.Second)
	d.upgrade("n2", time.Second)
	d.store.LowerLimits(2048, 5, 10)
	time.Sleep(5 * time.Second)
	d.store.SetOutage(nil)
	time.Sleep(15 * time.Second)
}

// A fleet grows to many times its size beside the version in production, without a stop: each
// bucket gets the records that it needs, old and new owners read each other's as partitions
// change hands, no task is lost from them, and no rule is broken. What a bucket needs is worked
// out from what stands in it, since which task comes to which machine varies from run to run.
func TestRecordsGrowBesideTheVersionInProduction(t *testing.T) {
	const value, buckets, shortTasks = 1536, 6, 60
	w := fewer
	w.facts = strings.NewReplacer("value_kb = 8.0", "value_kb = 1.5", "write_rps = 20.0", "write_rps = 12.0").Replace(fewer.facts)
	w.newFacts, w.old = w.facts, []string{"n1"}
	playIn(t, w, func(t *testing.T, d *day) {
		d.store.LowerLimits(value, 16, 1000) // it refuses what is larger than the facts say
		starts := d.watchStarts(func(task string) time.Duration {
			if uid, i, _ := protocol.ParseTaskName(task); uid == "wk-99" {
				return 40*time.Second + time.Duration(i%20)*1500*time.Millisecond // they end as partitions change hands
			}
			return 4 * time.Minute
		})
		check := func(when string) (grown, finished int) {
			t.Helper()
			r := d.readRecords()
			r.checkMachines(when)
			return r.checkCounts(when, value), r.checkTasks(when, starts)
		}
		checkGrown := func(when string, least int) (finished int) {
			t.Helper()
			d.busy(when, least)
			grown, finished := check(when)
			if grown != buckets {
				t.Errorf("%s: %d of %d buckets need more than one record", when, grown, buckets)
			}
			return finished
		}
		d.submit(longJob("wk-99", "red", shortTasks, 50*time.Second))
		d.busyWithin("before the fleet grows", shortTasks, time.Minute)
		check("before the fleet grows")
		if n := len(d.store.Keys(partition.ShardPrefix)); n > buckets {
			t.Errorf("%d records in %d buckets before the fleet grows", n, buckets)
		}
		for i := range 90 {
			d.submit(longJob(fmt.Sprintf("wk-%d", i), []string{"red", "blue"}[i%2], 11, 4*time.Minute))
		}
		d.busyWithin("once it has grown", 900, 90*time.Second)
		checkGrown("once it has grown", 900)
		for _, n := range d.nodes {
			d.checkTasksDuring("after the end of "+n, starts, 12*time.Second, func() { d.crash(n, 4*time.Second) })
			checkGrown("after the end of "+n, 850)
		}
		d.checkTasksDuring("in the upgrade", starts, 12*time.Second, func() { d.upgrade("n1", 4*time.Second) })
		if finished := checkGrown("after the upgrade", 850); finished != shortTasks {
			t.Errorf("%d tasks are finished, not %d", finished, shortTasks)
		}
		if refused, _ := d.store.RefusedCounts(); refused > 0 {
			t.Errorf("%d transactions were over the limits for their size", refused)
		}
		d.versions.check(t, furtherRecords)
		d.judge(nil)
	})
}
