package controller_test

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"junipershelf/controller"
	"junipershelf/internal/emulator"
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

// world is a deployment: what the settings say of it, and what the emulators do.
type world struct {
	facts   string
	rules   emulator.Invariants
	flavors []protocol.MachineType
	room    map[string]int
	nodes   int  // controllers; 0: three
	scarce  bool // the state service keeps to the limits that the facts name
	direct  bool // workers call without connections, which thousands of them would be slow to make

	// The nodes that run the production version when the day begins. It passes over what
	// newFacts, the settings of the new version, have beyond the facts.
	old      []string
	newFacts string
}

// small is the deployment of most tests: eight machines at the most.
var small = world{
	facts: facts,
	rules: emulator.Invariants{
		LeaseDuration: 10 * time.Second, HeartbeatInterval: 1500 * time.Millisecond, CancellationDeadline: 30 * time.Second,
		TeamCPULimits: map[string]float64{"red": 12, "blue": 20},
	},
	flavors: []protocol.MachineType{{Name: "quad", CPUs: 4, MemGB: 32, CacheGB: 70, PullGBPerS: 0.5, Price: 0.3, SpotPrice: 0.1, BootS: 5, Zones: []string{"east", "west"}}},
	room:    map[string]int{"quad": 8},
}

// day is three controllers with emulators of all that is around them.
type day struct {
	t     *testing.T
	ctx   context.Context
	net   *emulator.MemoryNetwork
	store *emulator.Store
	cloud *emulator.Cloud
	log   *lockedBuffer
	world world
	nodes []string

	mu      sync.Mutex
	stops   map[string]context.CancelFunc
	ended   map[string]chan struct{}
	running map[string]*emulator.Process // by node

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
	d := &day{
		t: t, ctx: ctx, net: emulator.NewMemoryNetwork(), store: emulator.NewStore(8192), log: &lockedBuffer{}, world: w, nodes: nodeNames(cmp.Or(w.nodes, 3)),
		stops: map[string]context.CancelFunc{}, ended: map[string]chan struct{}{}, running: map[string]*emulator.Process{},
	}
	d.cloud = emulator.NewCloud(ctx, d.net, seed, w.rules, w.flavors)
	maps.Copy(d.cloud.Capacity, w.room)
	if w.direct {
		d.cloud.Transport = func(host string) http.RoundTripper {
			return emulator.DirectTransport{Network: d.net, From: host, FindProcess: d.process}
		}
	}
	if w.scarce {
		lim := parse(t, "n0", w.facts, d.nodes).Facts.Store
		d.store.LimitRates(lim.RPS, lim.WriteRPS)
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
		d.store.SetTranslation(d.versions.record)
	}
	for _, n := range d.nodes {
		d.start(ctx, n)
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
	s.APIAddr, s.InternalAddr, s.Services.CloudAddr, s.Services.StoreAddr = node+":8080", node+":8081", "cloud:8443", "state:2379"
	for i := range s.Peers {
		s.Peers[i].Addr = s.Peers[i].NodeName + ":8081"
	}
	return s
}

func (d *day) start(ctx context.Context, node string) {
	pol, err := policy.Load("")
	if err != nil {
		d.t.Fatal(err)
	}
	ctx, stop := context.WithCancel(ctx)
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
	d.stops[node], d.ended[node], d.running[node] = stop, done, &emulator.Process{Handler: c.APIHandler()}
	d.mu.Unlock()
	go func() {
		defer close(done)
		if err := c.Run(ctx); ctx.Err() == nil {
			d.t.Errorf("%s ended by itself: %v", node, err)
		}
	}()
}

// process finds a node's running process.
func (d *day) process(node string) *emulator.Process {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.running[node]
}

// crash ends a node with no warning to anybody and starts it again.
func (d *day) crash(node string, away time.Duration) {
	d.mu.Lock()
	stop, done := d.stops[node], d.ended[node]
	delete(d.running, node)
	d.mu.Unlock()
	stop()
	d.net.CloseConnections(node)
	<-done
	time.Sleep(away)
	d.start(d.ctx, node)
}

// userClient makes a client of the nodes as a user has one.
func (d *day) userClient(timeout time.Duration) *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: d.net.Dialer("user")}, Timeout: timeout}
}

