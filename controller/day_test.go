package controller_test

import (
	"fmt"
	"math/rand/v2"
	"regexp"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"junipershelf/internal/emulator"
)

func TestQuietDay(t *testing.T) {
	play(t, func(t *testing.T, d *day) {
		jobs := map[string]int{"wk-1": 20, "wk-2": 30, "wk-3": 1}
		d.submit(spec("wk-1", "red", 20))
		d.submit(spec("wk-2", "blue", 30))
		d.submit(spec("wk-3", "blue", 1))
		d.finish(jobs, 3*time.Minute)
		// Repeats of a known job are 200 for ever, whichever node answers.
		for range 3 {
			if code, s := d.call("POST", "/api/jobs", spec("wk-1", "red", 20)); code != 200 || s.Status != "done" {
				t.Errorf("repeat: %d %q", code, s.Status)
			}
		}
		if code, s := d.call("POST", "/api/jobs/wk-1/cancel", map[string]any{}); code != 200 || s.Status != "done" {
			t.Errorf("cancel after done: %d %q", code, s.Status)
		}
		if code, _ := d.call("GET", "/api/jobs/wk-99", map[string]any{}); code != 404 {
			t.Errorf("unknown job: %d", code)
		}
		// The fleet shrinks after the work.
		time.Sleep(2 * time.Minute)
		if m := d.cloud.Machines(); len(m) > 0 {
			t.Errorf("still rented after the work: %v", m)
		}
		if !strings.Contains(d.log.String(), `msg="placement metrics"`) {
			t.Error("the ordinary path's counts are not in the log")
		}
	})
}

func TestBadSubmissions(t *testing.T) {
	play(t, func(t *testing.T, d *day) {
		time.Sleep(3 * time.Second)
		for name, c := range map[string]struct {
			change func(m map[string]any)
			code   int
		}{
			"missing field":     {func(m map[string]any) { delete(m, "cpus") }, 400},
			"wrong kind":        {func(m map[string]any) { m["pieces"] = "many" }, 400},
			"no tasks":          {func(m map[string]any) { m["pieces"] = 0 }, 400},
			"too many tasks":    {func(m map[string]any) { m["pieces"] = 100001 }, 400},
			"unknown urgency":   {func(m map[string]any) { m["urgency"] = "now" }, 400},
			"unknown shape":     {func(m map[string]any) { m["shape"] = "ring" }, 400},
			"bad id":            {func(m map[string]any) { m["uid"] = "x y" }, 400},
			"negative":          {func(m map[string]any) { m["mem_gb"] = -1.0 }, 400},
			"group too large":   {func(m map[string]any) { m["shape"], m["pieces"] = "group", 13 }, 422},
			"unknown team":      {func(m map[string]any) { m["owner"] = "green" }, 422},
			"over the limit":    {func(m map[string]any) { m["cpus"] = 13.0 }, 422},
			"fits no machine":   {func(m map[string]any) { m["mem_gb"] = 33.0 }, 422},
			"unknown flavor":    {func(m map[string]any) { m["flavors"] = []string{"giga"} }, 422},
			"unknown zone":      {func(m map[string]any) { m["yard"] = "north" }, 422},
			"needs accelerator": {func(m map[string]any) { m["accelerators"] = 1.0 }, 422},
			"unknown extra":     {func(m map[string]any) { m["uid"], m["colour"] = "wk-6", "red" }, 201},
		} {
			m := spec("wk-7", "red", 2)
			c.change(m)
			if code, _ := d.call("POST", "/api/jobs", m); code != c.code {
				t.Errorf("%s: %d, want %d", name, code, c.code)
			}
		}
		// A job that was accepted stays known, whatever a later body for it looks like.
		for _, field := range []string{"cpus", "shape", "pieces"} {
			m := spec("wk-6", "red", 2)
			delete(m, field)
			if code, s := d.call("POST", "/api/jobs", m); code != 200 || s.UID != "wk-6" {
				t.Errorf("a malformed repeat of an accepted job: %d %q", code, s.Status)
			}
		}
		if code, _ := d.call("POST", "/api/jobs", []int{1}); code != 400 {
			t.Errorf("a list: %d", code)
		}
		big := spec("wk-8", "red", 1)
		big["pad"] = strings.Repeat("x", 70000)
		if code, _ := d.call("POST", "/api/jobs", big); code != 400 {
			t.Errorf("over 64 KiB: %d", code)
		}
	})
}

