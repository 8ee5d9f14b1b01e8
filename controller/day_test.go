package controller_test

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"junipershelf/controller"
	"junipershelf/internal/standin"
	"junipershelf/membership"
	"junipershelf/policy"
	"junipershelf/protocol"
	"junipershelf/settings"
)

const facts = `
[facts]
nodes = 3
zones = ["east", "west"]
clock_error_ms = 20.0
[[facts.teams]]
name = "red"
cpus = 8.0
cpus_max = 12.0
gpus = 0.0
gpus_max = 0.0
[[facts.teams]]
name = "blue"
cpus = 8.0
cpus_max = 20.0
gpus = 0.0
gpus_max = 0.0
[facts.workers]
report_s = 1.5
lease_s = 10.0
cancel_s = 30.0
[facts.state]
rps = 500.0
write_rps = 200.0
value_kb = 8.0
txn_ops = 16
[facts.cloud]
rps = 20.0
list_lag_s = 2.0
[facts.resources]
cpu = 0.5
mem_mb = 125.0
max_sockets = 400
`

// nodeNames are the controllers of a deployment.
func nodeNames(n int) (out []string) {
	for i := range n {
		out = append(out, fmt.Sprintf("n%d", i))
	}
	return out
}

// world is a deployment: what the settings say of it, and what the stand-ins do.
type world struct {
	facts   string
	rules   standin.Rules
	flavors []protocol.MachineType
	room    map[string]int
	nodes   int  // controllers; 0: three
	scarce  bool // the state service keeps to the limits that the facts name

	// The nodes that run the production version when the day begins. It passes over what
	// newFacts, the settings of the new version, have beyond the facts.
	old      []string
	newFacts string
}

// small is the deployment of most tests: eight machines at the most.
var small = world{
	facts: facts,
	rules: standin.Rules{Lease: 10 * time.Second, Report: 1500 * time.Millisecond, Cancel: 30 * time.Second,
		Limits: map[string]float64{"red": 12, "blue": 20}},
	flavors: []protocol.MachineType{{Name: "quad", CPUs: 4, MemGB: 32, CacheGB: 70, PullGBPerS: 0.5, Price: 0.3, SpotPrice: 0.1, BootS: 5, Zones: []string{"east", "west"}}},
	room:    map[string]int{"quad": 8},
}

// day is three controllers with stand-ins for all that is around them.
type day struct {
	t     *testing.T
	ctx   context.Context
	net   *standin.Net
	store *standin.Store
	cloud *standin.Cloud
	log   *lockedBuffer
	world world
	nodes []string

	mu    sync.Mutex
	stops map[string]context.CancelFunc
	ended map[string]chan struct{}

	versions *versions // of the nodes; nil: all are new
}

type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

func newDay(t *testing.T, ctx context.Context, seed uint64, w world) *day {
	t.Helper()
	d := &day{t: t, ctx: ctx, net: standin.NewNet(), store: standin.NewStore(8192), log: &lockedBuffer{}, world: w, nodes: nodeNames(cmp.Or(w.nodes, 3)),
		stops: map[string]context.CancelFunc{}, ended: map[string]chan struct{}{}}
	d.cloud = standin.NewCloud(ctx, d.net, seed, w.rules, w.flavors)
	maps.Copy(d.cloud.Room, w.room)
	if w.scarce {
		lim := parse(t, "n0", w.facts, d.nodes).Facts.State
		d.store.Limit(lim.RPS, lim.WriteRPS)
	}
	for _, n := range d.nodes {
		d.cloud.Nodes[n] = n + ":8080"
	}
	if err := d.store.Serve(ctx, d.net, "state:2379"); err != nil {
		t.Fatal(err)
	}
	if err := d.cloud.Serve(ctx, "cloud:8443"); err != nil {
		t.Fatal(err)
	}
	if w.newFacts != "" {
		d.versions = &versions{t: t, old: map[string]bool{}, seen: map[string]int{}}
		for _, n := range w.old {
			d.versions.set(n, true)
		}
		d.store.Translate(d.versions.record)
	}
	for _, n := range d.nodes {
		d.start(n)
	}
	return d
}

