package controller_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"junipershelf/protocol"
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
		if n := d.cloud.Active("wk-1"); n != 16 {
			t.Fatalf("%d tasks run", n)
		}
		for _, uid := range []string{"wk-1", "wk-2"} {
			leader, others := d.leader()
			d.store.Outage(func(from string) bool { return from == leader })
			time.Sleep(time.Second)
			d.cancel(others[0], uid)
			time.Sleep(time.Second)
			d.store.Outage(func(string) bool { return true })
			time.Sleep(45 * time.Second)
			if uid == "wk-1" && d.cloud.Active("wk-2") != 8 {
				t.Error("tasks of another job were lost in the outage")
			}
			d.store.Outage(nil)
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
		d.store.Slow(500 * time.Millisecond)
		for i, uid := range jobs {
			d.cancel(d.nodes[i%3], uid)
			time.Sleep(3 * time.Second)
		}
		d.cloud.Lock(func() {
			if d.cloud.Starts < 100 {
				t.Errorf("only %d starts: nothing was shown", d.cloud.Starts)
			}
			if n := d.cloud.OrderedAfterCancel; n > 0 {
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
			u.d.cloud.Cancelled(uid)
		}
	default:
		if was == "" {
			u.told[uid] = "accepted"
		}
	}
}

// submit repeats a submission until it is accepted.
func (u *users) submit(m map[string]any) {
	u.d.submit(m)
	u.hear("-", "submission", m["uid"].(string), "", 200, "pending")
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
	d.net.Cut(func(a, b string) bool { return in(a) && out(b) || in(b) && out(a) })
}

func isNode(h string) bool    { return h[0] == 'n' }
func isMachine(h string) bool { return strings.HasPrefix(h, "i-") }

// some are two machines of each three.
func some(h string) bool { return isMachine(h) && h[len(h)-1]%3 != 0 }

// TestMeetings brings about the meetings of two troubles that were seen to break rules.
// Every one runs against the judge of the stand-ins and users that look closely.
func TestMeetings(t *testing.T) {
	const long = 50 * time.Second
	for _, m := range []struct {
		name string
		run  func(t *testing.T, d *day, u *users) map[string]int
	}{
		{"mute machines", func(t *testing.T, d *day, u *users) map[string]int {
			u.submit(spec("wk-1", "blue", 30))
			u.submit(spec("wk-2", "red", 20))
			time.Sleep(25 * time.Second)
			d.net.Cut(func(a, b string) bool { return some(a) && isNode(b) })
			u.cancel("wk-2", 0)
			time.Sleep(30 * time.Second)
			d.net.Cut(nil)
			return map[string]int{"wk-1": 30, "wk-2": 20}
		}},
		{"more work than room over slow links", func(t *testing.T, d *day, u *users) map[string]int {
			d.cloud.RunFor = func(string) time.Duration { return 4 * time.Second }
			d.net.Slow(60 * time.Millisecond)
			jobs := map[string]int{}
			for i := range 12 {
				m := spec(fmt.Sprintf("wk-%d", i+1), []string{"red", "blue"}[i%2], 20)
				m["urgency"] = []string{"urgent", "best_effort", "normal"}[i%3]
				jobs[m["uid"].(string)] = 20
				u.submit(m)
			}
			time.Sleep(40 * time.Second)
			u.cancel("wk-3", 1)
			d.net.Slow(time.Millisecond)
			return jobs
		}},
		{"zone-bound jobs lose machines", func(t *testing.T, d *day, u *users) map[string]int {
			d.cloud.RunFor = func(string) time.Duration { return 15 * time.Second }
			for i, change := range []string{"together", "scatter", "yard"} {
				m := spec(fmt.Sprintf("wk-%d", i+1), []string{"blue", "red", "blue"}[i], 10)
				m[change] = true
				if change == "yard" {
					m["yard"] = "west"
				}
				u.submit(m)
			}
			for range 6 {
				time.Sleep(8 * time.Second)
				if ids := d.cloud.Machines(); len(ids) > 0 {
					d.cloud.Take(ids[len(ids)/2])
					d.cloud.Hang(ids[0], 15*time.Second)
				}
			}
			return map[string]int{"wk-1": 10, "wk-2": 10, "wk-3": 10}
		}},
		{"leader cut from state and peers while others cancel", func(t *testing.T, d *day, u *users) map[string]int {
			u.submit(spec("wk-1", "blue", 16))
			u.submit(spec("wk-2", "red", 12))
			time.Sleep(25 * time.Second)
			leader, others := d.leader()
			d.cutOff(func(h string) bool { return h == leader }, func(h string) bool { return h == "state" || isNode(h) })
			time.Sleep(time.Second)
			d.cancel(others[0], "wk-1")
			u.look("wk-1", nil)
			time.Sleep(12 * time.Second)
			d.cancel(others[1], "wk-2")
			for range 8 {
				u.look("wk-1", nil)
				u.look("wk-2", nil)
				time.Sleep(4 * time.Second)
			}
			d.net.Cut(nil)
			return map[string]int{"wk-1": 16, "wk-2": 12}
		}},
		{"tasks that end far apart across a change of leader", func(t *testing.T, d *day, u *users) map[string]int {
			d.cloud.RunFor = func(piece string) time.Duration {
				return time.Duration(1+20*int(piece[len(piece)-1]-'0')) * time.Second
			}
			jobs := map[string]int{}
			for i := range 8 {
				uid := fmt.Sprintf("wk-%d", i+1)
				jobs[uid] = 2 + i%2
				u.submit(spec(uid, []string{"red", "blue"}[i%2], jobs[uid]))
			}
			for range 3 {
				time.Sleep(12 * time.Second)
				leader, _ := d.leader()
				d.crash(leader, 3*time.Second)
				for uid := range jobs {
					u.look(uid, nil)
				}
			}
			return jobs
		}},
		{"commands and answers held up for seconds", func(t *testing.T, d *day, u *users) map[string]int {
			d.cloud.RunFor = func(string) time.Duration { return 6 * time.Second }
			u.submit(spec("wk-1", "blue", 100))
			u.submit(spec("wk-2", "red", 60))
			for i := range 8 {
				time.Sleep(5 * time.Second)
				d.net.Cut(func(a, b string) bool { return isNode(a) && some(b) })
				if i == 4 {
					u.cancel("wk-2", 1)
				}
				time.Sleep(3500 * time.Millisecond)
				d.net.Cut(nil)
			}
			return map[string]int{"wk-1": 100, "wk-2": 60}
		}},
		{"close looks", func(t *testing.T, d *day, u *users) map[string]int {
			d.cloud.RunFor = func(piece string) time.Duration { return time.Duration(1+len(piece)%3) * time.Second }
			jobs := map[string]int{}
			var all sync.WaitGroup
			for i := range 24 {
				uid := fmt.Sprintf("wk-%d", i+1)
				jobs[uid] = 1 + i%3
				m := spec(uid, []string{"red", "blue"}[i%2], jobs[uid])
				all.Go(func() {
					u.submit(m)
					u.look(uid, m)
					if i%4 == 0 {
						u.cancel(uid, i)
						u.look(uid, m)
						return
					}
					for range 200 {
						u.look(uid, nil)
						if s := u.heard(uid); s == "done" {
							u.look(uid, m)
							return
						}
						time.Sleep(700 * time.Millisecond)
					}
				})
				time.Sleep(300 * time.Millisecond)
			}
			all.Wait()
			return jobs
		}},
		{"slow state service, then refusing the leader, then all", func(t *testing.T, d *day, u *users) map[string]int {
			d.cloud.RunFor = func(string) time.Duration { return long }
			u.submit(spec("wk-1", "blue", 16))
			u.submit(spec("wk-2", "red", 12))
			time.Sleep(25 * time.Second)
			d.store.Slow(700 * time.Millisecond)
			time.Sleep(10 * time.Second)
			u.cancel("wk-1", 2)
			u.look("wk-1", nil)
			leader, _ := d.leader()
			d.store.Outage(func(from string) bool { return from == leader })
			time.Sleep(2 * time.Second)
			u.cancel("wk-2", 1)
			d.store.Outage(func(string) bool { return true })
			time.Sleep(40 * time.Second)
			u.look("wk-2", nil)
			d.store.Outage(nil)
			d.store.Slow(0)
			return map[string]int{"wk-1": 16, "wk-2": 12}
		}},
		{"cancellation at the end of the last task", func(t *testing.T, d *day, u *users) map[string]int {
			jobs := map[string]int{}
			var all sync.WaitGroup
			for i := range 16 {
				uid := fmt.Sprintf("wk-%d", i+1)
				jobs[uid] = 1
				m := spec(uid, []string{"red", "blue"}[i%2], 1)
				u.submit(m)
				all.Go(func() {
					for range 400 {
						n := 0
						d.cloud.Lock(func() { n = d.cloud.Results[protocol.TaskName(uid, 0)] })
						if n > 0 {
							break
						}
						time.Sleep(100 * time.Millisecond)
					}
					time.Sleep(time.Duration(i*170) * time.Millisecond)
					go u.look(uid, m)
					u.cancel(uid, i)
					u.look(uid, m)
				})
			}
			all.Wait()
			return jobs
		}},
		{"transactions carried out late", func(t *testing.T, d *day, u *users) map[string]int {
			rng := rand.New(rand.NewPCG(7, 7))
			var mu sync.Mutex
			d.store.Late(func() (time.Duration, bool) {
				mu.Lock()
				defer mu.Unlock()
				return time.Duration(2+10*rng.Float64()) * time.Second, rng.Float64() < 0.15
			})
			jobs := map[string]int{}
			for i := range 10 {
				uid := fmt.Sprintf("wk-%d", i+1)
				jobs[uid] = 5
				m := spec(uid, []string{"red", "blue"}[i%2], 5)
				u.submit(m)
				u.look(uid, m)
				if i%3 == 0 {
					time.Sleep(2 * time.Second)
					u.cancel(uid, i)
					u.look(uid, m)
				}
				if i == 4 || i == 7 {
					leader, _ := d.leader()
					d.crash(leader, time.Second)
				}
			}
			time.Sleep(20 * time.Second)
			d.store.Late(nil)
			return jobs
		}},
		{"answers lost while others read", func(t *testing.T, d *day, u *users) map[string]int {
			rng := rand.New(rand.NewPCG(8, 8))
			var mu sync.Mutex
			lost := func() bool { mu.Lock(); defer mu.Unlock(); return rng.Float64() < 0.3 }
			d.store.Faults(lost, func() bool { return false })
			jobs := map[string]int{}
			for i := range 10 {
				uid := fmt.Sprintf("wk-%d", i+1)
				jobs[uid] = 4
				m := spec(uid, []string{"red", "blue"}[i%2], 4)
				u.submit(m)
				u.look(uid, m)
				if i%3 == 0 {
					u.cancel(uid, i)
					u.look(uid, m)
				}
			}
			time.Sleep(20 * time.Second)
			d.store.Faults(nil, nil)
			return jobs
		}},
		{"cancellations as the service refuses the leader", func(t *testing.T, d *day, u *users) map[string]int {
			d.cloud.RunFor = func(string) time.Duration { return 4 * time.Minute }
			jobs := map[string]int{}
			for i := range 6 {
				uid := fmt.Sprintf("wk-%d", i+1)
				jobs[uid] = 5
				u.submit(spec(uid, []string{"red", "blue"}[i%2], 5))
			}
			time.Sleep(25 * time.Second)
			leader, _ := d.leader()
			d.store.Outage(func(from string) bool { return from == leader })
			var all sync.WaitGroup
			for i := range 6 {
				all.Go(func() {
					time.Sleep(time.Duration(i*150) * time.Millisecond)
					u.cancel(fmt.Sprintf("wk-%d", i+1), i)
				})
			}
			time.Sleep(time.Second)
			d.store.Outage(func(string) bool { return true })
			time.Sleep(42 * time.Second)
			d.store.Outage(nil)
			all.Wait()
			return jobs
		}},
		{"cancellations as work changes hands", func(t *testing.T, d *day, u *users) map[string]int {
			d.cloud.RunFor = func(string) time.Duration { return long }
			jobs := map[string]int{}
			for i := range 9 {
				uid := fmt.Sprintf("wk-%d", i+1)
				jobs[uid] = 4
				u.submit(spec(uid, []string{"red", "blue"}[i%2], 4))
			}
			time.Sleep(25 * time.Second)
			for round := range 3 {
				var all sync.WaitGroup
				for k := range 2 {
					all.Go(func() {
						time.Sleep(time.Duration(500+2500*k) * time.Millisecond)
						uid := fmt.Sprintf("wk-%d", round*3+k+1)
						u.cancel(uid, round)
						u.look(uid, nil)
					})
				}
				d.crash(d.nodes[round], 4*time.Second)
				all.Wait()
				time.Sleep(6 * time.Second)
			}
			return jobs
		}},
		{"old reports of earlier sessions and attempts", func(t *testing.T, d *day, u *users) map[string]int {
			rng := rand.New(rand.NewPCG(9, 9))
			d.cloud.Copies = func() (time.Duration, bool) {
				return time.Duration(2+30*rng.Float64()) * time.Second, rng.Float64() < 0.4
			}
			d.cloud.RunFor = func(string) time.Duration { return 8 * time.Second }
			u.submit(spec("wk-1", "blue", 60))
			u.submit(spec("wk-2", "red", 40))
			for range 4 {
				time.Sleep(10 * time.Second)
				if ids := d.cloud.Machines(); len(ids) > 1 {
					d.cloud.Hang(ids[0], 12*time.Second)
					d.cloud.Hang(ids[1], 6*time.Second)
				}
			}
			return map[string]int{"wk-1": 60, "wk-2": 40}
		}},
		{"old reports at every controller as a new leader begins", func(t *testing.T, d *day, u *users) map[string]int {
			d.cloud.RunFor = func(string) time.Duration { return 12 * time.Second }
			u.submit(spec("wk-1", "blue", 60))
			u.submit(spec("wk-2", "red", 36))
			for range 3 {
				time.Sleep(10 * time.Second)
				d.cloud.Lock(func() { d.cloud.Keep = true })
				time.Sleep(8 * time.Second)
				leader, others := d.leader()
				go d.crash(leader, 5*time.Second)
				for now := leader; now == leader; now, _ = d.leader() {
					time.Sleep(20 * time.Millisecond)
				}
				d.cloud.Resend(others...)
				time.Sleep(300 * time.Millisecond)
			}
			time.Sleep(10 * time.Second)
			return map[string]int{"wk-1": 60, "wk-2": 36}
		}},
		{"all controllers away for longer than a lease", func(t *testing.T, d *day, u *users) map[string]int {
			d.cloud.RunFor = func(string) time.Duration { return long }
			u.submit(spec("wk-1", "blue", 24))
			u.submit(spec("wk-2", "red", 12))
			time.Sleep(25 * time.Second)
			u.cancel("wk-2", 0)
			var all sync.WaitGroup
			for _, n := range d.nodes {
				all.Go(func() { d.crash(n, 14*time.Second) })
			}
			all.Wait()
			return map[string]int{"wk-1": 24, "wk-2": 12}
		}},
		{"a zone cut off with a controller while jobs are cancelled", func(t *testing.T, d *day, u *users) map[string]int {
			d.cloud.RunFor = func(string) time.Duration { return 2 * time.Minute }
			u.submit(spec("wk-1", "blue", 18))
			u.submit(spec("wk-2", "red", 12))
			time.Sleep(25 * time.Second)
			leader, others := d.leader()
			in := func(h string) bool { return h == leader || some(h) }
			d.net.Cut(func(a, b string) bool { return in(a) != in(b) && a != "user" && b != "user" })
			d.cancel(others[0], "wk-1")
			for range 8 {
				u.look("wk-1", nil)
				time.Sleep(5 * time.Second)
			}
			d.net.Cut(nil)
			return map[string]int{"wk-1": 18, "wk-2": 12}
		}},
		{"leader ends while machines are cut off or deaf", func(t *testing.T, d *day, u *users) map[string]int {
			d.cloud.RunFor = func(string) time.Duration { return long }
			u.submit(spec("wk-1", "blue", 20))
			u.submit(spec("wk-2", "red", 12))
			time.Sleep(25 * time.Second)
			d.net.Cut(func(a, b string) bool { return some(a) && isNode(b) })
			leader, _ := d.leader()
			d.crash(leader, time.Second)
			time.Sleep(8 * time.Second)
			d.net.Cut(nil)
			d.cloud.Lock(func() {
				for _, id := range []string{"i-000001", "i-000002", "i-000003"} {
					d.cloud.Unreachable[id] = true
				}
			})
			leader, _ = d.leader()
			d.crash(leader, time.Second)
			u.cancel("wk-2", 1)
			time.Sleep(25 * time.Second)
			d.cloud.Lock(func() { clear(d.cloud.Unreachable) })
			return map[string]int{"wk-1": 20, "wk-2": 12}
		}},
		{"hand over and back, all end, one returns", func(t *testing.T, d *day, u *users) map[string]int {
			d.cloud.RunFor = func(string) time.Duration { return 15 * time.Second }
			u.submit(spec("wk-1", "blue", 60))
			u.submit(spec("wk-2", "red", 36))
			time.Sleep(22 * time.Second)
			for _, away := range []time.Duration{200 * time.Millisecond, 5 * time.Second} {
				for range 2 {
					leader, _ := d.leader()
					d.crash(leader, away)
					time.Sleep(1500 * time.Millisecond)
				}
			}
			u.cancel("wk-2", 0)
			var all sync.WaitGroup
			for i, n := range d.nodes {
				all.Go(func() { d.crash(n, time.Duration(300+9000*i)*time.Millisecond) })
			}
			time.Sleep(4 * time.Second)
			u.look("wk-2", nil)
			all.Wait()
			return map[string]int{"wk-1": 60, "wk-2": 36}
		}},
		{"teams at their limits, machines cut off or hung, leader changes", func(t *testing.T, d *day, u *users) map[string]int {
			d.cloud.RunFor = func(string) time.Duration { return 40 * time.Second }
			jobs := map[string]int{}
			for i := range 8 {
				uid := fmt.Sprintf("wk-%d", i+1)
				jobs[uid] = 10
				u.submit(spec(uid, []string{"red", "blue"}[i%2], 10))
			}
			time.Sleep(25 * time.Second)
			for round := range 3 {
				ids := d.cloud.Machines()
				d.cutOff(some, isNode)
				for _, id := range ids[:len(ids)/3] {
					d.cloud.Hang(id, 9*time.Second)
				}
				go u.cancel(fmt.Sprintf("wk-%d", 2*round+1), round)
				go u.cancel(fmt.Sprintf("wk-%d", 2*round+2), round)
				time.Sleep(500 * time.Millisecond)
				leader, _ := d.leader()
				d.crash(leader, 500*time.Millisecond)
				time.Sleep(7 * time.Second)
				d.net.Cut(nil)
				time.Sleep(8 * time.Second)
			}
			return jobs
		}},
		{"ten leaders in two minutes, also in an outage", func(t *testing.T, d *day, u *users) map[string]int {
			d.cloud.RunFor = func(string) time.Duration { return 15 * time.Second }
			u.submit(spec("wk-1", "blue", 80))
			u.submit(spec("wk-2", "red", 40))
			time.Sleep(20 * time.Second)
			for i := range 10 {
				leader, _ := d.leader()
				d.crash(leader, time.Duration(100+700*(i%4))*time.Millisecond)
				switch i {
				case 3, 7:
					d.store.Outage(func(string) bool { return true })
				case 5, 8:
					d.store.Outage(nil)
				}
				time.Sleep(8 * time.Second)
			}
			u.cancel("wk-2", 1)
			return map[string]int{"wk-1": 80, "wk-2": 40}
		}},
	} {
		t.Run(strings.ReplaceAll(m.name, " ", "-"), func(t *testing.T) {
			play(t, func(t *testing.T, d *day) {
				u := newUsers(d)
				u.settle(m.run(t, d, u), 6*time.Minute)
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
	playIn(t, w, func(t *testing.T, d *day) {
		u := newUsers(d)
		d.cloud.RunFor = func(string) time.Duration { return 9 * time.Second }
		jobs := map[string]int{}
		time.Sleep(3 * time.Second)
		for i := range 6 {
			uid := fmt.Sprintf("wk-%d", i+1)
			jobs[uid] = 15
			d.store.Slow(0)
			u.submit(spec(uid, []string{"red", "blue"}[i%2], 15))
			d.store.Slow(time.Duration(400+200*(i%3)) * time.Millisecond)
			time.Sleep(2500 * time.Millisecond)
			leader, _ := d.leader()
			d.crash(leader, time.Duration(i%3)*time.Second)
			time.Sleep(6 * time.Second)
		}
		d.store.Slow(0)
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
