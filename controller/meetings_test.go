package controller_test

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

// The meetings of two troubles, each brought about on the simulated clock;
// docs/meetings.md lists them.

// The state service refuses the leader alone, another controller confirms a
// cancellation, and then the service is out for all for longer than cancel_s. The old
// leader went on answering its workers on the word of its peers that there is no later
// view, and knew nothing of the cancellation: its tasks ran on until the outage was over.
func TestRefusedLeaderLearnsOfCancellations(t *testing.T) {
	play(t, func(t *testing.T, d *day) {
		d.cloud.RunFor = func(string) time.Duration { return 10 * time.Minute }
		d.submit(spec("wk-1", "blue", 16))
		d.submit(spec("wk-2", "red", 8))
		time.Sleep(30 * time.Second)
		if n := d.cloud.ActiveTasks("wk-1"); n != 16 {
			t.Fatalf("%d tasks run", n)
		}
		for _, uid := range []string{"wk-1", "wk-2"} {
			leader, others := d.leader()
			d.store.SetOutage(func(from string) bool { return from == leader })
			time.Sleep(time.Second)
			d.cancel(others[0], uid)
			time.Sleep(time.Second)
			d.store.SetOutage(func(string) bool { return true })
			time.Sleep(45 * time.Second)
			if uid == "wk-1" && d.cloud.ActiveTasks("wk-2") != 8 {
				t.Error("tasks of another job were lost in the outage")
			}
			d.store.SetOutage(nil)
			time.Sleep(20 * time.Second)
		}
		d.judge(nil)
	})
}

// No start is given once a cancellation is confirmed, at whatever node that was: owners
// that can be reached hear of it before its user does. With the mirror alone, which lags
// behind a slow state service, more of its tasks were started.
func TestNoStartAfterConfirmedCancellation(t *testing.T) {
	play(t, func(t *testing.T, d *day) {
		d.cloud.RunFor = func(string) time.Duration { return time.Second }
		jobs := []string{"wk-1", "wk-2", "wk-3", "wk-4", "wk-5", "wk-6"}
		for i, uid := range jobs {
			d.submit(spec(uid, []string{"red", "blue"}[i%2], 400))
		}
		time.Sleep(25 * time.Second)
		d.store.SetLatency(500 * time.Millisecond)
		for i, uid := range jobs {
			d.cancel(d.nodes[i%3], uid)
			time.Sleep(3 * time.Second)
		}
		d.cloud.WithLock(func() {
			if d.cloud.Starts < 100 {
				t.Errorf("only %d starts: nothing was shown", d.cloud.Starts)
			}
			if n := d.cloud.StartCommandsAfterCancel; n > 0 {
				t.Errorf("%d starts were ordered after the confirmation", n)
			}
		})
		d.judge(nil)
	})
}

// users ask at all nodes and hold what they were told against what they hear next.
type users struct {
	d    *day
	mu   sync.Mutex
	told map[string]string // accepted, done or cancelled
}

func newUsers(d *day) *users { return &users{d: d, told: map[string]string{}} }

func (u *users) heard(uid string) string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.told[uid]
}

// hear takes an answer to a question that was asked when before was known.
func (u *users) hear(node, what, uid, before string, code int, status string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	switch {
	case code == 0 || code == 503 || code == 429:
		return
	case before != "" && (code == 404 || code == 400 || code == 422 || code == 201):
		u.d.t.Errorf("%s: %s of %s: %d, though it was %s", node, what, uid, code, before)
		return
	case (before == "done" || before == "cancelled") && status != before:
		u.d.t.Errorf("%s: %s of %s: %s, though it was %s", node, what, uid, status, before)
	case code != 200 && code != 201:
		return
	}
	was := u.told[uid]
	switch status {
	case "done", "cancelled":
		if (was == "done" || was == "cancelled") && was != status {
			u.d.t.Errorf("%s: %s of %s: %s, another was told %s", node, what, uid, status, was)
		}
		u.told[uid] = status
		if status == "cancelled" {
			u.d.cloud.RecordCancellation(uid)
		}
	default:
		if was == "" {
			u.told[uid] = "accepted"
		}
	}
}