func TestCancelStopsTasks(t *testing.T) {
	play(t, func(t *testing.T, d *day) {
		d.cloud.RunFor = func(string) time.Duration { return 10 * time.Minute }
		d.submit(spec("wk-1", "red", 10))
		time.Sleep(30 * time.Second)
		if code, s := d.call("POST", "/api/jobs/wk-1/cancel", map[string]any{}); code != 200 || s.Status != "cancelled" {
			t.Fatalf("cancel: %d %q", code, s.Status)
		}
		d.cloud.RecordCancellation("wk-1")
		time.Sleep(20 * time.Second)
		if n := d.cloud.ActiveTasks("wk-1"); n > 0 {
			t.Errorf("%d tasks of a cancelled job are still there after 20 s", n)
		}
		for range 3 {
			if code, s := d.call("POST", "/api/jobs", spec("wk-1", "red", 10)); code != 200 || s.Status != "cancelled" {
				t.Errorf("repeat: %d %q", code, s.Status)
			}
		}
		d.judge(nil)
	})
}

func TestPlacementRules(t *testing.T) {
	play(t, func(_ *testing.T, d *day) {
		together, scatter, yard, owned := spec("wk-1", "blue", 9), spec("wk-2", "red", 5), spec("wk-3", "blue", 4), spec("wk-4", "red", 4)
		together["together"], scatter["scatter"], yard["yard"], owned["borrowed"] = true, true, "west", false
		for _, m := range []map[string]any{together, scatter, yard, owned} {
			d.submit(m)
		}
		d.finish(map[string]int{"wk-1": 9, "wk-2": 5, "wk-3": 4, "wk-4": 4}, 5*time.Minute)
	})
}

// TestDrawnTroubles plays days with crashes, rolls, cuts, outages, lost answers
// and late repeats, hanging and vanishing machines.
func TestDrawnTroubles(t *testing.T) {
	for seed := uint64(1); seed <= 8; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			play(t, func(_ *testing.T, d *day) { drawnTroubles(d, seed) })
		})
	}
}

// drawnTroubles submits jobs with a drawn trouble after each, and checks that all of them are
// served in the end.
func drawnTroubles(d *day, seed uint64) {
	d.loseRepliesAndCopyReports(seed)
	rng := rand.New(rand.NewPCG(seed, 2))
	troubles := (&troubleMaker{d: d, rng: rng}).all()
	jobs := map[string]int{}
	for i := range 8 {
		uid := fmt.Sprintf("wk-%d", i+1)
		team := []string{"red", "blue"}[rng.IntN(2)]
		jobs[uid] = 1 + rng.IntN(25)
		d.submit(spec(uid, team, jobs[uid]))
		time.Sleep(time.Duration(rng.IntN(4)) * time.Second)
		trouble := rng.IntN(len(troubles))
		node := d.nodes[rng.IntN(len(d.nodes))]
		troubles[trouble](node)
	}
	// Whichever node is asked, each job gets an answer well within 75 s of
	// the troubles' end, and all of them run.
	for uid := range jobs {
		for _, n := range d.nodes {
			d.answers(n, uid, 30*time.Second)
		}
	}
	d.finish(jobs, 6*time.Minute)
}

// loseRepliesAndCopyReports makes the key-value store lose calls and replies; with an even seed,
// copies of reports come late, from seconds to well over a lease.
func (d *day) loseRepliesAndCopyReports(seed uint64) {
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(seed, 3))
	chance := func(p float64) func() bool {
		return func() bool { mu.Lock(); defer mu.Unlock(); return rng.Float64() < p }
	}
	d.store.SetReplyFaults(chance(0.05), chance(0.05))
	if seed%2 != 0 {
		return
	}
	d.cloud.DuplicateHeartbeat = func() (time.Duration, bool) {
		mu.Lock()
		defer mu.Unlock()
		return time.Duration(rng.Float64() * 40 * float64(time.Second)), rng.Float64() < 0.2
	}
}

// troubleMaker brings troubles about, each of a drawn length.
type troubleMaker struct {
	d   *day
	rng *rand.Rand
}

// all lists the troubles; each takes the node that it is to strike.
func (m *troubleMaker) all() []func(node string) {
	return []func(string){
		m.crash, m.crashAll, m.loseStore, m.loseWorkers, m.storeOutage,
		m.takeMachine, m.hangMachine, m.storeRefuses, m.loseAllButWorkers, m.crashAgainAndAgain,
	}
}