// parse makes a node's settings; the addresses of the network in memory are
// names, which the platform's file never has.
func parse(t *testing.T, node, facts string, nodes []string) *settings.Settings {
	t.Helper()
	text := fmt.Sprintf("node_name = %q\ndomain = \"east\"\nfront = \"10.0.0.1:8080\"\ninternal_addr = \"10.0.0.1:8081\"\n", node)
	for _, n := range nodes {
		if n != node {
			text += fmt.Sprintf("[[known]]\nnode_name = %q\ndomain = \"east\"\naddr = \"10.0.0.2:8081\"\n", n)
		}
	}
	s, err := settings.Parse([]byte(text + "[outside]\ncloud = \"10.0.0.9:8443\"\nstate = \"10.0.0.9:2379\"\n" + facts))
	if err != nil {
		t.Fatal(err)
	}
	s.APIAddr, s.InternalAddr, s.Outside.Cloud, s.Outside.State = node+":8080", node+":8081", "cloud:8443", "state:2379"
	for i := range s.Peers {
		s.Peers[i].Addr = s.Peers[i].NodeName + ":8081"
	}
	return s
}

func (d *day) start(node string) {
	pol, err := policy.Load("")
	if err != nil {
		d.t.Fatal(err)
	}
	ctx, stop := context.WithCancel(d.ctx)
	log := slog.New(slog.NewTextHandler(d.log, &slog.HandlerOptions{Level: slog.LevelInfo})).With("node", node)
	network := controller.Network{Listen: d.net.Listen, Dial: d.net.Dialer(node)}
	facts := d.world.facts
	if d.versions != nil {
		network.Listen = d.versions.listen(node, d.net.Listen)
		if !d.versions.isOld(node) {
			facts = d.world.newFacts
		}
	}
	c := controller.New(parse(d.t, node, facts, d.nodes), pol, log, network)
	done := make(chan struct{})
	d.mu.Lock()
	d.stops[node], d.ended[node] = stop, done
	d.mu.Unlock()
	go func() {
		defer close(done)
		if err := c.Run(ctx); ctx.Err() == nil {
			d.t.Errorf("%s ended by itself: %v", node, err)
		}
	}()
}

// crash ends a node with no warning to anybody and starts it again.
func (d *day) crash(node string, away time.Duration) {
	d.mu.Lock()
	stop, done := d.stops[node], d.ended[node]
	d.mu.Unlock()
	stop()
	d.net.Crash(node)
	<-done
	time.Sleep(away)
	d.start(node)
}

// call asks the nodes in turn until one gives an answer that is no 503.
func (d *day) call(method, path string, body any) (int, protocol.JobStatus) {
	cl := &http.Client{Transport: &http.Transport{DialContext: d.net.Dialer("user")}, Timeout: 5 * time.Second}
	defer cl.CloseIdleConnections()
	raw, err := protocol.Marshal(body)
	if err != nil {
		d.t.Fatal(err)
	}
	for try := range 60 {
		req, _ := http.NewRequest(method, "http://"+d.nodes[try%len(d.nodes)]+":8080"+path, bytes.NewReader(raw))
		resp, err := cl.Do(req)
		if err == nil {
			out, _ := io.ReadAll(resp.Body)
			resp.Body.Close()
			if resp.StatusCode == 503 && resp.Header.Get("Retry-After") == "" {
				d.t.Errorf("%s %s: 503 without Retry-After", method, path)
			}
			if resp.StatusCode != 503 {
				var s protocol.JobStatus
				_ = protocol.Unmarshal(out, &s)
				return resp.StatusCode, s
			}
		}
		time.Sleep(time.Second)
	}
	d.t.Fatalf("%s %s: never answered", method, path)
	return 0, protocol.JobStatus{}
}

// at asks one node once; the code is 0 without an answer.
func (d *day) at(node, method, path string, body any) (int, protocol.JobStatus) {
	cl := &http.Client{Transport: &http.Transport{DialContext: d.net.Dialer("user")}, Timeout: 5 * time.Second}
	defer cl.CloseIdleConnections()
	raw, err := protocol.Marshal(body)
	if err != nil {
		d.t.Fatal(err)
	}
	req, _ := http.NewRequest(method, "http://"+node+":8080"+path, bytes.NewReader(raw))
	resp, err := cl.Do(req)
	if err != nil {
		return 0, protocol.JobStatus{}
	}
	defer resp.Body.Close()
	out, _ := io.ReadAll(resp.Body)
	if resp.StatusCode == 503 && resp.Header.Get("Retry-After") == "" {
		d.t.Errorf("%s %s at %s: 503 without Retry-After", method, path, node)
	}
	var s protocol.JobStatus
	_ = protocol.Unmarshal(out, &s)
	return resp.StatusCode, s
}