// uidOf is the uid of a submission.
func uidOf(m map[string]any) string { return fmt.Sprint(m["uid"]) }

// submit repeats a submission until it is accepted.
func (u *users) submit(m map[string]any) {
	u.d.submit(m)
	u.hear("-", "submission", uidOf(m), "", 200, "pending")
}

// look asks all nodes at the same time, some times within milliseconds, and repeats the
// submission there.
func (u *users) look(uid string, m map[string]any) {
	var all sync.WaitGroup
	for _, n := range u.d.nodes {
		all.Go(func() {
			for range 4 {
				before := u.heard(uid)
				code, s := u.d.at(n, "GET", "/api/jobs/"+uid, map[string]any{})
				u.hear(n, "poll", uid, before, code, s.Status)
				time.Sleep(5 * time.Millisecond)
			}
			if m != nil {
				before := u.heard(uid)
				code, s := u.d.at(n, "POST", "/api/jobs", m)
				u.hear(n, "repeat", uid, before, code, s.Status)
			}
		})
	}
	all.Wait()
}

// cancel calls a job off, at one node after the other until one answers, for a minute.
func (u *users) cancel(uid string, first int) string {
	for try := range 60 {
		n := u.d.nodes[(first+try)%len(u.d.nodes)]
		before := u.heard(uid)
		code, s := u.d.at(n, "POST", "/api/jobs/"+uid+"/cancel", map[string]any{})
		u.hear(n, "cancellation", uid, before, code, s.Status)
		if code == 200 {
			return s.Status
		}
		time.Sleep(time.Second)
	}
	return ""
}

// settle lets all that is not cancelled end: once the troubles are over each job is
// answered within 75 s at every node, and none is lost.
func (u *users) settle(jobs map[string]int, limit time.Duration) {
	u.d.t.Helper()
	open := map[string]int{}
	for uid, n := range jobs {
		u.d.answers(u.d.nodes[0], uid, 75*time.Second)
		u.look(uid, nil)
		if u.heard(uid) != "cancelled" {
			open[uid] = n
		}
	}
	u.d.finish(open, limit)
	for uid := range jobs {
		u.look(uid, nil)
	}
}

// cutOff cuts some hosts from others in both directions.
func (d *day) cutOff(in, out func(host string) bool) {
	d.net.SetBlocked(func(a, b string) bool { return in(a) && out(b) || in(b) && out(a) })
}

func isNode(h string) bool    { return h[0] == 'n' }
func isMachine(h string) bool { return strings.HasPrefix(h, "i-") }

// some are two machines of each three.
func some(h string) bool { return isMachine(h) && h[len(h)-1]%3 != 0 }

// long is longer than a cancellation has.
const long = 50 * time.Second