// seconds draws a time of some seconds.
func (m *troubleMaker) seconds(from, spread int) time.Duration {
	return time.Duration(from+m.rng.IntN(spread)) * time.Second
}

// cutFor cuts connections for a time of some seconds.
func (m *troubleMaker) cutFor(from, spread int, cut func(a, b string) bool) {
	m.d.net.SetBlocked(cut)
	time.Sleep(m.seconds(from, spread))
	m.d.net.SetBlocked(nil)
}

// outageFor makes the key-value store refuse callers for a time of some seconds.
func (m *troubleMaker) outageFor(from, spread int, refused func(caller string) bool) {
	m.d.store.SetOutage(refused)
	time.Sleep(m.seconds(from, spread))
	m.d.store.SetOutage(nil)
}

func (m *troubleMaker) crash(node string) {
	m.d.crash(node, time.Duration(m.rng.IntN(5000))*time.Millisecond)
}

func (m *troubleMaker) crashAll(string) {
	for _, n := range m.d.nodes {
		m.d.crash(n, 200*time.Millisecond)
	}
}

// loseStore: a node loses the key-value store alone.
func (m *troubleMaker) loseStore(node string) {
	m.cutFor(3, 12, func(a, b string) bool { return a == node && b == "state" || a == "state" && b == node })
}

func (m *troubleMaker) loseWorkers(node string) {
	m.cutFor(3, 12, func(a, b string) bool {
		return a == node && strings.HasPrefix(b, "i-") || b == node && strings.HasPrefix(a, "i-")
	})
}

func (m *troubleMaker) storeOutage(string) {
	m.outageFor(2, 12, func(string) bool { return true })
}

func (m *troubleMaker) takeMachine(string) {
	if machines := m.d.cloud.Machines(); len(machines) > 0 {
		m.d.cloud.Reclaim(machines[m.rng.IntN(len(machines))])
	}
}

func (m *troubleMaker) hangMachine(string) {
	if machines := m.d.cloud.Machines(); len(machines) > 0 {
		m.d.cloud.Pause(machines[m.rng.IntN(len(machines))], m.seconds(0, 25))
	}
}

// storeRefuses: a node is refused by the key-value store alone.
func (m *troubleMaker) storeRefuses(node string) {
	m.outageFor(3, 12, func(caller string) bool { return caller == node })
}

func (m *troubleMaker) loseAllButWorkers(node string) {
	m.cutFor(5, 25, func(a, b string) bool {
		out := func(a, b string) bool { return a == node && (b == "state" || b == "cloud" || b[0] == 'n') }
		return out(a, b) || out(b, a)
	})
}

// crashAgainAndAgain: a node is back within moments, also in an election.
func (m *troubleMaker) crashAgainAndAgain(node string) {
	for range 4 {
		m.d.crash(node, time.Duration(m.rng.IntN(400))*time.Millisecond)
		time.Sleep(time.Duration(m.rng.IntN(900)) * time.Millisecond)
	}
}

// Controllers that cannot reach each other still serve: the leader of a new view
// gives work to its own machines at once, and the others call it through mailboxes in the
// state service. Once two thirds of the fleet fell idle.
func TestControllersCutFromEachOther(t *testing.T) {
	play(t, func(t *testing.T, d *day) {
		d.submit(spec("wk-1", "blue", 200))
		time.Sleep(25 * time.Second)
		d.net.SetBlocked(func(a, b string) bool { return a[0] == 'n' && b[0] == 'n' })
		d.crash("n0", 100*time.Millisecond)
		time.Sleep(8 * time.Second)
		before := 0
		d.cloud.WithLock(func() { before = d.cloud.Starts })
		time.Sleep(20 * time.Second)
		d.cloud.WithLock(func() {
			if n := d.cloud.Starts - before; n < 45 {
				t.Errorf("%d starts in 20 s on 20 slots, with tasks of 5 s", n)
			}
		})
		if !regexp.MustCompile("via_mailbox=[1-9]").MatchString(d.log.String()) {
			t.Error("no call was made by letter")
		}
		d.net.SetBlocked(nil)
		d.finish(map[string]int{"wk-1": 200}, 4*time.Minute)
	})
}