// request sends a request to a node. Each 503 must say when to come back.
func (d *day) request(client *http.Client, node, method, path string, body []byte) (int, protocol.JobStatus, error) {
	req, err := http.NewRequestWithContext(context.Background(), method, "http://"+node+":8080"+path, bytes.NewReader(body))
	if err != nil {
		return 0, protocol.JobStatus{}, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, protocol.JobStatus{}, err
	}
	out, _ := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get("Retry-After") == "" {
		d.t.Errorf("%s %s at %s: 503 without Retry-After", method, path, node)
	}
	var s protocol.JobStatus
	_ = protocol.Unmarshal(out, &s)
	return resp.StatusCode, s, nil
}

// call asks the nodes in turn until one gives an answer that is no 503.
func (d *day) call(method, path string, body any) (int, protocol.JobStatus) {
	client := d.userClient(5 * time.Second)
	defer client.CloseIdleConnections()
	raw, err := protocol.Marshal(body)
	if err != nil {
		d.t.Fatal(err)
	}
	for try := range 60 {
		code, s, err := d.request(client, d.nodes[try%len(d.nodes)], method, path, raw)
		if err == nil && code != http.StatusServiceUnavailable {
			return code, s
		}
		time.Sleep(time.Second)
	}
	d.t.Fatalf("%s %s: never answered", method, path)
	return 0, protocol.JobStatus{}
}

// at asks one node once; the code is 0 without an answer.
func (d *day) at(node, method, path string, body any) (int, protocol.JobStatus) {
	client := d.userClient(5 * time.Second)
	defer client.CloseIdleConnections()
	raw, err := protocol.Marshal(body)
	if err != nil {
		d.t.Fatal(err)
	}
	code, s, err := d.request(client, node, method, path, raw)
	if err != nil {
		return 0, protocol.JobStatus{}
	}
	return code, s
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
				d.cloud.RecordCancellation(uid)
			}
			return
		}
		time.Sleep(time.Second)
	}
	d.t.Fatalf("%s does not take the cancellation of %s", node, uid)
}

func spec(uid, team string, pieces int) map[string]any {
	return map[string]any{
		"uid": uid, "queue": "q-" + team, "owner": team, "shape": "array", "urgency": "normal", "pieces": pieces,
		"cpus": 1.0, "accelerators": 0.0, "mem_gb": 2.0, "bundle": "img-" + team, "size_gb": 1.0, "flavors": nil, "yard": nil,
		"together": false, "scatter": false, "borrowed": true, "expected_s": 5.0, "snapshot_s": 0.0, "stash_s": 0.0, "due_s": nil,
	}
}

func (d *day) submit(m map[string]any) {
	d.t.Helper()
	raw, _ := protocol.Marshal(m)
	s, err := protocol.ParseJobSpec(raw)
	if err != nil {
		d.t.Fatal(err)
	}
	d.cloud.RegisterJob(s)
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
	d.cloud.WithLock(func() {
		for _, f := range d.cloud.Violations {
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
	if d.store.OversizedValues > 0 {
		d.t.Errorf("%d values over the limit", d.store.OversizedValues)
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
		d.net.SetBlocked(nil)
		for _, n := range d.nodes {
			d.net.CloseConnections(n)
			<-d.ended[n]
		}
		time.Sleep(20 * time.Second)
	})
}

// answers polls one node until it tells of a job.
func (d *day) answers(node, uid string, limit time.Duration) {
	d.t.Helper()
	client := d.userClient(2 * time.Second)
	defer client.CloseIdleConnections()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(time.Second) {
		code, _, err := d.request(client, node, http.MethodGet, "/api/jobs/"+uid, nil)
		switch {
		case err != nil || code == http.StatusServiceUnavailable:
		case code == http.StatusOK:
			return
		default:
			d.t.Errorf("%s says %d of %s", node, code, uid)
		}
	}
	d.t.Errorf("%s does not answer for %s within %v", node, uid, limit)
}