// leader names the leader by the view in the state service, and others the rest.
func (d *day) leader() (leader string, others []string) {
	d.t.Helper()
	var v membership.View
	if !d.store.Read(membership.ViewKey, &v) || len(v.Members) == 0 {
		d.t.Fatal("there is no view")
	}
	leader = v.Members[0].Node
	for _, n := range d.nodes {
		if n != leader {
			others = append(others, n)
		}
	}
	return leader, others
}

// cancel calls a job off at a node and notes when its user was told.
func (d *day) cancel(node, uid string) {
	d.t.Helper()
	for range 30 {
		if code, s := d.at(node, "POST", "/api/jobs/"+uid+"/cancel", map[string]any{}); code == 200 {
			if s.Status == "cancelled" {
				d.cloud.Cancelled(uid)
			}
			return
		}
		time.Sleep(time.Second)
	}
	d.t.Fatalf("%s does not take the cancellation of %s", node, uid)
}

func spec(uid, team string, pieces int) map[string]any {
	return map[string]any{"uid": uid, "queue": "q-" + team, "owner": team, "shape": "array", "urgency": "normal", "pieces": pieces,
		"cpus": 1.0, "accelerators": 0.0, "mem_gb": 2.0, "bundle": "img-" + team, "size_gb": 1.0, "flavors": nil, "yard": nil,
		"together": false, "scatter": false, "borrowed": true, "expected_s": 5.0, "snapshot_s": 0.0, "stash_s": 0.0, "due_s": nil}
}

func (d *day) submit(m map[string]any) {
	d.t.Helper()
	raw, _ := protocol.Marshal(m)
	s, err := protocol.ParseJobSpec(raw)
	if err != nil {
		d.t.Fatal(err)
	}
	d.cloud.Know(s)
	if code, _ := d.call("POST", "/api/jobs", m); code != 201 && code != 200 {
		d.t.Fatalf("submission of %s: %d", s.UID, code)
	}
}

// await polls until a job is over and checks that finals never change.
func (d *day) await(uid string, limit time.Duration) string {
	d.t.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(2 * time.Second) {
		code, s := d.call("GET", "/api/jobs/"+uid, map[string]any{})
		if code != 200 {
			d.t.Fatalf("poll of %s: %d", uid, code)
		}
		if s.Status == "done" || s.Status == "cancelled" {
			return s.Status
		}
	}
	return "late"
}

// judge ends the day: no rule was broken, and each task's result is there once
// at least.
func (d *day) judge(jobs map[string]int) {
	d.t.Helper()
	d.cloud.Lock(func() {
		for _, f := range d.cloud.Faults {
			d.t.Errorf("broken: %s", f)
		}
		for uid, n := range jobs {
			for i := range n {
				if d.cloud.Results[protocol.TaskName(uid, i)] == 0 {
					d.t.Errorf("%s is called done, but task %d never completed", uid, i)
				}
			}
		}
	})
	if d.store.Oversized > 0 {
		d.t.Errorf("%d values over the limit", d.store.Oversized)
	}
	if d.t.Failed() {
		d.t.Log(d.log.String())
	}
}

func (d *day) finish(jobs map[string]int, limit time.Duration) {
	d.t.Helper()
	for uid := range jobs {
		if s := d.await(uid, limit); s != "done" {
			d.t.Errorf("%s: %s", uid, s)
		}
	}
	d.judge(jobs)
}

func play(t *testing.T, f func(t *testing.T, d *day)) {
	t.Helper()
	playIn(t, small, f)
}