// A zone is cut off with a controller and half of the machines in it, for three leases;
// what was held back arrives when the cut ends. Inside, its workers are answered until
// the controller's authority ends; outside, their tasks run again only once their leases
// are over or they were returned. Submissions go on outside all the while.
func TestZoneCutOff(t *testing.T) {
	for _, node := range []string{"n0", "n2"} { // the leader, and another
		t.Run(node, func(t *testing.T) {
			play(t, func(_ *testing.T, d *day) {
				d.cloud.RunFor = func(string) time.Duration { return 12 * time.Second }
				d.submit(spec("wk-1", "blue", 60))
				d.submit(spec("wk-2", "red", 40))
				time.Sleep(25 * time.Second)
				in := func(h string) bool {
					return h == node || strings.HasPrefix(h, "i-") && (h[len(h)-1]-'0')%2 == 1
				}
				d.net.SetBlocked(func(a, b string) bool { return in(a) != in(b) })
				time.Sleep(15 * time.Second)
				d.submit(spec("wk-3", "blue", 10))
				time.Sleep(15 * time.Second)
				d.net.SetBlocked(nil)
				d.finish(map[string]int{"wk-1": 60, "wk-2": 40, "wk-3": 10}, 5*time.Minute)
			})
		})
	}
}

// A controller stands still for three leases while its clocks run on: nothing reaches it
// or leaves it, and then all that was held comes at once, its own late calls too.
func TestControllerStandsStill(t *testing.T) {
	for _, node := range []string{"n0", "n1"} {
		t.Run(node, func(t *testing.T) {
			play(t, func(t *testing.T, d *day) {
				d.submit(spec("wk-1", "blue", 600))
				d.submit(spec("wk-2", "red", 300))
				time.Sleep(22 * time.Second)
				for range 2 {
					d.net.SetBlocked(func(a, b string) bool { return a == node || b == node })
					time.Sleep(30 * time.Second)
					before := 0
					d.cloud.WithLock(func() { before = d.cloud.Starts })
					d.net.SetBlocked(nil)
					time.Sleep(8 * time.Second)
					d.cloud.WithLock(func() {
						if d.cloud.Starts == before {
							t.Error("nothing starts once it goes on")
						}
					})
				}
				d.finish(map[string]int{"wk-1": 600, "wk-2": 300}, 5*time.Minute)
			})
		})
	}
}

// A machine that reports but hears nothing: what it held runs elsewhere, it gets
// nothing new, and it is returned.
func TestMachineThatHearsNothing(t *testing.T) {
	play(t, func(t *testing.T, d *day) {
		d.cloud.RunFor = func(string) time.Duration { return 30 * time.Second }
		d.submit(spec("wk-1", "blue", 16))
		time.Sleep(25 * time.Second)
		d.cloud.WithLock(func() { d.cloud.UnreachableForReplies["i-000001"] = true })
		time.Sleep(45 * time.Second)
		if slices.Contains(d.cloud.Machines(), "i-000001") {
			t.Error("still rented after four leases")
		}
		d.finish(map[string]int{"wk-1": 16}, 3*time.Minute)
		if !strings.Contains(d.log.String(), "unreachable=1") {
			t.Error("not told apart from a machine that is silent")
		}
	})
}

func TestDudsSickMachinesAndBrokenJobs(t *testing.T) {
	play(t, func(t *testing.T, d *day) {
		d.cloud.WithLock(func() {
			d.cloud.FailingMachines["i-000001"] = true
			d.cloud.FailingJobs["wk-3"] = true
			d.cloud.NeverBoots = func(id string) bool { return id == "i-000002" }
		})
		d.submit(spec("wk-3", "red", 3))
		d.submit(spec("wk-1", "red", 12))
		d.submit(spec("wk-2", "blue", 16))
		d.finish(map[string]int{"wk-1": 12, "wk-2": 16}, 4*time.Minute)
		for _, m := range d.cloud.Machines() {
			if m == "i-000001" || m == "i-000002" {
				t.Errorf("%s is still rented", m)
			}
		}
		before := 0
		d.cloud.WithLock(func() { before = d.cloud.Starts })
		time.Sleep(2 * time.Minute)
		d.cloud.WithLock(func() {
			if n := d.cloud.Starts - before; n > 30 {
				t.Errorf("a job that fails everywhere was started %d times in two minutes", n)
			}
		})
		if code, s := d.call("POST", "/api/jobs/wk-3/cancel", map[string]any{}); code != 200 || s.Status != "cancelled" {
			t.Errorf("cancel: %d %q", code, s.Status)
		}
	})
}