// TestMeetings brings about the meetings of two troubles that were seen to break rules.
// Every one runs against the judge of the emulators and users that look closely.
func TestMeetings(t *testing.T) {
	for _, m := range []struct {
		name string
		run  func(d *day, u *users) map[string]int
	}{
		{"mute machines", muteMachines},
		{"more work than room over slow links", moreWorkThanRoomOverSlowLinks},
		{"zone-bound jobs lose machines", zoneboundJobsLoseMachines},
		{"leader cut from state and peers while others cancel", leaderCutFromStateAndPeersWhileOthersCancel},
		{"tasks that end far apart across a change of leader", tasksThatEndFarApartAcrossAChangeOfLeader},
		{"commands and answers held up for seconds", commandsAndAnswersHeldUpForSeconds},
		{"close looks", closeLooks},
		{"slow state service, then refusing the leader, then all", slowStateServiceThenRefusingTheLeaderThenAll},
		{"cancellation at the end of the last task", cancellationAtTheEndOfTheLastTask},
		{"transactions carried out late", transactionsCarriedOutLate},
		{"answers lost while others read", answersLostWhileOthersRead},
		{"cancellations as the service refuses the leader", cancellationsAsTheServiceRefusesTheLeader},
		{"cancellations as work changes hands", cancellationsAsWorkChangesHands},
		{"old reports of earlier sessions and attempts", oldReportsOfEarlierSessionsAndAttempts},
		{"old reports at every controller as a new leader begins", oldReportsAtEveryControllerAsANewLeaderBegins},
		{"all controllers away for longer than a lease", allControllersAwayForLongerThanALease},
		{"a zone cut off with a controller while jobs are cancelled", aZoneCutOffWithAControllerWhileJobsAreCancelled},
		{"leader ends while machines are cut off or unreachable", leaderEndsWhileMachinesAreCutOffOrDeaf},
		{"hand over and back, all end, one returns", handOverAndBackAllEndOneReturns},
		{"teams at their limits, machines cut off or hung, leader changes", teamsAtTheirLimitsMachinesCutOffOrHungLeaderChanges},
		{"ten leaders in two minutes, also in an outage", tenLeadersInTwoMinutesAlsoInAnOutage},
	} {
		t.Run(strings.ReplaceAll(m.name, " ", "-"), func(t *testing.T) {
			play(t, func(_ *testing.T, d *day) {
				u := newUsers(d)
				u.settle(m.run(d, u), 6*time.Minute)
			})
		})
	}
}

// New machines are up within two seconds and get work at once, while writes lag and the
// leader ends: what it may have rented and started is found by the next one.
func TestFastMachinesSlowWrites(t *testing.T) {
	w := small
	w.flavors = slices.Clone(small.flavors)
	w.flavors[0].BootS = 1.2
	playIn(t, w, func(_ *testing.T, d *day) {
		u := newUsers(d)
		d.cloud.RunFor = func(string) time.Duration { return 9 * time.Second }
		jobs := map[string]int{}
		time.Sleep(3 * time.Second)
		for i := range 6 {
			uid := fmt.Sprintf("wk-%d", i+1)
			jobs[uid] = 15
			d.store.SetLatency(0)
			u.submit(spec(uid, []string{"red", "blue"}[i%2], 15))
			d.store.SetLatency(time.Duration(400+200*(i%3)) * time.Millisecond)
			time.Sleep(2500 * time.Millisecond)
			leader, _ := d.leader()
			d.crash(leader, time.Duration(i%3)*time.Second)
			time.Sleep(6 * time.Second)
		}
		d.store.SetLatency(0)
		u.settle(jobs, 5*time.Minute)
	})
}

// One-task jobs come four a second for two minutes, a quarter of them cancelled, on the
// changes of the deployment that has the fewest. All are accepted soon, none is lost, and
// the cancelled ones stay so.
func TestSmallJobsFourASecond(t *testing.T) {
	w := small
	w.facts = strings.NewReplacer("rps = 500.0", "rps = 250.0", "write_rps = 200.0", "write_rps = 20.0").Replace(facts)
	w.scarce = true
	playIn(t, w, func(t *testing.T, d *day) {
		d.cloud.RunFor = func(string) time.Duration { return 3 * time.Second }
		u := newUsers(d)
		time.Sleep(5 * time.Second)
		jobs := map[string]int{}
		var all sync.WaitGroup
		var mu sync.Mutex
		var slow time.Duration
		for i := range 480 {
			uid := fmt.Sprintf("wk-%d", i+1)
			jobs[uid] = 1
			all.Go(func() {
				began := time.Now()
				u.submit(spec(uid, []string{"red", "blue"}[i%2], 1))
				mu.Lock()
				slow = max(slow, time.Since(began))
				mu.Unlock()
				if i%4 == 0 {
					time.Sleep(time.Second)
					u.cancel(uid, i)
				}
			})
			time.Sleep(250 * time.Millisecond)
		}
		all.Wait()
		if slow > 20*time.Second {
			t.Errorf("a submission took %v", slow)
		}
		u.settle(jobs, 5*time.Minute)
	})
}