func playIn(t *testing.T, w world, f func(t *testing.T, d *day)) {
	t.Helper()
	t.Parallel() // each day has a clock of its own
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		d := newDay(t, ctx, 1, w)
		f(t, d)
		stop()
		d.net.Cut(nil)
		for _, n := range d.nodes {
			d.net.Crash(n)
			<-d.ended[n]
		}
		time.Sleep(20 * time.Second)
	})
}

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
		if !strings.Contains(d.log.String(), "msg=path") {
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
		d.cloud.Cancelled("wk-1")
		time.Sleep(20 * time.Second)
		if n := d.cloud.Active("wk-1"); n > 0 {
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
	play(t, func(t *testing.T, d *day) {
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
			play(t, func(t *testing.T, d *day) {
				rng := rand.New(rand.NewPCG(seed, 2))
				var fm sync.Mutex
				frng := rand.New(rand.NewPCG(seed, 3))
				chance := func(p float64) func() bool {
					return func() bool { fm.Lock(); defer fm.Unlock(); return frng.Float64() < p }
				}
				d.store.Faults(chance(0.05), chance(0.05))
				if seed%2 == 0 {
					// Copies of reports come late, from seconds to well over a lease.
					d.cloud.Copies = func() (time.Duration, bool) {
						fm.Lock()
						defer fm.Unlock()
						return time.Duration(frng.Float64() * 40 * float64(time.Second)), frng.Float64() < 0.2
					}
				}
				jobs := map[string]int{}
				for i := range 8 {
					uid := fmt.Sprintf("wk-%d", i+1)
					team := []string{"red", "blue"}[rng.IntN(2)]
					jobs[uid] = 1 + rng.IntN(25)
					d.submit(spec(uid, team, jobs[uid]))
					time.Sleep(time.Duration(rng.IntN(4)) * time.Second)
					trouble := rng.IntN(10)
					node := d.nodes[rng.IntN(len(d.nodes))]
					switch trouble {
					case 0:
						d.crash(node, time.Duration(rng.IntN(5000))*time.Millisecond)
					case 1:
						for _, n := range d.nodes {
							d.crash(n, 200*time.Millisecond)
						}
					case 2: // a node loses the state service alone
						d.net.Cut(func(a, b string) bool { return a == node && b == "state" || a == "state" && b == node })
						time.Sleep(time.Duration(3+rng.IntN(12)) * time.Second)
						d.net.Cut(nil)
					case 3: // a node loses the workers
						d.net.Cut(func(a, b string) bool {
							return a == node && strings.HasPrefix(b, "i-") || b == node && strings.HasPrefix(a, "i-")
						})
						time.Sleep(time.Duration(3+rng.IntN(12)) * time.Second)
						d.net.Cut(nil)
					case 4:
						d.store.Outage(func(string) bool { return true })
						time.Sleep(time.Duration(2+rng.IntN(12)) * time.Second)
						d.store.Outage(nil)
					case 5:
						if m := d.cloud.Machines(); len(m) > 0 {
							d.cloud.Take(m[rng.IntN(len(m))])
						}
					case 6:
						if m := d.cloud.Machines(); len(m) > 0 {
							d.cloud.Hang(m[rng.IntN(len(m))], time.Duration(rng.IntN(25))*time.Second)
						}
					case 7: // refused by the state service alone
						d.store.Outage(func(from string) bool { return from == node })
						time.Sleep(time.Duration(3+rng.IntN(12)) * time.Second)
						d.store.Outage(nil)
					case 8: // a node loses all but its workers
						d.net.Cut(func(a, b string) bool {
							out := func(a, b string) bool { return a == node && (b == "state" || b == "cloud" || b[0] == 'n') }
							return out(a, b) || out(b, a)
						})
						time.Sleep(time.Duration(5+rng.IntN(25)) * time.Second)
						d.net.Cut(nil)
					case 9: // back within moments, again and again, also in an election
						for range 4 {
							d.crash(node, time.Duration(rng.IntN(400))*time.Millisecond)
							time.Sleep(time.Duration(rng.IntN(900)) * time.Millisecond)
						}
					}
				}
				// Whichever node is asked, each job gets an answer well within 75 s of
				// the troubles' end, and all of them run.
				for uid := range jobs {
					for _, n := range d.nodes {
						d.answers(n, uid, 30*time.Second)
					}
				}
				d.finish(jobs, 6*time.Minute)
			})
		})
	}
}

// answers polls one node until it tells of a job.
func (d *day) answers(node, uid string, limit time.Duration) {
	d.t.Helper()
	cl := &http.Client{Transport: &http.Transport{DialContext: d.net.Dialer("user")}, Timeout: 2 * time.Second}
	defer cl.CloseIdleConnections()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(time.Second) {
		if resp, err := cl.Get("http://" + node + ":8080/api/jobs/" + uid); err == nil {
			resp.Body.Close()
			if resp.StatusCode == 200 {
				return
			}
			if resp.StatusCode != 503 {
				d.t.Errorf("%s says %d of %s", node, resp.StatusCode, uid)
			}
		}
	}
	d.t.Errorf("%s does not answer for %s within %v", node, uid, limit)
}