// Nodes that all start while the cloud is down once knew no machine sizes, so
// that nothing was placed or accepted until the outage was over.
func TestRestartDuringCloudOutage(t *testing.T) {
	play(t, func(t *testing.T, d *day) {
		d.submit(spec("wk-1", "red", 60))
		time.Sleep(20 * time.Second)
		d.cloud.WithLock(func() { d.cloud.Unavailable = true })
		for _, n := range d.nodes {
			d.crash(n, 100*time.Millisecond)
		}
		time.Sleep(5 * time.Second)
		before := 0
		d.cloud.WithLock(func() { before = d.cloud.Starts })
		start := time.Now()
		d.submit(spec("wk-2", "blue", 2))
		if took := time.Since(start); took > 3*time.Second {
			t.Errorf("accepted after %v", took)
		}
		time.Sleep(20 * time.Second)
		d.cloud.WithLock(func() {
			if d.cloud.Starts == before {
				t.Error("nothing was started during the outage")
			}
			d.cloud.Unavailable = false
		})
		d.finish(map[string]int{"wk-1": 60, "wk-2": 2}, 5*time.Minute)
	})
}

// A state outage of several leases ends no task while the nodes see each other:
// each confirms that it knows of no later view.
func TestLongStateOutageKeepsTasks(t *testing.T) {
	play(t, func(t *testing.T, d *day) {
		d.cloud.RunFor = func(string) time.Duration { return 80 * time.Second }
		d.submit(spec("wk-1", "blue", 10))
		time.Sleep(25 * time.Second)
		if n := d.cloud.ActiveTasks("wk-1"); n != 10 {
			t.Fatalf("%d tasks run", n)
		}
		d.store.SetOutage(func(string) bool { return true })
		time.Sleep(35 * time.Second)
		if n := d.cloud.ActiveTasks("wk-1"); n != 10 {
			t.Errorf("%d of 10 tasks are left after an outage of 35 s", n)
		}
		d.store.SetOutage(nil)
		starts := 0
		d.cloud.WithLock(func() { starts = d.cloud.Starts })
		if starts != 10 {
			t.Errorf("%d starts", starts)
		}
		d.finish(map[string]int{"wk-1": 10}, 3*time.Minute)
	})
}

// With one node unreachable nobody can tell what it has seen, so authority ends
// with its time and the leases with theirs.
func TestStateOutageWithOneNodeAway(t *testing.T) {
	play(t, func(t *testing.T, d *day) {
		d.cloud.RunFor = func(string) time.Duration { return 80 * time.Second }
		d.submit(spec("wk-1", "blue", 10))
		time.Sleep(25 * time.Second)
		d.net.SetBlocked(func(a, b string) bool {
			return a == "n2" && strings.HasPrefix(b, "n") || b == "n2" && strings.HasPrefix(a, "n")
		})
		d.store.SetOutage(func(string) bool { return true })
		time.Sleep(30 * time.Second)
		if n := d.cloud.ActiveTasks("wk-1"); n != 0 {
			t.Errorf("%d tasks still run, though their owners' authority has ended", n)
		}
		d.net.SetBlocked(nil)
		d.store.SetOutage(nil)
		d.finish(map[string]int{"wk-1": 10}, 5*time.Minute)
	})
}

// TestJudgeSeesMachinesThatWereNotReturned is the judge's own test: with a cloud that says a
// machine is gone and lets it go on, tasks run twice, and the judge sees it.
func TestJudgeSeesMachinesThatWereNotReturned(t *testing.T) {
	play(t, func(t *testing.T, d *day) {
		d.cloud.IgnoreTermination = true
		d.cloud.RunFor = func(string) time.Duration { return time.Minute }
		d.submit(spec("wk-1", "red", 6))
		time.Sleep(15 * time.Second)
		silent := d.cloud.MachineOf("wk-1")
		d.net.SetBlocked(func(a, b string) bool { return a == silent || b == silent })
		time.Sleep(30 * time.Second)
		d.net.SetBlocked(nil)
		seen := false
		d.cloud.WithLock(func() {
			for _, fault := range d.cloud.Violations {
				seen = seen || fault.Rule == emulator.RuleRunsOnce
			}
		})
		if !seen {
			t.Error("tasks ran on a machine that was not returned and elsewhere, and the judge saw nothing")
		}
	})
}