// Controllers that cannot reach each other still serve: the leader of a new view
// gives work to its own machines at once, and the others call it through mailboxes in the
// state service. Once two thirds of the fleet fell idle.
func TestControllersCutFromEachOther(t *testing.T) {
	play(t, func(t *testing.T, d *day) {
		d.submit(spec("wk-1", "blue", 200))
		time.Sleep(25 * time.Second)
		d.net.Cut(func(a, b string) bool { return a[0] == 'n' && b[0] == 'n' })
		d.crash("n0", 100*time.Millisecond)
		time.Sleep(8 * time.Second)
		before := 0
		d.cloud.Lock(func() { before = d.cloud.Starts })
		time.Sleep(20 * time.Second)
		d.cloud.Lock(func() {
			if n := d.cloud.Starts - before; n < 45 {
				t.Errorf("%d starts in 20 s on 20 slots, with tasks of 5 s", n)
			}
		})
		if !regexp.MustCompile("via_mailbox=[1-9]").MatchString(d.log.String()) {
			t.Error("no call was made by letter")
		}
		d.net.Cut(nil)
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
			play(t, func(t *testing.T, d *day) {
				d.cloud.RunFor = func(string) time.Duration { return 12 * time.Second }
				d.submit(spec("wk-1", "blue", 60))
				d.submit(spec("wk-2", "red", 40))
				time.Sleep(25 * time.Second)
				in := func(h string) bool {
					return h == node || strings.HasPrefix(h, "i-") && (h[len(h)-1]-'0')%2 == 1
				}
				d.net.Cut(func(a, b string) bool { return in(a) != in(b) })
				time.Sleep(15 * time.Second)
				d.submit(spec("wk-3", "blue", 10))
				time.Sleep(15 * time.Second)
				d.net.Cut(nil)
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
					d.net.Cut(func(a, b string) bool { return a == node || b == node })
					time.Sleep(30 * time.Second)
					before := 0
					d.cloud.Lock(func() { before = d.cloud.Starts })
					d.net.Cut(nil)
					time.Sleep(8 * time.Second)
					d.cloud.Lock(func() {
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
		d.cloud.Lock(func() { d.cloud.Unreachable["i-000001"] = true })
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
		d.cloud.Lock(func() {
			d.cloud.Sick["i-000001"] = true
			d.cloud.Broken["wk-3"] = true
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
		d.cloud.Lock(func() { before = d.cloud.Starts })
		time.Sleep(2 * time.Minute)
		d.cloud.Lock(func() {
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
		d.cloud.Lock(func() { d.cloud.Down = true })
		for _, n := range d.nodes {
			d.crash(n, 100*time.Millisecond)
		}
		time.Sleep(5 * time.Second)
		before := 0
		d.cloud.Lock(func() { before = d.cloud.Starts })
		start := time.Now()
		d.submit(spec("wk-2", "blue", 2))
		if took := time.Since(start); took > 3*time.Second {
			t.Errorf("accepted after %v", took)
		}
		time.Sleep(20 * time.Second)
		d.cloud.Lock(func() {
			if d.cloud.Starts == before {
				t.Error("nothing was started during the outage")
			}
			d.cloud.Down = false
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
		if n := d.cloud.Active("wk-1"); n != 10 {
			t.Fatalf("%d tasks run", n)
		}
		d.store.Outage(func(string) bool { return true })
		time.Sleep(35 * time.Second)
		if n := d.cloud.Active("wk-1"); n != 10 {
			t.Errorf("%d of 10 tasks are left after an outage of 35 s", n)
		}
		d.store.Outage(nil)
		starts := 0
		d.cloud.Lock(func() { starts = d.cloud.Starts })
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
		d.net.Cut(func(a, b string) bool {
			return a == "n2" && strings.HasPrefix(b, "n") || b == "n2" && strings.HasPrefix(a, "n")
		})
		d.store.Outage(func(string) bool { return true })
		time.Sleep(30 * time.Second)
		if n := d.cloud.Active("wk-1"); n != 0 {
			t.Errorf("%d tasks still run, though their owners' authority has ended", n)
		}
		d.net.Cut(nil)
		d.store.Outage(nil)
		d.finish(map[string]int{"wk-1": 10}, 5*time.Minute)
	})
}
